//! The weight: it falls fast, comes back slowly, and does not flap.
//!
//! A balancer acts late: it polls, counts, and only then moves traffic, and the effect on the signals
//! comes later still. The controller is therefore not proportional but of the kind that shares links
//! between senders (additive increase, multiplicative decrease, after Chiu and Jain, 1989), with two
//! additions for the delay. A fall is followed by a pause, so that its effect can be seen before the
//! next: one and a half times what the balancers that poll take to act. And the weight at which trouble
//! began is remembered as a ceiling, as the window of the last loss is by CUBIC senders (RFC 9438). The
//! weight climbs quickly to six tenths of it, creeps to eight tenths, and stays there until the memory
//! fades; then it creeps past it. Each ceiling that proves right again is remembered twice as long.

use super::signal::Code;
use crate::Micros;
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;
const MINUTE: Micros = 60 * SECOND;
/// Part of the ceiling from which on the weight creeps, and where it stays while the ceiling counts.
const NEAR: f64 = 0.6;
const PLATEAU: f64 = 0.8;
/// How much slower it climbs there.
const CREEP: f64 = 0.1;
/// A target that lies within this much below the weight is no reason to fall.
const DEAD_BAND: f64 = 5.0;
/// A rise is told in steps of at least this and with at least so long between them, or when it ends.
const STEP: f64 = 5.0;
const STEP_PAUSE: Micros = SECOND;
/// A fall leaves at least this part of the weight; the first of a row may go further where the cause can
/// only be here.
const LEAVES: f64 = 0.5;
const FIRST_LEAVES: f64 = 0.3;

/// How the weight moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// It never falls below this by signals: a placer that still places is not emptied.
    pub floor: f64,
    /// Least time between two falls, where no balancer polls less often.
    pub fall_pause: Micros,
    /// Least time from a fall to the next rise; doubled while falls follow rises.
    pub hold: Micros,
    /// The longest that it is doubled to.
    pub most_hold: Micros,
    /// Time from nothing to 100.
    pub rise: Micros,
    /// How long the weight at which trouble began is a ceiling; doubled each time it proves right.
    pub memory: Micros,
    /// The longest that it is doubled to.
    pub most_memory: Micros,
    /// No rise where the weight changed so often within the last minute.
    pub most_changes: usize,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            floor: 5.0,
            fall_pause: SECOND / 2,
            hold: 2 * SECOND,
            most_hold: 30 * SECOND,
            rise: 10 * SECOND,
            memory: MINUTE / 2,
            most_memory: 2 * MINUTE,
            most_changes: 24,
        }
    }
}

/// The weight at which trouble began.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    weight: f64,
    since: Micros,
    counts_for: Micros,
    /// A signal that the fleet may turn out to explain.
    shared: bool,
}

/// The weight now, and what it has learned.
#[derive(Debug, Clone)]
pub struct Weight {
    pace: Pace,
    /// The weight before rounding to steps.
    exact: f64,
    told: f64,
    steered: Micros,
    fell: Option<Micros>,
    /// The latest rise after the latest fall.
    rose: Option<Micros>,
    hold: Micros,
    ceiling: Option<Ceiling>,
    changes: VecDeque<Micros>,
}

impl Weight {
    /// A weight that starts here.
    pub fn new(pace: Pace, start: f64, now: Micros) -> Weight {
        let start = start.clamp(pace.floor, 100.0);
        Weight {
            pace,
            exact: start,
            told: start,
            steered: now,
            fell: None,
            rose: None,
            hold: pace.hold,
            ceiling: None,
            changes: VecDeque::new(),
        }
    }

    /// What is told, 1 to 100.
    pub fn told(&self) -> u8 {
        self.told.round().clamp(1.0, 100.0) as u8
    }

    /// The fleet explains what goes badly: a ceiling that was learned from it before was none.
    pub fn exonerate(&mut self) {
        if self.ceiling.take_if(|c| c.shared).is_some() {
            self.hold = self.pace.hold;
        }
    }

