//! Connects the processes of one placer during a rolling upgrade, in which an old and a new process serve under one name.
//!
//! The oldest process listens on a Unix socket in `$TMPDIR`, the peer socket, and the others keep a connection to it. The
//! connection closes when either process exits, even if it crashes, so both learn of each other's exit without polling.
//! On the connection, the processes tell each other which tasks they are responsible for ([`codec::peer`]), since a
//! client's message may reach any of them. Processes of earlier versions send nothing and ignore what they receive.
//!
//! [`group`] makes the connections and [`link`] runs one. [`remote_tasks`] holds what other processes have announced, and
//! [`forwarded_releases`] the releases that were passed on to them. This module does not know dispatch: events are passed
//! to the implementation of [`PeerEvents`].
//!
//! [`codec::peer`]: super::codec::peer

pub mod forwarded_releases;
pub mod group;
mod link;
pub mod remote_tasks;

pub use link::PeerLink;

use super::codec::peer::PeerMessage;
use std::fmt;
use std::rc::Rc;
use task_placer::operation::process_group::PeerAge;

/// Identifies a connection to another process of this placer. Ids are not reused during the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u64);

impl fmt::Display for PeerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Handles the events of the connections to the placer's other processes. Each event is handled completely before the
/// call returns.
pub trait PeerEvents {
    /// Another process has connected, or was connected to. Returns the id of the connection.
    fn peer_joined(&mut self, age: PeerAge, link: Rc<PeerLink>) -> PeerId;

    /// A message has arrived from another process.
    fn peer_message(&mut self, peer: PeerId, message: PeerMessage);

    /// Messages to another process were dropped because it did not read, and it has now read all that was sent before.
    fn peer_caught_up(&mut self, peer: PeerId);

    /// Another process has exited. All that it sent has been passed to [`PeerEvents::peer_message`] before.
    fn peer_exited(&mut self, peer: PeerId);
}
