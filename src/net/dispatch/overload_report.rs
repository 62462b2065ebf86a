//! Owns what people are told of the engine of overloads: one line of the log a second while it decides anything, and
//! the answer to `ctl overload`. It never bounds anything itself: the engine does, through the facade.

use super::Dispatch;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::overload::{Counters, Report};
use tracing::info;

/// The most often that decisions are logged.
const EVERY: Micros = 1_000_000;

/// What was logged last.
#[derive(Default)]
pub struct OverloadLog {
    at: Micros,
    counters: Counters,
    step: u8,
}

impl Dispatch {
    /// Logs what was decided since the last line, if anything was.
    pub(super) fn log_overload(&mut self, now: Micros) {
        let Some(overload) = self.facade.overload() else {
            return;
        };
        let (step, counters) = (overload.step(), overload.counters());
        if step != self.overload_log.step {
            let through = task_placer::overload::gate::through(step);
            info!(
                reason = "overload-step",
                from = self.overload_log.step,
                to = step,
                through,
                "overload"
            );
            self.overload_log.step = step;
        }
        if now - self.overload_log.at < EVERY || counters == self.overload_log.counters {
            return;
        }
        let moved: Vec<String> = counters
            .named()
            .into_iter()
            .zip(self.overload_log.counters.named())
            // What every task moves is no decision.
            .filter(|((name, now), (_, before))| {
                now > before && !matches!(*name, "fresh" | "repeats" | "first")
            })
            .map(|((name, now), (_, before))| format!("{name}={}", now - before))
            .collect();
        if !moved.is_empty() {
            info!(
                reason = "overload",
                step,
                moved = moved.join(" "),
                "overload"
            );
        }
        (self.overload_log.at, self.overload_log.counters) = (now, counters);
    }

    /// The answer to an operator.
    pub(super) fn overload_report(&self, now: Micros) -> Result<OwnedValue, String> {
        let overload = self.facade.overload();
        let overload = overload.ok_or("nothing of [overload] is on here")?;
        let Report {
            step,
            through,
            left,
            away,
            counters,
            hosts,
        } = overload.report(now);
        let seconds = |span: Micros| span as f64 / 1e6;
        let hosts = hosts.into_iter().map(|host| match host.turn {
            Some(turn) => json!({ "host": &*host.host.0, "turn": seconds(turn), "out": host.out }),
            None => json!({
                "host": &*host.host.0, "window": host.window, "out": host.out, "delay": seconds(host.delay)
            }),
        });
        let mut counted = OwnedValue::object();
        for (name, count) in counters.named() {
            let _ = counted.insert(name, count);
        }
        let hosts: Vec<OwnedValue> = hosts.collect();
        let mut told = json!({
            "step": step, "through": through, "away": away, "counters": counted, "hosts": hosts
        });
        if let Some(left) = left {
            let _ = told.insert("attempts-left", left);
        }
        Ok(told)
    }
}
