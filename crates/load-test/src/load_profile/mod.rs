//! Load profiles: the rate of arrivals over time, and the syntax in which plans write it.
//!
//! ```text
//! shape   = item { "," item }
//! item    = [ name ":" ] ( count "x" "(" shape ")" | phase )
//! phase   = rate "for" span                       a constant rate
//!         | ( "rise" | "fall" ) "to" rate "over" span   linear, from the rate before
//!         | "hold" span                           constant at the rate before
//!         | "wave" rate ".." rate "every" span "for" span   a sine from low to high and back
//!         | "burst" count "in" span               a number of arrivals; then the rate before applies again
//!         | "silence" span                        no arrivals
//! rate    = number "/" ( "s" | "m" | "h" )
//! span    = number ( "ms" | "s" | "m" | "h" ) { number unit }
//! ```
//!
//! Names identify phases in reports. `3x(burst 20 in 1s, hold 4s)` repeats the phases in parentheses three times.

mod parser;
#[cfg(test)]
mod tests;

pub use parser::{ProfileError, parse};

/// A time or a duration in microseconds.
pub type Micros = i64;

const SECOND: f64 = 1e6;
/// Maximum length of a profile: 7 days.
const MAX_LENGTH: Micros = 7 * 86_400 * 1_000_000;
/// Maximum rate, in arrivals per second.
const MAX_RATE: f64 = 1e6;
/// Maximum number of phases, with all repeats expanded.
const MAX_PHASES: usize = 10_000;
/// Maximum number of repeats of a group.
const MAX_REPEATS: u32 = 1_000;

/// The rate over the time of a phase, in arrivals per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateCurve {
    /// A constant rate.
    Constant(f64),
    /// A rate that changes linearly from the first value to the second.
    Linear(f64, f64),
    /// A sine that begins at the low rate: low rate, high rate and period.
    Sine(f64, f64, Micros),
}

/// A phase of a load profile.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// Name that the profile gives the phase, or else the kind of phase.
    pub name: String,
    /// When the phase begins, from the start of the profile.
    pub start: Micros,
    /// Duration of the phase.
    pub length: Micros,
    /// Rate over the time of the phase.
    pub curve: RateCurve,
}

impl Phase {
    /// Returns the rate at a time after the start of the phase.
    fn rate(&self, after: Micros) -> f64 {
        let fraction = after as f64 / self.length.max(1) as f64;
        match self.curve {
            RateCurve::Constant(rate) => rate,
            RateCurve::Linear(from, to) => from + (to - from) * fraction,
            RateCurve::Sine(low, high, period) => {
                let angle = std::f64::consts::TAU * after as f64 / period.max(1) as f64;
                low + (high - low) * (1.0 - angle.cos()) / 2.0
            }
        }
    }

    /// Returns the highest rate within the phase.
    fn max_rate(&self) -> f64 {
        match self.curve {
            RateCurve::Constant(rate) => rate,
            RateCurve::Linear(from, to) => from.max(to),
            RateCurve::Sine(low, high, _) => low.max(high),
        }
    }
}

/// The rate of arrivals over time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadProfile {
    /// The phases in order; each begins where the one before ends.
    pub phases: Vec<Phase>,
}

impl LoadProfile {
    /// Returns the duration of the profile.
    pub fn length(&self) -> Micros {
        self.phases
            .last()
            .map_or(0, |phase| phase.start + phase.length)
    }

    /// Returns the phase at a time, or none after the end of the profile.
    pub fn phase(&self, at: Micros) -> Option<&Phase> {
        let after = self.phases.partition_point(|phase| phase.start <= at);
        let phase = after.checked_sub(1).and_then(|n| self.phases.get(n))?;
        (at < phase.start + phase.length).then_some(phase)
    }

    /// Returns the rate at a time, in arrivals per second.
    pub fn rate(&self, at: Micros) -> f64 {
        self.phase(at)
            .map_or(0.0, |phase| phase.rate(at - phase.start))
    }

    /// Returns the highest rate of all phases.
    pub fn max_rate(&self) -> f64 {
        self.phases.iter().map(Phase::max_rate).fold(0.0, f64::max)
    }

    /// Returns the expected number of arrivals up to a time: the integral of the rate, computed in closed
    /// form for all curves.
    pub fn expected(&self, until: Micros) -> f64 {
        let within = |phase: &Phase| {
            let span = (until - phase.start).clamp(0, phase.length);
            let seconds = span as f64 / SECOND;
            match phase.curve {
                RateCurve::Constant(rate) => rate * seconds,
                RateCurve::Linear(from, _) => (from + phase.rate(span)) / 2.0 * seconds,
                RateCurve::Sine(low, high, period) => {
                    let angular_frequency = std::f64::consts::TAU / (period.max(1) as f64 / SECOND);
                    let middle = (low + high) / 2.0;
                    middle * seconds
                        - (high - low) / 2.0 * (angular_frequency * seconds).sin()
                            / angular_frequency
                }
            }
        };
        self.phases.iter().map(within).sum()
    }

    /// Returns the profile with all rates multiplied by a factor.
    pub fn scaled(&self, factor: f64) -> LoadProfile {
        let curve = |curve| match curve {
            RateCurve::Constant(rate) => RateCurve::Constant(rate * factor),
            RateCurve::Linear(from, to) => RateCurve::Linear(from * factor, to * factor),
            RateCurve::Sine(low, high, period) => {
                RateCurve::Sine(low * factor, high * factor, period)
            }
        };
        let phases = self.phases.iter().map(|phase| Phase {
            curve: curve(phase.curve),
            ..phase.clone()
        });
        LoadProfile {
            phases: phases.collect(),
        }
    }
}
