//! The messages of the wire, apart from any connection: pure functions from bytes to messages and back.
//!
//! This is the one place where words of the wire and terms of the code meet; a comment names the wire's word where they
//! differ. [`binary`] holds the messages of clients, [`lines`] those of hosts, and [`feed`] those of service discovery.

pub mod binary;
pub mod feed;
pub mod lines;

use std::fmt;
use task_placer::facade::PlacementRequest;
use task_placer::{HostId, Micros};

/// No message of clients or hosts is longer.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// A task's id on the wire: 16 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The cause of a release on the wire. Peers may use others than this program distinguishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cause(pub u8);

impl Cause {
    /// Cancelled before the start, or the task's regular end.
    pub const NORMAL: Cause = Cause(16);
    /// Migrated, or ended by its client.
    pub const CANCELLED: Cause = Cause(31);
    /// Rejected by a full host.
    pub const HOST_FULL: Cause = Cause(34);
    /// The task or its connection broke.
    pub const RESET: Cause = Cause(41);
    /// Rejected by the placer ("refused" on the wire): a retry is harmless.
    pub const REJECTED: Cause = Cause(42);
    /// An error; the task may have run.
    pub const FAILED: Cause = Cause(47);
    /// The attempt was never sent ("moot" on the wire).
    pub const NOT_SENT: Cause = Cause(102);
}

/// A client's request to place or adopt a task ("set-up" on the wire).
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequest {
    /// What the decision module decides by.
    pub placement: PlacementRequest,
    /// How long the client waits for the response, from when it sent the request.
    pub wait: Micros,
    /// The host that runs the task already ("at" on the wire).
    pub running_on: Option<HostId>,
    /// The task's key, as it is forwarded.
    pub key: String,
    /// The description, as it is forwarded.
    pub description: String,
}

/// Why bytes are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Longer than any message may be.
    #[error("too-long")]
    TooLong,
    /// A length that does not fit what it counts.
    #[error("bad-length")]
    Length,
    /// Not JSON, or not an object.
    #[error("bad-json")]
    Json,
    /// A field that is missing or can't be read.
    #[error("bad-field:{0}")]
    Field(&'static str),
}

/// Removes the next line from what has arrived, and returns it without its line feed; none if more must arrive.
///
/// # Errors
///
/// Fails if the line has `max_bytes` or more.
pub fn next_line(inbox: &mut Vec<u8>, max_bytes: usize) -> Result<Option<Vec<u8>>, Malformed> {
    match memchr::memchr(b'\n', inbox) {
        Some(end) if end < max_bytes => {
            let mut line: Vec<u8> = inbox.drain(..=end).collect();
            line.pop();
            Ok(Some(line))
        }
        None if inbox.len() < max_bytes => Ok(None),
        _ => Err(Malformed::TooLong),
    }
}

#[cfg(test)]
mod tests;
