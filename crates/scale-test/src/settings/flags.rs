//! Settings from the command line: a settings file, and flags that take precedence over it.

use super::{Connect, Fault, FeedRule, Settings, SettingsError};
use clap::Args;
use serde::de::DeserializeOwned;
use std::path::PathBuf;

/// The command-line arguments that give the settings. Each flag has the name and the format of the setting in the file.
#[derive(Debug, Clone, Default, Args)]
pub struct SettingsArgs {
    /// A TOML file with settings, such as one of the packaged plans
    pub plan: Option<PathBuf>,
    /// Set any setting of the file, such as `--set workers=2000 --set life=60s`; takes precedence over the file
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
    /// Number of simulated workers
    #[arg(long)]
    pub workers: Option<String>,
    /// Number of zones
    #[arg(long)]
    pub zones: Option<String>,
    /// Number of placer processes that run
    #[arg(long)]
    pub placers: Option<String>,
    /// Number of placers that the deployment's settings state
    #[arg(long)]
    pub instances: Option<String>,
    /// Task arrivals per second, summed over all placers that run
    #[arg(long)]
    pub rate: Option<String>,
    /// Number of tasks that run at the start
    #[arg(long)]
    pub standing: Option<String>,
    /// Mean lifetime of a task
    #[arg(long)]
    pub life: Option<String>,
    /// Time for which load is applied before the measurement
    #[arg(long)]
    pub warm_up: Option<String>,
    /// Duration of the measurement
    #[arg(long)]
    pub duration: Option<String>,
    /// Seed of the random number generators
    #[arg(long)]
    pub seed: Option<String>,
    /// How the control feed groups changes into events: each-change, gathered
    #[arg(long)]
    pub feed: Option<String>,
    /// When placers connect to workers: on-demand, all
    #[arg(long)]
    pub connect: Option<String>,
    /// A fault to inject, as an inline TOML table: `{ kind = "zone", zone = "z2", at = "5s", back-after = "5s" }`
    #[arg(long = "fault", value_name = "TABLE")]
    pub faults: Vec<String>,
}

impl SettingsArgs {
    /// Returns the settings of the file with the flags applied, without checking them.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or a setting or flag cannot be parsed.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let mut settings = match &self.plan {
            Some(path) => Settings::load(path)?,
            None => Settings::default(),
        };
        self.apply(&mut settings)?;
        Ok(settings)
    }

    /// Applies the flags to `settings`.
    fn apply(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        for (name, value) in self.named_flags() {
            set(settings, name, value)?;
        }
        settings.set_pairs(&self.set)?;
        for table in &self.faults {
            settings.faults.push(parse_fault(table)?);
        }
        Ok(())
    }

    /// Returns the flags that were given for a single setting each, with their names.
    fn named_flags(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let flags = [
            ("workers", &self.workers),
            ("zones", &self.zones),
            ("placers", &self.placers),
            ("instances", &self.instances),
            ("rate", &self.rate),
            ("standing", &self.standing),
            ("life", &self.life),
            ("warm-up", &self.warm_up),
            ("duration", &self.duration),
            ("seed", &self.seed),
            ("feed", &self.feed),
            ("connect", &self.connect),
        ];
        flags
            .into_iter()
            .filter_map(|(name, value)| Some((name, value.as_deref()?)))
    }
}

impl Settings {
    /// Applies settings that are given as texts such as `workers=2000`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first setting that is unknown or cannot be parsed.
    pub fn set_pairs(&mut self, pairs: &[String]) -> Result<(), SettingsError> {
        pairs
            .iter()
            .try_for_each(|pair| match pair.split_once('=') {
                Some((name, value)) => set(self, name.trim(), value.trim()),
                None => Err(SettingsError::new("--set", "NAME=VALUE", pair)),
            })
    }
}

