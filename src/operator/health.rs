//! Reads `[health]`: the listeners for load balancers, and the health monitor.

use super::reader::{Reader, Section};
use super::{to_duration, to_micros};
use std::net::SocketAddr;
use std::time::Duration;
use task_placer::health::{MEASURED_SIGNALS, Settings, SeverityRamp, Signal, WeightPolicy};

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

/// The settings of `[health]`.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// The addresses at which agent checks are answered.
    pub agent_addresses: Vec<SocketAddr>,
    /// The addresses at which HTTP checks are answered.
    pub http_addresses: Vec<SocketAddr>,
    /// The maximum number of load balancers' connections, over all of these addresses together.
    pub max_connections: usize,
    /// How long to wait for the line that an agent check may send first, before the check is answered without it.
    pub agent_line_timeout: Duration,
    /// The maximum time for an HTTP request to arrive completely.
    pub request_timeout: Duration,
    /// How long a connection may stay open without a further request.
    pub idle_timeout: Duration,
    /// The HTTP status with which checks are answered during a drain.
    pub drain_status: u16,
    /// Whether `maxconn` is reported to agent checks.
    pub reports_maxconn: bool,
    /// The weight below which Envoy's checks are answered with `degraded`.
    pub degraded_below: u8,
    /// The settings of the health monitor.
    pub monitor: Settings,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            agent_addresses: Vec::new(),
            http_addresses: Vec::new(),
            max_connections: 32,
            agent_line_timeout: Duration::from_millis(20),
            request_timeout: 2 * SECOND,
            idle_timeout: 30 * SECOND,
            drain_status: 503,
            reports_maxconn: false,
            degraded_below: 50,
            monitor: Settings::default(),
        }
    }
}

impl HealthSettings {
    /// Returns whether any listener for load balancers is configured.
    pub fn listens(&self) -> bool {
        !self.agent_addresses.is_empty() || !self.http_addresses.is_empty()
    }
}

fn is_positive(duration: &Duration) -> bool {
    !duration.is_zero()
}

fn is_positive_up_to(max: Duration) -> impl Fn(&Duration) -> bool {
    move |duration| !duration.is_zero() && *duration <= max
}

fn is_fraction(value: &f64) -> bool {
    (0.0..=1.0).contains(value)
}

/// Reads `[health]` and its tables.
pub(super) fn read(reader: &mut Reader<'_>, root: &mut Section<'_>) -> HealthSettings {
    let mut section = reader.section(root, "health");
    let default = HealthSettings::default();
    let (agent_addresses, http_addresses) = read_addresses(reader, &mut section);
    let max_connections = reader.checked(
        &mut section,
        "connections",
        default.max_connections as u64,
        |count| (1..=4_096).contains(count),
        "1 to 4096",
    );
    let timeouts = read_timeouts(reader, &mut section, &default);
    let drain_status = reader.checked(
        &mut section,
        "drain-status",
        u64::from(default.drain_status),
        |status| matches!(status, 404 | 503),
        "503 or 404",
    );
    let reports_maxconn = reader.value(&mut section, "agent-maxconn", default.reports_maxconn);
    let degraded_below = reader.checked(
        &mut section,
        "envoy-degraded-below",
        u64::from(default.degraded_below),
        |weight| (0..=100).contains(weight),
        "0 to 100",
    );
    let monitor = read_monitor(reader, &mut section);
    reader.close(&section);
    HealthSettings {
        agent_addresses,
        http_addresses,
        max_connections: usize::try_from(max_connections).unwrap_or(default.max_connections),
        agent_line_timeout: timeouts.agent_line,
        request_timeout: timeouts.request,
        idle_timeout: timeouts.idle,
        drain_status: u16::try_from(drain_status).unwrap_or(default.drain_status),
        reports_maxconn,
        degraded_below: u8::try_from(degraded_below).unwrap_or(default.degraded_below),
        monitor,
    }
}

/// The timeouts of connections from load balancers.
struct Timeouts {
    agent_line: Duration,
    request: Duration,
    idle: Duration,
}

fn read_timeouts(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    default: &HealthSettings,
) -> Timeouts {
    Timeouts {
        agent_line: reader.checked(
            section,
            "agent-line-wait",
            default.agent_line_timeout,
            |timeout| *timeout <= SECOND,
            "at most 1s",
        ),
        request: reader.checked(
            section,
            "request-time",
            default.request_timeout,
            is_positive_up_to(MINUTE),
            "1ms to 1m",
        ),
        idle: reader.checked(
            section,
            "idle",
            default.idle_timeout,
            is_positive_up_to(10 * MINUTE),
            "1ms to 10m",
        ),
    }
}

