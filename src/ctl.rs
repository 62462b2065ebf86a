//! The commands of operators on the control socket: their form on the wire, and the side that sends them.
//!
//! One JSON object a line each way. `{"v":1,"do":"drain"}` is answered by `{"v":1,"ok":true,...}` or
//! `{"v":1,"ok":false,"error":"..."}`.

mod report;

use crate::operator;
use crate::terminal::complain;
use clap::Args;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The version of the form on the wire.
pub const PROTOCOL_VERSION: u64 = 1;
/// No line with a command is longer.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024;
/// No line with a reply is longer.
const MAX_REPLY_BYTES: u64 = 256 * 1024;
/// How long a placer may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A command of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Drain: finish, and take nothing new.
    Drain,
    /// Return to service.
    Ready,
    /// Go out of service for maintenance.
    Maint,
    /// Report the state.
    State,
    /// Report what overload control sheds, retries and checks.
    Overload,
}

impl Command {
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

/// Why a command is not run. Its text is the `error` of the reply.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The line is no JSON; the parser's text.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The version is none that this program speaks.
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
    /// There is no such command.
    #[error("no such order: {0}; known are drain, ready, maint, state, overload")]
    UnknownCommand(String),
    /// The line is longer than any command.
    #[error("longer than any order")]
    TooLong,
    /// The operator's file has no overload control.
    #[error("nothing of [overload] is on here")]
    OverloadControlDisabled,
    /// The operator's file has no health engine.
    #[error("nothing is watched here")]
    HealthDisabled,
    /// The command can't be run in this state.
    #[error("{0}")]
    NotNow(String),
}

/// Reads a command from a line.
///
/// # Errors
///
/// Fails if the line is no command of this version.
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

/// Encodes the reply to a command: the fields that it returned, or why it was not run.
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

/// Which placer a command is for.
#[derive(Debug, Args)]
pub struct Target {
    /// Its socket; else the one that the operator's file names
    #[arg(long, value_name = "PATH")]
    socket: Option<PathBuf>,
}

impl Target {
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
    /// For people.
    Text,
    /// As the socket gave it.
    Json,
}

/// Why a command was not sent, or got no reply that it was run.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error("no socket: name one by --socket, or an operator's file that has [ctl] socket")]
    NoSocket,
    #[error("{}: {error}", path.display())]
    Io {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error("{}: answered what is no JSON", path.display())]
    NotJson { path: PathBuf },
    #[error("{0}")]
    NotRun(String),
}

/// Sends a command, prints the reply, and returns the exit code: 0 where it was run, 1 where it was not or no placer was
/// reached.
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
            complain(&format!("task-placer: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Sends a command, and returns the text to print for its reply.
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

/// Writes a command to the socket, and returns the line of the reply.
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
        return Err(std::io::Error::new(error, "closed without an answer"));
    }
    Ok(line)
}

#[cfg(test)]
mod tests;
