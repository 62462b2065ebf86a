//! Tracks the load balancer checks that poll this process, and which of them have seen the drain.

use crate::Micros;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// The maximum number of checks that are tracked. When another check polls, the one that polled least recently is
/// removed.
pub(super) const MAX_POLLERS: usize = 64;
/// A check that has not polled for this many of its poll intervals counts as gone.
const MISSED_POLLS: Micros = 4;
/// The minimum poll interval that is taken into account. A shorter interval counts as this one.
const MIN_INTERVAL: Micros = SECOND;
/// The assumed poll interval of a check that has polled only once.
const UNKNOWN_INTERVAL: Micros = 5 * SECOND;

/// The kind of a load balancer's check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CheckKind {
    /// An agent check: the load balancer acts on the first answer.
    Agent,
    /// An HTTP check: the load balancer acts once as many checks have failed in a row as its fall count says.
    Http,
}

/// Identifies one health check of a load balancer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Poller {
    /// The kind of the check.
    pub kind: CheckKind,
    /// The check's IP address, followed by the line that an agent check sends first, if it sends one.
    pub name: String,
}

/// How many checks poll, and how many of them have seen the drain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PollerCount {
    /// The number of checks that poll.
    pub live: usize,
    /// The number of checks that poll and have seen the drain.
    pub notified: usize,
}

/// What is known of one check: its latest polls, and whether it has seen the drain.
#[derive(Debug, Clone)]
struct PollerState {
    /// When the check polled last.
    latest: Micros,
    /// The estimated time between two polls.
    interval: Micros,
    /// The number of answers to this check since the drain began, all of which announced the drain.
    drain_answers: u32,
    /// When the check had received enough answers to count as having seen the drain, or `None` if it has not.
    notified_at: Option<Micros>,
}

impl PollerState {
    fn first(now: Micros) -> PollerState {
        PollerState {
            latest: now,
            interval: UNKNOWN_INTERVAL,
            drain_answers: 0,
            notified_at: None,
        }
    }

    fn is_live(&self, now: Micros) -> bool {
        now - self.latest <= MISSED_POLLS * self.interval.max(MIN_INTERVAL)
    }

    /// Records a poll. The estimated interval becomes the time since the previous poll, but at least half the earlier
    /// estimate, since two polls may come shortly after each other and intervals vary.
    fn record(&mut self, now: Micros) {
        if now <= self.latest {
            return;
        }
        let earlier = if self.interval == UNKNOWN_INTERVAL {
            0
        } else {
            self.interval / 2
        };
        self.interval = (now - self.latest).max(earlier);
        self.latest = now;
    }
}

/// The load balancer checks that poll this process, with what is known of each.
#[derive(Debug, Clone, Default)]
pub(super) struct Pollers {
    states: BTreeMap<Poller, PollerState>,
}

impl Pollers {
    /// Records a poll that was answered.
    pub fn record_poll(&mut self, now: Micros, poller: &Poller) {
        if self.states.len() >= MAX_POLLERS && !self.states.contains_key(poller) {
            self.forget_least_recent();
        }
        self.states
            .entry(poller.clone())
            .or_insert_with(|| PollerState::first(now))
            .record(now);
    }

    /// Records that the answer to a poll announced the drain. The check has seen the drain after `needed` such answers.
    pub fn record_drain_answer(&mut self, now: Micros, poller: &Poller, needed: u32) {
        let Some(state) = self.states.get_mut(poller) else {
            return;
        };
        state.drain_answers = state.drain_answers.saturating_add(1);
        if state.drain_answers >= needed && state.notified_at.is_none() {
            state.notified_at = Some(now);
        }
    }

    /// Marks all checks as not having seen the drain. Called when a drain begins.
    pub fn reset_drain_answers(&mut self) {
        for state in self.states.values_mut() {
            state.drain_answers = 0;
            state.notified_at = None;
        }
    }

    /// Returns how many checks poll, and how many of them have seen the drain.
    pub fn count(&self, now: Micros) -> PollerCount {
        let live = self.states.values().filter(|state| state.is_live(now));
        live.fold(PollerCount::default(), |count, state| PollerCount {
            live: count.live + 1,
            notified: count.notified + usize::from(state.notified_at.is_some()),
        })
    }

    /// Returns whether every check that still polls has seen the drain, at least `settle_time` ago.
    pub fn all_settled(&self, now: Micros, settle_time: Micros) -> bool {
        let mut live = self.states.values().filter(|state| state.is_live(now));
        live.all(|state| state.notified_at.is_some_and(|at| now - at >= settle_time))
    }

    fn forget_least_recent(&mut self) {
        let least_recent = self
            .states
            .iter()
            .min_by_key(|(_, state)| state.latest)
            .map(|(poller, _)| poller.clone());
        if let Some(poller) = least_recent {
            self.states.remove(&poller);
        }
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    #[cfg(test)]
    pub fn contains(&self, poller: &Poller) -> bool {
        self.states.contains_key(poller)
    }
}
