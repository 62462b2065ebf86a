//! Retry-After: when rejected clients should retry.
//!
//! If all clients got the same Retry-After, they would all retry at the same time. So the times are spread over a span
//! by a hash of the task, and retries of clients of all placers arrive as evenly as the rejections were sent. The span
//! starts after the time that the attempts in flight at the rejection have to start, and it grows with the shed level:
//! a client that retries sooner would be shed again.

use super::hash::hash_fraction;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The length of the span over which Retry-After times are spread at shed level 0, in multiples of the shortest latency
/// objective.
const BASE_SPAN_OBJECTIVES: f64 = 1.0;
/// The time by which each shed level lengthens the span over which Retry-After times are spread, in multiples of the
/// shortest latency objective.
const SPAN_OBJECTIVES_PER_LEVEL: f64 = 0.5;
/// The earliest Retry-After, at which the span of times starts, is one latency objective, or this fraction of the
/// longest Retry-After that clients honour if that is shorter.
const MIN_START_FRACTION: f64 = 0.5;
/// Salt of the hash by which the Retry-After times are spread.
const SPREAD_SALT: u64 = 0x7265_7475;
/// A retry counts as early only if it arrives before the Retry-After by more than the Retry-After divided by this,
/// since neither the client's clock nor the network is exact.
const TOLERANCE_DIVISOR: Micros = 16;
/// The largest number of clients whose Retry-After is tracked. Beyond it those that may retry earliest are forgotten.
pub const MAX_BACKED_OFF_CLIENTS: usize = 8_192;

/// Returns the Retry-After of a task, or 0 if clients honour none (`max_retry_after` is 0).
pub fn retry_after(
    shed_level: u8,
    task_hash: u64,
    epoch: u64,
    latency_objective: Micros,
    max_retry_after: Micros,
) -> Micros {
    if max_retry_after <= 0 {
        return 0;
    }
    let objective = latency_objective as f64;
    let earliest = objective.min(MIN_START_FRACTION * max_retry_after as f64);
    let span_objectives = BASE_SPAN_OBJECTIVES + SPAN_OBJECTIVES_PER_LEVEL * f64::from(shed_level);
    let latest = (earliest + objective * span_objectives).min(max_retry_after as f64);
    let fraction = hash_fraction(task_hash, epoch ^ SPREAD_SALT);
    (earliest + (latest - earliest) * fraction) as Micros
}

/// The clients that were sent a Retry-After, identified by the hash of their task.
#[derive(Debug, Clone, Default)]
pub struct BackedOffClients {
    /// The time from which on each client may retry, by the hash of its task.
    retry_at: BTreeMap<u64, Micros>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl BackedOffClients {
    /// Returns whether a client that retries at `now` does so before its Retry-After has passed.
    pub fn is_early(&self, now: Micros, task_hash: u64) -> bool {
        self.retry_at
            .get(&task_hash)
            .is_some_and(|retry_at| now < *retry_at)
    }

    /// Records that a client was sent a Retry-After of `retry_after`; 0 means that it was sent none.
    pub fn record(&mut self, now: Micros, task_hash: u64, retry_after: Micros) {
        if retry_after <= 0 {
            return;
        }
        self.forget_expired(now);
        let retry_at = now + retry_after - retry_after / TOLERANCE_DIVISOR;
        if let Some(earlier) = self.retry_at.insert(task_hash, retry_at) {
            self.by_time.remove(&(earlier, task_hash));
        }
        self.by_time.insert((retry_at, task_hash));
    }

    /// Returns the number of clients whose Retry-After has not passed yet.
    pub fn waiting(&self, now: Micros) -> usize {
        self.retry_at
            .values()
            .filter(|retry_at| **retry_at > now)
            .count()
    }

    /// Forgets the clients whose Retry-After has passed, and then those that may retry earliest until there is space
    /// for another client.
    fn forget_expired(&mut self, now: Micros) {
        while let Some((retry_at, task_hash)) = self.by_time.first().copied() {
            if retry_at > now && self.retry_at.len() < MAX_BACKED_OFF_CLIENTS {
                break;
            }
            self.by_time.remove(&(retry_at, task_hash));
            self.retry_at.remove(&task_hash);
        }
    }
}
