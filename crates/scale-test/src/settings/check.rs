//! The checks of settings: each value by itself, then what they say together.

use super::{Fault, FeedRule, Settings, SettingsError};
use crate::identity::MAX_WORKERS;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Descriptors of the run's own process beside its connections.
const OWN_DESCRIPTORS: u64 = 100;
/// Connections beside those kept to each placer: its test, its feed, and listeners that are counted apart.
const EACH_PLACER: u64 = 3;
/// The fewest descriptors with which a placer serves anyone.
const MIN_SOCKETS: u64 = 64;
/// The longest time that a setting may name.
const DAY: Duration = Duration::from_secs(86_400);
/// The most processes of a run.
const MAX_PLACERS: u16 = 299;

type Checked = Result<(), SettingsError>;

impl Settings {
    /// Checks them all; the first that can't be meant is named. Whether the machine has what they need is said by
    /// [`crate::budget`].
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting, with what was expected and found.
    pub fn check(&self) -> Checked {
        self.check_values()?;
        self.check_spans()?;
        self.check_together()?;
        self.faults
            .iter()
            .enumerate()
            .try_for_each(|(n, fault)| self.check_fault(&format!("fault {n}"), fault))
    }

    fn check_values(&self) -> Checked {
        within("workers", self.workers, 1..=MAX_WORKERS)?;
        within("zones", self.zones, 1..=self.workers.min(256))?;
        within("regions", self.regions, 1..=self.zones)?;
        within("placers", self.placers, 0..=MAX_PLACERS)?;
        within("tenants", self.tenants, 1..=1_000)?;
        within("services", self.services, 1..=1_000_000)?;
        within("rate", self.rate, 0.0..=100_000.0)?;
        within("urgent-share", self.urgent_share, 0.0..=1.0)?;
        within("once-share", self.once_share, 0.0..=1.0)?;
        within("busy-limit", self.busy_limit, 0.0..=1.0)?;
        within("events", self.events, 0.0..=100_000.0)?;
        within("placer-memory-mb", self.placer_memory_mb, 8..=65_536)?;
        within(
            "placer-sockets",
            self.placer_sockets,
            MIN_SOCKETS..=1_048_576,
        )?;
        within("client-connections", self.client_connections, 1..=256)?;
        within("worker-cores", self.worker_cores, 0.1..=100_000.0)?;
        within("worker-memory", self.worker_memory, 0.1..=100_000.0)?;
        within("task-cores", self.task_cores, 0.001..=self.worker_cores)?;
        within("task-memory", self.task_memory, 0.001..=self.worker_memory)
    }

    fn check_spans(&self) -> Checked {
        let milli = Duration::from_millis(1);
        span_within("duration", self.duration, Duration::from_secs(1)..=DAY)?;
        span_within("warm-up", self.warm_up, Duration::ZERO..=DAY)?;
        span_within("life", self.life, milli..=DAY)?;
        span_within(
            "start-time",
            self.start_time,
            Duration::ZERO..=Duration::from_secs(60),
        )?;
        span_within(
            "lateness-limit",
            self.lateness_limit,
            milli..=Duration::from_secs(60),
        )?;
        if self.feed == FeedRule::Gathered {
            span_within(
                "feed-period",
                self.feed_period,
                milli..=Duration::from_secs(60),
            )?;
        }
        if !self.whole_list_every.is_zero() {
            span_within(
                "whole-list-every",
                self.whole_list_every,
                Duration::from_millis(100)..=DAY,
            )?;
        }
        Ok(())
    }

    fn check_together(&self) -> Checked {
        if self.urgent_share + self.once_share > 1.0 {
            let expected = format!(
                "at most 1 together with urgent-share = {}",
                self.urgent_share
            );
            return Err(SettingsError::new("once-share", expected, self.once_share));
        }
        if self.placers == 0 && self.rate > 0.0 {
            let expected = format!("at least 1, as rate = {}", self.rate);
            return Err(SettingsError::new("placers", expected, self.placers));
        }
        if self.placers == 0 {
            return Err(SettingsError::new("placers", "at least 1", self.placers));
        }
        if self.instances != 0 && self.instances < u32::from(self.placers) {
            let expected = format!("0, or at least placers = {}", self.placers);
            return Err(SettingsError::new("instances", expected, self.instances));
        }
        let hold = u64::from(self.workers) * u64::from(self.max_tasks_per_worker());
        if u64::from(self.running_tasks) > hold {
            let expected = format!(
                "at most the {hold} that {} workers of {} tasks hold",
                self.workers,
                self.max_tasks_per_worker()
            );
            return Err(SettingsError::new("standing", expected, self.running_tasks));
        }
        Ok(())
    }

    /// Descriptors that the hollow peers may need at a time.
    pub fn descriptors_needed(&self) -> u64 {
        let placers = u64::from(self.placers);
        // A placer's own share for clients is a third of its descriptors; the rest may be calls to workers.
        let calls =
            (self.placer_sockets - self.placer_sockets / 3).min(3 * u64::from(self.workers));
        let kept = u64::from(self.client_connections) + EACH_PLACER;
        // A listener takes two: its socket, and the handle of the event loop.
        let listeners = 2 * u64::from(self.zones) + 2;
        OWN_DESCRIPTORS + placers * (calls + kept + listeners)
    }

    fn check_fault(&self, name: &str, fault: &Fault) -> Checked {
        match fault {
            Fault::Zone {
                zone,
                reported_after,
                back_after,
                ..
            } => {
                if self.zone(zone).is_none() {
                    let names = self.zone_names().join(", ");
                    return Err(SettingsError::new(
                        &format!("{name}: zone"),
                        format!("one of {names}"),
                        zone,
                    ));
                }
                span_within(
                    &format!("{name}: told-after"),
                    *reported_after,
                    Duration::ZERO..=*back_after,
                )?;
            }
            Fault::Placer { placer, .. } => {
                let last = self.placers.saturating_sub(1);
                within(&format!("{name}: placer"), *placer, 0..=last)?;
            }
            Fault::Garbage { workers, .. } => {
                within(&format!("{name}: workers"), *workers, 1..=self.workers)?;
            }
        }
        span_within(
            &format!("{name}: at"),
            fault.at(),
            Duration::ZERO..=self.duration,
        )?;
        if fault.end() > self.duration {
            let expected = format!(
                "at and back-after within duration = {}",
                span(self.duration)
            );
            return Err(SettingsError::new(name, expected, span(fault.end())));
        }
        Ok(())
    }
}

fn span(span: Duration) -> String {
    humantime::format_duration(span).to_string()
}

/// Whether a number lies between two others. One that is none lies nowhere.
fn within<T: PartialOrd + Display>(name: &str, value: T, range: RangeInclusive<T>) -> Checked {
    if range.contains(&value) {
        return Ok(());
    }
    let expected = format!("{} to {}", range.start(), range.end());
    Err(SettingsError::new(name, expected, value))
}

/// Whether a time lies between two others.
fn span_within(name: &str, value: Duration, range: RangeInclusive<Duration>) -> Checked {
    if range.contains(&value) {
        return Ok(());
    }
    let expected = format!("{} to {}", span(*range.start()), span(*range.end()));
    Err(SettingsError::new(name, expected, span(value)))
}
