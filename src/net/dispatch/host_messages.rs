//! Handles the messages of hosts: starts, releases and reports. A message is processed only if it concerns the attempt
//! in flight at that host or a task that runs there; a late message about an abandoned attempt is dropped. This module
//! never decides what happens next: the decision module does.

use super::connection_slots::ConnectionUse;
use super::request::{Assignment, HostRelease, RequestState};
use super::responses::StartedTask;
use super::{Dispatch, MILLISECOND};
use crate::net::codec::lines::{self, HostMessage};
use crate::net::codec::{Cause, TaskId};
use crate::net::hosts::ConnectionState;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

impl Dispatch {
    /// Handles a message from a host.
    pub(super) fn handle_host_message(&mut self, host: &HostId, id: TaskId, message: HostMessage) {
        let now = self.clock.now();
        if let Some(link) = self.hosts.get_mut(host) {
            (link.last_message_at, link.is_suspect) = (now, false);
        }
        if self.tickets_by_task.contains_key(&id) {
            return self.handle_message_of_assigned_host(host, id, message);
        }
        self.handle_unknown_task_message(now, host, id, message);
    }

    /// Handles a message about a task that is in the table, if it comes from the host that the task is assigned to.
    pub(super) fn handle_message_of_assigned_host(
        &mut self,
        host: &HostId,
        id: TaskId,
        message: HostMessage,
    ) {
        let now = self.clock.now();
        let ticket = self.tickets_by_task.get(&id).copied();
        let known = ticket.and_then(|ticket| Some((ticket, self.requests.get(&ticket)?)));
        let Some((ticket, request)) = known else {
            return;
        };
        match request.state.assignment() {
            Some((at, Assignment::InFlight)) if at == host => {
                self.handle_attempt_message(now, ticket, host, message);
            }
            Some((at, Assignment::Started)) if at == host => {
                self.handle_running_task_message(now, ticket, host, id, message);
            }
            _ => {}
        }
    }

    /// Handles a message about a task that is not in the table: a release is acknowledged and remembered, and may
    /// concern another process of the placer; anything else is ignored.
    fn handle_unknown_task_message(
        &mut self,
        now: Micros,
        host: &HostId,
        id: TaskId,
        message: HostMessage,
    ) {
        if let HostMessage::Released(cause, detail) = message {
            self.acknowledge_release(now, host, id);
            let host = host.clone();
            self.handle_unknown_release(now, id, HostRelease { host, cause }, detail, None);
        }
    }

    /// Handles a message about the attempt in flight at this host.
    fn handle_attempt_message(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: &HostId,
        message: HostMessage,
    ) {
        match message {
            HostMessage::Started(description) => self.attempt_started(now, ticket, &description),
            HostMessage::Released(Cause::NORMAL, detail) => {
                self.attempt_completed(now, ticket, detail);
            }
            HostMessage::Released(Cause::RESET, detail) if detail.implies_task_ran() => {
                self.attempt_ended_after_start(now, ticket, detail);
            }
            HostMessage::Released(cause, detail) => {
                self.attempt_released(now, ticket, host, cause, detail);
            }
            HostMessage::Report(..) | HostMessage::Other => {}
        }
    }

    /// Handles a message about a task that runs or is being released at this host.
    fn handle_running_task_message(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: &HostId,
        id: TaskId,
        message: HostMessage,
    ) {
        match message {
            HostMessage::Released(cause, detail) => {
                self.acknowledge_release(now, host, id);
                self.end_running_task(now, ticket, cause, detail);
            }
            HostMessage::Report(report, value) => {
                self.adoption_confirmed(ticket);
                let event = PlacementEvent::TaskReported {
                    ticket,
                    host: host.clone(),
                    report,
                    value,
                };
                self.report_event(now, event);
            }
            HostMessage::Started(_) | HostMessage::Other => {}
        }
    }

    /// Handles the start of the task by the host of the attempt in flight: the state becomes `Running`, and the client
    /// is sent the response.
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
        info!(task = %request.id, host = &*host.0, attempt, elapsed_ms = elapsed / MILLISECOND, "task started");
        let reserved = request.drop_message();
        let relative_duration = elapsed as f64 / request.latency_objective as f64;
        let meets_objective = now - request.arrived_at <= request.latency_objective;
        let client = request.client.take();
        let started = StartedTask {
            id: request.id,
            class: request.class,
            description,
        };
        let state = RequestState::Running {
            attempt,
            host: host.clone(),
            since: now,
        };
        self.release_memory(reserved);
        self.set_request_state(ticket, state);
        self.update_priorities(now, &host, ConnectionUse::JustUsed);
        if let Some(client) = client {
            self.respond_placed(now, client, ticket, &started);
            self.clients.record_task_run(client);
            self.assign_running_task(ticket, client);
        }
        if let Some(link) = self.hosts.get_mut(&host) {
            link.rejected_full_at = None;
        }
        let event = Event::AttemptEnded {
            outcome: Outcome::Completed,
            detail: OutcomeDetail::Unknown,
            relative_duration,
        };
        self.record_health_event(now, event);
        self.record_health_event(
            now,
            Event::RequestAnswered {
                within_objective: meets_objective,
            },
        );
        let event = PlacementEvent::AttemptStarted {
            ticket,
            attempt,
            host,
            elapsed,
        };
        self.report_event(now, event);
    }

    /// Handles a host's report that the task's own deadline has passed. Every host would release the task with the same
    /// cause, so no other attempt is made, the host is not treated as broken, and the client is sent the cause.
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
        let (attempt, host, elapsed) = (*attempt, host.clone(), now - since);
        self.set_request_state(ticket, RequestState::Queued);
        self.update_priorities(now, &host, ConnectionUse::JustUsed);
        self.respond_unplaced(now, ticket, Cause::NORMAL, None);
        let event = PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome: Outcome::Completed,
            detail,
            elapsed,
        };
        self.report_event(now, event);
    }

    /// Handles the end of a task whose start was never reported here, because the host's answer was lost or is late.
    /// The client is sent the end as for any running task, and requests the task again by itself. No other attempt is
    /// made, because the client would then never be sent the end that is due to it.
    fn attempt_ended_after_start(&mut self, now: Micros, ticket: Ticket, detail: OutcomeDetail) {
        let event = self.end_attempt(now, ticket, Outcome::Reset, detail);
        self.respond_unplaced(now, ticket, Cause::RESET, None);
        self.report_event(now, PlacementEvent::Cancelled(ticket));
        self.report_optional_event(now, event);
    }

    /// Handles a release in which the host of the attempt in flight reports a rejection or a failure: the attempt ends,
    /// and the decision module decides what to do next.
    fn attempt_released(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: &HostId,
        cause: Cause,
        detail: OutcomeDetail,
    ) {
        let outcome = match cause {
            Cause::HOST_FULL => Outcome::Rejected,
            Cause::FAILED => Outcome::Error,
            Cause::NOT_SENT => Outcome::NotSent,
            _ => Outcome::Reset,
        };
        if outcome == Outcome::Rejected
            && detail != OutcomeDetail::NotEligible
            && let Some(link) = self.hosts.get_mut(host)
        {
            link.rejected_full_at = Some(now);
        }
        let event = self.end_attempt(now, ticket, outcome, detail);
        self.report_optional_event(now, event);
    }

    /// Acknowledges a host's release of a task.
    fn acknowledge_release(&self, now: Micros, host: &HostId, id: TaskId) {
        let link = self.hosts.get(host);
        if let Some(ConnectionState::Connected(conn)) = link.map(|link| &link.connection) {
            conn.send(now, &lines::release_ack(id));
        }
    }
}
