//! Reads the operator's file: a TOML file whose path is given by `--operator` or `TASK_PLACER_OPERATOR`.
//!
//! Without a file every feature that it can enable is disabled. The keys are a stable interface for operators and
//! differ from the names in the code, which are newer. This module maps the keys to these names, checks the values,
//! and reports every problem with its line, column and field.

mod drain;
mod health;
mod log;
mod overload;
mod reader;

pub use health::HealthSettings;
pub use log::{LogFormat, LogLevel, LogSettings};
pub use reader::{EffectiveValue, Problem};

use reader::{Reader, Section};
use std::path::{Path, PathBuf};
use std::time::Duration;
use task_placer::Micros;
use task_placer::health::drain::DrainLimits;
use task_placer::overload::Features;
use toml::de::DeTable;

/// The maximum length of the path of a Unix socket, in bytes; a longer path does not fit into a socket address.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// The settings of the operator's file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Operator {
    /// `[log]`: the format and the level of the log.
    pub log: LogSettings,
    /// `[health]`: the listeners for load balancers, and the health monitor.
    pub health: HealthSettings,
    /// `[drain]`: the limits of a graceful shutdown. If it is `None`, SIGTERM ends the process without a drain.
    pub drain: Option<DrainLimits>,
    /// `[ctl]`: the path of the control socket, which takes the commands of `task-placer ctl`.
    pub control_socket: Option<PathBuf>,
    /// `[overload]`: the features of overload control.
    pub overload: Features,
}

impl Operator {
    /// Returns whether any part of the program uses the reports of the health monitor: a listener for load balancers,
    /// the drain or the control socket.
    pub fn uses_health_monitor(&self) -> bool {
        self.health.listens() || self.drain.is_some() || self.control_socket.is_some()
    }
}

/// The result of reading an operator's file.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The settings, with the default of each value that could not be read.
    pub operator: Operator,
    /// Each value in effect with its origin.
    pub effective_values: Vec<EffectiveValue>,
    /// All problems of the file.
    pub problems: Vec<Problem>,
}

/// Reads an operator's file. A file that does not exist is a problem, because its path was given explicitly.
pub fn load(path: &Path) -> Loaded {
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&text),
        Err(error) => Loaded {
            problems: vec![Problem {
                position: None,
                field: String::new(),
                message: format!("can't read the file: {error}"),
            }],
            ..Loaded::default()
        },
    }
}

/// Parses the text of an operator's file.
pub fn parse(text: &str) -> Loaded {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader::new(text, &errors);
    let mut operator = Operator::default();
    if errors.is_empty() {
        let mut root = reader.root(&document);
        operator = Operator {
            log: log::read(&mut reader, &mut root),
            health: health::read(&mut reader, &mut root),
            drain: drain::read(&mut reader, &mut root),
            control_socket: control_socket(&mut reader, &mut root),
            overload: overload::read(&mut reader, &mut root),
        };
        reader.close(&root);
    }
    let (effective_values, problems) = reader.finish();
    Loaded {
        operator,
        effective_values,
        problems,
    }
}

/// Reads `[ctl]` and returns the path of the control socket.
fn control_socket(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<PathBuf> {
    let mut section = reader.section(root, "ctl");
    let socket = reader.optional::<PathBuf>(&mut section, "socket");
    let is_too_long = |path: &PathBuf| path.as_os_str().len() > MAX_SOCKET_PATH_BYTES;
    if socket.as_ref().is_some_and(is_too_long) {
        let message = format!("expected a path of at most {MAX_SOCKET_PATH_BYTES} bytes");
        reader.report(&section, "socket", message);
    }
    reader.close(&section);
    socket
}

/// Converts a duration to microseconds. The reader limits durations to a year, so the conversion does not overflow.
fn to_micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}

/// Converts microseconds to a duration.
fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

#[cfg(test)]
mod tests;
