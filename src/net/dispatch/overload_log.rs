//! Limits the log lines about overload control: one line when the shedding step changes, and at most one a second about
//! what was decided. It holds only what was logged last.

use task_placer::Micros;
use task_placer::overload::{Counters, admission};
use tracing::info;

/// The shortest time between two lines about decisions.
const MIN_LOG_INTERVAL: Micros = 1_000_000;
/// Counters that every task increments: they are no decisions.
const UNCONDITIONAL_COUNTERS: [&str; 3] = ["fresh", "repeats", "first"];

/// What was logged last.
#[derive(Default)]
pub(super) struct OverloadLog {
    logged_at: Micros,
    counters: Counters,
    step: u8,
}

impl OverloadLog {
    /// Logs what was decided since the last line, if anything was.
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

    /// Returns the increment of each counter that has grown and stands for a decision, as `name=count`.
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
