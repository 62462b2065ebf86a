//! Estimates whether faults are caused by this placer or by the fleet, from what a single placer observes.
//!
//! When the hosts are full, every placer rejects requests, and lowering the weight of each of them moves no load.
//! Placers exchange no messages, so each one decides from its own evidence. Three observations point to the fleet,
//! and each is discounted by the faults of this placer that could produce it:
//!
//! - *Full*: hosts reject attempts for lack of capacity, or the endpoint list shows little capacity. A host's
//!   rejection is valid evidence whichever placer receives it. A host also counts as full for a while after its last
//!   rejection, since the decision module may hold requests back instead of making attempts that would fail. The
//!   endpoint list counts less the staler it is.
//! - *Slow*: hosts that start tasks take long to do so. A late event loop sees every host as slow, so this counts
//!   less the later the loop is.
//! - *Down*: hosts are unreachable in some zones and reachable in others. A failure that is the same in every zone
//!   is more likely at this placer than at the hosts; [`Unreachable::of`] separates the two.

use super::sliding_window::SlidingWindow;
use crate::{Micros, Outcome, OutcomeDetail};

/// The length of the sliding windows over attempts, in microseconds.
const WINDOW: Micros = 10_000_000;
/// The minimum number of attempts in the window for which the fraction of rejected, slow or timed-out ones is computed.
const MIN_ATTEMPTS: f64 = 5.0;
/// An attempt counts as slow if it took at least this fraction of its class's latency objective at the host.
const SLOW_FRACTION: f64 = 0.5;

/// The number of hosts in one zone that the endpoint list shows as up, and how many of these are unreachable.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneReachability {
    /// The number of hosts that the endpoint list shows as up.
    pub listed: u32,
    /// The number of hosts that refused a connection: no process listens there, so other placers are refused as well.
    pub refused: u32,
    /// The number of hosts to which no connection can be established and that did not refuse it.
    pub silent: u32,
}

/// The fractions of the listed hosts that are unreachable because of this placer and because of the hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Unreachable {
    /// The fraction of the listed hosts whose unreachability is attributed to this placer.
    pub own: f64,
    /// The fraction of the listed hosts whose unreachability is attributed to the hosts themselves.
    pub fleet: f64,
}

impl Unreachable {
    /// Attributes unreachable hosts to this placer or to the fleet.
    ///
    /// A refused connection is attributed to its host. Silent hosts are attributed to this placer up to the lowest
    /// fraction of silent hosts in any zone, which is the part that all zones have in common. A single zone can't be
    /// compared with others, so its silent hosts are attributed to this placer only if they are more than half of it.
    pub fn of(zones: &[ZoneReachability]) -> Unreachable {
        let listed_zones: Vec<&ZoneReachability> =
            zones.iter().filter(|zone| zone.listed > 0).collect();
        let listed: u32 = listed_zones.iter().map(|zone| zone.listed).sum();
        if listed == 0 {
            return Unreachable::default();
        }
        let unreachable: u32 = listed_zones
            .iter()
            .map(|zone| zone.refused + zone.silent)
            .sum();
        let min_silent = listed_zones
            .iter()
            .map(|zone| f64::from(zone.silent) / f64::from(zone.listed))
            .fold(1.0, f64::min);
        let own = if listed_zones.len() > 1 || min_silent > 0.5 {
            min_silent
        } else {
            0.0
        };
        let fraction = f64::from(unreachable) / f64::from(listed);
        Unreachable {
            own: own.clamp(0.0, 1.0),
            fleet: (fraction - own).clamp(0.0, 1.0),
        }
    }
}

/// The evidence that faults are caused by the fleet.
#[derive(Debug, Clone)]
pub struct FleetEvidence {
    /// Counts attempts that hosts rejected for lack of capacity (the part) and all attempts (the whole).
    rejections: SlidingWindow,
    /// Counts attempts that started their task slowly (the part) and all attempts that started their task (the whole).
    slow_starts: SlidingWindow,
    /// Counts attempts that timed out (the part) and all attempts (the whole).
    timeouts: SlidingWindow,
    /// The fraction of the listed hosts that have capacity for a task of mean size, if the list reports capacity.
    with_capacity: Option<f64>,
    /// The fraction of the listed hosts whose latest response was a recent rejection for lack of capacity.
    full: f64,
    /// The fraction of the listed hosts that is unreachable by the hosts' own fault.
    unreachable: f64,
}

impl Default for FleetEvidence {
    fn default() -> FleetEvidence {
        FleetEvidence {
            rejections: SlidingWindow::new(WINDOW),
            slow_starts: SlidingWindow::new(WINDOW),
            timeouts: SlidingWindow::new(WINDOW),
            with_capacity: None,
            full: 0.0,
            unreachable: 0.0,
        }
    }
}

/// Maps a value linearly, so that `from` becomes 0 and `to` becomes 1. Values outside give 0 or 1.
fn ramp(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}

impl FleetEvidence {
    /// Records how an attempt ended. `relative_duration` is its time at the host as a fraction of the latency
    /// objective of its class.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        outcome: Outcome,
        detail: OutcomeDetail,
        relative_duration: f64,
    ) {
        let lacks_capacity = matches!(
            detail,
            OutcomeDetail::NoCores
                | OutcomeDetail::NoMemory
                | OutcomeDetail::QueueFull
                | OutcomeDetail::Unknown
        );
        self.rejections
            .add_one(now, outcome == Outcome::Rejected && lacks_capacity);
        self.timeouts.add_one(now, outcome == Outcome::Timeout);
        if outcome == Outcome::Completed {
            self.slow_starts
                .add_one(now, relative_duration >= SLOW_FRACTION);
        }
    }

    /// Sets the fractions of the listed hosts that have capacity, that are full, and that are unreachable by their own
    /// fault.
    pub fn set_host_fractions(&mut self, with_capacity: Option<f64>, full: f64, unreachable: f64) {
        self.with_capacity = with_capacity;
        self.full = full;
        self.unreachable = unreachable;
    }

    /// Returns the fraction of recent attempts that timed out, or `None` if there were too few.
    pub fn timeout_fraction(&self, now: Micros) -> Option<f64> {
        self.timeouts.fraction(now, MIN_ATTEMPTS)
    }

    /// Returns the degree to which late and rejected requests are explained by full, slow or unreachable hosts instead
    /// of this placer, 0 to 1. `loop_lateness` and `list_staleness` are the severities of this placer's own late event
    /// loop and stale endpoint list.
    pub fn explains(&self, now: Micros, loop_lateness: f64, list_staleness: f64) -> f64 {
        let rejections = self
            .rejections
            .fraction(now, MIN_ATTEMPTS)
            .map_or(0.0, |fraction| ramp(fraction, 0.1, 0.4));
        let lack_of_capacity = self
            .with_capacity
            .map_or(0.0, |with_capacity| ramp(1.0 - with_capacity, 0.6, 0.95));
        let slow_starts = self
            .slow_starts
            .fraction(now, MIN_ATTEMPTS)
            .map_or(0.0, |fraction| ramp(fraction, 0.3, 0.7));
        let full = ramp(self.full, 0.3, 0.7);
        let unreachable = ramp(self.unreachable, 0.1, 0.4);
        rejections
            .max(full)
            .max(lack_of_capacity * (1.0 - list_staleness))
            .max(slow_starts * (1.0 - loop_lateness))
            .max(unreachable)
    }
}

#[cfg(test)]
mod tests;
