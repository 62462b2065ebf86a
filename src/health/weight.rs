//! The weight: it falls fast, comes back slowly, and does not flap.
//!
//! A balancer acts late: it polls, counts, and only then moves traffic, and the effect on the signals
//! comes later still. The controller is therefore not proportional but of the kind that shares links
//! between senders (additive increase, multiplicative decrease, after Chiu and Jain, 1989), with two
//! additions for the delay. A fall is followed by a pause, so that its effect can be seen before the
//! next. And the weight at which trouble began is remembered: from nine tenths of it on the weight
//! creeps, as a sender does near the window of its last loss.

use super::signal::Code;
use crate::Micros;
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;
const MINUTE: Micros = 60 * SECOND;
/// Part of the remembered weight from which on the weight creeps.
const NEAR: f64 = 0.9;
/// How much slower it climbs there.
const CREEP: f64 = 0.2;
/// A target that lies within this much below the weight is no reason to fall.
const DEAD_BAND: f64 = 3.0;
/// A rise is told in steps of at least this, or when it ends.
const STEP: f64 = 5.0;
/// A fall leaves at least this part of the weight.
const LEAVES: f64 = 0.5;

/// How the weight moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// It never falls below this by signals: a placer that still places is not emptied.
    pub floor: f64,
    /// Least time between two falls.
    pub fall_pause: Micros,
    /// Least time from a fall to the next rise; doubled while falls follow rises.
    pub hold: Micros,
    /// The longest that it is doubled to.
    pub most_hold: Micros,
    /// Time from nothing to 100.
    pub rise: Micros,
    /// How long the weight at which trouble began is remembered.
    pub memory: Micros,
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
            memory: MINUTE,
            most_changes: 24,
        }
    }
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
    /// The weight at which trouble began, and when.
    trouble_at: Option<(f64, Micros)>,
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
            trouble_at: None,
            changes: VecDeque::new(),
        }
    }

    /// What is told, 1 to 100.
    pub fn told(&self) -> u8 {
        self.told.round().clamp(1.0, 100.0) as u8
    }

    /// Moves towards what the signals leave; true where what is told has changed. `cause` names the
    /// tightest signal: only load is remembered as trouble, since a young or uninformed placer was not
    /// brought down by the weight that it had.
    pub fn steer(&mut self, now: Micros, target: f64, cause: Option<Code>) -> bool {
        let target = target.clamp(self.pace.floor, 100.0);
        let passed = (now - self.steered).clamp(0, SECOND);
        self.steered = self.steered.max(now);
        if self.trouble_at.is_some_and(|(_, at)| now - at > self.pace.memory) {
            self.trouble_at = None;
        }
        if self.fell.is_none_or(|at| now - at > 2 * self.pace.most_hold) {
            self.hold = self.pace.hold;
        }
        let before = self.told;
        if target < self.exact - DEAD_BAND {
            self.fall(now, target, cause);
        } else if target > self.exact {
            self.climb(now, target, passed);
        }
        if self.told != before {
            self.changes.push_back(now);
        }
        self.told != before
    }

    fn fall(&mut self, now: Micros, target: f64, cause: Option<Code>) {
        if self.fell.is_some_and(|at| now - at < self.pace.fall_pause) {
            return;
        }
        // A fall soon after a rise tells that the rise was wrong: the next one waits longer.
        if self.rose.take().is_some_and(|at| now - at < self.pace.most_hold) {
            self.hold = (self.hold * 2).min(self.pace.most_hold);
        }
        if !matches!(cause, Some(Code::SlowStart | Code::FeedAge)) {
            let first =
                self.trouble_at.is_none_or(|(weight, _)| self.exact < weight || self.exact > weight / NEAR);
            if first && self.fell.is_none_or(|at| now - at > self.pace.hold) {
                self.trouble_at = Some((self.exact, now));
            }
        }
        self.exact = target.max(self.exact * LEAVES).max(self.pace.floor);
        self.told = self.exact;
        self.fell = Some(now);
    }

    fn climb(&mut self, now: Micros, target: f64, passed: Micros) {
        if self.fell.is_some_and(|at| now - at < self.hold) {
            return;
        }
        while self.changes.front().is_some_and(|at| now - at >= MINUTE) {
            self.changes.pop_front();
        }
        if self.changes.len() >= self.pace.most_changes {
            return;
        }
        let near = self.trouble_at.is_some_and(|(weight, _)| self.exact >= NEAR * weight);
        let speed = if near { CREEP } else { 1.0 } * 100.0 / self.pace.rise.max(1) as f64;
        self.exact = target.min(self.exact + speed * passed as f64);
        let ends = self.exact >= target && self.exact >= 100.0;
        if self.exact - self.told >= STEP || (ends && self.told < 100.0) {
            self.told = self.exact;
            if self.rose.is_none() || self.fell.is_some() {
                self.rose = Some(now);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOOK: Micros = 250_000;

    fn run(weight: &mut Weight, from: Micros, looks: i64, target: f64) -> Vec<u8> {
        let cause = Some(Code::LoopLate);
        (1..=looks)
            .map(|n| {
                weight.steer(from + n * LOOK, target, cause);
                weight.told()
            })
            .collect()
    }

    #[test]
    fn it_falls_by_halves_with_a_pause_and_never_under_the_floor() {
        let mut weight = Weight::new(Pace::default(), 100.0, 0);
        let told = run(&mut weight, 0, 16, 0.0);
        assert_eq!(&told[..8], [50, 50, 25, 25, 13, 13, 6, 6]);
        assert!(told.last() <= Some(&6) && told.last() >= Some(&5), "within the dead band of the floor");
    }

    #[test]
    fn it_holds_then_climbs_in_steps_and_creeps_where_trouble_began() {
        let mut weight = Weight::new(Pace::default(), 80.0, 0);
        run(&mut weight, 0, 1, 40.0);
        let told = run(&mut weight, LOOK, 60, 100.0);
        assert_eq!(told[6], 40, "held for 2 s");
        let at = |n: usize| f64::from(told[n]);
        assert!(at(24) >= 70.0, "then 10 a second: {told:?}");
        assert!(at(40) < 84.0, "then it creeps past what was too much: {told:?}");
        assert!(told.windows(2).all(|pair| pair[1] >= pair[0]));
    }

    #[test]
    fn each_rise_that_ends_in_a_fall_makes_the_next_one_wait_twice_as_long() {
        let mut weight = Weight::new(Pace::default(), 100.0, 0);
        let (mut now, mut waits) = (0, Vec::new());
        for _ in 0..6 {
            while !(weight.steer(now, 20.0, Some(Code::AskAge))) {
                now += LOOK;
            }
            let (fell, low) = (now, weight.told());
            while weight.told() <= low {
                now += LOOK;
                weight.steer(now, 100.0, None);
            }
            waits.push((now - fell) / SECOND);
            // It climbs on until a fall is worth the name.
            for _ in 0..40 {
                now += LOOK;
                weight.steer(now, 100.0, None);
            }
        }
        assert!(waits.windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
        assert!(waits.last() >= Some(&30) && waits.first() <= Some(&4), "{waits:?}");
    }

    #[test]
    fn a_small_step_of_the_target_moves_nothing() {
        let mut weight = Weight::new(Pace::default(), 80.0, 0);
        assert!(run(&mut weight, 0, 40, 78.0).iter().all(|told| *told == 80));
    }
}
