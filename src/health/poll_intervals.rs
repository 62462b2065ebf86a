//! How often load balancers poll, and so how fast they react to a published weight.

use crate::Micros;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// The most load balancer checks that are tracked.
const MAX_POLLERS: usize = 16;
/// A longer interval counts as this.
const MAX_INTERVAL: Micros = 10 * SECOND;
/// How long a load balancer may take to act on an answer.
const ACTION_TIME: Micros = SECOND / 2;

#[derive(Debug, Clone, Copy)]
struct Polls {
    latest: Micros,
    interval: Micros,
}

/// The poll intervals of all load balancer checks.
#[derive(Debug, Clone, Default)]
pub(super) struct PollIntervals {
    by_poller: BTreeMap<u64, Polls>,
}

impl PollIntervals {
    /// Records a poll. Checks that have stopped polling are forgotten.
    pub fn record(&mut self, now: Micros, poller: u64) {
        self.by_poller
            .retain(|_, polls| now - polls.latest < 2 * MAX_INTERVAL);
        if self.by_poller.len() >= MAX_POLLERS && !self.by_poller.contains_key(&poller) {
            return;
        }
        let polls = self.by_poller.entry(poller).or_insert(Polls {
            latest: now,
            interval: 0,
        });
        polls.interval = (now - polls.latest).min(MAX_INTERVAL);
        polls.latest = now;
    }

    /// Returns how long the slowest load balancer takes to act on a published weight: it must poll first.
    pub fn reaction_time(&self) -> Micros {
        self.by_poller
            .values()
            .map(|polls| polls.interval + ACTION_TIME)
            .max()
            .unwrap_or(0)
    }
}
