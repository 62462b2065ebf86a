//! The operator's file: TOML, named by `--operator` or `TASK_PLACER_OPERATOR`.
//!
//! Without a file every feature in it is disabled. The keys are the operators' interface and older than the names
//! in the code; this module maps one to the other, checks the values, and reports every problem with its line,
//! column and field.

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

/// The longest path of a Unix socket, in bytes: a longer one does not fit its address.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// The settings of the operator's file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Operator {
    /// `[log]`.
    pub log: LogSettings,
    /// `[health]`.
    pub health: HealthSettings,
    /// `[drain]`; `None`: SIGTERM ends the process as without a file.
    pub drain: Option<DrainLimits>,
    /// `[ctl]`: the socket for commands.
    pub control_socket: Option<PathBuf>,
    /// `[overload]`: the features of overload control.
    pub overload: Features,
}

impl Operator {
    /// Returns whether anyone can learn what the health monitor reports.
    pub fn uses_health_monitor(&self) -> bool {
        self.health.listens() || self.drain.is_some() || self.control_socket.is_some()
    }
}

/// The result of reading a file.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The settings.
    pub operator: Operator,
    /// Each value with its origin.
    pub effective_values: Vec<EffectiveValue>,
    /// Everything that is wrong.
    pub problems: Vec<Problem>,
}

/// Reads a file. A file that does not exist is a problem too: whoever names one means it.
pub fn load(path: &Path) -> Loaded {
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&text),
        Err(error) => Loaded {
            problems: vec![Problem {
                position: None,
                field: String::new(),
                message: format!("can't be read: {error}"),
            }],
            ..Loaded::default()
        },
    }
}

/// Reads the text of a file.
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

/// Reads `[ctl]`.
fn control_socket(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<PathBuf> {
    let mut section = reader.section(root, "ctl");
    let socket = reader.optional::<PathBuf>(&mut section, "socket");
    let is_too_long = |path: &PathBuf| path.as_os_str().len() > MAX_SOCKET_PATH_BYTES;
    if socket.as_ref().is_some_and(is_too_long) {
        let what = format!("expected a path of at most {MAX_SOCKET_PATH_BYTES} bytes");
        reader.wrong(&section, "socket", what);
    }
    reader.close(&section);
    socket
}

/// A duration in microseconds; the reader limits it to a year.
fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

#[cfg(test)]
mod tests;
