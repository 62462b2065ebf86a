//! Reads `[log]`: the format and the level of the log.

use super::reader::{Reader, Section};

/// The range of `queue-bytes`.
const QUEUE_BYTES: std::ops::RangeInclusive<u64> = 4_096..=16 << 20;

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// A message followed by its fields.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The lowest severity of events that are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum LogLevel {
    /// Failures of this process.
    Error,
    /// Also events that may need attention.
    Warn,
    /// Also each connection that ended, and each change of state.
    #[default]
    Info,
    /// Also each poll and each request of a load balancer.
    Debug,
}

impl LogLevel {
    const ALL: [(&'static str, LogLevel); 4] = [
        ("error", LogLevel::Error),
        ("warn", LogLevel::Warn),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
    ];
}

/// The settings of `[log]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The lowest severity of events that are logged.
    pub level: LogLevel,
    /// The maximum number of bytes of log lines that wait to be written.
    pub queue_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            format: LogFormat::Text,
            level: LogLevel::Info,
            queue_bytes: 256 * 1024,
        }
    }
}

/// Reads `[log]`.
pub(super) fn read(reader: &mut Reader<'_>, root: &mut Section<'_>) -> LogSettings {
    let mut section = reader.section(root, "log");
    let default = LogSettings::default();
    let format = reader.value(&mut section, "format", "text".to_string());
    let level = reader.value(&mut section, "level", "info".to_string());
    let queue_bytes = reader.checked(
        &mut section,
        "queue-bytes",
        default.queue_bytes as u64,
        |bytes| QUEUE_BYTES.contains(bytes),
        "4096 to 16777216",
    );
    let settings = LogSettings {
        format: parse_format(reader, &section, &format),
        level: parse_level(reader, &section, &level),
        queue_bytes: usize::try_from(queue_bytes).unwrap_or(default.queue_bytes),
    };
    reader.close(&section);
    settings
}

fn parse_format(reader: &mut Reader<'_>, section: &Section<'_>, format: &str) -> LogFormat {
    match format {
        "text" => LogFormat::Text,
        "json" => LogFormat::Json,
        other => {
            let message = format!("expected text or json, found \"{other}\"");
            reader.report(section, "format", message);
            LogFormat::default()
        }
    }
}

fn parse_level(reader: &mut Reader<'_>, section: &Section<'_>, level: &str) -> LogLevel {
    let found = LogLevel::ALL.iter().find(|(name, _)| *name == level);
    if let Some((_, level)) = found {
        return *level;
    }
    let message = format!("expected error, warn, info or debug, found \"{level}\"");
    reader.report(section, "level", message);
    LogLevel::default()
}
