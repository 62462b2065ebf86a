//! The concurrency window: how many attempts of this placer may be in flight at one host.
//!
//! The window grows while tasks start in time and shrinks when they start late or attempts time out. It protects hosts
//! that cannot keep up (warming up, paused, short of cores, or overloaded by other placers), on which starts would pile
//! up. The drawback is that the window grows slowly after a long fault.

use super::placer::Placer;
use crate::state::hosts::{Host, HostIndex};
use crate::types::{Micros, Outcome};

/// Number of attempts that may be in flight at a host whose window has not changed yet.
const INITIAL_WINDOW: f64 = 8.0;
/// Largest window, in attempts in flight at a host.
const MAX_WINDOW: f64 = 16.0;
/// Smallest window, in attempts in flight at a host.
const MIN_WINDOW: f64 = 1.0;
/// Amount by which the window grows with each task that starts in time.
const GROWTH_ON_START: f64 = 1.0;
/// Amount by which the window shrinks with each task that starts late.
const SHRINK_ON_LATE_START: f64 = 0.1;
/// Fraction of the window by which it shrinks with each attempt that times out.
const SHRINK_FRACTION_ON_TIMEOUT: f64 = 0.1;

/// Returns how many attempts of this placer may be in flight at a host.
fn window(host: &Host) -> f64 {
    INITIAL_WINDOW + host.window_growth
}

/// Returns whether the window or an imposed limit allows another attempt in flight at a host.
pub(super) fn window_allows_attempt(host: &Host) -> bool {
    host.has_attempt_capacity(window(host))
}

impl Placer {
    /// Adjusts a host's window when an attempt has started its task. `elapsed` is the time since the attempt was sent.
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
        self.finish_attempt_in_flight(host, change);
    }

    /// Adjusts a host's window when an attempt has ended without starting its task.
    pub(super) fn adjust_window_on_failure(&mut self, host: HostIndex, outcome: Outcome) {
        let change = if outcome == Outcome::Timeout {
            -window(&self.hosts.hosts[host]) * SHRINK_FRACTION_ON_TIMEOUT
        } else {
            0.0
        };
        self.finish_attempt_in_flight(host, change);
    }

    /// Records that an attempt is no longer in flight, and adds `change` to the host's window, clamped to its bounds.
    fn finish_attempt_in_flight(&mut self, index: HostIndex, change: f64) {
        let host = &mut self.hosts.hosts[index];
        host.in_flight = host.in_flight.saturating_sub(1);
        host.window_growth = (host.window_growth + change)
            .clamp(MIN_WINDOW - INITIAL_WINDOW, MAX_WINDOW - INITIAL_WINDOW);
        self.hosts.in_flight = self.hosts.in_flight.saturating_sub(1);
    }
}
