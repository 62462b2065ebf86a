//! Encodes and decodes the wire protocols: pure functions between bytes and messages, independent of any connection.
//!
//! Only these modules translate between the names of the protocols and those of the code; a comment gives the
//! protocol's name where the two differ. [`binary`] holds the messages of clients, [`lines`] those of hosts, [`feed`] those
//! of service discovery, and [`peer`] those of the placer's other processes.

pub mod binary;
pub mod feed;
pub mod lines;
pub mod peer;

use std::fmt;
use task_placer::facade::PlacementRequest;
use task_placer::{HostId, Micros};

/// The maximum length of a message from or to a client or a host, including its length field or line feed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The id of a task. It is displayed as 16 hex digits, as hosts receive it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The cause code of a release message. Peers may send codes for which this program has no constant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cause(pub u8);

impl Cause {
    /// The task was cancelled before it started, or ended regularly.
    pub const NORMAL: Cause = Cause(16);
    /// The task was migrated, or its client ended it.
    pub const CANCELLED: Cause = Cause(31);
    /// A host rejected the task because it is full.
    pub const HOST_FULL: Cause = Cause(34);
    /// The task or its connection failed.
    pub const RESET: Cause = Cause(41);
    /// The placer rejected the request ("refused" on the wire). The task has not run, so a retry is safe.
    pub const REJECTED: Cause = Cause(42);
    /// The request failed with an error; the task may have run.
    pub const FAILED: Cause = Cause(47);
    /// The attempt was never sent ("moot" on the wire).
    pub const NOT_SENT: Cause = Cause(102);
}

/// What a client is told about a running task that is over for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task has ended with this cause.
    Released(Cause),
    /// The task is migrated: its client requests it again ("move" on the wire).
    Migrated,
}

/// A client's request to place or adopt a task ("set-up" on the wire).
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequest {
    /// The attributes of the request on which the decision module bases the placement.
    pub placement: PlacementRequest,
    /// How long the client waits for the response, in microseconds from when it sent the request.
    pub wait: Micros,
    /// The host that already runs the task ("at" on the wire), if the client asks to adopt it.
    pub running_on: Option<HostId>,
    /// The task's key, forwarded to the host unchanged.
    pub key: String,
    /// The task's description, forwarded to the host unchanged.
    pub description: String,
}

impl TaskRequest {
    /// Returns the number of bytes of the texts that the request holds.
    pub fn text_bytes(&self) -> usize {
        let tenant = self.placement.tenant.as_ref().map_or(0, String::len);
        let host = self.running_on.as_ref().map_or(0, |host| host.0.len());
        self.placement.class.len() + tenant + host + self.key.len() + self.description.len()
    }
}

/// Why bytes can't be decoded into a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The message exceeds the maximum length.
    #[error("too-long")]
    TooLong,
    /// A length field does not match the bytes that it covers.
    #[error("bad-length")]
    Length,
    /// The line is not JSON, or not a JSON object.
    #[error("bad-json")]
    Json,
    /// This field is missing or invalid.
    #[error("bad-field:{0}")]
    Field(&'static str),
}

/// Removes the first line from the received bytes, and returns it without its line feed, or `None` if the line is still
/// incomplete.
///
/// # Errors
///
/// Fails if the line, without its line feed, has `max_bytes` or more.
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
