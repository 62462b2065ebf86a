//! Owns what hosts say on their connections: answers, releases and notes. What a host says counts only for the attempt
//! that is out there or the task that stands there. It never passes on a late word on an attempt given up, and never
//! decides what follows: that is the module's.

use super::Dispatch;
use super::requests::{Ended, State};
use crate::net::codec::lines::{self, HostWord};
use crate::net::codec::{TaskId, cause};
use crate::net::hosts::Phase;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

impl Dispatch {
    /// A message of a host. It counts only for the attempt that is out there or the task that stands
    /// there: a late word on an attempt given up is never passed on.
    pub fn host_word(&mut self, host: &HostId, id: TaskId, word: HostWord) {
        let now = self.clock.now();
        if let Some(link) = self.hosts.get_mut(host) {
            (link.heard, link.doubt) = (now, false);
        }
        let ticket = self.by_id.get(&id).copied();
        let known = ticket.and_then(|ticket| Some((ticket, self.requests.get(&ticket)?)));
        let Some((ticket, request)) = known else {
            if let HostWord::Down(cause, detail) = word {
                self.confirm_release(now, host, id);
                self.ended.insert(
                    id,
                    Ended {
                        by: Some((host.clone(), cause, detail)),
                        since: now,
                    },
                );
            }
            return;
        };
        match &request.state {
            State::Out { host: offered, .. } if offered == host => match word {
                HostWord::Up(description) => self.task_started(now, ticket, &description),
                HostWord::Down(cause::NORMAL, detail) => self.task_over(now, ticket, detail),
                HostWord::Down(cause, detail) => {
                    self.offer_released(now, ticket, host, cause, detail)
                }
                HostWord::Tell(..) | HostWord::Other => {}
            },
            State::Standing { host: at, .. } | State::Leaving { host: at, .. } if at == host => {
                match word {
                    HostWord::Down(cause, detail) => {
                        self.confirm_release(now, host, id);
                        self.end_standing(now, ticket, cause, detail);
                    }
                    HostWord::Tell(note, value) => {
                        self.tell(
                            now,
                            PlacementEvent::TaskReported {
                                ticket,
                                host: host.clone(),
                                report: note,
                                value,
                            },
                        );
                    }
                    HostWord::Up(_) | HostWord::Other => {}
                }
            }
            _ => {}
        }
    }

    /// The host of the offer that is out has started the task: it stands, and its client gets the answer.
    fn task_started(&mut self, now: Micros, ticket: Ticket, description: &str) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let State::Out {
            attempt,
            host,
            since,
            ..
        } = &request.state
        else {
            return;
        };
        let (attempt, host, elapsed) = (*attempt, host.clone(), now - since);
        request.set_up = None;
        let stretch = elapsed as f64 / request.aim as f64;
        let in_aim = now - request.since <= request.aim;
        let (id, client, class) = (request.id, request.client.take(), request.class);
        self.enter(
            ticket,
            State::Standing {
                attempt,
                host: host.clone(),
                since: now,
            },
        );
        self.settle(now, &host, true);
        if let Some(client) = client {
            self.answer_placed(now, ticket, client, class, id, description);
            self.clients.prove(client);
            self.stands_for(ticket, client);
        }
        if let Some(link) = self.hosts.get_mut(&host) {
            link.full_at = None;
        }
        self.watch(
            now,
            Event::AttemptEnded {
                outcome: Outcome::Completed,
                detail: OutcomeDetail::Unknown,
                relative_duration: stretch,
            },
        );
        self.watch(
            now,
            Event::RequestAnswered {
                within_objective: in_aim,
            },
        );
        self.tell(
            now,
            PlacementEvent::AttemptStarted {
                ticket,
                attempt,
                host,
                elapsed,
            },
        );
    }

    /// The task's own time is over: hosts release it so wherever it is offered. Guards against offering it again and
    /// holding each of these hosts for broken; its client is told the cause.
    fn task_over(&mut self, now: Micros, ticket: Ticket, detail: OutcomeDetail) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let State::Out {
            attempt,
            host,
            since,
            ..
        } = &request.state
        else {
            return;
        };
        let (attempt, host, elapsed, outcome) =
            (*attempt, host.clone(), now - since, Outcome::Completed);
        self.enter(ticket, State::Held);
        self.settle(now, &host, true);
        self.answer(now, ticket, cause::NORMAL, None);
        self.tell(
            now,
            PlacementEvent::AttemptEnded {
                ticket,
                attempt,
                host,
                outcome,
                detail,
                elapsed,
            },
        );
    }

    /// The host of the offer that is out does not start the task: the attempt has ended, and the module decides on.
    fn offer_released(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: &HostId,
        cause: u8,
        detail: OutcomeDetail,
    ) {
        let outcome = match cause {
            cause::FULL => Outcome::Rejected,
            cause::FAILED => Outcome::Error,
            cause::MOOT => Outcome::NotSent,
            _ => Outcome::Reset,
        };
        if outcome == Outcome::Rejected && detail != OutcomeDetail::NotEligible {
            self.hosts
                .get_mut(host)
                .into_iter()
                .for_each(|link| link.full_at = Some(now));
        }
        let news = self.end_attempt(now, ticket, outcome, detail);
        news.into_iter().for_each(|news| self.tell(now, news));
    }

    /// Tells a host that its release was heard.
    fn confirm_release(&self, now: Micros, host: &HostId, id: TaskId) {
        if let Some(Phase::Up(conn)) = self.hosts.get(host).map(|link| &link.phase) {
            conn.send(now, &lines::heard(id));
        }
    }
}
