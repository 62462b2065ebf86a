//! Owns the attempts: an offer from the moment it is decided until the attempt has ended. Every offer leaves by
//! `send_waiting`, which makes sure that its client is still there; two attempts of one request are never out at once,
//! since `give_up` writes to the old host before the module hears of it. It never chooses a host, and never answers a
//! client.

use super::requests::State;
use super::timers::Due;
use super::{Dispatch, MILLI};
use crate::net::clients::Presence;
use crate::net::codec::{SetUp, TaskId, cause, lines};
use crate::net::conn::{End, Unread};
use crate::net::hosts::{Phase, Waiting};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

/// How long an offer may be out on a connection on which nothing is heard.
const DOUBT: Micros = 1_000 * MILLI;

impl Dispatch {
    /// Sends an offer, or lets it wait: for the connection, which may itself wait for a descriptor, for what is
    /// queued on it, or for what its client says.
    pub(super) fn offer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: HostId,
        timeout: Micros,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get_mut(&ticket)?;
        let attempt = request.attempts;
        request.attempts += 1;
        let until = now.saturating_add(timeout);
        self.enter(
            ticket,
            State::Out {
                attempt,
                host: host.clone(),
                since: now,
                until,
                round: None,
            },
        );
        self.wheel.add(until, Due::Attempt(ticket, attempt));
        let link = self.hosts.get_mut(&host).filter(|link| link.dial.is_some());
        let Some(link) = link else {
            return self.end_attempt(now, ticket, Outcome::NotSent, OutcomeDetail::Unknown);
        };
        link.waiting.push(Waiting {
            ticket,
            attempt,
            mark: None,
        });
        match link.phase {
            Phase::Up(_) => self.send_waiting(now, &host),
            Phase::Connecting(_) => {}
            Phase::Down => self.call(now, &host),
        }
        if self
            .requests
            .get(&ticket)
            .is_some_and(|request| request.state.unsent())
        {
            self.wheel
                .add(now + self.connect_timeout, Due::Unsent(ticket, attempt));
        }
        None
    }

    /// Sends the offers that wait for a connection which is now up. Guards against a connection that dies
    /// under the write, or that its host has closed: an offer of which nothing has left waits for the next one.
    /// Guards also against an attempt that begins when its client has gone: nothing is queued behind what the
    /// host has not taken, where it can't be taken back, and each client is looked at before its offer leaves.
    pub(super) fn send_waiting(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let Phase::Up(conn) = &link.phase else { return };
        if conn.unread() == Unread::End {
            return conn.stop(End::Closed);
        }
        let mut left = Vec::new();
        for Waiting {
            ticket,
            attempt,
            mark,
        } in std::mem::take(&mut link.waiting)
        {
            let Some(request) = self.requests.get_mut(&ticket) else {
                continue;
            };
            let State::Out {
                attempt: n,
                round: round @ None,
                until,
                ..
            } = &mut request.state
            else {
                continue;
            };
            let (true, Some(set_up), Some(client)) =
                (*n == attempt, &request.set_up, request.client)
            else {
                continue;
            };
            let mark = match self.clients.presence(client, mark, host) {
                Presence::Left => {
                    left.push(ticket);
                    continue;
                }
                Presence::Unread(mark) => mark,
                Presence::Here if !conn.flushed() => {
                    self.clogged.insert(host.clone());
                    None
                }
                Presence::Here => {
                    let Some(line) = offer_line(request.id, set_up, *until - now) else {
                        continue;
                    };
                    if conn.send(now, &line) {
                        self.counters.record_attempt(request.class);
                        *round = Some(link.round);
                        self.wheel.add(now + DOUBT, Due::Doubt(ticket, attempt));
                        continue;
                    }
                    None
                }
            };
            link.waiting.push(Waiting {
                ticket,
                attempt,
                mark,
            });
        }
        self.settle(now, host, true);
        for ticket in left {
            self.gone(now, ticket);
        }
    }

    /// An attempt that is out has ended: the request is the module's again.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: Outcome,
        detail: OutcomeDetail,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get_mut(&ticket)?;
        let State::Out {
            attempt,
            host,
            since,
            ..
        } = &request.state
        else {
            return None;
        };
        let (attempt, host, elapsed) = (*attempt, host.clone(), now - since);
        let aim = request.aim;
        self.enter(ticket, State::Held);
        self.settle(now, &host, false);
        let stretch = elapsed as f64 / aim as f64;
        // What its client gave up tells nothing of the host.
        if outcome != Outcome::Cancelled {
            self.watch(
                now,
                Event::AttemptEnded {
                    outcome,
                    detail,
                    relative_duration: stretch,
                },
            );
        }
        Some(PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome,
            detail,
            elapsed,
        })
    }

    /// Stops waiting for an attempt and tells its host so: two attempts are never out at once.
    pub(super) fn give_up(
        &mut self,
        now: Micros,
        ticket: Ticket,
        only: Option<u32>,
        why: Outcome,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get(&ticket)?;
        let State::Out {
            attempt,
            host,
            round,
            ..
        } = &request.state
        else {
            return None;
        };
        if only.is_some_and(|n| n != *attempt) {
            return None;
        }
        let link = self.hosts.get(host);
        if let Some(conn) = round.and_then(|round| link.and_then(|link| link.open(round))) {
            conn.send(now, &lines::release(request.id, cause::NORMAL));
        }
        // What has not left its queue never ran.
        let why = if round.is_none() && why == Outcome::Timeout {
            Outcome::ConnectFailed
        } else {
            why
        };
        self.end_attempt(now, ticket, why, OutcomeDetail::Unknown)
    }

    /// Nothing of an offer has left for as long as a connection may take to come up: it never ran. A host that
    /// takes nothing of what is queued for it is as good as out of reach. Where the host was not even called, for
    /// want of a slot, or its client was not read, nothing is held against the host. Guards what is counted as
    /// sent when it is decided (the budget of cold hosts, the time in which a repeat is dropped, the grace of a
    /// drain) against offers that leave much later.
    pub(super) fn end_unsent(&mut self, now: Micros, ticket: Ticket, attempt: u32) {
        let Some(State::Out {
            attempt: n,
            host,
            since,
            round: None,
            ..
        }) = self.requests.get(&ticket).map(|r| &r.state)
        else {
            return;
        };
        let (host, since) = (host.clone(), *since);
        if *n != attempt {
            return;
        }
        let Some(link) = self.hosts.get_mut(&host) else {
            return;
        };
        let outcome = match &link.phase {
            // What becomes of a call that has had its whole time is told by its end.
            Phase::Connecting(_) if link.dialled <= since => return,
            Phase::Up(conn) if !conn.flushed() => Outcome::ConnectFailed,
            Phase::Up(_) | Phase::Connecting(_) | Phase::Down => Outcome::NotSent,
        };
        link.waiting
            .retain(|offer| (offer.ticket, offer.attempt) != (ticket, attempt));
        if self.need(&host).is_none() {
            self.pool.cancel_request(&host);
        }
        if outcome == Outcome::ConnectFailed {
            self.doubt(now, &host);
        }
        let news = self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown);
        news.into_iter().for_each(|news| self.tell(now, news));
    }

    /// Offers that waited for a connection in vain.
    pub(super) fn never_ran(&mut self, now: Micros, waiting: Vec<Waiting>, outcome: Outcome) {
        for Waiting {
            ticket, attempt, ..
        } in waiting
        {
            let request = self.requests.get(&ticket);
            if request
                .is_some_and(|r| matches!(r.state, State::Out { attempt: n, .. } if n == attempt))
            {
                let news = self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown);
                news.into_iter().for_each(|news| self.tell(now, news));
            }
        }
    }
}

/// The line that offers a task to a host, if it can be one.
pub(super) fn offer_line(id: TaskId, set_up: &SetUp, left: Micros) -> Option<Vec<u8>> {
    lines::offer(
        id,
        &set_up.ask.class,
        &set_up.key,
        (left / MILLI).max(1),
        &set_up.description,
    )
}
