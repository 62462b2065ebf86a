//! Keeps the memory of adopted tasks within the placer's memory limit. Only the host of a task can tell whether it runs,
//! and hosts are not asked, so a client may name any number of tasks that no host knows.
//!
//! A task for which there is no memory is not tracked: it counts towards no limit of its service. Its end is still
//! sent to its client if the host reports it, and a release of it is still sent to the host (`untracked_tasks`). The
//! connection that named it is closed as soon as nothing is pending on it; a refusal would tell the client that the
//! task does not run.

use super::request::{Request, RequestState};
use super::untracked_tasks::UntrackedTasks;
use super::{Dispatch, MILLISECOND};
use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskEnd, TaskId, lines};
use crate::net::conn::CloseReason;
use crate::net::hosts::HostLink;
use simd_json::{OwnedValue, json};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::operation::adoption_budget::AdoptionBudget;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// Adopted tasks may use at most the memory limit divided by this.
const ADOPTED_MEMORY_DIVISOR: usize = 8;
/// Tasks that are not tracked may use at most the memory limit divided by this.
const UNTRACKED_MEMORY_DIVISOR: usize = 64;
/// The memory that an adopted task uses beside the name of its host: its entries in the tables of dispatch and of the
/// decision module.
const ADOPTED_TASK_BYTES: usize = 1_280;
/// The minimum time between two log lines about tasks that are not tracked.
const LOG_INTERVAL: Micros = 1_000 * MILLISECOND;

/// The memory of adopted tasks.
pub(super) struct AdoptionMemory {
    budget: AdoptionBudget<ClientId, Ticket>,
    untracked: UntrackedTasks,
    /// The number of tasks that were not tracked when they were named.
    rejected: u64,
    /// The number of tasks that are no longer tracked, to make room for others.
    displaced: u64,
    logged_at: Option<Micros>,
}

impl AdoptionMemory {
    /// Creates the accounting for a process that may use `memory_bytes` in all.
    pub(super) fn new(memory_bytes: usize) -> AdoptionMemory {
        AdoptionMemory {
            budget: AdoptionBudget::new(memory_bytes / ADOPTED_MEMORY_DIVISOR),
            untracked: UntrackedTasks::new(memory_bytes / UNTRACKED_MEMORY_DIVISOR),
            rejected: 0,
            displaced: 0,
            logged_at: None,
        }
    }

    /// Returns the metrics, under the names used in the reply to `vars`.
    pub(super) fn vars(&self) -> OwnedValue {
        json!({
            "used_bytes": self.budget.used(),
            "limit_bytes": self.budget.limit(),
            "untracked": self.untracked.len(),
            "rejected": self.rejected,
            "displaced": self.displaced,
        })
    }

    fn log(&mut self, now: Micros) {
        if self.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL) {
            self.logged_at = Some(now);
            info!(
                used = self.budget.used(),
                limit = self.budget.limit(),
                rejected = self.rejected,
                displaced = self.displaced,
                "no memory for adopted tasks"
            );
        }
    }
}

fn adopted_bytes(host: &HostId) -> usize {
    ADOPTED_TASK_BYTES + host.0.len()
}

impl Dispatch {
    /// Makes room for a task that a client names at `host`, and returns whether it can be tracked. If not, the task is
    /// remembered as untracked, and the connection is retired.
    pub(super) fn make_room_for_adoption(
        &mut self,
        now: Micros,
        client: ClientId,
        task: TaskId,
        host: &HostId,
    ) -> bool {
        let bytes = adopted_bytes(host);
        while !self.adoptions.budget.has_room(bytes) {
            let displaceable = self.adoptions.budget.displaceable(client, bytes);
            if !displaceable.is_some_and(|ticket| self.stop_tracking(now, ticket)) {
                self.adoptions.rejected += 1;
                self.adoptions.log(now);
                self.adoptions.untracked.insert(now, task, host.clone());
                self.clients.retire(now, client, CloseReason::TooManyTasks);
                return false;
            }
        }
        self.adoptions.untracked.take(task);
        true
    }

    /// Charges an adopted task to the connection that named it.
    pub(super) fn charge_adoption(&mut self, client: ClientId, ticket: Ticket, host: &HostId) {
        let bytes = adopted_bytes(host);
        self.adoptions.budget.add(client, ticket, bytes);
    }

