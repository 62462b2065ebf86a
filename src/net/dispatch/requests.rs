//! Owns the table of requests: what a request is, which state it is in, and at which host. Every request comes into the
//! table by `admit`, changes its state by `enter` and leaves by `remove`, so that the lists beside the table
//! (`by_id`, `at_hosts`, `ended`) agree with it. It never decides a change, and never writes to a peer.
//!
//! ```text
//!    task_request                                          adopt (a set-up with `at`)
//!      │                                                │
//!      ▼          offer               attempt_started      ▼     release_running_task
//!   ┌──────┐ ───────────────▶ ┌─────┐ ────────────▶ ┌──────────┐ ───────────▶ ┌─────────┐
//!   │ Held │                  │ Out │               │ Standing │              │ Leaving │
//!   └──────┘ ◀─────────────── └─────┘               └──────────┘              └─────────┘
//!      │    end_attempt, attempt_completed                      │                         │
//!      │                                                │ end_running_task: its       │ end_running_task: its
//!      │ answer: refused, failed, or                    │ host has released it,   │ host has released it,
//!      │ the task's own time is over                    │ or it is lost           │ it is lost, or TimerEvent::ReleaseTimeout
//!      │ gone: its client gave up                       │ end_task_at_unknown_host            │
//!      ▼                                                ▼                         ▼
//!   ═════════════════ remove: out of the table; its id is kept in `ended` ══════════════
//! ```
//!
//! An answer is owed in `Held` and `Out` (`Request::awaits_response`), and none after. Whatever ends a request that is
//! out ends its attempt first. An offer that is out waits first (`connection_id: None`), and has left once it has a connection_id: see
//! `offers`.

use super::{Dispatch, MILLI};
use crate::net::clients::ClientId;
use crate::net::codec::{TaskId, TaskRequest};
use crate::net::hosts::ConnectionId;
use task_placer::facade::Ticket;
use task_placer::{HostId, Micros, OutcomeDetail};

/// Where a request is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RequestState {
    /// With the module; an answer is owed.
    Queued,
    /// Offered; an answer is owed.
    InFlight {
        attempt: u32,
        host: HostId,
        since: Micros,
        until: Micros,
        connection_id: Option<ConnectionId>,
    },
    /// It stands.
    Running {
        attempt: u32,
        host: HostId,
        since: Micros,
    },
    /// Ended from this side; the host's word on it is awaited, and its client is owed nothing.
    Releasing {
        attempt: u32,
        host: HostId,
        since: Micros,
    },
}

/// One request, from its set-up until nothing of it is owed.
pub(super) struct Request {
    pub(super) id: TaskId,
    pub(super) client: Option<ClientId>,
    /// Dropped once the task stands.
    pub(super) task_request: Option<Box<TaskRequest>>,
    pub(super) attempts: u32,
    pub(super) state: RequestState,
    /// Its class, if the settings state it.
    pub(super) class: Option<usize>,
    /// When it came, and the aim of its class.
    pub(super) since: Micros,
    pub(super) aim: Micros,
    /// Where it was set up or named, once it stands.
    pub(super) home_client: Option<ClientId>,
}

/// A task that is over: its host has released it, or it was answered. Kept for a set-up with `at` that
/// still comes, and against one that uses its id again.
pub(super) struct Ended {
    /// The host that released it, and its cause.
    pub(super) by: Option<(HostId, u8, OutcomeDetail)>,
    pub(super) since: Micros,
}

impl RequestState {
    /// The host that it is at: where its offer is out, it stands, or it leaves.
    pub(super) fn at(&self) -> Option<&HostId> {
        match self {
            RequestState::Queued => None,
            RequestState::InFlight { host, .. }
            | RequestState::Running { host, .. }
            | RequestState::Releasing { host, .. } => Some(host),
        }
    }

    /// Whether it stands there, or leaves.
    pub(super) fn stands(&self) -> bool {
        matches!(
            self,
            RequestState::Running { .. } | RequestState::Releasing { .. }
        )
    }

    /// Whether its offer has not left.
    pub(super) fn unsent(&self) -> bool {
        matches!(
            self,
            RequestState::InFlight {
                connection_id: None,
                ..
            }
        )
    }

    /// The connection that its offer is out on.
    pub(super) fn out_on(&self) -> Option<ConnectionId> {
        if let RequestState::InFlight { connection_id, .. } = self {
            *connection_id
        } else {
            None
        }
    }
}

impl Request {
    /// Whether its client waits for an answer.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(
            self.state,
            RequestState::Queued | RequestState::InFlight { .. }
        )
    }
}

impl Dispatch {
    /// A request comes into the table, under a ticket that is never used again.
    pub(super) fn insert_request(
        &mut self,
        now: Micros,
        id: TaskId,
        client: ClientId,
        class: &str,
        state: RequestState,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.tickets_by_task.insert(id, ticket);
        let aim = self
            .facade
            .latency_objective(class)
            .unwrap_or(MILLI)
            .max(MILLI);
        let client = Some(client);
        if let Some(host) = state.at() {
            self.request_index.insert(ticket, host, state.stands());
        }
        let class = self.facade.class_index(class);
        let (task_request, home_client) = (None, None);
        let request = Request {
            id,
            client,
            task_request,
            attempts: 0,
            state,
            class,
            since: now,
            aim,
            home_client,
        };
        self.requests.insert(ticket, request);
        ticket
    }

    /// A request goes over into another state.
    pub(super) fn set_request_state(&mut self, ticket: Ticket, state: RequestState) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let before = std::mem::replace(&mut request.state, state);
        if let Some(host) = before.at() {
            self.request_index.remove(ticket, host, before.stands());
        }
        if let Some(host) = request.state.at() {
            self.request_index
                .insert(ticket, host, request.state.stands());
        }
    }

    /// A request leaves the table: nothing of it is owed to its client, or that is told by whoever calls this.
    pub(super) fn remove_request(&mut self, ticket: Ticket) -> Option<Request> {
        let request = self.requests.remove(&ticket)?;
        if let Some(host) = request.state.at() {
            self.request_index
                .remove(ticket, host, request.state.stands());
            self.update_ranks(self.clock.now(), host, false);
        }
        if let Some(home) = request.home_client {
            self.clients.count_standing(home, false);
        }
        if self.tickets_by_task.get(&request.id) == Some(&ticket) {
            self.tickets_by_task.remove(&request.id);
            let since = self.clock.now();
            self.ended_tasks
                .entry(request.id)
                .or_insert(Ended { by: None, since })
                .since = since;
        }
        Some(request)
    }
}
