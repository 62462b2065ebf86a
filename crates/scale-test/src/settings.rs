//! The settings of a run: a TOML file, flags that go before it, and the checks of both at the start.

mod check;
mod fault;
mod flags;

pub use fault::Fault;
pub use flags::SettingsArgs;

use crate::identity::ZoneId;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings that can't be meant: one line that names the setting, what was expected and what was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("setting {name}: expected {expected}, found {found}")]
pub struct SettingsError {
    /// The setting.
    pub name: String,
    /// What it may be.
    pub expected: String,
    /// What it is.
    pub found: String,
}

impl SettingsError {
    pub(crate) fn new(name: &str, expected: impl ToString, found: impl ToString) -> SettingsError {
        let one_line = |text: String| text.split_whitespace().collect::<Vec<_>>().join(" ");
        SettingsError {
            name: name.to_string(),
            expected: one_line(expected.to_string()),
            found: one_line(found.to_string()),
        }
    }
}

/// How the control feed tells changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedRule {
    /// Each change of a worker is an event of its own, at once.
    EachChange,
    /// All workers that changed are told in one event, each period.
    Gathered,
}

/// When placers connect to workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Connect {
    /// When something is wanted of them: the deployment states a price for a connection.
    OnDemand,
    /// To all that are listed, as far as descriptors go: connections have no price.
    All,
}

/// The settings of a run. Times are written as `30s`, `200ms`, `2m`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Hollow workers.
    pub workers: u32,
    /// Zones; workers are dealt out to them in turn.
    pub zones: u32,
    /// Regions; zones are dealt out to them in turn. With one, zones are named `z0` and so on, with more
    /// `r0-z0`.
    pub regions: u32,
    /// Real placer processes.
    pub placers: u16,
    /// Placers that the deployment's settings state: at least as many as really run. 0: as many.
    pub instances: u32,
    /// Starts a second, over all placers that really run.
    pub rate: f64,
    /// The part of the starts that is of class `urgent`.
    pub urgent_share: f64,
    /// The part of the starts that is of class `once`, which must not start twice.
    pub once_share: f64,
    /// Mean life of a task, from its answer; lives are exponential.
    #[serde(with = "humantime_serde")]
    pub life: Duration,
    /// Time from an offer to the worker's answer.
    #[serde(with = "humantime_serde")]
    pub start_time: Duration,
    /// Tasks that stand at the start, over all placers that really run.
    #[serde(rename = "standing")]
    pub running_tasks: u32,
    /// Tenants.
    pub tenants: u32,
    /// Services that tasks belong to.
    pub services: u32,
    /// Time with load before the figures count.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Time over which the figures count. Times of faults count from its start.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// When placers connect to workers.
    pub connect: Connect,
    /// The memory that a placer is told it may hold, in MB.
    pub placer_memory_mb: u64,
    /// The descriptors that a placer may hold.
    pub placer_sockets: u64,
    /// Connections that clients keep to each placer.
    pub client_connections: u16,
    /// Cores of a worker.
    pub worker_cores: f64,
    /// Memory of a worker.
    pub worker_memory: f64,
    /// Cores that a task asks for.
    pub task_cores: f64,
    /// Memory that a task asks for.
    pub task_memory: f64,
    /// Over this at the 99th percentile of the hollow peers' own lateness, the run is of no use.
    #[serde(with = "humantime_serde")]
    pub lateness_limit: Duration,
    /// Over this part of the machine's processors busy, the run is of no use.
    pub busy_limit: f64,
    /// How the control feed tells changes.
    pub feed: FeedRule,
    /// The period of `gathered`.
    #[serde(with = "humantime_serde")]
    pub feed_period: Duration,
    /// How often the whole list is told; 0s: never.
    #[serde(with = "humantime_serde")]
    pub whole_list_every: Duration,
    /// List events a second beyond those that the run itself makes: each tells one worker's entry again.
    pub events: f64,
    /// A folder in which the placers' configurations and logs stay; without it they go with the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keep_files: Option<PathBuf>,
    /// What fails, and when.
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
    /// Reads them out of TOML, without the checks.
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

    /// Reads them out of a file, without the checks.
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

    /// The names of the zones.
    pub fn zone_names(&self) -> Vec<String> {
        let name = |zone: u32| match self.regions {
            0 | 1 => format!("z{zone}"),
            regions => format!("r{}-z{zone}", zone % regions),
        };
        (0..self.zones).map(name).collect()
    }

    /// The zone of this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let place = self.zone_names().iter().position(|zone| zone == name)?;
        u32::try_from(place).ok().map(ZoneId)
    }

    /// The names of the tenants.
    pub fn tenant_names(&self) -> Vec<String> {
        (0..self.tenants)
            .map(|tenant| format!("t{tenant}"))
            .collect()
    }

    /// Placers that the deployment's settings state.
    pub fn stated_placers(&self) -> u32 {
        self.instances.max(u32::from(self.placers))
    }

    /// Tasks that one worker can hold.
    pub fn max_tasks_per_worker(&self) -> u32 {
        let cores = self.worker_cores / self.task_cores;
        let memory = self.worker_memory / self.task_memory;
        // More than a worker ever has; a cast from a number out of range gives the nearest.
        cores.min(memory).floor() as u32
    }

    /// As TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}

/// The key on this line of a file, for an error's name.
fn key_at(text: &str, line: usize) -> String {
    let found = text.lines().nth(line.saturating_sub(1)).unwrap_or_default();
    let key = found.split('=').next().unwrap_or_default().trim();
    if key.is_empty() {
        format!("file, line {line}")
    } else {
        key.to_string()
    }
}

#[cfg(test)]
mod tests;
