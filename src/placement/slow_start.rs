//! Slow start: a host that has just started gets few attempts, counted over all placers together.

use super::placer::Placer;
use crate::state::hosts::Host;
use crate::types::Micros;

/// The fraction of the attempts that a warming host always bears which the placers use together.
const BUDGET_FRACTION: f64 = 0.8;
/// The time over which attempts are counted is stretched by this: clocks and deliveries differ.
const WINDOW_STRETCH: f64 = 1.25;
/// Length of a turn in such times: longer turns waste less of the budget and come less often.
const TURN_WINDOWS: f64 = 2.0;

impl Placer {
    /// Whether the slow-start budget allows another attempt at a host.
    ///
    /// Each placer uses its part of what a warming host always bears. Where that is less than one attempt, the
    /// placers take turns, staggered by their number and the host: each may make one attempt in its turn, and any
    /// window holds no more turns than the budget allows. Attempts may wait for a connection and then leave together, so
    /// the window covers that time. A placer that has just started may have used its part before. Cost: where few
    /// placers have tasks, most of the budget stays unused.
    pub(super) fn slow_start_allows(&self, host: &Host) -> bool {
        let age = self.now - host.started_at;
        if host.started_at <= 0 || age >= self.settings.slow_start {
            return true;
        }
        let window = self.accounting_window();
        if self.may_have_sent_before_start(host, window) {
            return false;
        }
        // Several processes of one placer count as several placers here.
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

    /// The time over which attempts at a warming host count, in microseconds.
    fn accounting_window(&self) -> f64 {
        let collapse_window = self.settings.collapse_window;
        let with_connect = (collapse_window + self.settings.connect_timeout).max(1);
        (collapse_window as f64 * WINDOW_STRETCH).max(with_connect as f64)
    }

    /// Whether this placer may have sent attempts to the host that it does not know of and that still count.
    fn may_have_sent_before_start(&self, host: &Host, window: f64) -> bool {
        let placer_started_at: Micros = self.started_at.unwrap_or(self.now);
        host.started_at < placer_started_at && ((self.now - placer_started_at) as f64) < window
    }

    fn attempts_within(&self, host: &Host, window: f64) -> usize {
        let sent = host.attempts_sent.iter();
        sent.filter(|sent_at| (self.now - **sent_at) as f64 <= window)
            .count()
    }
}
