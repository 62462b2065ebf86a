//! Why connections end, as the log names it.

use crate::net::codec::Malformed;
use std::fmt;
use std::io::{self, ErrorKind};

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it.
    Closed,
    /// The peer or its machine reset it.
    Reset,
    /// Another failure of the socket.
    Failed(ErrorKind),
    /// The peer reads too slowly: its write queue is full.
    QueueFull,
    /// The peer takes nothing from its write queue.
    WriteStalled,
    /// The peer sent what is no message.
    Malformed(Malformed),
    /// Nothing happened on it.
    Idle,
    /// The host was removed or has another address.
    HostRemoved,
    /// The peer sent nothing for too long.
    Silent,
    /// Another connection to the same host has replaced it.
    Replaced,
    /// The feed's sequence numbers leave a gap.
    SequenceGap,
    /// The peer never sent a whole message, or left one unfinished.
    HandshakeTimeout,
    /// Its descriptor is needed for another.
    Evicted,
    /// It carries no task, and the process is draining.
    Draining,
    /// A request under the id of another that is open.
    IdInUse,
}

impl CloseReason {
    /// Whether this process closed the connection since what its peer sent cannot be read; the peer may be sending on.
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