    /// Moves towards what the signals leave; true where what is told has changed. `cause` names the
    /// tightest signal: only load is remembered as trouble, since a young or uninformed placer was not
    /// brought down by the weight that it had.
    /// `reaction` is how long balancers take to act on what is told.
    pub fn steer(
        &mut self,
        now: Micros,
        target: f64,
        cause: Option<Code>,
        reaction: Micros,
    ) -> bool {
        let target = target.clamp(self.pace.floor, 100.0);
        let passed = (now - self.steered).clamp(0, SECOND);
        self.steered = self.steered.max(now);
        // Long passed without trouble, it was another time's.
        if self
            .ceiling
            .is_some_and(|c| now - c.since > c.counts_for + self.pace.most_memory)
        {
            self.ceiling = None;
        }
        if self
            .fell
            .is_none_or(|at| now - at > 2 * self.pace.most_hold)
        {
            self.hold = self.pace.hold;
        }
        let before = self.told;
        if target < self.exact - DEAD_BAND {
            self.fall(now, target, cause, reaction);
        } else if target > self.exact {
            self.climb(now, target, passed, reaction);
        }
        if self.told != before {
            self.changes.push_back(now);
        }
        self.told != before
    }

    fn fall(&mut self, now: Micros, target: f64, cause: Option<Code>, reaction: Micros) {
        if self
            .fell
            .is_some_and(|at| now - at < self.pace.fall_pause.max(reaction * 3 / 2))
        {
            return;
        }
        // A fall soon after a rise tells that the rise was wrong: the next one waits longer.
        let rose = self.rose.take();
        if rose.is_some_and(|at| now - at < 2 * self.pace.most_hold) && self.fell.is_some() {
            self.hold = (self.hold * 2).min(self.pace.most_hold);
        }
        // The first fall of a row: a young or uninformed placer was not brought down by its weight.
        let load = !matches!(cause, Some(Code::SlowStart | Code::FeedAge));
        let first = rose.is_some() || self.fell.is_none();
        if load && first {
            let again = self
                .ceiling
                .map(|c| (c.counts_for * 2).min(self.pace.most_memory));
            let counts_for = again.unwrap_or(self.pace.memory);
            self.ceiling = Some(Ceiling {
                weight: self.exact,
                since: now,
                counts_for,
                shared: cause.is_some_and(Code::shared),
            });
        }
        let leaves = if first && cause == Some(Code::LoopLate) {
            FIRST_LEAVES
        } else {
            LEAVES
        };
        self.exact = target.max(self.exact * leaves).max(self.pace.floor);
        self.told = self.exact;
        self.fell = Some(now);
    }

    fn climb(&mut self, now: Micros, target: f64, passed: Micros, reaction: Micros) {
        if self
            .fell
            .is_some_and(|at| now - at < self.hold.max(2 * reaction))
        {
            return;
        }
        while self.changes.front().is_some_and(|at| now - at >= MINUTE) {
            self.changes.pop_front();
        }
        if self.changes.len() >= self.pace.most_changes {
            return;
        }
        let below = self.ceiling.filter(|c| self.exact < c.weight);
        let near = below.is_some_and(|c| self.exact >= NEAR * c.weight);
        let speed = if near { CREEP } else { 1.0 } * 100.0 / self.pace.rise.max(1) as f64;
        let counts = below.filter(|c| now - c.since < c.counts_for);
        let most = counts.map_or(target, |c| target.min((PLATEAU * c.weight).max(self.exact)));
        self.exact = most.min(self.exact + speed * passed as f64);
        let ends = self.exact >= target && self.exact >= 100.0;
        let paused = self.changes.back().is_none_or(|at| now - at >= STEP_PAUSE);
        if (self.exact - self.told >= STEP && paused) || (ends && self.told < 100.0) {
            self.told = self.exact;
            self.rose = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
