//! The messages, apart from any connection: pure functions from bytes to words and back.

pub mod binary;
pub mod feed;
pub mod lines;

use std::fmt;
use task_placer::facade::PlacementRequest;
use task_placer::{HostId, Micros};

/// No message of clients or hosts holds more.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// A task's id on the wire: 16 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The causes of releases that this program tells apart.
pub mod cause {
    /// Given up, or the task's regular end.
    pub const NORMAL: u8 = 16;
    /// Moved, or ended by its client.
    pub const CANCELLED: u8 = 31;
    /// A full host.
    pub const HOST_FULL: u8 = 34;
    /// Broken or cut.
    pub const RESET: u8 = 41;
    /// Refused by the placer: trying again is harmless.
    pub const REJECTED: u8 = 42;
    /// An error; nothing is promised.
    pub const FAILED: u8 = 47;
    /// Never left.
    pub const NOT_SENT: u8 = 102;
}

/// A client's set-up.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequest {
    /// What the module decides by.
    pub placement: PlacementRequest,
    /// How long the client waits for the answer, from when it sent the set-up.
    pub wait: Micros,
    /// The host that holds the task already.
    pub at: Option<HostId>,
    /// The name of the task, as it goes on.
    pub key: String,
    /// The description, as it goes on.
    pub description: String,
}

/// What makes bytes no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// Longer than any message may be.
    TooLong,
    /// A length that does not fit what it counts.
    Length,
    /// Not JSON, or not an object.
    Json,
    /// A field that is missing or can't be read.
    Field(&'static str),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::TooLong => write!(f, "too-long"),
            Malformed::Length => write!(f, "bad-length"),
            Malformed::Json => write!(f, "bad-json"),
            Malformed::Field(name) => write!(f, "bad-field:{name}"),
        }
    }
}

/// Takes the next line out of what has come in, without its line feed.
pub fn next_line(inbox: &mut Vec<u8>, most: usize) -> Result<Option<Vec<u8>>, Malformed> {
    match memchr::memchr(b'\n', inbox) {
        Some(end) if end < most => {
            let mut line: Vec<u8> = inbox.drain(..=end).collect();
            line.pop();
            Ok(Some(line))
        }
        None if inbox.len() < most => Ok(None),
        _ => Err(Malformed::TooLong),
    }
}

#[cfg(test)]
mod tests;
