//! The load balancer checks that poll this process, and which of them have seen the drain.

use crate::Micros;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// The most checks that are tracked; beyond them the least recent is forgotten.
pub(super) const MAX_POLLERS: usize = 64;
/// A check that has missed so many of its polls is gone.
const MISSED_POLLS: Micros = 4;
/// Shorter intervals count as this.
const MIN_INTERVAL: Micros = SECOND;
/// The assumed interval of a check that has polled once.
const UNKNOWN_INTERVAL: Micros = 5 * SECOND;

/// The kind of a load balancer's check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CheckKind {
    /// An agent check, which acts on the first answer.
    Agent,
    /// An HTTP check, which acts once as many checks have failed as its fall count says.
    Http,
}

/// A load balancer's check.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Poller {
    /// Its kind.
    pub kind: CheckKind,
    /// Its address, with the line that it sends first if it sends one.
    pub name: String,
}

/// How many checks poll, and how many of them have seen the drain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PollerCount {
    /// Checks that poll.
    pub live: usize,
    /// Of these, checks that have seen the drain.
    pub notified: usize,
}

#[derive(Debug, Clone)]
struct Polls {
    latest: Micros,
    interval: Micros,
    /// Answers since the drain began.
    drain_answers: u32,
    /// When the last answer was given that the check needed to see the drain.
    notified_at: Option<Micros>,
}

impl Polls {
    fn first(now: Micros) -> Polls {
        Polls {
            latest: now,
            interval: UNKNOWN_INTERVAL,
            drain_answers: 0,
            notified_at: None,
        }
    }

    fn is_live(&self, now: Micros) -> bool {
        now - self.latest <= MISSED_POLLS * self.interval.max(MIN_INTERVAL)
    }

    /// The interval is the longer of the latest two: checks come in pairs and with jitter.
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

/// All checks that poll.
#[derive(Debug, Clone, Default)]
pub(super) struct Pollers {
    polls: BTreeMap<Poller, Polls>,
}

impl Pollers {
    /// Records a poll that was answered.
    pub fn record_poll(&mut self, now: Micros, poller: &Poller) {
        if self.polls.len() >= MAX_POLLERS && !self.polls.contains_key(poller) {
            self.forget_least_recent();
        }
        self.polls
            .entry(poller.clone())
            .or_insert_with(|| Polls::first(now))
            .record(now);
    }

    /// Records that the answer to a poll announced the drain. The check has seen it after `needed` of them.
    pub fn record_drain_answer(&mut self, now: Micros, poller: &Poller, needed: u32) {
        let Some(polls) = self.polls.get_mut(poller) else {
            return;
        };
        polls.drain_answers = polls.drain_answers.saturating_add(1);
        if polls.drain_answers >= needed && polls.notified_at.is_none() {
            polls.notified_at = Some(now);
        }
    }

    /// A drain begins: no check has seen it.
    pub fn reset_drain_answers(&mut self) {
        for polls in self.polls.values_mut() {
            polls.drain_answers = 0;
            polls.notified_at = None;
        }
    }

    /// The checks that poll, and how many of them have seen the drain.
    pub fn count(&self, now: Micros) -> PollerCount {
        let live = self.polls.values().filter(|polls| polls.is_live(now));
        live.fold(PollerCount::default(), |count, polls| PollerCount {
            live: count.live + 1,
            notified: count.notified + usize::from(polls.notified_at.is_some()),
        })
    }

    /// Whether every check that polls saw the drain at least `settle_time` ago.
    pub fn all_settled(&self, now: Micros, settle_time: Micros) -> bool {
        let mut live = self.polls.values().filter(|polls| polls.is_live(now));
        live.all(|polls| polls.notified_at.is_some_and(|at| now - at >= settle_time))
    }

    fn forget_least_recent(&mut self) {
        let least_recent = self
            .polls
            .iter()
            .min_by_key(|(_, polls)| polls.latest)
            .map(|(poller, _)| poller.clone());
        if let Some(poller) = least_recent {
            self.polls.remove(&poller);
        }
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.polls.len()
    }

    #[cfg(test)]
    pub fn contains(&self, poller: &Poller) -> bool {
        self.polls.contains_key(poller)
    }
}
