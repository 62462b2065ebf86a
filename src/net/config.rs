//! The configuration of the deployment: one JSON file, named by `--config` or `LB_CONFIG`.

use super::codec::feed::{self, FeedMessage};
use super::codec::lines::number;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use task_placer::Settings;
use task_placer::descriptors::MIN_DESCRIPTORS;
use task_placer::settings::{self, Names};

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
    pub fn in_force(&self) -> Vec<(String, String)> {
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

/// A field of the configuration that is missing or can't be read.
#[derive(Debug)]
pub struct ConfigError {
    field: String,
    what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.field, self.what)
    }
}

fn error(field: &str, what: impl fmt::Display) -> ConfigError {
    ConfigError {
        field: field.to_string(),
        what: what.to_string(),
    }
}

/// Reads the file that `--config` or `LB_CONFIG` names.
///
/// # Errors
///
/// Fails if the file can't be read, or a field of it is missing or wrong.
pub fn load(path: Option<&Path>) -> Result<Config, ConfigError> {
    let path = path.ok_or_else(|| error("LB_CONFIG", "names no file, nor does --config"))?;
    let read = std::fs::read(path);
    let mut text = read.map_err(|e| error("LB_CONFIG", format_args!("{}: {e}", path.display())))?;
    let mut config = parse(&mut text)?;
    // A second process of this placer is told another address, on the same file.
    if let Some(named) = std::env::var_os("LB_ADMIN").filter(|named| !named.is_empty()) {
        let named = named.to_string_lossy().into_owned();
        let parsed: SocketAddr = named
            .parse()
            .map_err(|e| error("LB_ADMIN", format_args!("{named}: {e}")))?;
        config.admin = Some(parsed);
    }
    if config.admin == Some(config.listen) {
        return Err(error(
            "admin",
            format_args!("{} is where clients connect (listen)", config.listen),
        ));
    }
    Ok(config)
}

fn parse(text: &mut [u8]) -> Result<Config, ConfigError> {
    let value = simd_json::to_borrowed_value(text).map_err(|e| error("LB_CONFIG", e))?;
    if !value.is_object() {
        return Err(error("LB_CONFIG", "not an object"));
    }
    let text = |field: &str| value.get_str(field).ok_or_else(|| error(field, "missing"));
    let address = |field: &str| text(field)?.parse().map_err(|e| error(field, e));
    let admin = match value.get_str("admin") {
        Some("") | None => None,
        Some(_) => Some(address("admin")?),
    };
    let stated = value
        .get("settings")
        .ok_or_else(|| error("settings", "missing"))?;
    let (settings, names) = settings::read(&settings::flatten(stated))
        .map_err(|e| error(&format!("settings.{}", e.path()), e.problem()))?;
    let known = value
        .get("known")
        .ok_or_else(|| error("known", "missing"))?;
    let cached_sequence = known
        .get_u64("n")
        .ok_or_else(|| error("known.n", "missing"))?;
    let limits = Limits::read(value.get("limits"));
    if limits.descriptors < MIN_DESCRIPTORS {
        let what = format!(
            "{}, and {MIN_DESCRIPTORS} are the fewest that serve anyone",
            limits.descriptors
        );
        return Err(error("limits.sockets", what));
    }
    let events = known
        .get_array("events")
        .ok_or_else(|| error("known.events", "missing"))?;
    let read_event = |event| feed::read_event(event, &names).map_err(|e| error("known.events", e));
    let cached_updates = events.iter().map(read_event).collect::<Result<_, _>>()?;
    Ok(Config {
        name: text("name")?.to_string(),
        listen: address("listen")?,
        admin,
        feed: address("feed")?,
        seed: u64::from_str_radix(text("seed")?, 16).map_err(|e| error("seed", e))?,
        settings,
        names,
        cached_sequence,
        cached_updates,
        limits,
    })
}
