//! Owns the final responses. A request that was taken in is answered here and nowhere else, exactly once, because it
//! leaves `Queued` and `InFlight` with its response. It never decides on a response, never sends an attempt, and never
//! reports the end of a running task (`running_tasks` does).
//!
//! - `respond_unplaced`: rejected or failed, and the one end that a host reports before a start (the task's own time is
//!   over).
//! - `respond_placed`: a host has started the task; its description goes to the client unchanged.
//! - `respond_invalid`: an invalid request, which never entered the table.
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
    /// Sends the final response to a request without a running task: the only place that rejects or fails one. Returns
    /// the end of the attempt that was in flight, if any.
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

    /// Sends the final response to a request whose task a host has started.
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

    /// Sends the final response to a request that neither the decision module nor a host sees.
    pub(super) fn respond_invalid(&mut self, now: Micros, client: ClientId, id: TaskId) {
        let message = binary::release(id, Cause::FAILED, None);
        self.clients.send(now, client, &message);
    }
}

/// A task that a host has just started.
pub(super) struct StartedTask<'a> {
    /// Its id on the wire.
    pub(super) id: TaskId,
    /// The index of its class, if the settings have it.
    pub(super) class: Option<usize>,
    /// The host's description, as it is forwarded.
    pub(super) description: &'a str,
}
