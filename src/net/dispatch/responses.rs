//! Sends the final responses. An accepted request is answered only here, and exactly once, because it leaves the states
//! `Queued` and `InFlight` with its response. This module never decides on a response, never sends an attempt, and
//! never reports the end of a running task (`running_tasks` does).
//!
//! - `respond_unplaced`: the request is rejected or fails, or a host reports the end of the task before any start
//!   (because the task's own deadline has passed, or because the report of the start was lost).
//! - `respond_placed`: a host has started the task; the host's description is forwarded to the client unchanged.
//! - `respond_invalid`: the request is invalid and was never added to the table.
//!
//! A request to adopt a task (`at` on the wire) has no pending response; its client may only be sent the end of that
//! task at once (`adopt_task`).

use super::Dispatch;
use super::request::RequestState;
use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskId, binary};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::operation::counters::RequestOutcome;
use task_placer::{Micros, Outcome};

impl Dispatch {
    /// Sends the final response to a request without a running task, and ends its attempt in flight, if any. Requests
    /// are rejected or failed only here. Returns the event that reports the end of that attempt.
    pub(super) fn respond_unplaced(
        &mut self,
        now: Micros,
        ticket: Ticket,
        cause: Cause,
        retry_after_ms: Option<u64>,
    ) -> Option<PlacementEvent> {
        let event = self.abandon_attempt(now, ticket, None, Outcome::Cancelled);
        let request = self.requests.get(&ticket);
        if request.is_some_and(|request| request.state == RequestState::Queued) {
            self.record_health_event(
                now,
                Event::RequestAnswered {
                    within_objective: false,
                },
            );
            let request = self.remove_request(ticket)?;
            if let Some(client) = request.client {
                let outcome = if cause == Cause::REJECTED {
                    RequestOutcome::Rejected
                } else {
                    RequestOutcome::Failed
                };
                self.counters.record_response(request.class, outcome);
                let message = binary::release(request.id, cause, retry_after_ms);
                self.clients.send(now, client, &message);
                self.clients.response_sent(client, ticket);
            }
        }
        event
    }

    /// Sends the final response to a request whose task has been started by a host.
    pub(super) fn respond_placed(
        &mut self,
        now: Micros,
        client: ClientId,
        ticket: Ticket,
        started: &StartedTask<'_>,
    ) {
        self.counters
            .record_response(started.class, RequestOutcome::Started);
        let message = binary::task_started(started.id, started.description);
        self.clients.send(now, client, &message);
        self.clients.response_sent(client, ticket);
    }

    /// Sends the final response to an invalid request, which reaches neither the decision module nor a host.
    pub(super) fn respond_invalid(&mut self, now: Micros, client: ClientId, id: TaskId) {
        let message = binary::release(id, Cause::FAILED, None);
        self.clients.send(now, client, &message);
    }
}

/// A task that a host has just started.
pub(super) struct StartedTask<'a> {
    /// The task's id on the wire.
    pub(super) id: TaskId,
    /// The index of the task's class, if the settings define the class.
    pub(super) class: Option<usize>,
    /// The host's description, forwarded unchanged.
    pub(super) description: &'a str,
}
