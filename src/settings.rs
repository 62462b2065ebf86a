//! The one reader from the names and values of a deployment to [`Settings`].
//!
//! Both programs state the same names: the simulator as `path=value` pairs, the real placer's
//! configuration as nested JSON, which [`flatten`] turns into the same paths.

use crate::placement::*;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::fmt;

/// The names that the settings state, for turning names into indices.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Task classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// Settings by path, such as `services.0.aim`.
pub type Pairs = BTreeMap<String, String>;

/// A setting that is missing or can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Its path.
    pub field: String,
    /// What is wrong with it.
    pub what: String,
}

impl SettingsError {
    fn new(field: &str, what: &str) -> SettingsError {
        SettingsError {
            field: field.to_string(),
            what: what.to_string(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.what)
    }
}

impl std::error::Error for SettingsError {}

/// A finite number in text.
pub fn parse_number(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|v| v.is_finite())
}

/// Milliseconds to whole microseconds.
pub fn millis(value: f64) -> Micros {
    (value * 1000.0).round() as Micros
}

/// Nested JSON as paths: objects nest with dots, lists of plain values are joined with commas, and
/// lists of objects state their length under `.count`.
pub fn flatten(value: &BorrowedValue<'_>) -> Pairs {
    let mut pairs = Pairs::new();
    add_paths(&mut pairs, "", value);
    pairs
}

fn add_paths(pairs: &mut Pairs, path: &str, value: &BorrowedValue<'_>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        BorrowedValue::Object(map) => {
            map.iter()
                .for_each(|(name, value)| add_paths(pairs, &below(name), value));
        }
        BorrowedValue::Array(items) if items.iter().any(|v| v.is_object()) => {
            pairs.insert(below("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| add_paths(pairs, &below(&i.to_string()), v));
        }
        BorrowedValue::Array(items) => {
            let words: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path.to_string(), words.join(","));
        }
        plain_value => {
            pairs.insert(path.to_string(), plain(plain_value));
        }
    }
}

fn plain(value: &BorrowedValue<'_>) -> String {
    match value.as_str() {
        Some(text) => text.replace([' ', ','], "_"),
        None if value.is_null() => "-".to_string(),
        None => value.encode(),
    }
}

struct Reader<'a> {
    map: &'a Pairs,
}

impl<'a> Reader<'a> {
    fn get(&self, key: &str) -> Result<&'a str, SettingsError> {
        self.map
            .get(key)
            .map(String::as_str)
            .ok_or_else(|| SettingsError::new(key, "missing setting"))
    }

    fn bad(&self, key: &str, value: &str) -> SettingsError {
        SettingsError::new(key, &format!("bad value: {value}"))
    }

    fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let text = self.get(key)?;
        parse_number(text).ok_or_else(|| self.bad(key, text))
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        if self.map.contains_key(key) {
            self.number(key)
        } else {
            Ok(absent)
        }
    }

    fn span(&self, key: &str) -> Result<Micros, SettingsError> {
        self.number(key).map(millis)
    }

    fn count(&self, key: &str) -> Result<usize, SettingsError> {
        let text = self.get(key)?;
        text.parse().map_err(|_| self.bad(key, text))
    }

    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.get(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(self.bad(key, other)),
        }
    }

    fn names(&self, key: &str) -> Result<Vec<String>, SettingsError> {
        Ok(words(self.get(key)?).map(str::to_string).collect())
    }

    fn one_of<T: Copy>(&self, key: &str, table: &[(&str, T)]) -> Result<T, SettingsError> {
        self.pick(key, self.get(key)?, table)
    }

    fn pick<T: Copy>(
        &self,
        key: &str,
        text: &str,
        table: &[(&str, T)],
    ) -> Result<T, SettingsError> {
        let found = table
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, value)| *value);
        found.ok_or_else(|| self.bad(key, text))
    }

    /// Item `i` of a list with one item per class.
    fn item(&self, key: &str, i: usize) -> Result<&'a str, SettingsError> {
        words(self.get(key)?)
            .nth(i)
            .ok_or_else(|| SettingsError::new(key, "fewer items than names"))
    }

    fn item_number(&self, key: &str, i: usize) -> Result<f64, SettingsError> {
        let text = self.item(key, i)?;
        parse_number(text).ok_or_else(|| self.bad(key, text))
    }

    fn class(&self, i: usize) -> Result<TaskClass, SettingsError> {
        let key = |name: &str| format!("services.{i}.{name}");
        let group = match self.map.get(&key("group")) {
            None => KeyScope::All,
            Some(text) => self.pick(
                &key("group"),
                text,
                &[
                    ("all", KeyScope::All),
                    ("zone", KeyScope::Zone),
                    ("cell", KeyScope::Cell),
                ],
            )?,
        };
        let effects = [
            ("safe", Idempotency::Idempotent),
            ("keyed", Idempotency::IdempotencyKey { scope: group }),
            ("unsafe", Idempotency::NonIdempotent),
        ];
        let spreads = [
            ("off", SpreadDomain::None),
            ("none", SpreadDomain::None),
            ("machine", SpreadDomain::Host),
            ("cell", SpreadDomain::Cell),
            ("zone", SpreadDomain::Zone),
        ];
        let spread_key = "family_info.spread_by";
        let kind = self.item_number("family_info.class_kind", i)?;
        Ok(TaskClass {
            latency_objective: self.span(&key("aim"))?,
            deadline: self.span(&key("hard_limit"))?,
            late_weight: self.number_or(&key("late_share"), 0.0)?,
            idempotency: self.one_of(&key("semantics"), &effects)?,
            idempotency_window: millis(self.number_or(&key("memory_span"), 0.0)?),
            priority_weight: self.number(&key("worth"))?,
            start_weight_seconds: self.item_number("family_info.prompt_start_s", i)?,
            host_kind: (kind >= 0.0).then_some(KindId(kind as usize)),
            spread_domain: self.pick(spread_key, self.item(spread_key, i)?, &spreads)?,
            max_per_domain: self.item_number("family_info.class_most", i)?.max(0.0) as usize,
            priority: self
                .item_number("family_info.class_priority", i)?
                .clamp(0.0, 3.0) as u8,
            full_service_utilization: self.item_number("family_info.full_up_to", i)?,
            service_falloff: self.item_number("family_info.fades_over", i)?,
        })
    }
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').filter(|w| !w.is_empty() && *w != "-")
}

