//! A host of the endpoint list with its concurrency limit.

use super::concurrency_limit::{ConcurrencyLimit, Delivery, HostResponse};
use super::health_check_schedule::TimeSlot;
use crate::{CellId, Micros, Outcome, OutcomeDetail, ZoneId};

/// The state of one host, as this placer knows it.
#[derive(Debug, Clone)]
pub(super) struct Host {
    pub hash: u64,
    pub cell: CellId,
    pub zone: ZoneId,
    pub started_at: Micros,
    pub is_up: bool,
    pub limit: ConcurrencyLimit,
    /// Whether this placer's slot is active and its health check has been permitted; used while the host is suspect.
    pub slot_is_used: bool,
    /// The number of consecutive health checks that failed.
    pub failed_checks: u32,
    /// The limit on attempts in flight that the decision module was last notified of. The outer `None` means that it
    /// was not notified yet, the inner `None` that overload control imposes no limit on the host.
    pub notified: Option<Option<u32>>,
    /// When the limit is due to be computed again, if it changes with time.
    pub refresh_at: Option<Micros>,
    /// The window and the attempts in flight of this host as they are contained in the totals of the host table.
    pub contribution: Totals,
}

/// Sums of windows and of attempts in flight, of one host or of all hosts.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Totals {
    pub windows: f64,
    pub in_flight: u32,
}

/// The limit of one host, and when it must be computed again.
pub(super) struct HostLimit {
    pub max_in_flight: Option<u32>,
    pub health_check: bool,
    pub refresh_at: Option<Micros>,
}

impl Host {
    /// Records that an attempt ended without starting its task.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        sent_at: Micros,
        outcome: Outcome,
        detail: OutcomeDetail,
    ) {
        let limit = &mut self.limit;
        match (outcome, detail) {
            (Outcome::Rejected, OutcomeDetail::QueueFull) => limit.queue_full(now, sent_at),
            (Outcome::Timeout, _) => limit.attempt_lost(now, sent_at, Delivery::Delivered),
            (Outcome::ConnectFailed, _) | (Outcome::Reset, OutcomeDetail::Unknown) => {
                limit.attempt_lost(now, sent_at, Delivery::Unknown);
            }
            // An attempt that was cancelled or never sent gives no information about the host.
            (Outcome::Cancelled | Outcome::NotSent, _) => limit.attempt_ended(HostResponse::None),
            _ => limit.attempt_ended(HostResponse::Answered),
        }
    }

    /// Returns the limit of a suspect host: one attempt, as a health check, in each slot of this placer.
    pub fn limit_while_suspect(
        &mut self,
        now: Micros,
        slot: TimeSlot,
        slot_length: Micros,
        wall_clock_offset: Micros,
    ) -> HostLimit {
        let health_check = slot.is_active && !self.slot_is_used && self.limit.in_flight() == 0;
        self.slot_is_used = slot.is_active;
        let max_in_flight = if health_check {
            1
        } else if slot.is_active {
            self.notified.flatten().unwrap_or(0)
        } else {
            0
        };
        HostLimit {
            max_in_flight: Some(max_in_flight),
            health_check,
            // An active slot ends before the next one starts, so the host is refreshed after one slot length.
            refresh_at: Some(if slot.is_active {
                now + slot_length
            } else {
                slot.next_starts_at - wall_clock_offset
            }),
        }
    }
}
