//! The rate of arrivals over time, and the language in which plans write it.
//!
//! ```text
//! shape   = item { "," item }
//! item    = [ name ":" ] ( count "x" "(" shape ")" | phase )
//! phase   = rate "for" span                       as many a second, evenly
//!         | ( "rise" | "fall" ) "to" rate "over" span   from the rate before, in a line
//!         | "hold" span                           the rate before
//!         | "wave" rate ".." rate "every" span "for" span   a sine from low to high and back
//!         | "burst" count "in" span               so many, then the rate before goes on
//!         | "silence" span                        nothing
//! rate    = number "/" ( "s" | "m" | "h" )
//! span    = number ( "ms" | "s" | "m" | "h" ) { number unit }
//! ```
//!
//! Names mark phases in reports. `3x(burst 20 in 1s, hold 4s)` repeats.

mod parser;
#[cfg(test)]
mod tests;

pub use parser::{ProfileError, parse};

/// Microseconds.
pub type Micros = i64;

const SECOND: f64 = 1e6;
/// Maximum length of a profile.
const MAX_LENGTH: Micros = 7 * 86_400 * 1_000_000;
/// Maximum rate, in arrivals a second.
const MAX_RATE: f64 = 1e6;
/// Maximum number of phases after all repeats.
const MAX_PHASES: usize = 10_000;
/// Maximum number of repeats of a group.
const MAX_REPEATS: u32 = 1_000;

/// The rate within a phase, in arrivals a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateCurve {
    /// A constant rate.
    Constant(f64),
    /// Linear, from the first rate to the second.
    Linear(f64, f64),
    /// A sine between a low and a high rate, beginning at the low one, with this period.
    Sine(f64, f64, Micros),
}

/// A phase of a load profile.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// Its name, or the kind of phase.
    pub name: String,
    /// When it begins.
    pub start: Micros,
    /// How long it lasts.
    pub length: Micros,
    /// Its rate.
    pub curve: RateCurve,
}

impl Phase {
    /// The rate at a time after its start.
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

    /// The highest rate within it.
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
    /// Its phases, one after the other.
    pub phases: Vec<Phase>,
}

impl LoadProfile {
    /// Returns how long it lasts.
    pub fn length(&self) -> Micros {
        self.phases
            .last()
            .map_or(0, |phase| phase.start + phase.length)
    }

    /// Returns the phase at a time.
    pub fn phase(&self, at: Micros) -> Option<&Phase> {
        let after = self.phases.partition_point(|phase| phase.start <= at);
        let phase = after.checked_sub(1).and_then(|n| self.phases.get(n))?;
        (at < phase.start + phase.length).then_some(phase)
    }

    /// Returns the arrivals per second at a time.
    pub fn rate(&self, at: Micros) -> f64 {
        self.phase(at)
            .map_or(0.0, |phase| phase.rate(at - phase.start))
    }

    /// Returns the highest rate of all.
    pub fn max_rate(&self) -> f64 {
        self.phases.iter().map(Phase::max_rate).fold(0.0, f64::max)
    }

    /// Returns the expected number of arrivals up to a time: the integral of the rate, exact for all curves.
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

    /// Returns the profile with all rates multiplied.
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
