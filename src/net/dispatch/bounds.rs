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
pub struct Logged {
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
        let (step, counters) = (overload.shed_level(), overload.counters());
        if step != self.logged.step {
            let through = task_placer::overload::admission::admitted_fraction(step);
            info!(
                reason = "overload-step",
                from = self.logged.step,
                to = step,
                through,
                "overload"
            );
            self.logged.step = step;
        }
        if now - self.logged.at < EVERY || counters == self.logged.counters {
            return;
        }
        let moved: Vec<String> = counters
            .named()
            .into_iter()
            .zip(self.logged.counters.named())
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
        (self.logged.at, self.logged.counters) = (now, counters);
    }

    /// The answer to an operator.
    pub(super) fn tell_overload(&self, now: Micros) -> Result<OwnedValue, String> {
        let overload = self.facade.overload();
        let overload = overload.ok_or("nothing of [overload] is on here")?;
        let Report {
            shed_level,
            admitted_fraction,
            retries_left,
            backed_off_clients,
            counters,
            hosts,
        } = overload.report(now);
        let seconds = |span: Micros| span as f64 / 1e6;
        let hosts = hosts.into_iter().map(|host| match host.next_turn_in {
            Some(turn) => json!({ "host": &*host.host.0, "turn": seconds(turn), "out": host.in_flight }),
            None => json!({
                "host": &*host.host.0, "window": host.window, "out": host.in_flight, "delay": seconds(host.mean_delay)
            }),
        });
        let mut counted = OwnedValue::object();
        for (name, count) in counters.named() {
            let _ = counted.insert(name, count);
        }
        let hosts: Vec<OwnedValue> = hosts.collect();
        let mut told = json!({
            "step": shed_level, "through": admitted_fraction, "away": backed_off_clients, "counters": counted, "hosts": hosts
        });
        if let Some(left) = retries_left {
            let _ = told.insert("attempts-left", left);
        }
        Ok(told)
    }
}
