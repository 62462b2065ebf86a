//! Formats the replies to commands as text for operators.

use simd_json::OwnedValue;
use simd_json::prelude::*;

/// Formats the reply to every command except `ctl overload`: the state, the weight, the signals and the drain.
pub(super) fn state(value: &OwnedValue) -> String {
    let text = |name: &str| value.get_str(name).unwrap_or_default();
    let weight = number(value, "weight").unwrap_or(0.0);
    let mut lines = vec![format!("{} {weight}%", text("state"))];
    if !text("reason").is_empty() {
        lines.push(format!("weight limited by {}", text("reason")));
    }
    if let Some(signals) = value.get_array("signals") {
        lines.push(format!(
            "{:.0}% of late and rejected requests attributed to the fleet",
            100.0 * number(value, "fleet").unwrap_or(0.0)
        ));
        lines.extend(signals.iter().map(signal));
    }
    lines.extend(value.get("drain").map(drain));
    lines.join("\n")
}

fn signal(signal: &OwnedValue) -> String {
    let code = signal.get_str("code").unwrap_or_default();
    let number = |name: &str| number(signal, name).unwrap_or(0.0);
    format!(
        "  {code:<14} {:>10.3}  own severity {:>4.2}  maximum weight {:>3.0}%",
        number("value"),
        number("own"),
        number("leaves")
    )
}

fn drain(drain: &OwnedValue) -> String {
    let number = |name: &str| number(drain, name).unwrap_or(0.0);
    format!(
        "drain {}: seen by {} of {} load balancers, {} responses pending, {} tasks running, {} task ends not reported",
        drain.get_str("phase").unwrap_or_default(),
        number("seen"),
        number("pollers"),
        number("owed"),
        number("standing"),
        number("untold")
    )
}

/// Formats the reply to `ctl overload`.
pub(super) fn overload(value: &OwnedValue) -> String {
    let mut summary = format!(
        "shed level {}: admits {:.0}% of requests",
        number(value, "step").unwrap_or(0.0),
        100.0 * number(value, "through").unwrap_or(1.0)
    );
    if let Some(left) = number(value, "attempts-left") {
        summary.push_str(&format!("; {left:.1} retries left"));
    }
    summary.push_str(&format!(
        "; {} clients waiting for their Retry-After",
        number(value, "away").unwrap_or(0.0)
    ));
    let mut lines = vec![summary];
    lines.extend(counters(value));
    let hosts = value.get_array("hosts");
    lines.extend(hosts.into_iter().flatten().map(overloaded_host));
    lines.join("\n")
}

/// Formats the counters in one line, ordered by their names.
fn counters(value: &OwnedValue) -> Option<String> {
    let counters = value.get_object("counters")?;
    let mut counters: Vec<(&String, u64)> = counters
        .iter()
        .map(|(name, count)| (name, count.as_u64().unwrap_or(0)))
        .collect();
    counters.sort();
    let texts: Vec<String> = counters
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    Some(texts.join("  "))
}

fn overloaded_host(host: &OwnedValue) -> String {
    let name = host.get_str("host").unwrap_or_default();
    match number(host, "turn") {
        Some(turn) => format!("  {name}  suspect, next health check slot in {turn:.2} s"),
        None => format!(
            "  {name}  window {:.2}  in flight {}  mean delay {:.2} s",
            number(host, "window").unwrap_or(0.0),
            number(host, "out").unwrap_or(0.0),
            number(host, "delay").unwrap_or(0.0)
        ),
    }
}

fn number(value: &OwnedValue, name: &str) -> Option<f64> {
    value.get(name).and_then(|number| number.cast_f64())
}
