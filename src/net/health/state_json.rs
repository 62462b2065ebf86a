//! Encodes the reply to `ctl state`: health and drain of this process as JSON.

use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::health::drain::{Drain, Outstanding};
use task_placer::health::{Report, Signal, SignalReading, Transition};

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Encodes health and drain of this process as of `now`.
pub fn encode(now: Micros, report: &Report, drain: &Drain, outstanding: Outstanding) -> OwnedValue {
    let signals: Vec<OwnedValue> = report.signals.iter().map(signal_json).collect();
    let history: Vec<OwnedValue> = report.history.iter().map(transition_json).collect();
    json!({
        "state": report.state.as_str(),
        "weight": report.weight,
        "since_ms": (report.since / MICROS_PER_MILLISECOND),
        "now_ms": (now / MICROS_PER_MILLISECOND),
        "reason": report.cause.map_or("", Signal::as_str),
        "fleet": report.explained_by_fleet,
        "signals": signals,
        "drain": drain_json(now, drain, outstanding),
        "history": history
    })
}

fn signal_json(reading: &SignalReading) -> OwnedValue {
    // JSON can't represent NaN and infinities as numbers.
    let value = if reading.value.is_finite() {
        reading.value
    } else {
        f64::MAX
    };
    json!({
        "code": reading.signal.as_str(),
        "value": value,
        "badness": reading.severity,
        "own": reading.own_severity,
        "leaves": reading.max_weight
    })
}

fn transition_json(transition: &Transition) -> OwnedValue {
    json!({
        "at_ms": (transition.at / MICROS_PER_MILLISECOND),
        "from": transition.from.as_str(),
        "to": transition.to.as_str(),
        "reason": transition.reason.as_str(),
        "weight": transition.weight
    })
}

fn drain_json(now: Micros, drain: &Drain, outstanding: Outstanding) -> OwnedValue {
    let pollers = drain.pollers(now);
    json!({
        "phase": drain.phase().as_str(),
        "exits": drain.exits(),
        "pollers": pollers.live,
        "seen": pollers.notified,
        "owed": outstanding.pending_responses,
        "standing": outstanding.running_tasks,
        "untold": outstanding.unreported_ends
    })
}
