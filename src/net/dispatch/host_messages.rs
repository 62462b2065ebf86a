//! Owns what hosts say on their connections: answers, releases and notes. What a host says counts only for the attempt
//! that is out there or the task that stands there. It never passes on a late word on an attempt given up, and never
//! decides what follows: that is the module's.

use super::Dispatch;
use super::requests::{Ended, RequestState};
use crate::net::codec::lines::{self, HostMessage};
use crate::net::codec::{TaskId, cause};
use crate::net::hosts::ConnectionState;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

impl Dispatch {
    /// A message of a host. It counts only for the attempt that is out there or the task that stands
    /// there: a late word on an attempt given up is never passed on.
    pub fn host_message(&mut self, host: &HostId, id: TaskId, word: HostMessage) {
        let now = self.clock.now();
        if let Some(link) = self.hosts.get_mut(host) {
            (link.last_message_at, link.is_suspect) = (now, false);
        }
        let ticket = self.tickets_by_task.get(&id).copied();
        let known = ticket.and_then(|ticket| Some((ticket, self.requests.get(&ticket)?)));
        let Some((ticket, request)) = known else {
            if let HostMessage::Released(cause, detail) = word {
                self.acknowledge_release(now, host, id);
                self.ended_tasks.insert(
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
            RequestState::InFlight { host: offered, .. } if offered == host => match word {
                HostMessage::Started(description) => {
                    self.attempt_started(now, ticket, &description)
                }
                HostMessage::Released(cause::NORMAL, detail) => {
                    self.attempt_completed(now, ticket, detail)
                }
                HostMessage::Released(cause, detail) => {
                    self.attempt_released(now, ticket, host, cause, detail)
                }
                HostMessage::Report(..) | HostMessage::Other => {}
            },
            RequestState::Running { host: at, .. } | RequestState::Releasing { host: at, .. }
                if at == host =>
            {
                match word {
                    HostMessage::Released(cause, detail) => {
                        self.acknowledge_release(now, host, id);
                        self.end_running_task(now, ticket, cause, detail);
                    }
                    HostMessage::Report(note, value) => {
                        self.report_event(
                            now,
                            PlacementEvent::TaskReported {
                                ticket,
                                host: host.clone(),
                                report: note,
                                value,
                            },
                        );
                    }
                    HostMessage::Started(_) | HostMessage::Other => {}
                }
            }
            _ => {}
        }
    }

    /// The host of the offer that is out has started the task: it stands, and its client gets the answer.
    fn attempt_started(&mut self, now: Micros, ticket: Ticket, description: &str) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let RequestState::InFlight {
            attempt,
            host,
            since,
            ..
        } = &request.state
        else {
            return;
        };
        let (attempt, host, elapsed) = (*attempt, host.clone(), now - since);
        request.task_request = None;
        let stretch = elapsed as f64 / request.aim as f64;
        let in_aim = now - request.since <= request.aim;
        let (id, client, class) = (request.id, request.client.take(), request.class);
        self.set_request_state(
            ticket,
            RequestState::Running {
                attempt,
                host: host.clone(),
                since: now,
            },
        );
        self.update_ranks(now, &host, true);
        if let Some(client) = client {
            self.respond_placed(now, ticket, client, class, id, description);
            self.clients.prove(client);
            self.assign_running_task(ticket, client);
        }
        if let Some(link) = self.hosts.get_mut(&host) {
            link.rejected_full_at = None;
        }
        self.record_health_event(
            now,
            Event::Offer {
                outcome: Outcome::Completed,
                detail: OutcomeDetail::Unknown,
                stretch,
            },
        );
        self.record_health_event(now, Event::Answered { in_aim });
        self.report_event(
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
    fn attempt_completed(&mut self, now: Micros, ticket: Ticket, detail: OutcomeDetail) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let RequestState::InFlight {
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
        self.set_request_state(ticket, RequestState::Queued);
        self.update_ranks(now, &host, true);
        self.respond_unplaced(now, ticket, cause::NORMAL, None);
        self.report_event(
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
    fn attempt_released(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: &HostId,
        cause: u8,
        detail: OutcomeDetail,
    ) {
        let outcome = match cause {
            cause::HOST_FULL => Outcome::Rejected,
            cause::FAILED => Outcome::Error,
            cause::NOT_SENT => Outcome::NotSent,
            _ => Outcome::Reset,
        };
        if outcome == Outcome::Rejected && detail != OutcomeDetail::NotEligible {
            self.hosts
                .get_mut(host)
                .into_iter()
                .for_each(|link| link.rejected_full_at = Some(now));
        }
        let event = self.end_attempt(now, ticket, outcome, detail);
        event
            .into_iter()
            .for_each(|event| self.report_event(now, event));
    }

    /// Tells a host that its release was heard.
    fn acknowledge_release(&self, now: Micros, host: &HostId, id: TaskId) {
        if let Some(ConnectionState::Connected(conn)) =
            self.hosts.get(host).map(|link| &link.connection)
        {
            conn.send(now, &lines::heard(id));
        }
    }
}
