//! The settings of an instance, from the `path=value` pairs of its first message.

use crate::wire::{Fields, Names, Problem, millis, parse_number};
use anisehead::*;
use std::collections::BTreeMap;

struct Pairs<'a> {
    f: &'a Fields<'a>,
    map: BTreeMap<&'a str, &'a str>,
}

impl<'a> Pairs<'a> {
    fn get(&self, key: &str) -> Result<&'a str, Problem> {
        self.map.get(key).copied().ok_or_else(|| self.f.problem(key, "missing setting"))
    }

    fn bad(&self, key: &str, value: &str) -> Problem {
        self.f.problem(key, &format!("bad value: {value}"))
    }

    fn number(&self, key: &str) -> Result<f64, Problem> {
        let text = self.get(key)?;
        parse_number(text).ok_or_else(|| self.bad(key, text))
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, Problem> {
        if self.map.contains_key(key) { self.number(key) } else { Ok(absent) }
    }

    fn span(&self, key: &str) -> Result<Micros, Problem> {
        self.number(key).map(millis)
    }

    fn count(&self, key: &str) -> Result<usize, Problem> {
        let text = self.get(key)?;
        text.parse().map_err(|_| self.bad(key, text))
    }

    fn flag(&self, key: &str) -> Result<bool, Problem> {
        match self.get(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(self.bad(key, other)),
        }
    }

    fn names(&self, key: &str) -> Result<Vec<String>, Problem> {
        Ok(words(self.get(key)?).map(str::to_string).collect())
    }

    fn one_of<T: Copy>(&self, key: &str, table: &[(&str, T)]) -> Result<T, Problem> {
        self.pick(key, self.get(key)?, table)
    }

    fn pick<T: Copy>(&self, key: &str, text: &str, table: &[(&str, T)]) -> Result<T, Problem> {
        let found = table.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        found.ok_or_else(|| self.bad(key, text))
    }

    /// Item `i` of a list with one item per class.
    fn item(&self, key: &str, i: usize) -> Result<&'a str, Problem> {
        words(self.get(key)?).nth(i).ok_or_else(|| self.f.problem(key, "fewer items than classes"))
    }

    fn item_number(&self, key: &str, i: usize) -> Result<f64, Problem> {
        let text = self.item(key, i)?;
        parse_number(text).ok_or_else(|| self.bad(key, text))
    }

    fn class(&self, i: usize) -> Result<Class, Problem> {
        let key = |name: &str| format!("services.{i}.{name}");
        let group = match self.map.get(key("group").as_str()) {
            None => Group::All,
            Some(text) => self.pick(
                &key("group"),
                text,
                &[("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)],
            )?,
        };
        let effects = [("safe", Effect::Safe), ("keyed", Effect::Keyed(group)), ("unsafe", Effect::Unsafe)];
        let spreads = [
            ("off", Spread::None),
            ("none", Spread::None),
            ("machine", Spread::Machine),
            ("cell", Spread::Cell),
            ("zone", Spread::Zone),
        ];
        let spread_key = "family_info.spread_by";
        let kind = self.item_number("family_info.class_kind", i)?;
        Ok(Class {
            aim: self.span(&key("aim"))?,
            deadline: self.span(&key("hard_limit"))?,
            late_worth: self.number_or(&key("late_share"), 0.0)?,
            effect: self.one_of(&key("semantics"), &effects)?,
            window: millis(self.number_or(&key("memory_span"), 0.0)?),
            worth: self.number(&key("worth"))?,
            start_s: self.item_number("family_info.prompt_start_s", i)?,
            kind: (kind >= 0.0).then_some(KindId(kind as usize)),
            spread: self.pick(spread_key, self.item(spread_key, i)?, &spreads)?,
            most: self.item_number("family_info.class_most", i)?.max(0.0) as usize,
            priority: self.item_number("family_info.class_priority", i)?.clamp(0.0, 3.0) as u8,
            calm: self.item_number("family_info.full_up_to", i)?,
            fade: self.item_number("family_info.fades_over", i)?,
        })
    }
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(',').filter(|w| !w.is_empty() && *w != "-")
}

fn index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Reads the settings from the values of `f` from `first` on.
pub fn settings(f: &Fields, first: usize) -> Result<(Settings, Names), Problem> {
    let mut map = BTreeMap::new();
    for pair in &f.values[first.min(f.values.len())..] {
        let Some((key, value)) = pair.split_once('=') else {
            return Err(f.problem("boot_info", &format!("not a pair: {pair}")));
        };
        map.insert(key, value);
    }
    let p = Pairs { f, map };
    let count = p.count("services.count")?;
    let classes = (0..count).map(|i| p.class(i)).collect::<Result<Vec<_>, _>>()?;
    let class_names = (0..count)
        .map(|i| p.get(&format!("services.{i}.name")).map(str::to_string))
        .collect::<Result<Vec<_>, _>>()?;
    let tenant_count = if p.map.contains_key("realms.count") { p.count("realms.count")? } else { 0 };
    let mut tenants = Vec::new();
    let mut tenant_names = Vec::new();
    for i in 0..tenant_count {
        let key = |name: &str| format!("realms.{i}.{name}");
        tenant_names.push(p.get(&key("name"))?.to_string());
        let cores = "family_info.share_cores";
        tenants.push(Tenant {
            share: p.number(&key("portion"))?,
            quota_per_s: p.number_or(&key("allowance_per_s"), 0.0)?,
            quota_cores: if p.map.contains_key(cores) { p.item_number(cores, i)? } else { 0.0 },
        });
    }
    let kind_names = p.names("models")?;
    let mut kinds = Vec::new();
    for i in 0..kind_names.len() {
        kinds.push(Kind {
            cores: p.item_number("family_info.kind_cores", i)?,
            memory: p.item_number("family_info.kind_memory", i)?,
        });
    }
    let zones = p.names("zones")?;
    let on_ask = p.one_of("membership_mode", &[("automatic", false), ("subscribe", true)])?;
    let report = if matches!(p.map.get("report.via"), None | Some(&"off")) {
        Vec::new()
    } else {
        p.names("report.names")?.iter().map(|name| report_field(name)).collect()
    };
    let settings = Settings {
        me: p.count("me")?,
        placers: p.count("n_instances")?,
        zone: index(&zones, p.get("locality")?).map(ZoneId),
        tick: p.span("step")?,
        kinds,
        classes,
        tenants,
        over_share_worth: p.number_or("over_share_worth", 1.0)?,
        max_attempts: p.count("caps.send_cap")? as u32,
        probes: p.flag("caps.probing")?,
        cancel: p.flag("caps.cancel")?,
        retry_after: p.flag("caps.retry_after")?,
        max_retry_after: millis(p.number_or("caps.max_retry_after", 0.0)?),
        connect_timeout: p.span("caps.connect_timeout")?,
        list_on_ask: on_ask,
        ask_within: if on_ask { p.span("rules.ask_every")? } else { 0 },
        report,
        counts_asked: p.one_of("family_info.measured_by", &[("asked", true), ("used", false)])?,
        list_shows_room: p.flag("family_info.lists_free")?,
        ack: p.one_of("family_info.yes_at", &[("accepted", Ack::Accepted), ("running", Ack::Running)])?,
        accepts_cores: p.number("family_info.cores_multiple")?,
        accepts_memory: p.number("family_info.accepts_memory")?,
        preempts: p.flag("family_info.preempts")?,
        mean_cores: p.number("family_info.usual_cores")?,
        mean_memory: p.number("family_info.mean_memory")?,
        settle: p.span("family_info.make_sure")?,
        answer_slack: p.span("rules.grace_to_answer")?,
        drain_grace: p.span("rules.drain_grace")?,
        cold: p.span("rules.cold")?,
        cold_from: p.number("rules.cold_from")?,
        fall_multiple: p.number("rules.overload_factor")?,
        fall: p.span("rules.overload_for")?,
        cold_sends: p.number("family_info.young_limit")?,
        price_cross_zone: p.number_or("prices.cross_zone", 0.0)?,
        price_probe: p.number_or("prices.probe", 0.0)?,
        price_fleet: p.number_or("prices.fleet", 0.0)?,
        price_refused: p.number_or("family_info.no_price", 0.0)?,
        price_moves: p.number_or("prices.moves", 0.0)?,
    };
    let names = Names { classes: class_names, tenants: tenant_names, kinds: kind_names, zones };
    Ok((settings, names))
}

fn report_field(name: &str) -> ReportField {
    match name {
        "concurrent" => ReportField::Inflight,
        "depth" => ReportField::Queue,
        "load_share" => ReportField::Util,
        "x0" => ReportField::FreeCores,
        "x1" => ReportField::FreeMemory,
        _ => ReportField::Other,
    }
}
