//! `task-placer call`: sends an admin command to a process, and prints its reply.

use crate::terminal::complain;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Exit code where nobody answers.
const UNANSWERED: u8 = 2;
/// How long a process may take to accept the connection, and to reply; it replies within a second.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// No reply is longer: figures of some hundred classes.
const MAX_REPLY_BYTES: u64 = 1024 * 1024;

/// Why there is no reply.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("closed without a reply")]
    NoReply,
}

/// Runs the command, and returns the exit code: 0 where the process says yes or returns its figures, 1 where it says no,
/// and 2 where nobody answers.
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
            complain(&format!("task-placer: {address}: {error}"));
            ExitCode::from(UNANSWERED)
        }
    }
}

/// Sends a command, and returns the reply.
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
