//! The placer's configuration: one JSON file, named by `LB_CONFIG`.

use super::codec::feed::{self, FeedMessage};
use super::codec::lines::number;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use task_placer::Settings;
use task_placer::descriptors::FEWEST_SOCKETS;
use task_placer::settings::{self, Names};

/// What a placer is told at its start.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The control feed.
    pub feed: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Settings of the decisions.
    pub settings: Settings,
    /// The names that they state.
    pub names: Names,
    /// The number of the feed's last event at the start.
    pub known_to: u64,
    /// The feed's events until then.
    pub known: Vec<FeedMessage>,
    /// What the process may hold.
    pub limits: Limits,
}

impl Config {
    /// What `task-placer check` tells of it: fields and values.
    pub fn in_force(&self) -> Vec<(String, String)> {
        let up = self
            .known
            .iter()
            .filter_map(|line| line.members.as_ref())
            .flat_map(|(_, hosts)| hosts);
        let names = |names: &[String]| names.join(",");
        [
            ("name", self.name.clone()),
            ("listen", self.listen.to_string()),
            (
                "admin",
                self.admin
                    .map_or_else(|| "none".to_string(), |admin| admin.to_string()),
            ),
            ("feed", self.feed.to_string()),
            ("seed", format!("{:016x}", self.seed)),
            ("known.n", self.known_to.to_string()),
            ("known.entries", up.count().to_string()),
            ("limits.sockets", self.limits.sockets.to_string()),
            (
                "limits.memory_mb",
                (self.limits.memory / 1_048_576).to_string(),
            ),
            ("settings.services", names(&self.names.classes)),
            ("settings.realms", names(&self.names.tenants)),
            ("settings.models", names(&self.names.kinds)),
            ("settings.zones", names(&self.names.zones)),
        ]
        .map(|(field, value)| (field.to_string(), value))
        .to_vec()
    }
}

/// What the process may hold. Without a word on it, what the deployment's smallest machines have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
}

impl Limits {
    fn read(value: Option<&BorrowedValue<'_>>) -> Limits {
        let stated = |field: &str| {
            value
                .and_then(|v| v.get(field))
                .and_then(number)
                .filter(|v| *v >= 1.0)
        };
        let megabytes = stated("memory_mb").unwrap_or(32.0);
        Limits {
            sockets: stated("sockets").unwrap_or(256.0) as usize,
            memory: (megabytes * 1_048_576.0) as usize,
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
        .map_err(|e| error(&format!("settings.{}", e.field), e.what))?;
    let known = value
        .get("known")
        .ok_or_else(|| error("known", "missing"))?;
    let known_to = known
        .get_u64("n")
        .ok_or_else(|| error("known.n", "missing"))?;
    let limits = Limits::read(value.get("limits"));
    if limits.sockets < FEWEST_SOCKETS {
        let what = format!(
            "{}, and {FEWEST_SOCKETS} are the fewest that serve anyone",
            limits.sockets
        );
        return Err(error("limits.sockets", what));
    }
    let events = known
        .get_array("events")
        .ok_or_else(|| error("known.events", "missing"))?;
    let event = |e| feed::event(e, &names).map_err(|e| error("known.events", e));
    let known = events.iter().map(event).collect::<Result<_, _>>()?;
    Ok(Config {
        name: text("name")?.to_string(),
        listen: address("listen")?,
        admin,
        feed: address("feed")?,
        seed: u64::from_str_radix(text("seed")?, 16).map_err(|e| error("seed", e))?,
        settings,
        names,
        known_to,
        known,
        limits,
    })
}
