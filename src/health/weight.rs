//! Controls the weight reported to load balancers: it falls fast, recovers slowly, and does not oscillate.
//!
//! A load balancer reacts late: it polls, counts the results, and only then moves traffic, and the signals show the
//! effect later still. The controller is therefore not proportional. It uses additive increase and multiplicative
//! decrease, as senders do that share a network link (Chiu and Jain, 1989), with two additions for the delay:
//!
//! - After a fall, the controller waits for one and a half times the load balancers' reaction time before the next one,
//!   so that it sees the effect of the first.
//! - The weight at which overload began is remembered as a ceiling, as CUBIC senders remember the window of the last
//!   loss (RFC 9438). The weight rises quickly to six tenths of the ceiling, slowly to eight tenths, and stays there
//!   until the ceiling expires; then it continues to rise slowly up to the ceiling. If overload begins again while a
//!   ceiling is remembered, the new ceiling is remembered twice as long.

use super::signal::Signal;
use crate::Micros;
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;
const MINUTE: Micros = 60 * SECOND;
/// The fraction of the ceiling (the remembered weight at which overload began) from which on the weight rises slowly.
const SLOW_RISE_FROM: f64 = 0.6;
/// The fraction of the ceiling (the remembered weight at which overload began) at which the weight stays until the
/// ceiling expires.
const PLATEAU_FRACTION: f64 = 0.8;
/// The factor applied to the rate of a rise while the weight is between the fraction `SLOW_RISE_FROM` of the ceiling
/// and the ceiling.
const SLOW_RISE_FACTOR: f64 = 0.1;
/// The weight falls only if the target is below it by more than this, in units of weight.
const DEAD_BAND: f64 = 5.0;
/// The minimum rise of the weight that is published, in units of weight. A rise to 100 may be smaller.
const MIN_STEP: f64 = 5.0;
/// The minimum time from a change of the published weight to the next published rise. A rise to 100 may follow sooner.
const MIN_STEP_INTERVAL: Micros = SECOND;
/// The minimum fraction of the weight that remains after a fall.
const MIN_REMAINING_FRACTION: f64 = 0.5;
/// The minimum fraction of the weight that remains after the first of several falls without a rise between them, if the
/// cause is a late event loop, for which only this placer can be responsible.
const MIN_REMAINING_AFTER_FIRST_FALL: f64 = 0.3;
/// The maximum weight.
const FULL_WEIGHT: f64 = 100.0;

/// Limits on how the weight falls and rises.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightPolicy {
    /// The minimum weight: signals do not lower it further, so that a placer that still places tasks keeps some load.
    pub min_weight: f64,
    /// The minimum time between two falls of the weight. One and a half times the load balancers' reaction time applies
    /// instead if that is longer.
    pub fall_interval: Micros,
    /// The minimum time from a fall to the next rise; doubled each time that a fall soon follows a rise.
    pub hold: Micros,
    /// The maximum to which `hold` may be doubled.
    pub max_hold: Micros,
    /// The time that a rise of the weight from 0 to 100 takes when no ceiling slows it down.
    pub rise_time: Micros,
    /// How long the weight at which overload began limits a rise as a ceiling; doubled each time that overload begins
    /// again while a ceiling is remembered.
    pub ceiling_memory: Micros,
    /// The maximum to which `ceiling_memory` may be doubled.
    pub max_ceiling_memory: Micros,
    /// The number of changes of the published weight within a minute from which on it does not rise further.
    pub max_changes_per_minute: usize,
}

impl Default for WeightPolicy {
    fn default() -> WeightPolicy {
        WeightPolicy {
            min_weight: 5.0,
            fall_interval: SECOND / 2,
            hold: 2 * SECOND,
            max_hold: 30 * SECOND,
            rise_time: 10 * SECOND,
            ceiling_memory: MINUTE / 2,
            max_ceiling_memory: 2 * MINUTE,
            max_changes_per_minute: 24,
        }
    }
}

/// The weight at which overload began, which limits later rises.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    weight: f64,
    /// When the overload began from which the ceiling was learned.
    since: Micros,
    /// How long the ceiling limits a rise of the weight, in microseconds.
    remembered_for: Micros,
    /// Whether the ceiling was learned from a signal that the fleet can cause. It is discarded if the fleet later turns
    /// out to be the cause.
    may_be_caused_by_fleet: bool,
}

/// Computes the weight that one placer reports.
#[derive(Debug, Clone)]
pub struct WeightController {
    policy: WeightPolicy,
    /// The unrounded weight. The published weight follows it at once when it falls, and in steps when it rises.
    exact: f64,
    /// The weight that is reported to load balancers.
    published: f64,
    last_update: Micros,
    last_fall: Option<Micros>,
    /// When a rise of the weight was last published, or `None` if none was published since the latest fall.
    last_rise: Option<Micros>,
    /// The minimum time from a fall to the next rise: the policy's `hold`, doubled for each fall that soon followed a
    /// rise.
    hold: Micros,
    ceiling: Option<Ceiling>,
    /// The times at which the published weight changed; those older than a minute are removed before a rise.
    changes: VecDeque<Micros>,
}

impl WeightController {
    /// Creates a controller with the initial weight `start`.
    pub fn new(policy: WeightPolicy, start: f64, now: Micros) -> WeightController {
        let start = start.clamp(policy.min_weight, FULL_WEIGHT);
        WeightController {
            policy,
            exact: start,
            published: start,
            last_update: now,
            last_fall: None,
            last_rise: None,
            hold: policy.hold,
            ceiling: None,
            changes: VecDeque::new(),
        }
    }

    /// Returns the weight to report, 1 to 100.
    pub fn published(&self) -> u8 {
        self.published.round().clamp(1.0, FULL_WEIGHT) as u8
    }