fn index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Reads the settings, and the names they state.
pub fn read(pairs: &Pairs) -> Result<(Settings, Names), SettingsError> {
    let p = Reader { map: pairs };
    let count = p.count("services.count")?;
    let classes = (0..count)
        .map(|i| p.class(i))
        .collect::<Result<Vec<_>, _>>()?;
    let class_names = (0..count)
        .map(|i| p.get(&format!("services.{i}.name")).map(str::to_string))
        .collect::<Result<Vec<_>, _>>()?;
    let tenant_count = if p.map.contains_key("realms.count") {
        p.count("realms.count")?
    } else {
        0
    };
    let mut tenants = Vec::new();
    let mut tenant_names = Vec::new();
    for i in 0..tenant_count {
        let key = |name: &str| format!("realms.{i}.{name}");
        tenant_names.push(p.get(&key("name"))?.to_string());
        let cores = "family_info.share_cores";
        tenants.push(Tenant {
            service_fraction: p.number(&key("portion"))?,
            quota_tasks_per_second: p.number_or(&key("allowance_per_s"), 0.0)?,
            quota_cores: if p.map.contains_key(cores) {
                p.item_number(cores, i)?
            } else {
                0.0
            },
        });
    }
    let kind_names = p.names("models")?;
    let mut kinds = Vec::new();
    for i in 0..kind_names.len() {
        kinds.push(HostKind {
            cores: p.item_number("family_info.kind_cores", i)?,
            memory: p.item_number("family_info.kind_memory", i)?,
        });
    }
    // A deployment may have no zones.
    let zones = if p.map.contains_key("zones") {
        p.names("zones")?
    } else {
        Vec::new()
    };
    let on_ask = p.one_of(
        "membership_mode",
        &[("automatic", false), ("subscribe", true)],
    )?;
    let report = if matches!(
        p.map.get("report.via").map(String::as_str),
        None | Some("off")
    ) {
        Vec::new()
    } else {
        p.names("report.names")?
            .iter()
            .map(|name| report_field(name))
            .collect()
    };
    let settings = Settings {
        placer_index: p.count("me")?,
        placer_count: p.count("n_instances")?,
        zone: p
            .map
            .get("locality")
            .and_then(|zone| index(&zones, zone))
            .map(ZoneId),
        tick: p.span("step")?,
        host_kinds: kinds,
        classes,
        tenants,
        over_quota_weight: p.number_or("over_share_worth", 1.0)?,
        max_attempts: p.count("caps.send_cap")? as u32,
        allows_health_checks: p.flag("caps.probing")?,
        allows_cancel: p.flag("caps.cancel")?,
        allows_retry_after: p.flag("caps.retry_after")?,
        max_retry_after: millis(p.number_or("caps.max_retry_after", 0.0)?),
        connect_timeout: p.span("caps.connect_timeout")?,
        requires_subscription: on_ask,
        max_time_unsubscribed: if on_ask {
            p.span("rules.ask_every")?
        } else {
            0
        },
        load_report: report,
        counts_requested_resources: p.one_of(
            "family_info.measured_by",
            &[("asked", true), ("used", false)],
        )?,
        endpoints_show_free_resources: p.flag("family_info.lists_free")?,
        acknowledgement: p.one_of(
            "family_info.yes_at",
            &[
                ("accepted", Acknowledgement::Accepted),
                ("running", Acknowledgement::Running),
            ],
        )?,
        core_overcommit: p.number("family_info.cores_multiple")?,
        memory_overcommit: p.number("family_info.accepts_memory")?,
        preempts: p.flag("family_info.preempts")?,
        mean_cores: p.number("family_info.usual_cores")?,
        mean_memory: p.number("family_info.mean_memory")?,
        client_settle_time: p.span("family_info.make_sure")?,
        response_slack: p.span("rules.grace_to_answer")?,
        drain_grace: p.span("rules.drain_grace")?,
        slow_start: p.span("rules.cold")?,
        slow_start_initial_speed: p.number("rules.cold_from")?,
        collapse_multiple: p.number("rules.overload_factor")?,
        collapse_window: p.span("rules.overload_for")?,
        slow_start_attempts: p.number("family_info.young_limit")?,
        price_cross_zone: p.number_or("prices.cross_zone", 0.0)?,
        price_health_check: p.number_or("prices.probe", 0.0)?,
        price_hosts_used: p.number_or("prices.fleet", 0.0)?,
        price_rejected_attempt: p.number_or("family_info.no_price", 0.0)?,
        price_migration: p.number_or("prices.moves", 0.0)?,
        price_handshake: p.number_or("prices.handshake", 0.0)?,
    };
    let names = Names {
        classes: class_names,
        tenants: tenant_names,
        kinds: kind_names,
        zones,
    };
    Ok((settings, names))
}

fn report_field(name: &str) -> LoadReportField {
    match name {
        "concurrent" => LoadReportField::InFlight,
        "depth" => LoadReportField::QueueLength,
        "load_share" => LoadReportField::Utilization,
        "x0" => LoadReportField::FreeCores,
        "x1" => LoadReportField::FreeMemory,
        _ => LoadReportField::Other,
    }
}
