//! Reads [`Settings`] from a deployment's settings by path.
//!
//! The simulator states settings as `path=value` pairs, and the placer's configuration as nested JSON, which
//! [`flatten`] converts to the same paths. Only this module maps the operators' names of settings to the names used
//! in the code.

mod error;
mod flatten;
mod reader;

pub use error::SettingsError;
pub use flatten::flatten;

use crate::types::{
    Acknowledgement, HostKind, Idempotency, KeyScope, KindId, LoadReportField, Micros, Settings,
    SpreadDomain, TaskClass, Tenant, ZoneId,
};
use reader::{Reader, look_up};
use std::collections::BTreeMap;

/// Maximum priority of a class; higher values are clamped to it.
const MAX_PRIORITY: f64 = 3.0;

/// The names that the settings state. The position of a name in its list is the index used in the code.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Names of the task classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the host kinds.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Settings by path, such as `services.0.aim`.
pub type SettingsByPath = BTreeMap<String, String>;

/// Parses a finite number; `None` if the text is not one.
pub fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite())
}

/// Converts milliseconds to microseconds, rounded to a whole number.
pub fn millis_to_micros(value: f64) -> Micros {
    (value * 1000.0).round() as Micros
}

/// Reads the settings and the names that they state.
///
/// # Errors
///
/// Returns the first setting, in reading order, that is missing or has a bad value.
pub fn read(settings: &SettingsByPath) -> Result<(Settings, Names), SettingsError> {
    let reader = Reader { settings };
    let class_count = reader.count("services.count")?;
    let classes = collect(class_count, |index| read_class(&reader, index))?;
    let class_names = collect(class_count, |index| {
        reader
            .text(&format!("services.{index}.name"))
            .map(str::to_string)
    })?;
    let (tenants, tenant_names) = read_tenants(&reader)?;
    let kind_names = reader.names("models")?;
    let host_kinds = collect(kind_names.len(), |index| read_host_kind(&reader, index))?;
    // A deployment without zones omits the setting `zones`.
    let zones = if reader.has("zones") {
        reader.names("zones")?
    } else {
        Vec::new()
    };
    let zone = settings.get("locality");
    let zone = zone
        .and_then(|zone| zones.iter().position(|name| name == zone))
        .map(ZoneId);
    let settings = read_settings(&reader, classes, tenants, host_kinds, zone)?;
    let names = Names {
        classes: class_names,
        tenants: tenant_names,
        kinds: kind_names,
        zones,
    };
    Ok((settings, names))
}

fn collect<T>(
    count: usize,
    read: impl FnMut(usize) -> Result<T, SettingsError>,
) -> Result<Vec<T>, SettingsError> {
    (0..count).map(read).collect()
}

fn read_settings(
    reader: &Reader<'_>,
    classes: Vec<TaskClass>,
    tenants: Vec<Tenant>,
    host_kinds: Vec<HostKind>,
    zone: Option<ZoneId>,
) -> Result<Settings, SettingsError> {
    let subscription_modes = [("automatic", false), ("subscribe", true)];
    let requires_subscription = reader.one_of("membership_mode", &subscription_modes)?;
    let load_report = read_load_report(reader)?;
    Ok(Settings {
        placer_index: reader.count("me")?,
        placer_count: reader.count("n_instances")?,
        zone,
        tick: reader.duration("step")?,
        host_kinds,
        classes,
        tenants,
        over_quota_weight: reader.number_or("over_share_worth", 1.0)?,
        max_attempts: reader.count("caps.send_cap")? as u32,
        allows_health_checks: reader.flag("caps.probing")?,
        allows_cancel: reader.flag("caps.cancel")?,
        allows_retry_after: reader.flag("caps.retry_after")?,
        max_retry_after: millis_to_micros(reader.number_or("caps.max_retry_after", 0.0)?),
        connect_timeout: reader.duration("caps.connect_timeout")?,
        requires_subscription,
        max_time_unsubscribed: if requires_subscription {
            reader.duration("rules.ask_every")?
        } else {
            0
        },
        load_report,
        counts_requested_resources: reader.one_of(
            "family_info.measured_by",
            &[("asked", true), ("used", false)],
        )?,
        endpoints_show_free_resources: reader.flag("family_info.lists_free")?,
        acknowledgement: reader.one_of(
            "family_info.yes_at",
            &[
                ("accepted", Acknowledgement::Accepted),
                ("running", Acknowledgement::Running),
            ],
        )?,
        core_overcommit: reader.number("family_info.cores_multiple")?,
        memory_overcommit: reader.number("family_info.accepts_memory")?,
        preempts: reader.flag("family_info.preempts")?,
        mean_cores: reader.number("family_info.usual_cores")?,
        mean_memory: reader.number("family_info.mean_memory")?,
        client_settle_time: reader.duration("family_info.make_sure")?,
        response_slack: reader.duration("rules.grace_to_answer")?,
        drain_grace: reader.duration("rules.drain_grace")?,
        slow_start: reader.duration("rules.cold")?,
        slow_start_initial_speed: reader.number("rules.cold_from")?,
        collapse_multiple: reader.number("rules.overload_factor")?,
        collapse_window: reader.duration("rules.overload_for")?,
        slow_start_attempts: reader.number("family_info.young_limit")?,
        price_cross_zone: reader.number_or("prices.cross_zone", 0.0)?,
        price_health_check: reader.number_or("prices.probe", 0.0)?,
        price_hosts_used: reader.number_or("prices.fleet", 0.0)?,
        price_rejected_attempt: reader.number_or("family_info.no_price", 0.0)?,
        price_migration: reader.number_or("prices.moves", 0.0)?,
        price_handshake: reader.number_or("prices.handshake", 0.0)?,
    })
}

