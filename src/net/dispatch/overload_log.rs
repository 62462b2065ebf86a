//! Limits the log lines about overload control: one line when the shed level (`step` in the log) changes, and at most
//! one line a second about the decisions that were made. Only the state as last logged is kept.

use task_placer::Micros;
use task_placer::overload::{Counters, admission};
use tracing::info;

/// The minimum time between two log lines about decisions.
const MIN_LOG_INTERVAL: Micros = 1_000_000;
/// Counters that every task increments, whatever is decided: their increments are not logged.
const UNCONDITIONAL_COUNTERS: [&str; 3] = ["fresh", "repeats", "first"];

/// The time and values of the last log lines.
#[derive(Default)]
pub(super) struct OverloadLog {
    logged_at: Micros,
    counters: Counters,
    step: u8,
}

impl OverloadLog {
    /// Logs a change of the shed level, and the decisions since the last line about decisions, if there were any.
    pub(super) fn update(&mut self, now: Micros, step: u8, counters: Counters) {
        if step != self.step {
            let through = admission::admitted_fraction(step);
            info!(
                reason = "overload-step",
                from = self.step,
                to = step,
                through,
                "overload"
            );
            self.step = step;
        }
        if now - self.logged_at < MIN_LOG_INTERVAL || counters == self.counters {
            return;
        }
        let increments = self.increments(&counters);
        if !increments.is_empty() {
            info!(
                reason = "overload",
                step,
                moved = increments.join(" "),
                "overload"
            );
        }
        (self.logged_at, self.counters) = (now, counters);
    }

    /// Returns the increments of those counters that have grown and count decisions, as `name=count`.
    fn increments(&self, counters: &Counters) -> Vec<String> {
        let before = self.counters.named();
        counters
            .named()
            .into_iter()
            .zip(before)
            .filter(|((name, now), (_, before))| {
                now > before && !UNCONDITIONAL_COUNTERS.contains(name)
            })
            .map(|((name, now), (_, before))| format!("{name}={}", now - before))
            .collect()
    }
}
