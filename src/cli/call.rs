//! Implements `task-placer call`, which sends an admin command to a process and prints its reply.

use crate::terminal::print_error;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// The exit code if the process does not reply.
const NO_REPLY: u8 = 2;
/// The maximum time for a process to accept the connection, and again to reply. A process replies within a second.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of a reply, in bytes. It fits the metrics of some hundred classes.
const MAX_REPLY_BYTES: u64 = 1024 * 1024;

/// Why no reply was received.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("connection closed without a reply")]
    NoReply,
}

/// Runs the command, and returns the exit code: 0 if the process replies `ok` or with its metrics, 1 if it replies
/// `fail`, and 2 if it does not reply.
pub(super) fn run(address: SocketAddr, command: &str) -> ExitCode {
    match exchange(address, command) {
        Ok(reply) => {
            let _ = io::stdout().write_all(reply.as_bytes());
            if reply.starts_with("fail") {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            }
        }
        Err(error) => {
            print_error(&format!("task-placer: {address}: {error}"));
            ExitCode::from(NO_REPLY)
        }
    }
}

/// Sends a command and returns the reply.
fn exchange(address: SocketAddr, command: &str) -> Result<String, CallError> {
    let mut stream = TcpStream::connect_timeout(&address, REPLY_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = String::new();
    stream.take(MAX_REPLY_BYTES).read_to_string(&mut reply)?;
    if reply.is_empty() {
        return Err(CallError::NoReply);
    }
    Ok(reply)
}
