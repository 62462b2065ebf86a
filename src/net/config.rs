//! Reads the configuration of the deployment: one JSON file, named by `--config` or `LB_CONFIG`.

use super::codec::feed::{self, FeedMessage};
use super::codec::lines::number;
use super::retry::retry;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use task_placer::Settings;
use task_placer::descriptors::MIN_DESCRIPTORS;
use task_placer::settings::{self, Names, SettingsError};

const BYTES_PER_MEGABYTE: usize = 1_048_576;
/// The descriptor limit if the configuration has none; the deployment's smallest machines have this many.
const DEFAULT_DESCRIPTORS: f64 = 256.0;
/// The memory limit in megabytes if the configuration has none; the deployment's smallest machines have this much.
const DEFAULT_MEMORY_MB: f64 = 32.0;

/// The configuration of one placer.
pub struct Config {
    /// The placer's name. It appears in the log, and processes of the same name belong to one placer.
    pub name: String,
    /// The address to which clients connect.
    pub listen: SocketAddr,
    /// The address to which operators and the platform connect, if there is one.
    pub admin: Option<SocketAddr>,
    /// The address of the service discovery feed.
    pub feed: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names that the settings list.
    pub names: Names,
    /// The sequence number of the latest feed event that the configuration includes ("known.n" in the file).
    pub cached_sequence: u64,
    /// The events of the feed up to that number, for use at the start ("known.events" in the file).
    pub cached_updates: Vec<FeedMessage>,
    /// The resource limits of the placer.
    pub limits: Limits,
}

impl Config {
    /// Returns the effective fields and values, as `task-placer check` prints them.
    pub fn effective_values(&self) -> Vec<(String, String)> {
        let updates = self.cached_updates.iter();
        let entries: usize = updates
            .filter_map(|message| message.update.as_ref())
            .map(|update| update.endpoints.len())
            .sum();
        let names = |names: &[String]| names.join(",");
        let admin = self.admin.map(|admin| admin.to_string());
        let memory_mb = self.limits.memory_bytes / BYTES_PER_MEGABYTE;
        [
            ("name", self.name.clone()),
            ("listen", self.listen.to_string()),
            ("admin", admin.unwrap_or_else(|| "none".to_string())),
            ("feed", self.feed.to_string()),
            ("seed", format!("{:016x}", self.seed)),
            ("known.n", self.cached_sequence.to_string()),
            ("known.entries", entries.to_string()),
            ("limits.sockets", self.limits.descriptors.to_string()),
            ("limits.memory_mb", memory_mb.to_string()),
            ("settings.services", names(&self.names.classes)),
            ("settings.realms", names(&self.names.tenants)),
            ("settings.models", names(&self.names.kinds)),
            ("settings.zones", names(&self.names.zones)),
        ]
        .map(|(field, value)| (field.to_string(), value))
        .to_vec()
    }
}

/// The resources that all processes of the placer may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The number of descriptors ("sockets" in the file).
    pub descriptors: usize,
    /// The memory in bytes.
    pub memory_bytes: usize,
}

impl Limits {
    fn read(value: Option<&BorrowedValue<'_>>) -> Limits {
        let number_at_least_one = |field: &str| {
            let number = value.and_then(|limits| limits.get(field)).and_then(number);
            number.filter(|number| *number >= 1.0)
        };
        let descriptors = number_at_least_one("sockets").unwrap_or(DEFAULT_DESCRIPTORS);
        let memory_mb = number_at_least_one("memory_mb").unwrap_or(DEFAULT_MEMORY_MB);
        Limits {
            descriptors: descriptors as usize,
            memory_bytes: (memory_mb * BYTES_PER_MEGABYTE as f64) as usize,
        }
    }
}

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither `--config` nor `LB_CONFIG` names a file.
    #[error("configuration: LB_CONFIG: not set, and no --config given")]
    NoFile,
    /// The file can't be read.
    #[error("configuration: LB_CONFIG: {}: {error}", path.display())]
    Unreadable {
        /// The path of the configuration file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file is not valid JSON.
    #[error("configuration: LB_CONFIG: {0}")]
    NotJson(simd_json::Error),
    /// The file is valid JSON, but not an object.
    #[error("configuration: LB_CONFIG: not an object")]
    NotAnObject,
    /// A required field is missing.
    #[error("configuration: {field}: missing")]
    Missing {
        /// The path of the field in the file.
        field: &'static str,
    },
    /// The value of a field is invalid.
    #[error("configuration: {field}: {reason}")]
    Invalid {
        /// The path of the field in the file.
        field: &'static str,
        /// Why the value is invalid.
        reason: String,
    },
    /// A setting of the decision module is missing or invalid.
    #[error("configuration: settings.{}: {}", .0.path(), .0.problem())]
    Setting(SettingsError),
    /// `LB_ADMIN` does not hold an address and a port.
    #[error("configuration: LB_ADMIN: {found}: {error}")]
    AdminVariable {
        /// The value of `LB_ADMIN`.
        found: String,
        /// Why the value is invalid.
        error: AddrParseError,
    },
    /// The admin address is the same as the address for clients.
    #[error("configuration: admin: {listen} is also the address for clients (listen)")]
    AdminAtListen {
        /// The address that is used twice.
        listen: SocketAddr,
    },
    /// The descriptor limit is too low to serve any client.
    #[error("configuration: limits.sockets: {found} is less than the minimum of {min}")]
    TooFewDescriptors {
        /// The configured number of descriptors.
        found: usize,
        /// The minimum number of descriptors.
        min: usize,
    },
}

