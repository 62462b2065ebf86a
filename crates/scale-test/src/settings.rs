//! The settings of a run, read from a TOML file and from command-line flags that take precedence, and their checks.

mod check;
mod fault;
mod flags;

pub use fault::Fault;
pub use flags::SettingsArgs;

use crate::identity::ZoneId;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An invalid setting. Displays as one line with the setting's name, the expected value and the value found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("setting {name}: expected {expected}, found {found}")]
pub struct SettingsError {
    /// The name of the setting.
    pub name: String,
    /// The values that are accepted.
    pub expected: String,
    /// The value that was found.
    pub found: String,
}

impl SettingsError {
    /// Returns an error in whose texts line breaks are replaced by spaces, so that it displays as one line.
    pub(crate) fn new(name: &str, expected: impl ToString, found: impl ToString) -> SettingsError {
        let one_line = |text: String| text.split_whitespace().collect::<Vec<_>>().join(" ");
        SettingsError {
            name: name.to_string(),
            expected: one_line(expected.to_string()),
            found: one_line(found.to_string()),
        }
    }
}

/// How the control feed groups changes of workers into events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedRule {
    /// Each change of a worker is sent immediately, as a separate event.
    EachChange,
    /// Once per period, all workers that have changed are sent in one event.
    Gathered,
}

/// When placers connect to workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Connect {
    /// Placers connect on demand, because the deployment sets a price for each connection.
    OnDemand,
    /// Placers connect to all listed workers as far as descriptors allow, because connections have no price.
    All,
}

/// The settings of a run. In the file, times are written as `30s`, `200ms` or `2m`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// The seed of the random number generators.
    pub seed: u64,
    /// The number of simulated workers.
    pub workers: u32,
    /// The number of zones. Workers are assigned to zones in turn.
    pub zones: u32,
    /// The number of regions. Zones are assigned to regions in turn. Zones are named `z0` and so on if there is one
    /// region, and `r0-z0` and so on if there are several.
    pub regions: u32,
    /// The number of placer processes that run.
    pub placers: u16,
    /// The number of placers that the deployment's settings state. At least `placers`, or 0 for the same number.
    pub instances: u32,
    /// Task arrivals per second, summed over all placers that run.
    pub rate: f64,
    /// The fraction of arriving tasks that have the class `urgent`.
    pub urgent_share: f64,
    /// The fraction of arriving tasks that have the class `once`. Such a task must not start twice.
    pub once_share: f64,
    /// The mean lifetime of a task, counted from the worker's answer. Lifetimes are exponentially distributed.
    #[serde(with = "humantime_serde")]
    pub life: Duration,
    /// The time from an offer to the worker's answer.
    #[serde(with = "humantime_serde")]
    pub start_time: Duration,
    /// The number of tasks that run at the start, summed over all placers that run.
    #[serde(rename = "standing")]
    pub running_tasks: u32,
    /// The number of tenants.
    pub tenants: u32,
    /// The number of services.
    pub services: u32,
    /// The time for which load is applied before the measurement.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// The duration of the measurement. The times of faults count from its start.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// When placers connect to workers.
    pub connect: Connect,
    /// The memory limit in the configuration of each placer, in MB.
    pub placer_memory_mb: u64,
    /// The maximum number of file descriptors of each placer.
    pub placer_sockets: u64,
    /// The number of connections that clients keep open to each placer.
    pub client_connections: u16,
    /// The number of cores of each worker.
    pub worker_cores: f64,
    /// The memory of each worker.
    pub worker_memory: f64,
    /// The number of cores that each task requests.
    pub task_cores: f64,
    /// The memory that each task requests, in the same unit as `worker_memory`.
    pub task_memory: f64,
    /// The maximum for the 99th percentile of the simulated peers' own lateness. A run above it is unusable.
    #[serde(with = "humantime_serde")]
    pub lateness_limit: Duration,
    /// The maximum for the fraction of the machine's processors that is busy. A run above it is unusable.
    pub busy_limit: f64,
    /// How the control feed groups changes of workers into events.
    pub feed: FeedRule,
    /// The period at which changes are sent under the rule `gathered`.
    #[serde(with = "humantime_serde")]
    pub feed_period: Duration,
    /// The period at which the control feed sends complete lists, or 0s to send none.
    #[serde(with = "humantime_serde")]
    pub whole_list_every: Duration,
    /// The number of additional feed events per second. Each repeats the unchanged entry of one worker.
    pub events: f64,
    /// The folder in which the placers' configurations and logs are kept. If unset, they are removed after the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keep_files: Option<PathBuf>,
    /// The faults that the run injects.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            seed: 1,
            workers: 300,
            zones: 7,
            regions: 1,
            placers: 3,
            instances: 0,
            rate: 20.0,
            urgent_share: 0.3,
            once_share: 0.0,
            life: Duration::from_secs(20),
            start_time: Duration::from_millis(200),
            running_tasks: 400,
            tenants: 5,
            services: 200,
            warm_up: Duration::from_secs(3),
            duration: Duration::from_secs(20),
            connect: Connect::OnDemand,
            placer_memory_mb: 192,
            placer_sockets: 1_024,
            client_connections: 4,
            worker_cores: 32.0,
            worker_memory: 64.0,
            task_cores: 1.0,
            task_memory: 2.0,
            lateness_limit: Duration::from_millis(50),
            busy_limit: 0.9,
            feed: FeedRule::Gathered,
            feed_period: Duration::from_millis(200),
            whole_list_every: Duration::ZERO,
            events: 0.0,
            keep_files: None,
            faults: Vec::new(),
        }
    }
}