fn read_class(reader: &Reader<'_>, index: usize) -> Result<TaskClass, SettingsError> {
    let path = |name: &str| format!("services.{index}.{name}");
    let scope = read_key_scope(reader, index)?;
    let spread_path = "family_info.spread_by";
    let kind = reader.item_number("family_info.class_kind", index)?;
    Ok(TaskClass {
        latency_objective: reader.duration(&path("aim"))?,
        deadline: reader.duration(&path("hard_limit"))?,
        late_weight: reader.number_or(&path("late_share"), 0.0)?,
        idempotency: reader.one_of(
            &path("semantics"),
            &[
                ("safe", Idempotency::Idempotent),
                ("keyed", Idempotency::IdempotencyKey { scope }),
                ("unsafe", Idempotency::NonIdempotent),
            ],
        )?,
        idempotency_window: millis_to_micros(reader.number_or(&path("memory_span"), 0.0)?),
        priority_weight: reader.number(&path("worth"))?,
        start_weight_seconds: reader.item_number("family_info.prompt_start_s", index)?,
        host_kind: (kind >= 0.0).then_some(KindId(kind as usize)),
        spread_domain: look_up(
            spread_path,
            reader.item(spread_path, index)?,
            &[
                ("off", SpreadDomain::None),
                ("none", SpreadDomain::None),
                ("machine", SpreadDomain::Host),
                ("cell", SpreadDomain::Cell),
                ("zone", SpreadDomain::Zone),
            ],
        )?,
        max_per_domain: reader
            .item_number("family_info.class_most", index)?
            .max(0.0) as usize,
        priority: reader
            .item_number("family_info.class_priority", index)?
            .clamp(0.0, MAX_PRIORITY) as u8,
        full_service_utilization: reader.item_number("family_info.full_up_to", index)?,
        service_falloff: reader.item_number("family_info.fades_over", index)?,
    })
}

fn read_key_scope(reader: &Reader<'_>, index: usize) -> Result<KeyScope, SettingsError> {
    let path = format!("services.{index}.group");
    if !reader.has(&path) {
        return Ok(KeyScope::All);
    }
    let scopes = [
        ("all", KeyScope::All),
        ("zone", KeyScope::Zone),
        ("cell", KeyScope::Cell),
    ];
    reader.one_of(&path, &scopes)
}

/// Reads the tenants and their names. Returns empty lists if the deployment has no tenants.
fn read_tenants(reader: &Reader<'_>) -> Result<(Vec<Tenant>, Vec<String>), SettingsError> {
    let cores_path = "family_info.share_cores";
    let mut tenants = Vec::new();
    let mut names = Vec::new();
    for index in 0..reader.count_or_zero("realms.count")? {
        let path = |name: &str| format!("realms.{index}.{name}");
        names.push(reader.text(&path("name"))?.to_string());
        tenants.push(Tenant {
            service_fraction: reader.number(&path("portion"))?,
            quota_tasks_per_second: reader.number_or(&path("allowance_per_s"), 0.0)?,
            quota_cores: if reader.has(cores_path) {
                reader.item_number(cores_path, index)?
            } else {
                0.0
            },
        });
    }
    Ok((tenants, names))
}

fn read_host_kind(reader: &Reader<'_>, index: usize) -> Result<HostKind, SettingsError> {
    Ok(HostKind {
        cores: reader.item_number("family_info.kind_cores", index)?,
        memory: reader.item_number("family_info.kind_memory", index)?,
    })
}

/// Reads the meaning of each value in a load report, in the order of the report. Returns an empty list if hosts send no
/// load reports.
fn read_load_report(reader: &Reader<'_>) -> Result<Vec<LoadReportField>, SettingsError> {
    match reader.settings.get("report.via").map(String::as_str) {
        None | Some("off") => Ok(Vec::new()),
        Some(_) => {
            let names = reader.names("report.names")?;
            Ok(names.iter().map(|name| load_report_field(name)).collect())
        }
    }
}

fn load_report_field(name: &str) -> LoadReportField {
    match name {
        "concurrent" => LoadReportField::InFlight,
        "depth" => LoadReportField::QueueLength,
        "load_share" => LoadReportField::Utilization,
        "x0" => LoadReportField::FreeCores,
        "x1" => LoadReportField::FreeMemory,
        _ => LoadReportField::Other,
    }
}