/// Reads the configuration file at `path`, which `--config` or `LB_CONFIG` names. `LB_ADMIN` overrides the admin
/// address.
///
/// # Errors
///
/// Fails if the file can't be read, or a field is missing or invalid.
pub async fn load(path: Option<&Path>) -> Result<Config, ConfigError> {
    let path = path.ok_or(ConfigError::NoFile)?;
    let read = retry("configuration", || std::fs::read(path)).await;
    let mut text = read.map_err(|error| ConfigError::Unreadable {
        path: path.to_path_buf(),
        error,
    })?;
    let mut config = parse(&mut text)?;
    if let Some(admin) = admin_from_environment()? {
        config.admin = Some(admin);
    }
    if config.admin == Some(config.listen) {
        return Err(ConfigError::AdminAtListen {
            listen: config.listen,
        });
    }
    Ok(config)
}

/// Returns the admin address in `LB_ADMIN`, if it is set. The variable lets a second process of this placer use the
/// same configuration file with another admin address.
fn admin_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
    let value = std::env::var_os("LB_ADMIN").filter(|value| !value.is_empty());
    let Some(value) = value else {
        return Ok(None);
    };
    let found = value.to_string_lossy().into_owned();
    match found.parse() {
        Ok(address) => Ok(Some(address)),
        Err(error) => Err(ConfigError::AdminVariable { found, error }),
    }
}

fn parse(text: &mut [u8]) -> Result<Config, ConfigError> {
    let value = simd_json::to_borrowed_value(text).map_err(ConfigError::NotJson)?;
    if !value.is_object() {
        return Err(ConfigError::NotAnObject);
    }
    let admin = match value.get_str("admin") {
        Some("") | None => None,
        Some(_) => Some(address(&value, "admin")?),
    };
    let settings_value = field(value.get("settings"), "settings")?;
    let (settings, names) =
        settings::read(&settings::flatten(settings_value)).map_err(ConfigError::Setting)?;
    let known = field(value.get("known"), "known")?;
    let cached_sequence = field(known.get_u64("n"), "known.n")?;
    let limits = Limits::read(value.get("limits"));
    if limits.descriptors < MIN_DESCRIPTORS {
        return Err(ConfigError::TooFewDescriptors {
            found: limits.descriptors,
            min: MIN_DESCRIPTORS,
        });
    }
    let events = field(known.get_array("events"), "known.events")?;
    let read_event =
        |event| feed::read_event(event, &names).map_err(|reason| invalid("known.events", reason));
    let cached_updates = events.iter().map(read_event).collect::<Result<_, _>>()?;
    Ok(Config {
        name: text_field(&value, "name")?.to_string(),
        listen: address(&value, "listen")?,
        admin,
        feed: address(&value, "feed")?,
        seed: u64::from_str_radix(text_field(&value, "seed")?, 16)
            .map_err(|reason| invalid("seed", reason))?,
        settings,
        names,
        cached_sequence,
        cached_updates,
        limits,
    })
}

fn field<T>(value: Option<T>, field: &'static str) -> Result<T, ConfigError> {
    value.ok_or(ConfigError::Missing { field })
}

fn text_field<'a>(
    value: &'a BorrowedValue<'_>,
    name: &'static str,
) -> Result<&'a str, ConfigError> {
    field(value.get_str(name), name)
}

fn address(value: &BorrowedValue<'_>, name: &'static str) -> Result<SocketAddr, ConfigError> {
    let address = text_field(value, name)?.parse();
    address.map_err(|reason: AddrParseError| invalid(name, reason))
}

fn invalid(field: &'static str, reason: impl std::fmt::Display) -> ConfigError {
    ConfigError::Invalid {
        field,
        reason: reason.to_string(),
    }
}