/// Parses `text` and sets the setting with this name.
fn set(settings: &mut Settings, name: &str, text: &str) -> Result<(), SettingsError> {
    match name {
        "seed" => set_number(&mut settings.seed, name, text),
        "workers" => set_number(&mut settings.workers, name, text),
        "zones" => set_number(&mut settings.zones, name, text),
        "regions" => set_number(&mut settings.regions, name, text),
        "placers" => set_number(&mut settings.placers, name, text),
        "instances" => set_number(&mut settings.instances, name, text),
        "rate" => set_number(&mut settings.rate, name, text),
        "urgent-share" => set_number(&mut settings.urgent_share, name, text),
        "once-share" => set_number(&mut settings.once_share, name, text),
        "standing" => set_number(&mut settings.running_tasks, name, text),
        "tenants" => set_number(&mut settings.tenants, name, text),
        "services" => set_number(&mut settings.services, name, text),
        "placer-memory-mb" => set_number(&mut settings.placer_memory_mb, name, text),
        "placer-sockets" => set_number(&mut settings.placer_sockets, name, text),
        "client-connections" => set_number(&mut settings.client_connections, name, text),
        "worker-cores" => set_number(&mut settings.worker_cores, name, text),
        "worker-memory" => set_number(&mut settings.worker_memory, name, text),
        "task-cores" => set_number(&mut settings.task_cores, name, text),
        "task-memory" => set_number(&mut settings.task_memory, name, text),
        "busy-limit" => set_number(&mut settings.busy_limit, name, text),
        "events" => set_number(&mut settings.events, name, text),
        "life" => set_time(&mut settings.life, name, text),
        "start-time" => set_time(&mut settings.start_time, name, text),
        "warm-up" => set_time(&mut settings.warm_up, name, text),
        "duration" => set_time(&mut settings.duration, name, text),
        "lateness-limit" => set_time(&mut settings.lateness_limit, name, text),
        "feed-period" => set_time(&mut settings.feed_period, name, text),
        "whole-list-every" => set_time(&mut settings.whole_list_every, name, text),
        "keep-files" => {
            settings.keep_files = Some(PathBuf::from(text));
            Ok(())
        }
        "feed" => {
            set_keyword::<FeedRule>(&mut settings.feed, name, "each-change or gathered", text)
        }
        "connect" => set_keyword::<Connect>(&mut settings.connect, name, "on-demand or all", text),
        _ => Err(SettingsError::new(
            name,
            "the name of a setting",
            format_args!("{name}={text}"),
        )),
    }
}

/// Parses a number and stores it in `target`.
fn set_number<T: std::str::FromStr>(
    target: &mut T,
    name: &str,
    text: &str,
) -> Result<(), SettingsError> {
    *target = text
        .parse()
        .map_err(|_| SettingsError::new(name, "a number in its range", text))?;
    Ok(())
}

/// Parses a time and stores it in `target`.
fn set_time(target: &mut std::time::Duration, name: &str, text: &str) -> Result<(), SettingsError> {
    let parsed = humantime::parse_duration(text);
    *target = parsed.map_err(|_| SettingsError::new(name, "a time such as 30s", text))?;
    Ok(())
}

/// Parses a keyword and stores it in `target`. `expected` lists the keywords for the error message.
fn set_keyword<T: DeserializeOwned>(
    target: &mut T,
    name: &str,
    expected: &str,
    text: &str,
) -> Result<(), SettingsError> {
    let value = toml::Value::String(text.to_string());
    *target = value
        .try_into()
        .map_err(|_| SettingsError::new(name, expected, text))?;
    Ok(())
}

/// Parses a fault from an inline TOML table.
fn parse_fault(table: &str) -> Result<Fault, SettingsError> {
    #[derive(serde::Deserialize)]
    struct Document {
        fault: Fault,
    }
    let parsed: Result<Document, toml::de::Error> = toml::from_str(&format!("fault = {table}"));
    parsed.map(|document| document.fault).map_err(|error| {
        SettingsError::new(
            "fault",
            "an inline table with the keys of a [[fault]] table",
            error.message(),
        )
    })
}
