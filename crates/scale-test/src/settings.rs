//! The settings of a run: a TOML file, command-line flags that take precedence, and the checks of both.

mod check;
mod fault;
mod flags;

pub use fault::Fault;
pub use flags::SettingsArgs;

use crate::identity::ZoneId;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An invalid setting. Displays as one line with its name, what was expected and what was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("setting {name}: expected {expected}, found {found}")]
pub struct SettingsError {
    /// The name of the setting.
    pub name: String,
    /// What was expected.
    pub expected: String,
    /// What was found.
    pub found: String,
}

impl SettingsError {
    /// Returns an error whose texts are joined into one line.
    pub(crate) fn new(name: &str, expected: impl ToString, found: impl ToString) -> SettingsError {
        let one_line = |text: String| text.split_whitespace().collect::<Vec<_>>().join(" ");
        SettingsError {
            name: name.to_string(),
            expected: one_line(expected.to_string()),
            found: one_line(found.to_string()),
        }
    }
}

/// How the control feed groups changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedRule {
    /// Each change of a worker is sent at once, as an event of its own.
    EachChange,
    /// All workers that have changed are sent in one event, each period.
    Gathered,
}

/// When placers connect to workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Connect {
    /// On demand: the deployment has a price for a connection.
    OnDemand,
    /// To all listed workers, as far as descriptors allow: connections have no price.
    All,
}

/// The settings of a run. Times are written as `30s`, `200ms`, `2m`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// The seed of all random numbers.
    pub seed: u64,
    /// Hollow workers.
    pub workers: u32,
    /// Zones. Workers are assigned to them in turn.
    pub zones: u32,
    /// Regions. Zones are assigned to them in turn. With one region zones are named `z0` and so on, with several
    /// `r0-z0`.
    pub regions: u32,
    /// Real placer processes.
    pub placers: u16,
    /// The number of placers in the deployment's settings: at least as many as really run, or 0 for as many.
    pub instances: u32,
    /// Task arrivals per second, over all placers that really run.
    pub rate: f64,
    /// The fraction of the arrivals that is of class `urgent`.
    pub urgent_share: f64,
    /// The fraction of the arrivals that is of class `once`, which must not start twice.
    pub once_share: f64,
    /// The mean lifetime of a task, from its answer. Lifetimes are exponentially distributed.
    #[serde(with = "humantime_serde")]
    pub life: Duration,
    /// The time from an offer to the worker's answer.
    #[serde(with = "humantime_serde")]
    pub start_time: Duration,
    /// Tasks that run at the start, over all placers that really run.
    #[serde(rename = "standing")]
    pub running_tasks: u32,
    /// Tenants.
    pub tenants: u32,
    /// Services.
    pub services: u32,
    /// The time with load before the measurement.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// The duration of the measurement. The times of faults count from its start.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// When placers connect to workers.
    pub connect: Connect,
    /// The memory limit in a placer's configuration, in MB.
    pub placer_memory_mb: u64,
    /// The limit on a placer's descriptors.
    pub placer_sockets: u64,
    /// Connections that clients keep to each placer.
    pub client_connections: u16,
    /// Cores of a worker.
    pub worker_cores: f64,
    /// Memory of a worker.
    pub worker_memory: f64,
    /// Cores that a task requests.
    pub task_cores: f64,
    /// Memory that a task requests.
    pub task_memory: f64,
    /// The limit on the 99th percentile of the hollow peers' own lateness, above which a run is unusable.
    #[serde(with = "humantime_serde")]
    pub lateness_limit: Duration,
    /// The limit on the busy fraction of the machine's processors, above which a run is unusable.
    pub busy_limit: f64,
    /// How the control feed groups changes.
    pub feed: FeedRule,
    /// The period of the rule `gathered`.
    #[serde(with = "humantime_serde")]
    pub feed_period: Duration,
    /// The period of complete lists on the control feed; 0s for none.
    #[serde(with = "humantime_serde")]
    pub whole_list_every: Duration,
    /// Extra list events per second, each of which repeats one worker's entry.
    pub events: f64,
    /// The folder in which the placers' configurations and logs are kept. Without it they are removed after the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keep_files: Option<PathBuf>,
    /// The faults that are injected.
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
    /// Returns an error that names the first setting that cannot be read.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        toml::from_str(text).map_err(|error| {
            let line = error
                .span()
                .map(|span| text.get(..span.start).unwrap_or_default().lines().count());
            let name = line.map_or_else(|| "file".to_string(), |line| key_at(text, line));
            SettingsError::new(&name, "a setting that can be read", error.message())
        })
    }

    /// Reads settings from a file, without checking them.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a setting in it cannot be read.
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

    /// Returns the zone with this name.
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

    /// Returns the number of placers in the deployment's settings.
    pub fn configured_placers(&self) -> u32 {
        self.instances.max(u32::from(self.placers))
    }

    /// Returns the number of tasks that one worker can run.
    pub fn max_tasks_per_worker(&self) -> u32 {
        let cores = self.worker_cores / self.task_cores;
        let memory = self.worker_memory / self.task_memory;
        // The cast saturates at the largest number, which is more than any worker has.
        cores.min(memory).floor() as u32
    }

    /// Returns the settings as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

/// Returns the key on this line of a file, as the name in an error.
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
