//! Validation of settings: first each value separately, then combinations of values.

use super::{Fault, FeedRule, Settings, SettingsError};
use crate::identity::MAX_WORKERS;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The number of file descriptors reserved for this process besides its connections and listeners.
const OWN_DESCRIPTORS: u64 = 100;
/// The number of connections to each placer besides those for tasks: its health check, its feed, and one in reserve.
const EXTRA_CONNECTIONS_PER_PLACER: u64 = 3;
/// The minimum number of file descriptors with which a placer works.
const MIN_SOCKETS: u64 = 64;
/// The upper limit of most time settings.
const ONE_DAY: Duration = Duration::from_secs(86_400);
/// The maximum number of placers in a run.
const MAX_PLACERS: u16 = 299;

/// The result of a check; an error names the invalid setting.
type Checked = Result<(), SettingsError>;

impl Settings {
    /// Checks all settings. [`crate::budget`] checks whether the machine has enough resources for them.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting, with the expected value and the value found.
    pub fn check(&self) -> Checked {
        self.check_values()?;
        self.check_times()?;
        self.check_combinations()?;
        self.faults
            .iter()
            .enumerate()
            .try_for_each(|(n, fault)| self.check_fault(&format!("fault {n}"), fault))
    }

    fn check_values(&self) -> Checked {
        check_range("workers", self.workers, 1..=MAX_WORKERS)?;
        check_range("zones", self.zones, 1..=self.workers.min(256))?;
        check_range("regions", self.regions, 1..=self.zones)?;
        check_range("placers", self.placers, 0..=MAX_PLACERS)?;
        check_range("tenants", self.tenants, 1..=1_000)?;
        check_range("services", self.services, 1..=1_000_000)?;
        check_range("rate", self.rate, 0.0..=100_000.0)?;
        check_range("urgent-share", self.urgent_share, 0.0..=1.0)?;
        check_range("once-share", self.once_share, 0.0..=1.0)?;
        check_range("busy-limit", self.busy_limit, 0.0..=1.0)?;
        check_range("events", self.events, 0.0..=100_000.0)?;
        check_range("placer-memory-mb", self.placer_memory_mb, 8..=65_536)?;
        check_range(
            "placer-sockets",
            self.placer_sockets,
            MIN_SOCKETS..=1_048_576,
        )?;
        check_range("client-connections", self.client_connections, 1..=256)?;
        check_range("worker-cores", self.worker_cores, 0.1..=100_000.0)?;
        check_range("worker-memory", self.worker_memory, 0.1..=100_000.0)?;
        check_range("task-cores", self.task_cores, 0.001..=self.worker_cores)?;
        check_range("task-memory", self.task_memory, 0.001..=self.worker_memory)
    }

    fn check_times(&self) -> Checked {
        let one_milli = Duration::from_millis(1);
        check_time_range("duration", self.duration, Duration::from_secs(1)..=ONE_DAY)?;
        check_time_range("warm-up", self.warm_up, Duration::ZERO..=ONE_DAY)?;
        check_time_range("life", self.life, one_milli..=ONE_DAY)?;
        check_time_range(
            "start-time",
            self.start_time,
            Duration::ZERO..=Duration::from_secs(60),
        )?;
        check_time_range(
            "lateness-limit",
            self.lateness_limit,
            one_milli..=Duration::from_secs(60),
        )?;
        if self.feed == FeedRule::Gathered {
            check_time_range(
                "feed-period",
                self.feed_period,
                one_milli..=Duration::from_secs(60),
            )?;
        }
        if !self.whole_list_every.is_zero() {
            check_time_range(
                "whole-list-every",
                self.whole_list_every,
                Duration::from_millis(100)..=ONE_DAY,
            )?;
        }
        Ok(())
    }

    fn check_combinations(&self) -> Checked {
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
        let capacity = u64::from(self.workers) * u64::from(self.max_tasks_per_worker());
        if u64::from(self.running_tasks) > capacity {
            let expected = format!(
                "at most the {capacity} that {} workers of {} tasks hold",
                self.workers,
                self.max_tasks_per_worker()
            );
            return Err(SettingsError::new("standing", expected, self.running_tasks));
        }
        Ok(())
    }

    /// Returns the maximum number of file descriptors that the simulated peers may need at a time.
    pub fn descriptors_needed(&self) -> u64 {
        let placers = u64::from(self.placers);
        // A placer reserves a third of its descriptors for clients and may use the rest for connections to workers.
        let worker_connections =
            (self.placer_sockets - self.placer_sockets / 3).min(3 * u64::from(self.workers));
        let client_connections = u64::from(self.client_connections) + EXTRA_CONNECTIONS_PER_PLACER;
        // Each listener takes two descriptors: its socket and the duplicate that the event loop holds.
        let listeners = 2 * u64::from(self.zones) + 2;
        OWN_DESCRIPTORS + placers * (worker_connections + client_connections + listeners)
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
                check_time_range(
                    &format!("{name}: told-after"),
                    *reported_after,
                    Duration::ZERO..=*back_after,
                )?;
            }
            Fault::Placer { placer, .. } => {
                let last = self.placers.saturating_sub(1);
                check_range(&format!("{name}: placer"), *placer, 0..=last)?;
            }
            Fault::Garbage { workers, .. } => {
                check_range(&format!("{name}: workers"), *workers, 1..=self.workers)?;
            }
        }
        check_time_range(
            &format!("{name}: at"),
            fault.at(),
            Duration::ZERO..=self.duration,
        )?;
        if fault.end() > self.duration {
            let expected = format!(
                "at and back-after within duration = {}",
                formatted(self.duration)
            );
            return Err(SettingsError::new(name, expected, formatted(fault.end())));
        }
        Ok(())
    }
}

/// Formats a time as in the settings file.
fn formatted(time: Duration) -> String {
    humantime::format_duration(time).to_string()
}

/// Checks that a number is in a range. NaN is in no range.
fn check_range<T: PartialOrd + Display>(name: &str, value: T, range: RangeInclusive<T>) -> Checked {
    if range.contains(&value) {
        return Ok(());
    }
    let expected = format!("{} to {}", range.start(), range.end());
    Err(SettingsError::new(name, expected, value))
}

/// Checks that a time is in a range.
fn check_time_range(name: &str, value: Duration, range: RangeInclusive<Duration>) -> Checked {
    if range.contains(&value) {
        return Ok(());
    }
    let expected = format!(
        "{} to {}",
        formatted(*range.start()),
        formatted(*range.end())
    );
    Err(SettingsError::new(name, expected, formatted(value)))
}
