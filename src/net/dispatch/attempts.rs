//! Owns the attempts: an offer from the moment it is decided until the attempt has ended. Every offer leaves by
//! `send_pending_attempts`, which makes sure that its client is still there; two attempts of one request are never out at once,
//! since `abandon_attempt` writes to the old host before the module hears of it. It never chooses a host, and never answers a
//! client.

use super::requests::RequestState;
use super::timers::TimerEvent;
use super::{Dispatch, MILLI};
use crate::net::clients::ClientPresence;
use crate::net::codec::{TaskId, TaskRequest, cause, lines};
use crate::net::conn::{CloseReason, Unread};
use crate::net::hosts::{ConnectionState, PendingAttempt};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

/// How long an offer may be out on a connection on which nothing is heard.
const SILENCE_TIMEOUT: Micros = 1_000 * MILLI;

impl Dispatch {
    /// Sends an offer, or lets it wait: for the connection, which may itself wait for a descriptor, for what is
    /// queued on it, or for what its client says.
    pub(super) fn start_attempt(
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
        self.set_request_state(
            ticket,
            RequestState::InFlight {
                attempt,
                host: host.clone(),
                since: now,
                until,
                connection_id: None,
            },
        );
        self.wheel
            .add(until, TimerEvent::AttemptTimeout(ticket, attempt));
        let link = self
            .hosts
            .get_mut(&host)
            .filter(|link| link.address.is_some());
        let Some(link) = link else {
            return self.end_attempt(now, ticket, Outcome::NotSent, OutcomeDetail::Unknown);
        };
        link.pending_attempts.push(PendingAttempt {
            ticket,
            attempt,
            mark: None,
        });
        match link.connection {
            ConnectionState::Connected(_) => self.send_pending_attempts(now, &host),
            ConnectionState::Connecting(_) => {}
            ConnectionState::Disconnected => self.request_connection(now, &host),
        }
        if self
            .requests
            .get(&ticket)
            .is_some_and(|request| request.state.unsent())
        {
            self.wheel.add(
                now + self.connect_timeout,
                TimerEvent::UnsentTimeout(ticket, attempt),
            );
        }
        None
    }

    /// Sends the offers that wait for a connection which is now up. Guards against a connection that dies
    /// under the write, or that its host has closed: an offer of which nothing has left waits for the next one.
    /// Guards also against an attempt that begins when its client has gone: nothing is queued behind what the
    /// host has not taken, where it can't be taken back, and each client is looked at before its offer leaves.
    pub(super) fn send_pending_attempts(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let ConnectionState::Connected(conn) = &link.connection else {
            return;
        };
        if conn.unread() == Unread::EndOfStream {
            return conn.stop(CloseReason::Closed);
        }
        let mut left = Vec::new();
        for PendingAttempt {
            ticket,
            attempt,
            mark,
        } in std::mem::take(&mut link.pending_attempts)
        {
            let Some(request) = self.requests.get_mut(&ticket) else {
                continue;
            };
            let RequestState::InFlight {
                attempt: n,
                connection_id: sent_on @ None,
                until,
                ..
            } = &mut request.state
            else {
                continue;
            };
            let (true, Some(task_request), Some(client)) =
                (*n == attempt, &request.task_request, request.client)
            else {
                continue;
            };
            let mark = match self.clients.presence(client, mark, host) {
                ClientPresence::Gone => {
                    left.push(ticket);
                    continue;
                }
                ClientPresence::UnreadInput(mark) => mark,
                ClientPresence::Present if !conn.flushed() => {
                    self.backlogged_hosts.insert(host.clone());
                    None
                }
                ClientPresence::Present => {
                    let Some(line) = attempt_line(request.id, task_request, *until - now) else {
                        continue;
                    };
                    if conn.send(now, &line) {
                        self.counters.offered(request.class);
                        *sent_on = Some(link.connection_id);
                        self.wheel.add(
                            now + SILENCE_TIMEOUT,
                            TimerEvent::SilenceCheck(ticket, attempt),
                        );
                        continue;
                    }
                    None
                }
            };
            link.pending_attempts.push(PendingAttempt {
                ticket,
                attempt,
                mark,
            });
        }
        self.update_ranks(now, host, true);
        for ticket in left {
            self.cancel_request(now, ticket);
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
        let RequestState::InFlight {
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
        self.set_request_state(ticket, RequestState::Queued);
        self.update_ranks(now, &host, false);
        let stretch = elapsed as f64 / aim as f64;
        // What its client gave up tells nothing of the host.
        if outcome != Outcome::Cancelled {
            self.record_health_event(
                now,
                Event::Offer {
                    outcome,
                    detail,
                    stretch,
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
    pub(super) fn abandon_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        only: Option<u32>,
        why: Outcome,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get(&ticket)?;
        let RequestState::InFlight {
            attempt,
            host,
            connection_id,
            ..
        } = &request.state
        else {
            return None;
        };
        if only.is_some_and(|n| n != *attempt) {
            return None;
        }
        let link = self.hosts.get(host);
        if let Some(conn) = connection_id
            .and_then(|connection_id| link.and_then(|link| link.open_connection(connection_id)))
        {
            conn.send(now, &lines::release(request.id, cause::NORMAL));
        }
        // What has not left its queue never ran.
        let why = if connection_id.is_none() && why == Outcome::Timeout {
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
    pub(super) fn end_unsent_attempt(&mut self, now: Micros, ticket: Ticket, attempt: u32) {
        let Some(RequestState::InFlight {
            attempt: n,
            host,
            since,
            connection_id: None,
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
        let outcome = match &link.connection {
            // What becomes of a call that has had its whole time is told by its end.
            ConnectionState::Connecting(_) if link.last_connect_at <= since => return,
            ConnectionState::Connected(conn) if !conn.flushed() => Outcome::ConnectFailed,
            ConnectionState::Connected(_)
            | ConnectionState::Connecting(_)
            | ConnectionState::Disconnected => Outcome::NotSent,
        };
        link.pending_attempts
            .retain(|offer| (offer.ticket, offer.attempt) != (ticket, attempt));
        if self.connection_need(&host).is_none() {
            self.connection_pool.forget(&host);
        }
        if outcome == Outcome::ConnectFailed {
            self.suspect_host(now, &host);
        }
        let event = self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown);
        event
            .into_iter()
            .for_each(|event| self.report_event(now, event));
    }

    /// Offers that waited for a connection in vain.
    pub(super) fn end_pending_attempts(
        &mut self,
        now: Micros,
        waiting: Vec<PendingAttempt>,
        outcome: Outcome,
    ) {
        for PendingAttempt {
            ticket, attempt, ..
        } in waiting
        {
            let request = self.requests.get(&ticket);
            if request.is_some_and(
                |r| matches!(r.state, RequestState::InFlight { attempt: n, .. } if n == attempt),
            ) {
                let event = self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown);
                event
                    .into_iter()
                    .for_each(|event| self.report_event(now, event));
            }
        }
    }
}

/// The line that offers a task to a host, if it can be one.
pub(super) fn attempt_line(
    id: TaskId,
    task_request: &TaskRequest,
    left: Micros,
) -> Option<Vec<u8>> {
    lines::offer(
        id,
        &task_request.placement.class,
        &task_request.key,
        (left / MILLI).max(1),
        &task_request.description,
    )
}
