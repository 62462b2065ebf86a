//! Tracks how often load balancers poll, which determines how fast they react to a published weight.

use crate::Micros;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// The maximum number of load balancer checks that are tracked. Polls of further checks are ignored.
const MAX_POLLERS: usize = 16;
/// The maximum poll interval that is taken into account. A longer interval counts as this one.
const MAX_INTERVAL: Micros = 10 * SECOND;
/// The assumed time that a load balancer takes to act on an answer.
const ACTION_TIME: Micros = SECOND / 2;

/// The times of the latest polls of one load balancer check.
#[derive(Debug, Clone, Copy)]
struct PollTimes {
    /// When the check polled last.
    latest: Micros,
    /// The time between the latest two polls of the check, or 0 after its first poll.
    interval: Micros,
}

/// The poll intervals of all load balancer checks.
#[derive(Debug, Clone, Default)]
pub(super) struct PollIntervals {
    by_poller: BTreeMap<u64, PollTimes>,
}

impl PollIntervals {
    /// Records a poll of a check, and removes the checks that have stopped polling.
    pub fn record(&mut self, now: Micros, poller: u64) {
        self.by_poller
            .retain(|_, polls| now - polls.latest < 2 * MAX_INTERVAL);
        if self.by_poller.len() >= MAX_POLLERS && !self.by_poller.contains_key(&poller) {
            return;
        }
        let polls = self.by_poller.entry(poller).or_insert(PollTimes {
            latest: now,
            interval: 0,
        });
        polls.interval = (now - polls.latest).min(MAX_INTERVAL);
        polls.latest = now;
    }

    /// Returns how long the slowest load balancer takes to act on a published weight, including the time until it
    /// polls; 0 if none has polled.
    pub fn reaction_time(&self) -> Micros {
        self.by_poller
            .values()
            .map(|polls| polls.interval + ACTION_TIME)
            .max()
            .unwrap_or(0)
    }
}
