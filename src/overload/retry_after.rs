//! Retry-After: when rejected clients come back.
//!
//! One time for all would bring all clients back together. The times are spread over a span by a hash of the
//! task, so that retries from all placers arrive as evenly as the rejections were sent. The span starts once
//! the attempts that are in flight now have had their time, and grows with the shed level: a client that comes
//! back sooner would be shed again.

use super::hash::hash_fraction;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The span at shed level 0, in multiples of the shortest latency objective, and the increase per level.
const BASE_SPAN_OBJECTIVES: f64 = 1.0;
const SPAN_OBJECTIVES_PER_LEVEL: f64 = 0.5;
/// Where clients honour less than a latency objective, the span starts at this fraction of what they honour.
const MIN_START_FRACTION: f64 = 0.5;
/// Salt of the hash by which the times are spread.
const SPREAD_SALT: u64 = 0x7265_7475;
/// A client may come back this fraction of its Retry-After early: its clock and the network are not exact.
const TOLERANCE_DIVISOR: Micros = 16;
/// The most clients with a Retry-After that are remembered; beyond them the earliest are forgotten.
pub const MAX_BACKED_OFF_CLIENTS: usize = 8_192;

/// Returns the Retry-After of a task, or 0 if clients honour none (`max_retry_after`).
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

/// The clients that were sent a Retry-After, by the hash of their task.
#[derive(Debug, Clone, Default)]
pub struct BackedOffClients {
    retry_at: BTreeMap<u64, Micros>,
    by_time: BTreeSet<(Micros, u64)>,
}

impl BackedOffClients {
    /// Returns whether a client comes back before its Retry-After has passed.
    pub fn is_early(&self, now: Micros, task_hash: u64) -> bool {
        self.retry_at
            .get(&task_hash)
            .is_some_and(|retry_at| now < *retry_at)
    }

    /// Records that a client was sent this Retry-After; 0 is none.
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

    /// Returns how many clients have yet to come back.
    pub fn waiting(&self, now: Micros) -> usize {
        self.retry_at
            .values()
            .filter(|retry_at| **retry_at > now)
            .count()
    }

    /// Forgets the clients whose time has passed, and the earliest until another fits.
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
