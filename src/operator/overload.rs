//! Reads `[overload]`: the features of overload control and their settings. All features are disabled by default.

use super::reader::{Reader, Section};
use super::{to_duration, to_micros};
use std::time::Duration;
use task_placer::overload::{
    Features, admission, concurrency_limit, health_check_schedule, retry_budget,
};

const MAX_ATTEMPTS: f64 = 1_024.0;
const MAX_PLACERS: u64 = 1_024;
const MAX_RETRY_STOCK: f64 = 65_536.0;
const MIN_SLOT_LENGTH: Duration = Duration::from_millis(10);
const MAX_SLOT_LENGTH: Duration = Duration::from_secs(10);

/// Reads `[overload]` and its tables.
pub(super) fn read(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Features {
    let mut section = reader.section(root, "overload");
    let features = Features {
        concurrency_limit: concurrency_limit(reader, &mut section),
        admission: admission(reader, &mut section),
        retry_budget: retry_budget(reader, &mut section),
        retry_after: retry_after(reader, &mut section),
        health_check_schedule: health_check_schedule(reader, &mut section),
    };
    reader.close(&section);
    features
}

fn is_positive_up_to(max: f64) -> impl Fn(&f64) -> bool {
    move |value| *value > 0.0 && *value <= max
}

/// Reads a key that is a positive ratio of at most 10.
fn ratio(reader: &mut Reader<'_>, section: &mut Section<'_>, key: &str, default: f64) -> f64 {
    reader.checked(
        section,
        key,
        default,
        is_positive_up_to(10.0),
        "more than 0, at most 10",
    )
}

/// Reads `[overload.line]`: the concurrency limits of hosts.
fn concurrency_limit(
    reader: &mut Reader<'_>,
    parent: &mut Section<'_>,
) -> Option<concurrency_limit::Settings> {
    let mut section = reader.section(parent, "line");
    let default = concurrency_limit::Settings::default();
    let is_enabled = reader.value(&mut section, "enabled", false);
    let settings = concurrency_limit::Settings {
        target: reader.checked(
            &mut section,
            "target",
            default.target,
            is_positive_up_to(0.9),
            "more than 0, at most 0.9",
        ),
        max_target: reader.checked(
            &mut section,
            "most-target",
            default.max_target,
            is_positive_up_to(1.0),
            "more than 0, at most 1",
        ),
        initial_window: reader.checked(
            &mut section,
            "first",
            default.initial_window,
            is_positive_up_to(MAX_ATTEMPTS),
            "more than 0, at most 1024",
        ),
        max_window: reader.checked(
            &mut section,
            "most",
            default.max_window,
            |value| (1.0..=MAX_ATTEMPTS).contains(value),
            "1 to 1024",
        ),
    };
    if settings.max_target < settings.target {
        let message = format!(
            "{} is less than target, {}",
            settings.max_target, settings.target
        );
        reader.report(&section, "most-target", message);
    }
    reader.close(&section);
    is_enabled.then_some(settings)
}

/// Reads `[overload.shed]`: load shedding.
fn admission(reader: &mut Reader<'_>, parent: &mut Section<'_>) -> Option<admission::Settings> {
    let mut section = reader.section(parent, "shed");
    let default = admission::Settings::default();
    let is_enabled = reader.value(&mut section, "enabled", false);
    let epoch = reader.checked(
        &mut section,
        "epoch",
        to_duration(default.epoch),
        |epoch| !epoch.is_zero(),
        "more than 0s",
    );
    let settings = admission::Settings {
        late: ratio(reader, &mut section, "high", default.late),
        low_delay: ratio(reader, &mut section, "low", default.low_delay),
        give_up_after: ratio(reader, &mut section, "hopeless", default.give_up_after),
        epoch: to_micros(epoch),
    };
    if settings.low_delay >= settings.late {
        let message = format!(
            "{} is no less than high, {}",
            settings.low_delay, settings.late
        );
        reader.report(&section, "low", message);
    }
    reader.close(&section);
    is_enabled.then_some(settings)
}

/// Reads `[overload.attempts]`: the retry budget.
fn retry_budget(
    reader: &mut Reader<'_>,
    parent: &mut Section<'_>,
) -> Option<retry_budget::Settings> {
    let mut section = reader.section(parent, "attempts");
    let default = retry_budget::Settings::default();
    let is_enabled = reader.value(&mut section, "enabled", false);
    let settings = retry_budget::Settings {
        ratio: ratio(reader, &mut section, "ratio", default.ratio),
        ratio_while_shedding: ratio(
            reader,
            &mut section,
            "pressed",
            default.ratio_while_shedding,
        ),
        domain_ratio: ratio(reader, &mut section, "domain", default.domain_ratio),
        fleet_burst: reader.checked(
            &mut section,
            "stock",
            default.fleet_burst,
            is_positive_up_to(MAX_RETRY_STOCK),
            "more than 0, at most 65536",
        ),
    };
    if settings.ratio_while_shedding > settings.ratio {
        let message = format!(
            "{} is more than ratio, {}",
            settings.ratio_while_shedding, settings.ratio
        );
        reader.report(&section, "pressed", message);
    }
    reader.close(&section);
    is_enabled.then_some(settings)
}

/// Reads `[overload.returns]`: whether rejected clients get a Retry-After that is spread over time.
fn retry_after(reader: &mut Reader<'_>, parent: &mut Section<'_>) -> bool {
    let mut section = reader.section(parent, "returns");
    let is_enabled = reader.value(&mut section, "enabled", false);
    reader.close(&section);
    is_enabled
}

/// Reads `[overload.turns]`: the time slots in which placers may check suspect hosts.
fn health_check_schedule(
    reader: &mut Reader<'_>,
    parent: &mut Section<'_>,
) -> Option<health_check_schedule::Settings> {
    let mut section = reader.section(parent, "turns");
    let default = health_check_schedule::Settings::default();
    let is_enabled = reader.value(&mut section, "enabled", false);
    let concurrent_placers = reader.checked(
        &mut section,
        "callers",
        default.concurrent_placers as u64,
        |placers| (1..=MAX_PLACERS).contains(placers),
        "1 to 1024",
    );
    let slot_length = reader.checked(
        &mut section,
        "step",
        to_duration(default.slot_length),
        |length| (MIN_SLOT_LENGTH..=MAX_SLOT_LENGTH).contains(length),
        "10ms to 10s",
    );
    reader.close(&section);
    is_enabled.then_some(health_check_schedule::Settings {
        concurrent_placers: usize::try_from(concurrent_placers)
            .unwrap_or(default.concurrent_placers),
        slot_length: to_micros(slot_length),
    })
}
