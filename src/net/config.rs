//! The configuration of the deployment: one JSON file, named by `--config` or `LB_CONFIG`.

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
/// Descriptors of a process where the configuration states none, as on the deployment's smallest machines.
const DEFAULT_DESCRIPTORS: f64 = 256.0;
/// Megabytes of memory of a process where the configuration states none, as on the deployment's smallest machines.
const DEFAULT_MEMORY_MB: f64 = 32.0;

/// What the deployment states for one placer.
pub struct Config {
    /// The placer's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators and the platform connect, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The service discovery feed.
    pub feed: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The names that they state.
    pub names: Names,
    /// The sequence number of the feed's last event at the start ("known.n" in the file).
    pub cached_sequence: u64,
    /// The feed's events until then ("known.events" in the file).
    pub cached_updates: Vec<FeedMessage>,
    /// The limits of the placer.
    pub limits: Limits,
}

impl Config {
    /// Returns the fields and values in force, as `task-placer check` prints them.
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

/// What the processes of the placer may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors ("sockets" in the file).
    pub descriptors: usize,
    /// Bytes of memory.
    pub memory_bytes: usize,
}

impl Limits {
    fn read(value: Option<&BorrowedValue<'_>>) -> Limits {
        let stated = |field: &str| {
            let number = value.and_then(|limits| limits.get(field)).and_then(number);
            number.filter(|number| *number >= 1.0)
        };
        let descriptors = stated("sockets").unwrap_or(DEFAULT_DESCRIPTORS);
        let memory_mb = stated("memory_mb").unwrap_or(DEFAULT_MEMORY_MB);
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
    #[error("configuration: LB_CONFIG: names no file, nor does --config")]
    NoFile,
    /// The file can't be read.
    #[error("configuration: LB_CONFIG: {}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// The file is no JSON.
    #[error("configuration: LB_CONFIG: {0}")]
    NotJson(simd_json::Error),
    /// The file is JSON, but no object.
    #[error("configuration: LB_CONFIG: not an object")]
    NotAnObject,
    /// A field is missing.
    #[error("configuration: {field}: missing")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field can't be read.
    #[error("configuration: {field}: {reason}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// A setting of the decision module is missing or can't be read.
    #[error("configuration: settings.{}: {}", .0.path(), .0.problem())]
    Setting(SettingsError),
    /// `LB_ADMIN` is no address.
    #[error("configuration: LB_ADMIN: {found}: {error}")]
    AdminVariable {
        /// Its value.
        found: String,
        /// What is wrong with it.
        error: AddrParseError,
    },
    /// The platform would connect where clients do.
    #[error("configuration: admin: {listen} is where clients connect (listen)")]
    AdminAtListen {
        /// The address.
        listen: SocketAddr,
    },
    /// Too few descriptors to serve anyone.
    #[error("configuration: limits.sockets: {found}, and {min} are the fewest that serve anyone")]
    TooFewDescriptors {
        /// The descriptors stated.
        found: usize,
        /// The least that serve anyone.
        min: usize,
    },
}

/// Reads the file that `--config` or `LB_CONFIG` names.
///
/// # Errors
///
/// Fails if the file can't be read, or a field of it is missing or wrong.
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

/// Returns the admin address of `LB_ADMIN`, if it is set: a second process of this placer has another address, on the
/// same file.
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
    let stated = field(value.get("settings"), "settings")?;
    let (settings, names) =
        settings::read(&settings::flatten(stated)).map_err(ConfigError::Setting)?;
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
