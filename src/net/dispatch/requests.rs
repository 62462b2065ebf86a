//! Maintains the table of requests. Every request is added by `insert_request`, changes its state through
//! `set_request_state` and is removed by `remove_request`, which keeps the indexes of the table (`tickets_by_task`,
//! `request_index`, `ended_tasks`) consistent with it. This module never decides on a change, and never writes to a
//! peer.
//!
//! ```text
//!  handle_task_request                                       adopt_task
//!      │                                                         │
//!      ▼       start_attempt            attempt_started          ▼   release_running_task
//!   ┌────────┐ ───────────────▶ ┌──────────┐ ────────────▶ ┌─────────┐ ────────▶ ┌───────────┐
//!   │ Queued │                  │ InFlight │               │ Running │           │ Releasing │
//!   └────────┘ ◀─────────────── └──────────┘               └─────────┘           └───────────┘
//!      │   end_attempt,                                         │                      │
//!      │   attempt_completed                                    │ end_running_task:    │ end_running_task:
//!      │                                                        │ released by its host │ released by its host,
//!      │ respond_unplaced: rejected, failed, or                 │ or lost              │ lost, or
//!      │ the task's deadline passed                             │ end_task_at_unknown_ │ TimerEvent::
//!      │ cancel_request: cancelled by its client                │ host                 │ ReleaseTimeout
//!      ▼                                                        ▼                      ▼
//!   ═══════════════ remove_request: removed from the table; the id is kept in `ended_tasks` ═══════════
//! ```
//!
//! A response is pending in `Queued` and `InFlight` (`Request::awaits_response`), and in no other state. A request that
//! is in flight is removed only after its attempt has been ended. An attempt starts as pending (`sent_on: None`), and
//! `sent_on` holds a connection once the attempt has been sent: see `attempts`.

use super::connection_slots::ConnectionUse;
use super::ended_tasks::WasSent;
use super::request::{Assignment, Request, RequestState};
use super::{Dispatch, MILLISECOND};
use crate::net::clients::ClientId;
use crate::net::codec::TaskId;
use task_placer::Micros;
use task_placer::facade::Ticket;

impl Dispatch {
    /// Adds a request to the table and returns its ticket, which is never reused.
    pub(super) fn insert_request(
        &mut self,
        now: Micros,
        id: TaskId,
        client: Option<ClientId>,
        class: &str,
        state: RequestState,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.tickets_by_task.insert(id, ticket);
        let latency_objective = self
            .facade
            .latency_objective(class)
            .unwrap_or(MILLISECOND)
            .max(MILLISECOND);
        if let Some((host, assignment)) = state.assignment() {
            self.request_index.insert(ticket, host, assignment);
        }
        let request = Request {
            id,
            client,
            message: None,
            reserved_memory: None,
            attempts: 0,
            may_have_run: false,
            state,
            class: self.facade.class_index(class),
            arrived_at: now,
            latency_objective,
            origin_client: None,
        };
        self.announce_task(&request);
        if request.state == RequestState::Queued
            && let Some(client) = client
        {
            self.clients.request_queued(client);
        }
        self.requests.insert(ticket, request);
        ticket
    }

    /// Changes the state of a request, and updates the index of requests by host.
    pub(super) fn set_request_state(&mut self, ticket: Ticket, state: RequestState) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let before = std::mem::replace(&mut request.state, state);
        let is_queued = request.state == RequestState::Queued;
        match request.client {
            Some(client) if is_queued => self.clients.request_queued(client),
            Some(client) if before == RequestState::Queued => {
                self.clients.request_unqueued(client);
            }
            _ => {}
        }
        if let Some((host, assignment)) = before.assignment() {
            self.request_index.remove(ticket, host, assignment);
        }
        if let Some((host, assignment)) = request.state.assignment() {
            self.request_index.insert(ticket, host, assignment);
        }
        if let Some(request) = self.requests.get(&ticket) {
            self.announce_task(request);
        }
    }

    /// Removes a request from the table, and remembers its id as that of an ended task. The caller is responsible for
    /// sending the client any response that is still pending.
    pub(super) fn remove_request(&mut self, ticket: Ticket) -> Option<Request> {
        let mut request = self.requests.remove(&ticket)?;
        let reserved = request.drop_message();
        self.release_memory(reserved);
        if request.state == RequestState::Queued
            && let Some(client) = request.client
        {
            self.clients.request_unqueued(client);
        }
        if let Some((host, assignment)) = request.state.assignment() {
            self.request_index.remove(ticket, host, assignment);
            self.update_priorities(self.clock.now(), host, ConnectionUse::Unchanged);
            if assignment == Assignment::Started {
                self.ended_since_announcement.push(request.id);
            }
        }
        self.release_adoption_memory(ticket, &request);
        if let Some(origin_client) = request.origin_client {
            self.clients.running_task_ended(origin_client);
        }
        if self.tickets_by_task.get(&request.id) == Some(&ticket) {
            self.tickets_by_task.remove(&request.id);
            let now = self.clock.now();
            let was_sent = match request.state {
                RequestState::Queued if request.attempts == 0 => WasSent::No,
                _ => WasSent::Yes,
            };
            self.ended_tasks.insert(now, request.id, was_sent);
        }
        Some(request)
    }
}
