//! Reasons for the end of a connection, with their names in the log.

use crate::net::codec::Malformed;
use std::fmt;
use std::io::{self, ErrorKind};

/// The reason why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection.
    Closed,
    /// The peer or its machine reset the connection.
    Reset,
    /// The socket failed with another error.
    Failed(ErrorKind),
    /// The peer reads too slowly, and its write queue is full.
    QueueFull,
    /// The peer has not taken any data from its write queue for too long.
    WriteStalled,
    /// The peer sent data that is not a valid message.
    Malformed(Malformed),
    /// The connection was idle for too long.
    Idle,
    /// The host was removed or its address changed.
    HostRemoved,
    /// The peer sent nothing for too long.
    Silent,
    /// Another connection to the same host has replaced it.
    Replaced,
    /// The feed's sequence numbers leave a gap.
    SequenceGap,
    /// The peer did not send a whole message in time, or left a message incomplete.
    HandshakeTimeout,
    /// The descriptor is needed for another connection.
    Evicted,
    /// The connection carries no task, and the process is draining.
    Draining,
    /// The peer sent a request with the id of another open request.
    IdInUse,
    /// The peer named more running tasks than there is memory for.
    TooManyTasks,
}

impl CloseReason {
    /// Returns whether this process closed the connection because the peer's input could not be read. The peer may
    /// still be sending.
    pub fn is_unreadable_input(self) -> bool {
        matches!(
            self,
            CloseReason::Malformed(_) | CloseReason::HandshakeTimeout
        )
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Closed => write!(f, "closed"),
            CloseReason::Reset => write!(f, "reset"),
            CloseReason::Failed(kind) => write!(f, "failed:{kind}"),
            CloseReason::QueueFull => write!(f, "queue-full"),
            CloseReason::WriteStalled => write!(f, "write-stalled"),
            CloseReason::Malformed(what) => write!(f, "malformed:{what}"),
            CloseReason::Idle => write!(f, "idle"),
            CloseReason::HostRemoved => write!(f, "host-removed"),
            CloseReason::Silent => write!(f, "silent"),
            CloseReason::Replaced => write!(f, "replaced"),
            CloseReason::SequenceGap => write!(f, "sequence-gap"),
            CloseReason::HandshakeTimeout => write!(f, "handshake-timeout"),
            CloseReason::Evicted => write!(f, "evicted"),
            CloseReason::Draining => write!(f, "draining"),
            CloseReason::IdInUse => write!(f, "id-in-use"),
            CloseReason::TooManyTasks => write!(f, "too-many-tasks"),
        }
    }
}

impl From<io::Error> for CloseReason {
    fn from(error: io::Error) -> CloseReason {
        match error.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted => {
                CloseReason::Reset
            }
            kind => CloseReason::Failed(kind),
        }
    }
}