    /// Gives back the memory of a task that is no longer tracked, or whose host has confirmed it: the capacity of the
    /// hosts bounds the number of those.
    pub(super) fn release_adoption_memory(&mut self, ticket: Ticket, request: &Request) {
        if let Some(client) = request.origin_client {
            self.adoptions.budget.remove(client, ticket);
        }
    }

    /// Records that a host has confirmed a task.
    pub(super) fn adoption_confirmed(&mut self, ticket: Ticket) {
        let request = self.requests.get(&ticket);
        if let Some(client) = request.and_then(|request| request.origin_client) {
            self.adoptions.budget.remove(client, ticket);
        }
    }

    /// Records that a connection has closed. The tasks that were named on it stay tracked as long as there is room.
    pub(super) fn adopter_disconnected(&mut self, client: ClientId) {
        self.adoptions.budget.connection_closed(client);
    }

    /// Sets the memory that this process may use in all, and stops tracking adopted tasks beyond the part for them.
    pub(super) fn limit_adoption_memory(&mut self, now: Micros, memory_bytes: usize) {
        let adoptions = &mut self.adoptions;
        adoptions
            .budget
            .set_limit(memory_bytes / ADOPTED_MEMORY_DIVISOR);
        adoptions
            .untracked
            .set_limit(memory_bytes / UNTRACKED_MEMORY_DIVISOR);
        while let Some(ticket) = self.adoptions.budget.excess() {
            if !self.stop_tracking(now, ticket) {
                return;
            }
        }
    }

    /// Removes an adopted task to make room for another, and returns whether there was one with this ticket.
    fn stop_tracking(&mut self, now: Micros, ticket: Ticket) -> bool {
        let Some(request) = self.remove_request(ticket) else {
            return false;
        };
        self.adoptions.displaced += 1;
        self.adoptions.log(now);
        // The client may name the task again.
        self.ended_tasks.forget(request.id);
        let was_released = matches!(request.state, RequestState::Releasing { .. });
        let (RequestState::Running {
            attempt,
            host,
            since,
        }
        | RequestState::Releasing {
            attempt,
            host,
            since,
            ..
        }) = request.state
        else {
            return true;
        };
        // The release of a task has been sent, and its client awaits no end.
        if !was_released {
            self.adoptions
                .untracked
                .insert(now, request.id, host.clone());
        }
        let event = PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome: Outcome::Cancelled,
            detail: OutcomeDetail::Unknown,
            elapsed: now - since,
        };
        self.report_event(now, event);
        true
    }

    // ---- Tasks that are not tracked ----

    /// Forgets an untracked task whose id a client uses for a new request.
    pub(super) fn forget_untracked(&mut self, task: TaskId) {
        self.adoptions.untracked.take(task);
    }

    /// Sends the end of an untracked task to its client, if the task was named at this host. Returns whether it was.
    pub(super) fn end_untracked_task(
        &mut self,
        now: Micros,
        task: TaskId,
        host: &HostId,
        cause: Cause,
    ) -> bool {
        let was_named = self.adoptions.untracked.take_at(task, host);
        if was_named {
            info!(task = %task, host = &*host.0, cause = cause.0, "untracked task ended");
            self.clients
                .send_task_end(now, task, TaskEnd::Released(cause));
        }
        was_named
    }

    /// Sends the ends of the untracked tasks that were named at a host before the time `before`: they are lost.
    pub(super) fn end_lost_untracked_tasks(&mut self, now: Micros, host: &HostId, before: Micros) {
        for task in self.adoptions.untracked.take_named_before(host, before) {
            let end = TaskEnd::Released(Cause::RESET);
            self.clients.send_task_end(now, task, end);
        }
    }

    /// Releases an untracked task at its host for a client. Without memory to keep the release until the host has
    /// confirmed it, it is written once. Returns whether the task was untracked.
    pub(super) fn release_untracked_task(
        &mut self,
        now: Micros,
        client: ClientId,
        task: TaskId,
        cause: Cause,
    ) -> bool {
        let Some(host) = self.adoptions.untracked.take(task) else {
            return false;
        };
        if self.adoptions.budget.has_room(adopted_bytes(&host)) {
            self.continue_release(now, task, host.clone(), cause);
            if let Some(ticket) = self.tickets_by_task.get(&task).copied() {
                self.assign_running_task(ticket, client);
                self.charge_adoption(client, ticket, &host);
            }
            return true;
        }
        let conn = self.hosts.get(&host).and_then(HostLink::current_connection);
        if let Some(conn) = conn {
            conn.send(now, &lines::release(task, cause));
        }
        true
    }
}
