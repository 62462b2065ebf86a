//! Keeps the memory of requests whose responses are pending within the placer's memory limit: a request for which there
//! is no room is rejected, or displaces a queued one of a client that holds more. A rejected request never ran, so its
//! client may retry it.

use super::request::Request;
use super::{Dispatch, MILLISECOND};
use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskId, TaskRequest, binary};
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::operation::counters::RequestOutcome;
use task_placer::operation::request_budget::RequestBudget;
use tracing::info;

/// Requests may use at most the memory limit divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// The memory that a request uses beside the text of its message: its entries in the tables of dispatch and of the
/// decision module, and its timers.
const REQUEST_OVERHEAD_BYTES: usize = 2_048;
/// The minimum time between two log lines about rejected requests.
const LOG_INTERVAL: Micros = 1_000 * MILLISECOND;

/// The memory reserved for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReservedMemory {
    /// The connection that the memory is charged to.
    client: ClientId,
    bytes: usize,
    /// Whether an attempt was made, so that the request may have run.
    is_pinned: bool,
}

/// The memory of all requests whose responses are pending.
pub(super) struct RequestMemory {
    budget: RequestBudget<ClientId>,
    /// The number of requests that were rejected when they arrived.
    rejected: u64,
    /// The number of queued requests that were rejected to make room for others.
    displaced: u64,
    logged_at: Option<Micros>,
}

impl RequestMemory {
    /// Creates the accounting for a process that may use `memory_bytes` in all.
    pub(super) fn new(memory_bytes: usize) -> RequestMemory {
        RequestMemory {
            budget: RequestBudget::new(memory_bytes / REQUEST_MEMORY_DIVISOR),
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
            "rejected": self.rejected,
            "displaced": self.displaced,
        })
    }

    fn log(&mut self, now: Micros) {
        if self.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL) {
            self.logged_at = Some(now);
            let (used, limit) = (self.budget.used(), self.budget.limit());
            info!(
                used,
                limit,
                rejected = self.rejected,
                displaced = self.displaced,
                "no memory for requests"
            );
        }
    }
}

impl Dispatch {
    /// Reserves memory for a request, and displaces requests of clients that hold more if there is no room. Returns
    /// `None` if the request must be rejected.
    pub(super) fn reserve_memory(
        &mut self,
        now: Micros,
        client: ClientId,
        message: &TaskRequest,
    ) -> Option<ReservedMemory> {
        let bytes = REQUEST_OVERHEAD_BYTES + message.text_bytes();
        while !self.request_memory.budget.reserve(client, bytes) {
            let holder = self.request_memory.budget.displaceable(client, bytes);
            if !self.displace_request(now, holder) {
                self.request_memory.rejected += 1;
                self.request_memory.log(now);
                return None;
            }
        }
        Some(ReservedMemory {
            client,
            bytes,
            is_pinned: false,
        })
    }

    /// Gives back the memory of a request whose response has been sent, or is no longer wanted.
    pub(super) fn release_memory(&mut self, reserved: Option<ReservedMemory>) {
        if let Some(reserved) = reserved {
            let ReservedMemory {
                client,
                bytes,
                is_pinned,
            } = reserved;
            self.request_memory.budget.release(client, bytes, is_pinned);
        }
    }

    /// Records that an attempt is made for a request, so that it can no longer be displaced.
    pub(super) fn pin_memory(&mut self, ticket: Ticket) {
        let request = self.requests.get_mut(&ticket);
        let reserved = request.and_then(|request| request.reserved_memory.as_mut());
        if let Some(reserved) = reserved
            && !std::mem::replace(&mut reserved.is_pinned, true)
        {
            let (client, bytes) = (reserved.client, reserved.bytes);
            self.request_memory.budget.pin(client, bytes);
        }
    }

    /// Sets the memory that this process may use in all, and displaces queued requests beyond the part for requests.
    pub(super) fn limit_request_memory(&mut self, now: Micros, memory_bytes: usize) {
        let limit = memory_bytes / REQUEST_MEMORY_DIVISOR;
        self.request_memory.budget.set_limit(limit);
        loop {
            let holder = self.request_memory.budget.excess();
            if !self.displace_request(now, holder) {
                return;
            }
        }
    }

    /// Rejects a request that has just arrived and was not added to the table.
    pub(super) fn reject_at_arrival(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        message: &TaskRequest,
    ) {
        let class = self.facade.class_index(&message.placement.class);
        self.counters
            .record_response(class, RequestOutcome::Rejected);
        let retry_after_ms = self.default_retry_after_ms();
        let message = binary::release(id, Cause::REJECTED, retry_after_ms);
        self.clients.send(now, client, &message);
    }

    /// Rejects a request of a client to make room for others. Returns whether there was one that could be rejected.
    fn displace_request(&mut self, now: Micros, holder: Option<ClientId>) -> bool {
        let is_untried = |request: &Request| request.never_ran() && request.attempts == 0;
        let was_displaced =
            holder.is_some_and(|holder| self.reject_latest(now, holder, is_untried));
        if was_displaced {
            self.request_memory.displaced += 1;
            self.request_memory.log(now);
        }
        was_displaced
    }

    /// Rejects requests of connections that have more pending than their share while requests of others wait. Only those
    /// of which no attempt was made are rejected.
    pub(super) fn enforce_fair_shares(&mut self, now: Micros) {
        let is_untried = |request: &Request| request.never_ran() && request.attempts == 0;
        while let Some(client) = self.clients.most_over_its_share() {
            while self.clients.exceeds_its_share(client) {
                if !self.reject_latest(now, client, is_untried) {
                    return;
                }
            }
        }
    }

    /// Rejects the latest request of a client that meets the condition, which must exclude those that may have run.
    /// Returns whether there was one.
    pub(super) fn reject_latest(
        &mut self,
        now: Micros,
        client: ClientId,
        condition: impl Fn(&Request) -> bool,
    ) -> bool {
        let meets_condition = |ticket: &Ticket| self.requests.get(ticket).is_some_and(&condition);
        let Some(ticket) = self.clients.latest_pending(client, meets_condition) else {
            return false;
        };
        let retry_after_ms = self.default_retry_after_ms();
        self.respond_unplaced(now, ticket, Cause::REJECTED, retry_after_ms);
        self.report_event(now, PlacementEvent::Cancelled(ticket));
        true
    }

    fn default_retry_after_ms(&self) -> Option<u64> {
        let milliseconds = self.facade.default_retry_after() / MILLISECOND;
        u64::try_from(milliseconds).ok().filter(|ms| *ms > 0)
    }
}

impl Request {
    /// Drops the client's message, which is needed no more, and returns the memory that was reserved for it.
    pub(super) fn drop_message(&mut self) -> Option<ReservedMemory> {
        self.message = None;
        self.reserved_memory.take()
    }
}