    /// Discards a ceiling that was learned from a signal which the fleet can cause, and resets the time from a fall to
    /// the next rise. Called when the signal turned out to be caused by the fleet.
    pub fn forget_fleet_ceiling(&mut self) {
        let forgotten = self
            .ceiling
            .take_if(|ceiling| ceiling.may_be_caused_by_fleet);
        if forgotten.is_some() {
            self.hold = self.policy.hold;
        }
    }

    /// Moves the weight towards the target, and returns whether the published weight has changed, as load balancers read
    /// it: in whole units.
    ///
    /// `cause` is the signal that limits the target most. A ceiling is learned only from signals of overload, not from
    /// the slow start or a lack of service discovery, since neither of these shows that the weight was too high.
    /// `reaction_time` is how long load balancers take to act on a published weight.
    pub fn update(
        &mut self,
        now: Micros,
        target: f64,
        cause: Option<Signal>,
        reaction_time: Micros,
    ) -> bool {
        let target = target.clamp(self.policy.min_weight, FULL_WEIGHT);
        let elapsed = (now - self.last_update).clamp(0, SECOND);
        self.last_update = self.last_update.max(now);
        self.forget_old_overload(now);
        let before = self.published();
        if target < self.exact - DEAD_BAND {
            self.lower(now, target, cause, reaction_time);
        } else if target > self.exact {
            self.raise(now, target, elapsed, reaction_time);
        }
        let has_changed = self.published() != before;
        if has_changed {
            self.changes.push_back(now);
        }
        has_changed
    }

    /// Discards the ceiling, and resets the time from a fall to the next rise, once the latest overload is long past.
    fn forget_old_overload(&mut self, now: Micros) {
        let is_old = |ceiling: &Ceiling| {
            now - ceiling.since > ceiling.remembered_for + self.policy.max_ceiling_memory
        };
        if self.ceiling.as_ref().is_some_and(is_old) {
            self.ceiling = None;
        }
        if self
            .last_fall
            .is_none_or(|at| now - at > 2 * self.policy.max_hold)
        {
            self.hold = self.policy.hold;
        }
    }

    fn lower(&mut self, now: Micros, target: f64, cause: Option<Signal>, reaction_time: Micros) {
        let interval = self.policy.fall_interval.max(reaction_time * 3 / 2);
        if self.last_fall.is_some_and(|at| now - at < interval) {
            return;
        }
        // A fall soon after a rise shows that the rise was too early, so the next rise waits longer.
        let rise = self.last_rise.take();
        let was_recent = rise.is_some_and(|at| now - at < 2 * self.policy.max_hold);
        if was_recent && self.last_fall.is_some() {
            self.hold = (self.hold * 2).min(self.policy.max_hold);
        }
        let is_first = rise.is_some() || self.last_fall.is_none();
        let is_load = !matches!(cause, Some(Signal::SlowStart | Signal::DiscoveryAge));
        if is_load && is_first {
            self.remember_ceiling(now, cause);
        }
        let min_remaining = if is_first && cause == Some(Signal::LoopLate) {
            MIN_REMAINING_AFTER_FIRST_FALL
        } else {
            MIN_REMAINING_FRACTION
        };
        self.exact = target
            .max(self.exact * min_remaining)
            .max(self.policy.min_weight);
        self.published = self.exact;
        self.last_fall = Some(now);
    }

    fn remember_ceiling(&mut self, now: Micros, cause: Option<Signal>) {
        let remembered_for = self.ceiling.map_or(self.policy.ceiling_memory, |earlier| {
            (earlier.remembered_for * 2).min(self.policy.max_ceiling_memory)
        });
        self.ceiling = Some(Ceiling {
            weight: self.exact,
            since: now,
            remembered_for,
            may_be_caused_by_fleet: cause.is_some_and(Signal::may_be_caused_by_fleet),
        });
    }

    fn raise(&mut self, now: Micros, target: f64, elapsed: Micros, reaction_time: Micros) {
        let hold = self.hold.max(2 * reaction_time);
        if self.last_fall.is_some_and(|at| now - at < hold) || self.changes_too_often(now) {
            return;
        }
        let ceiling = self.ceiling.filter(|ceiling| self.exact < ceiling.weight);
        let is_near = ceiling.is_some_and(|ceiling| self.exact >= SLOW_RISE_FROM * ceiling.weight);
        let factor = if is_near { SLOW_RISE_FACTOR } else { 1.0 };
        let per_micro = factor * FULL_WEIGHT / self.policy.rise_time.max(1) as f64;
        let limit = ceiling
            .filter(|ceiling| now - ceiling.since < ceiling.remembered_for)
            .map_or(target, |ceiling| {
                target.min((PLATEAU_FRACTION * ceiling.weight).max(self.exact))
            });
        self.exact = limit.min(self.exact + per_micro * elapsed as f64);
        self.publish_rise(now, target);
    }

    fn changes_too_often(&mut self, now: Micros) -> bool {
        while self.changes.front().is_some_and(|at| now - at >= MINUTE) {
            self.changes.pop_front();
        }
        self.changes.len() >= self.policy.max_changes_per_minute
    }

    /// Publishes the weight if it has risen by at least `MIN_STEP` and `MIN_STEP_INTERVAL` has passed since the latest
    /// change, or if it has reached 100.
    fn publish_rise(&mut self, now: Micros, target: f64) {
        let step_is_due = self
            .changes
            .back()
            .is_none_or(|at| now - at >= MIN_STEP_INTERVAL);
        let is_step = self.exact - self.published >= MIN_STEP && step_is_due;
        let is_full = self.exact >= target && self.exact >= FULL_WEIGHT;
        if is_step || (is_full && self.published < FULL_WEIGHT) {
            self.published = self.exact;
            self.last_rise = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
