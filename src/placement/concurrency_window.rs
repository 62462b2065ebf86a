//! The window of own attempts in flight at one host.
//!
//! It grows while tasks start in time and shrinks when they start late or attempts are lost. Covers hosts that cannot
//! keep up (warming up, paused, short of cores, flooded by others), on which starts would pile up. Cost: slow
//! growth after a long fault.

use super::placer::Placer;
use crate::state::hosts::{Host, HostIndex};
use crate::types::{Micros, Outcome};

/// Attempts in flight at a host, at first.
const INITIAL_WINDOW: f64 = 8.0;
/// The same, at most.
const MAX_WINDOW: f64 = 16.0;
/// The same, at least.
const MIN_WINDOW: f64 = 1.0;
/// What a start in time adds.
const GROWTH_ON_START: f64 = 1.0;
/// What a late start takes.
const SHRINK_ON_LATE_START: f64 = 0.1;
/// The fraction of the window that a lost attempt takes.
const SHRINK_FRACTION_ON_TIMEOUT: f64 = 0.1;

/// Attempts that may be in flight at a host.
fn window(host: &Host) -> f64 {
    INITIAL_WINDOW + host.window_growth
}

/// Whether another attempt may be in flight at a host.
pub(super) fn has_window(host: &Host) -> bool {
    host.has_attempt_capacity(window(host))
}

impl Placer {
    /// An attempt has started its task after this time.
    pub(super) fn adjust_window_on_start(
        &mut self,
        host: HostIndex,
        elapsed: Micros,
        objective: Micros,
    ) {
        let change = if elapsed <= objective {
            GROWTH_ON_START
        } else {
            -SHRINK_ON_LATE_START
        };
        self.leave_window(host, change);
    }

    /// An attempt has ended without a start.
    pub(super) fn adjust_window_on_failure(&mut self, host: HostIndex, outcome: Outcome) {
        let change = if outcome == Outcome::Timeout {
            -window(&self.hosts.hosts[host]) * SHRINK_FRACTION_ON_TIMEOUT
        } else {
            0.0
        };
        self.leave_window(host, change);
    }

    /// An attempt is no longer in flight, and the window changes by this much.
    fn leave_window(&mut self, index: HostIndex, change: f64) {
        let host = &mut self.hosts.hosts[index];
        host.in_flight = host.in_flight.saturating_sub(1);
        host.window_growth = (host.window_growth + change)
            .clamp(MIN_WINDOW - INITIAL_WINDOW, MAX_WINDOW - INITIAL_WINDOW);
        self.hosts.in_flight = self.hosts.in_flight.saturating_sub(1);
    }
}
