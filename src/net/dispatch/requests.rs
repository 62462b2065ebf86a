//! Owns the table of requests: what a request is, which state it is in, and at which host. Every request comes into the
//! table by `admit`, changes its state by `enter` and leaves by `remove`, so that the lists beside the table
//! (`by_id`, `at_hosts`, `ended`) agree with it. It never decides a change, and never writes to a peer.
//!
//! ```text
//!    set_up                                          adopt (a set-up with `at`)
//!      │                                                │
//!      ▼          offer               task_started      ▼     release_standing
//!   ┌──────┐ ───────────────▶ ┌─────┐ ────────────▶ ┌──────────┐ ───────────▶ ┌─────────┐
//!   │ Held │                  │ Out │               │ Standing │              │ Leaving │
//!   └──────┘ ◀─────────────── └─────┘               └──────────┘              └─────────┘
//!      │    end_attempt, task_over                      │                         │
//!      │                                                │ end_standing: its       │ end_standing: its
//!      │ answer: refused, failed, or                    │ host has released it,   │ host has released it,
//!      │ the task's own time is over                    │ or it is lost           │ it is lost, or Due::Left
//!      │ gone: its client gave up                       │ end_unlisted            │
//!      ▼                                                ▼                         ▼
//!   ═════════════════ remove: out of the table; its id is kept in `ended` ══════════════
//! ```
//!
//! An answer is owed in `Held` and `Out` (`Request::awaits_answer`), and none after. Whatever ends a request that is
//! out ends its attempt first. An offer that is out waits first (`round: None`), and has left once it has a round: see
//! `offers`.

use super::{Dispatch, MILLI};
use crate::net::clients::ClientId;
use crate::net::codec::{SetUp, TaskId};
use crate::net::hosts::Round;
use task_placer::facade::Ticket;
use task_placer::{HostId, Micros, OutcomeDetail};

/// Where a request is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum State {
    /// With the module; an answer is owed.
    Held,
    /// Offered; an answer is owed.
    Out {
        attempt: u32,
        host: HostId,
        since: Micros,
        until: Micros,
        round: Option<Round>,
    },
    /// It stands.
    Standing {
        attempt: u32,
        host: HostId,
        since: Micros,
    },
    /// Ended from this side; the host's word on it is awaited, and its client is owed nothing.
    Leaving {
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
    pub(super) set_up: Option<Box<SetUp>>,
    pub(super) attempts: u32,
    pub(super) state: State,
    /// Its class, if the settings state it.
    pub(super) class: Option<usize>,
    /// When it came, and the aim of its class.
    pub(super) since: Micros,
    pub(super) aim: Micros,
    /// Where it was set up or named, once it stands.
    pub(super) home: Option<ClientId>,
}

/// A task that is over: its host has released it, or it was answered. Kept for a set-up with `at` that
/// still comes, and against one that uses its id again.
pub(super) struct Ended {
    /// The host that released it, and its cause.
    pub(super) by: Option<(HostId, u8, OutcomeDetail)>,
    pub(super) since: Micros,
}

impl State {
    /// The host that it is at: where its offer is out, it stands, or it leaves.
    pub(super) fn at(&self) -> Option<&HostId> {
        match self {
            State::Held => None,
            State::Out { host, .. }
            | State::Standing { host, .. }
            | State::Leaving { host, .. } => Some(host),
        }
    }

    /// Whether it stands there, or leaves.
    pub(super) fn stands(&self) -> bool {
        matches!(self, State::Standing { .. } | State::Leaving { .. })
    }

    /// Whether its offer has not left.
    pub(super) fn unsent(&self) -> bool {
        matches!(self, State::Out { round: None, .. })
    }

    /// The connection that its offer is out on.
    pub(super) fn out_on(&self) -> Option<Round> {
        if let State::Out { round, .. } = self {
            *round
        } else {
            None
        }
    }
}

impl Request {
    /// Whether its client waits for an answer.
    pub(super) fn awaits_answer(&self) -> bool {
        matches!(self.state, State::Held | State::Out { .. })
    }
}

impl Dispatch {
    /// A request comes into the table, under a ticket that is never used again.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        id: TaskId,
        client: ClientId,
        class: &str,
        state: State,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.by_id.insert(id, ticket);
        let aim = self
            .facade
            .latency_objective(class)
            .unwrap_or(MILLI)
            .max(MILLI);
        let client = Some(client);
        if let Some(host) = state.at() {
            self.at_hosts.came(ticket, host, state.stands());
        }
        let class = self.facade.class_index(class);
        let (set_up, home) = (None, None);
        let request = Request {
            id,
            client,
            set_up,
            attempts: 0,
            state,
            class,
            since: now,
            aim,
            home,
        };
        self.requests.insert(ticket, request);
        ticket
    }

    /// A request goes over into another state.
    pub(super) fn enter(&mut self, ticket: Ticket, state: State) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let before = std::mem::replace(&mut request.state, state);
        if let Some(host) = before.at() {
            self.at_hosts.left(ticket, host, before.stands());
        }
        if let Some(host) = request.state.at() {
            self.at_hosts.came(ticket, host, request.state.stands());
        }
    }

    /// A request leaves the table: nothing of it is owed to its client, or that is told by whoever calls this.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Request> {
        let request = self.requests.remove(&ticket)?;
        if let Some(host) = request.state.at() {
            self.at_hosts.left(ticket, host, request.state.stands());
            self.settle(self.clock.now(), host, false);
        }
        if let Some(home) = request.home {
            self.clients.count_standing(home, false);
        }
        if self.by_id.get(&request.id) == Some(&ticket) {
            self.by_id.remove(&request.id);
            let since = self.clock.now();
            self.ended
                .entry(request.id)
                .or_insert(Ended { by: None, since })
                .since = since;
        }
        Some(request)
    }
}
