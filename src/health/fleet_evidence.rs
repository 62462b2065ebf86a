//! Whether a fault is this placer's or the fleet's, as far as a single placer can tell.
//!
//! Where the hosts are full, every placer rejects requests, and a lower weight at each of them moves no load.
//! Placers exchange no messages, so the question is which explanation a placer's own evidence leaves open.
//! Three observations point to the fleet, and each is discounted by what could produce it here:
//!
//! - *Full*: hosts reject attempts for lack of capacity, or the endpoint list shows little of it. A host's
//!   rejection is a fact whoever receives it, and stays one for a while where the module holds requests back
//!   instead of attempting them in vain. The endpoint list counts less the older it is.
//! - *Slow*: hosts that do start tasks take long. A late event loop sees every host as slow, so this counts
//!   only as far as the loop was in time.
//! - *Down*: hosts are unreachable in some zones and not in others. What fails alike in every zone is nearer
//!   to this placer than to the hosts; [`Unreachable::of`] separates the two.

use super::sliding_window::SlidingWindow;
use crate::{Micros, Outcome, OutcomeDetail};

const WINDOW: Micros = 10_000_000;
/// Fewer attempts than this show nothing.
const MIN_ATTEMPTS: f64 = 5.0;
/// An attempt that took this fraction of its class's latency objective at the host was slow there.
const SLOW_FRACTION: f64 = 0.5;

/// The hosts of one zone that the endpoint list shows as up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneReachability {
    /// Their number.
    pub listed: u32,
    /// Hosts that refused a connection: no process listens there, whoever connects.
    pub refused: u32,
    /// Hosts to which no connection can be established.
    pub silent: u32,
}

/// The fractions of the listed hosts that are unreachable, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Unreachable {
    /// Attributed to this placer.
    pub own: f64,
    /// Attributed to the hosts.
    pub fleet: f64,
}

impl Unreachable {
    /// Attributes unreachable hosts to this placer or to the fleet.
    ///
    /// A refused connection is attributed to its host. Silence is attributed to this placer as far as it is the
    /// same in all zones: by the lowest fraction of any zone. With a single zone there is nothing to compare,
    /// and silence is attributed to this placer only if it covers more than half of the zone.
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

/// The evidence that the fleet is the cause.
#[derive(Debug, Clone)]
pub struct FleetEvidence {
    /// Attempts rejected for lack of capacity, of all.
    rejections: SlidingWindow,
    /// Slow starts, of all starts.
    slow_starts: SlidingWindow,
    /// Attempts timed out, of all.
    timeouts: SlidingWindow,
    /// The fraction of the listed hosts that have capacity for a mean task, if the list shows it.
    with_capacity: Option<f64>,
    /// The fraction of the listed hosts whose latest response was a rejection for lack of capacity.
    full: f64,
    /// The unreachable fraction that is attributed to the hosts.
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

/// Rises from 0 at `from` to 1 at `to`.
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

    /// Sets the fractions of the hosts that have capacity, are full, and are unreachable by their own fault.
    pub fn set_host_fractions(&mut self, with_capacity: Option<f64>, full: f64, unreachable: f64) {
        self.with_capacity = with_capacity;
        self.full = full;
        self.unreachable = unreachable;
    }

    /// Returns the fraction of recent attempts that timed out, or `None` if there were too few.
    pub fn timeout_fraction(&self, now: Micros) -> Option<f64> {
        self.timeouts.fraction(now, MIN_ATTEMPTS)
    }

    /// Returns how far the fleet explains late and rejected requests, 0 to 1, given how late this placer's own
    /// event loop is and how stale its endpoint list, both as severities.
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
