//! Reports on overload control to operators, in the log and in the reply to `ctl overload`. This module never limits
//! anything itself: the overload engine does, through the facade.

use super::Dispatch;
use crate::ctl::CommandError;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::overload::{Counters, HostReport, Report};

impl Dispatch {
    /// Logs what overload control has decided since the last log line, if anything.
    pub(super) fn log_overload(&mut self, now: Micros) {
        let Some(overload) = self.facade.overload() else {
            return;
        };
        let (step, counters) = (overload.shed_level(), overload.counters());
        self.overload_log.update(now, step, counters);
    }

    /// Returns the reply to `ctl overload`.
    pub(super) fn overload_report(&self, now: Micros) -> Result<OwnedValue, CommandError> {
        let overload = self.facade.overload();
        let overload = overload.ok_or(CommandError::OverloadControlDisabled)?;
        let Report {
            shed_level: step,
            admitted_fraction: through,
            retries_left: left,
            backed_off_clients: away,
            counters,
            hosts,
        } = overload.report(now);
        let hosts: Vec<OwnedValue> = hosts.iter().map(host_report).collect();
        let mut reply = json!({
            "step": step, "through": through, "away": away, "counters": counter_values(counters), "hosts": hosts
        });
        if let Some(left) = left {
            let _ = reply.insert("attempts-left", left);
        }
        Ok(reply)
    }
}

fn counter_values(counters: Counters) -> OwnedValue {
    let mut values = OwnedValue::object();
    for (name, count) in counters.named() {
        let _ = values.insert(name, count);
    }
    values
}

fn host_report(host: &HostReport) -> OwnedValue {
    let seconds = |span: Micros| span as f64 / 1e6;
    match host.next_slot_in {
        Some(turn) => {
            json!({ "host": &*host.host.0, "turn": seconds(turn), "out": host.in_flight })
        }
        None => json!({
            "host": &*host.host.0, "window": host.window, "out": host.in_flight, "delay": seconds(host.mean_delay)
        }),
    }
}