/// Reads the addresses for agent checks and for HTTP checks. An address may be stated only once, over both lists.
fn read_addresses(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let agent = reader.value(section, "agent", Vec::<SocketAddr>::new());
    let http = reader.value(section, "http", Vec::<SocketAddr>::new());
    let mut all: Vec<SocketAddr> = agent.iter().chain(&http).copied().collect();
    all.sort();
    let is_duplicate = |pair: &&[SocketAddr]| matches!(pair, [a, b] if a == b && a.port() != 0);
    if let Some([duplicate, _]) = all.windows(2).find(is_duplicate) {
        reader.report(section, "http", format!("duplicate address {duplicate}"));
    }
    (agent, http)
}

fn read_monitor(reader: &mut Reader<'_>, health: &mut Section<'_>) -> Settings {
    let default = Settings::default();
    let mut section = reader.section(health, "weight");
    let slow_start = reader.value(&mut section, "slow-start", to_duration(default.slow_start));
    let weight = read_weight_policy(reader, &mut section, default.weight);
    reader.close(&section);
    Settings {
        slow_start: to_micros(slow_start),
        ramps: read_ramps(reader, health, default.ramps),
        weight,
        ..default
    }
}

/// Reads the keys of `[health.weight]` that control how the weight falls and rises.
fn read_weight_policy(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    default: WeightPolicy,
) -> WeightPolicy {
    let min_weight = reader.checked(
        section,
        "floor",
        default.min_weight,
        |weight| (1.0..=100.0).contains(weight),
        "1 to 100",
    );
    let rise_time = reader.checked(
        section,
        "rise",
        to_duration(default.rise_time),
        is_positive,
        "more than 0s",
    );
    let fall_interval = reader.value(section, "fall-pause", to_duration(default.fall_interval));
    let hold = reader.checked(
        section,
        "hold",
        to_duration(default.hold),
        is_positive,
        "more than 0s",
    );
    let max_hold = reader.value(section, "most-hold", to_duration(default.max_hold));
    if max_hold < hold {
        let message = "shorter than hold, the initial value, which is doubled up to this limit";
        reader.report(section, "most-hold", message.into());
    }
    let ceiling_memory = reader.value(section, "memory", to_duration(default.ceiling_memory));
    let max_ceiling_memory = reader.value(
        section,
        "most-memory",
        to_duration(default.max_ceiling_memory),
    );
    if max_ceiling_memory < ceiling_memory {
        let message = "shorter than memory, the initial value, which is doubled up to this limit";
        reader.report(section, "most-memory", message.into());
    }
    let max_changes = reader.checked(
        section,
        "most-changes",
        default.max_changes_per_minute as u64,
        |changes| (4..=120).contains(changes),
        "4 to 120 changes per minute",
    );
    WeightPolicy {
        min_weight,
        fall_interval: to_micros(fall_interval),
        hold: to_micros(hold),
        max_hold: to_micros(max_hold),
        rise_time: to_micros(rise_time),
        ceiling_memory: to_micros(ceiling_memory),
        max_ceiling_memory: to_micros(max_ceiling_memory),
        max_changes_per_minute: usize::try_from(max_changes)
            .unwrap_or(default.max_changes_per_minute),
    }
}

/// Reads `[health.signals]`, which has one table for each measured signal.
fn read_ramps(
    reader: &mut Reader<'_>,
    health: &mut Section<'_>,
    default: [SeverityRamp; MEASURED_SIGNALS],
) -> [SeverityRamp; MEASURED_SIGNALS] {
    let mut signals = reader.section(health, "signals");
    let mut ramps = default;
    for (signal, ramp) in Signal::ALL.iter().zip(&mut ramps) {
        let mut section = reader.section(&mut signals, signal.as_str());
        read_ramp(reader, &mut section, ramp);
        reader.close(&section);
    }
    reader.close(&signals);
    ramps
}

fn read_ramp(reader: &mut Reader<'_>, section: &mut Section<'_>, ramp: &mut SeverityRamp) {
    ramp.healthy_up_to = reader.value(section, "ok", ramp.healthy_up_to);
    ramp.worst_from = reader.value(section, "bad", ramp.worst_from);
    ramp.initial_severity = reader.checked(
        section,
        "step",
        ramp.initial_severity,
        is_fraction,
        "0 to 1",
    );
    ramp.max_weight_loss = reader.checked(
        section,
        "reach",
        ramp.max_weight_loss,
        is_fraction,
        "0 to 1",
    );
    if ramp.healthy_up_to >= ramp.worst_from {
        let message = format!(
            "{} must be more than ok, {}",
            ramp.worst_from, ramp.healthy_up_to
        );
        reader.report(section, "bad", message);
    }
}
