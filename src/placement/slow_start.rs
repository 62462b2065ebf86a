//! Slow start: limits the attempts that all placers together send to a host that has just started.

use super::placer::Placer;
use crate::state::hosts::Host;
use crate::types::Micros;

/// All placers together send a warming host at most this fraction of the attempts that it can always handle.
const BUDGET_FRACTION: f64 = 0.8;
/// Factor by which the time over which attempts are counted is extended, because clocks and delivery times differ.
const WINDOW_STRETCH: f64 = 1.25;
/// Length of the turn in which a placer may send an attempt to a warming host, as a multiple of the time over which
/// attempts are counted. Longer turns waste less of the budget but come less often.
const TURN_WINDOWS: f64 = 2.0;

impl Placer {
    /// Returns whether the slow-start budget allows another attempt at a host.
    ///
    /// Each placer has an equal part of the attempts that a warming host can always handle. If that part is less than
    /// one attempt, the placers take turns, staggered by their index and by the host. Each may send one attempt in its
    /// turn, and no window contains more turns than the budget allows. Attempts may wait for a connection and then be
    /// sent together, so the window includes the connect timeout. A placer that has just started sends nothing within
    /// the first window, because it may have used its part before a restart. The drawback is that most of the budget
    /// stays unused if only a few placers have tasks.
    pub(super) fn slow_start_allows(&self, host: &Host) -> bool {
        let age = self.now - host.started_at;
        if host.started_at <= 0 || age >= self.settings.slow_start {
            return true;
        }
        let window = self.accounting_window();
        if self.may_have_sent_before_start(host, window) {
            return false;
        }
        // If several processes serve as one placer, each of them counts as a placer here.
        let processes = f64::from(self.limits.peer_processes) + 1.0;
        let placers = self.settings.placer_count.max(1) as f64 * processes;
        let budget = BUDGET_FRACTION * self.settings.slow_start_attempts / placers;
        if budget >= 1.0 {
            return (self.attempts_within(host, window) + 1) as f64 <= budget;
        }
        let turn = TURN_WINDOWS * window;
        let round = (window + turn) / budget.max(f64::MIN_POSITIVE);
        let process =
            self.settings.placer_index as f64 * processes + f64::from(self.limits.process_index);
        let offset = process / placers + (host.hash >> 32) as f64 / (1u64 << 32) as f64;
        let position = (age as f64 / round + offset).rem_euclid(1.0) * round;
        position < turn && self.attempts_within(host, turn) == 0
    }

    /// Returns the time over which attempts at a warming host are counted, in microseconds.
    fn accounting_window(&self) -> f64 {
        let collapse_window = self.settings.collapse_window;
        let with_connect = (collapse_window + self.settings.connect_timeout).max(1);
        (collapse_window as f64 * WINDOW_STRETCH).max(with_connect as f64)
    }

    /// Returns whether this placer may have sent attempts to the host before the placer itself was restarted. It does
    /// not know of such attempts, but they still count towards the host's slow-start budget.
    fn may_have_sent_before_start(&self, host: &Host, window: f64) -> bool {
        let placer_started_at: Micros = self.started_at.unwrap_or(self.now);
        host.started_at < placer_started_at && ((self.now - placer_started_at) as f64) < window
    }

    /// Returns the number of attempts that this placer sent to the host within the last `window` microseconds.
    fn attempts_within(&self, host: &Host, window: f64) -> usize {
        let sent = host.attempts_sent.iter();
        sent.filter(|sent_at| (self.now - **sent_at) as f64 <= window)
            .count()
    }
}
