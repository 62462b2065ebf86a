//! The control protocol for operators: parses commands, encodes replies, and implements the client `task-placer ctl`.
//!
//! Each command and each reply is one line with one JSON object. The reply to `{"v":1,"do":"drain"}` is
//! `{"v":1,"ok":true,...}` or `{"v":1,"ok":false,"error":"..."}`.

mod report;

use crate::operator;
use crate::terminal::print_error;
use clap::Args;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The version of the protocol.
pub const PROTOCOL_VERSION: u64 = 1;
/// The maximum length of a line with a command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024;
/// The maximum length of a line with a reply, in bytes.
const MAX_REPLY_BYTES: u64 = 256 * 1024;
/// The maximum time for a placer to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A command sent by an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Drain: finish pending requests and running tasks, and announce to load balancers that no new ones are wanted.
    Drain,
    /// Return to service.
    Ready,
    /// Go out of service for maintenance.
    Maint,
    /// Report the state, the weight and the signals.
    State,
    /// Report the state of overload control.
    Overload,
}

impl Command {
    /// All commands with their names on the wire.
    const ALL: [(&'static str, Command); 5] = [
        ("drain", Command::Drain),
        ("ready", Command::Ready),
        ("maint", Command::Maint),
        ("state", Command::State),
        ("overload", Command::Overload),
    ];

    fn as_str(self) -> &'static str {
        let named = Command::ALL.iter().find(|(_, command)| *command == self);
        named.map_or("", |(name, _)| name)
    }

    fn from_name(name: &str) -> Option<Command> {
        let named = Command::ALL.iter().find(|(known, _)| *known == name);
        named.map(|(_, command)| *command)
    }
}

/// Why a command is not run. The error text is the `error` field of the reply.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The line is not valid JSON. Contains the error of the parser.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The stated version of the protocol is not supported.
    #[error("version {found}: this placer speaks version {PROTOCOL_VERSION}")]
    UnsupportedVersion {
        /// The version stated.
        found: u64,
    },
    /// The line states no version.
    #[error("no version: expected \"v\":1")]
    MissingVersion,
    /// The line states no command.
    #[error("expected \"do\" with an order")]
    MissingCommand,
    /// No command has the stated name.
    #[error("no such order: {0}; known are drain, ready, maint, state, overload")]
    UnknownCommand(String),
    /// The line exceeds [`MAX_COMMAND_BYTES`].
    #[error("longer than any order")]
    TooLong,
    /// The operator's file does not enable overload control.
    #[error("nothing of [overload] is on here")]
    OverloadControlDisabled,
    /// The operator's file enables nothing that uses the health monitor.
    #[error("nothing is watched here")]
    HealthDisabled,
    /// The command can't be run in the current state. Contains the reason.
    #[error("{0}")]
    NotNow(String),
}

/// Parses a line as a command.
///
/// # Errors
///
/// Returns [`CommandError`] if the line is not a command of this version of the protocol.
pub fn parse(line: &mut [u8]) -> Result<Command, CommandError> {
    let value = simd_json::to_borrowed_value(line)
        .map_err(|error| CommandError::NotJson(error.to_string()))?;
    match value.get_u64("v") {
        Some(PROTOCOL_VERSION) => {}
        Some(found) => return Err(CommandError::UnsupportedVersion { found }),
        None => return Err(CommandError::MissingVersion),
    }
    let name = value.get_str("do").ok_or(CommandError::MissingCommand)?;
    Command::from_name(name).ok_or_else(|| CommandError::UnknownCommand(name.to_string()))
}

/// Encodes the reply to a command: the fields that the command returned, or the reason why it was not run.
pub fn encode_reply(result: Result<OwnedValue, CommandError>) -> Vec<u8> {
    let value = match result {
        Ok(mut value) => {
            let _ = value.insert("v", PROTOCOL_VERSION);
            let _ = value.insert("ok", true);
            value
        }
        Err(error) => json!({ "v": PROTOCOL_VERSION, "ok": false, "error": error.to_string() }),
    };
    let mut line = value.encode().into_bytes();
    line.push(b'\n');
    line
}

/// The placer to which a command is sent.
#[derive(Debug, Args)]
pub struct Target {
    /// The control socket of the placer; by default the one that the operator's file names
    #[arg(long, value_name = "PATH")]
    socket: Option<PathBuf>,
}

impl Target {
    /// Returns the path of the control socket.
    fn socket(&self, operator_file: Option<&Path>) -> Result<PathBuf, SendError> {
        let socket = match (&self.socket, operator_file) {
            (Some(socket), _) => Some(socket.clone()),
            (None, Some(file)) => operator::load(file).operator.control_socket,
            (None, None) => None,
        };
        socket.ok_or(SendError::NoSocket)
    }
}

/// How a reply is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyFormat {
    /// Formatted text for operators.
    Text,
    /// The JSON received from the socket.
    Json,
}

/// Why a command could not be sent, or was not run by the placer.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error("no control socket: use --socket, or an operator's file with [ctl] socket")]
    NoSocket,
    #[error("{}: {error}", path.display())]
    Io {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error("{}: the reply is not valid JSON", path.display())]
    NotJson { path: PathBuf },
    #[error("{0}")]
    NotRun(String),
}

/// Sends a command, prints the reply, and returns the exit code: 0 if the placer ran the command, 1 if it did not or
/// could not be reached.
pub fn send(
    command: Command,
    target: &Target,
    operator_file: Option<&Path>,
    format: ReplyFormat,
) -> ExitCode {
    let socket = target.socket(operator_file);
    match socket.and_then(|socket| run_remotely(command, socket, format)) {
        Ok(text) => {
            let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            print_error(&format!("task-placer: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Sends a command and returns the text to print for its reply.
fn run_remotely(command: Command, path: PathBuf, format: ReplyFormat) -> Result<String, SendError> {
    let line = match exchange(&path, command) {
        Ok(line) => line,
        Err(error) => return Err(SendError::Io { path, error }),
    };
    let mut bytes = line.clone().into_bytes();
    let Ok(value) = simd_json::to_owned_value(&mut bytes) else {
        return Err(SendError::NotJson { path });
    };
    if value.get_bool("ok") != Some(true) {
        let error = value.get_str("error").unwrap_or("refused");
        return Err(SendError::NotRun(error.to_string()));
    }
    Ok(match (format, command) {
        (ReplyFormat::Json, _) => line,
        (ReplyFormat::Text, Command::Overload) => report::overload(&value),
        (ReplyFormat::Text, _) => report::state(&value),
    })
}

/// Writes a command to the socket and returns the line of the reply.
fn exchange(socket: &Path, command: Command) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.set_write_timeout(Some(REPLY_TIMEOUT))?;
    let mut request = json!({ "v": PROTOCOL_VERSION, "do": command.as_str() }).encode();
    request.push('\n');
    stream.write_all(request.as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_REPLY_BYTES)).read_line(&mut line)?;
    if line.is_empty() {
        let error = std::io::ErrorKind::UnexpectedEof;
        return Err(std::io::Error::new(
            error,
            "connection closed without a reply",
        ));
    }
    Ok(line)
}

#[cfg(test)]
mod tests;