impl Settings {
    /// Reads settings from TOML, without checking them.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        toml::from_str(text).map_err(|error| {
            let line = error
                .span()
                .map(|span| text.get(..span.start).unwrap_or_default().lines().count());
            let name = line.map_or_else(|| "file".to_string(), |line| key_at(text, line));
            SettingsError::new(&name, "a valid setting", error.message())
        })
    }

    /// Reads settings from a file, without checking them.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or contains an invalid setting.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            SettingsError::new(
                "file",
                "a TOML file",
                format_args!("{}: {error}", path.display()),
            )
        })?;
        Settings::parse(&text)
    }

    /// Returns the names of the zones.
    pub fn zone_names(&self) -> Vec<String> {
        let name = |zone: u32| match self.regions {
            0 | 1 => format!("z{zone}"),
            regions => format!("r{}-z{zone}", zone % regions),
        };
        (0..self.zones).map(name).collect()
    }

    /// Returns the zone with this name, if it exists.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let index = self.zone_names().iter().position(|zone| zone == name)?;
        u32::try_from(index).ok().map(ZoneId)
    }

    /// Returns the names of the tenants.
    pub fn tenant_names(&self) -> Vec<String> {
        (0..self.tenants)
            .map(|tenant| format!("t{tenant}"))
            .collect()
    }

    /// Returns the number of placers that the deployment's settings state: `instances`, but at least `placers`.
    pub fn configured_placers(&self) -> u32 {
        self.instances.max(u32::from(self.placers))
    }

    /// Returns the number of tasks that one worker can run at a time.
    pub fn max_tasks_per_worker(&self) -> u32 {
        let cores = self.worker_cores / self.task_cores;
        let memory = self.worker_memory / self.task_memory;
        // The cast saturates at `u32::MAX`, which is more tasks than any worker can run.
        cores.min(memory).floor() as u32
    }

    /// Formats the settings as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

/// Returns the key on this line of the file, for use as the setting's name in an error.
fn key_at(text: &str, line: usize) -> String {
    let content = text.lines().nth(line.saturating_sub(1)).unwrap_or_default();
    let key = content.split('=').next().unwrap_or_default().trim();
    if key.is_empty() {
        format!("file, line {line}")
    } else {
        key.to_string()
    }
}

#[cfg(test)]
mod tests;
