//! The events that the parties of a run record: requests, offers, reports, notices, and changes of processes and links.

use crate::host_model::Micros;

/// The state of a host in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The host is in service.
    Up,
    /// The host finishes its tasks and takes no new ones.
    Draining,
    /// The host is no longer in the list.
    Removed,
}

/// A placer's notice to a client about its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientNotice {
    /// The task is running; holds the fingerprint of the description that the notice contained.
    Placed(u64),
    /// The task was rejected or has ended; holds the cause.
    Released(u8),
    /// The task is migrated to another host.
    Migrated,
}

/// A host's report about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostReport {
    /// The task is running; holds the fingerprint of the description in the report.
    Running(u64),
    /// The task was rejected or has ended; holds the cause.
    Ended(u8),
    /// The task was rejected or has ended, with this cause, while the host had no connection of the placer: the report
    /// is sent on the next one.
    EndedUndelivered(u8),
    /// The host reset the connection, so earlier reports on it may be lost.
    ConnectionReset,
}

/// A change of the state of a placer's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessChange {
    /// The process was started.
    Started,
    /// The process was killed.
    Killed,
    /// The process was stopped by a signal, and does nothing until it is resumed.
    Paused,
    /// The process was resumed.
    Resumed,
    /// The process was requested to shut down.
    TerminationRequested,
    /// The process exited by itself; holds the exit code.
    Exited(i32),
}

/// The peer at the other end of a placer's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// All clients.
    Clients,
    /// The host in this slot.
    Host(usize),
    /// The placer's service discovery feed.
    Feed,
}

/// One event of a run. Hosts are identified by their number in the log, and placers by their index.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client has sent a complete request.
    TaskRequested {
        /// The id of the request.
        id: u64,
        /// The idempotency key of the task.
        key: u64,
        /// The index of the task's class.
        class: usize,
        /// The id of the task's service.
        service: u64,
        /// The placer to which the request was sent.
        placer: usize,
        /// How long the client waits for the answer.
        wait: Micros,
        /// The fingerprint of the task's description.
        description: u64,
        /// The host that already runs the task, if the client reconnects to it.
        running_at: Option<usize>,
    },
    /// A client has received a notice.
    ClientNotified {
        /// The id of the request.
        id: u64,
        /// The notice.
        notice: ClientNotice,
    },
    /// A client has withdrawn its request, or ended its task.
    ClientGaveUp {
        /// The id of the request.
        id: u64,
    },
    /// The connection of a client with an open request has ended.
    ClientDisconnected {
        /// The id of the request.
        id: u64,
    },
    /// A host has received a complete offer.
    OfferReceived {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
        /// The fingerprint of the description that arrived.
        description: u64,
    },
    /// A host has sent a report, or would have sent it if it had a connection.
    HostReported {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
        /// The report.
        report: HostReport,
    },
    /// A host has received a message that withdraws an offer or stops a task.
    AttemptStopped {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
    },
    /// The connection on which a host had received a still open offer has ended.
    OfferConnectionClosed {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
    },
    /// A host's process has died, and all its tasks with it.
    HostDied {
        /// The host.
        host: usize,
    },
    /// A host was overloaded during its slow start.
    HostOverloaded {
        /// The host.
        host: usize,
    },
    /// A placer has connected to a host.
    HostConnected {
        /// The host.
        host: usize,
    },
    /// A feed has notified a placer of a host's state.
    HostListed {
        /// The placer.
        placer: usize,
        /// The host.
        host: usize,
        /// The state of the host.
        state: ListedState,
    },
    /// The state of a placer's process has changed.
    PlacerChanged {
        /// The placer.
        placer: usize,
        /// The change.
        change: ProcessChange,
    },
    /// A link of a placer has become impaired or intact. Messages sent while it is impaired may arrive late or never.
    LinkChanged {
        /// The placer.
        placer: usize,
        /// The peer at the other end of the link.
        peer: Peer,
        /// Whether the link is intact from this time on.
        intact: bool,
    },
}

/// An event with the time since the start of the log.
pub type TimedEvent = (Micros, Event);

impl Event {
    /// Returns the id of the request that the event belongs to, if any.
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Event::TaskRequested { id, .. }
            | Event::ClientNotified { id, .. }
            | Event::ClientGaveUp { id }
            | Event::ClientDisconnected { id }
            | Event::OfferReceived { id, .. }
            | Event::HostReported { id, .. }
            | Event::AttemptStopped { id, .. }
            | Event::OfferConnectionClosed { id, .. } => Some(*id),
            Event::HostDied { .. }
            | Event::HostOverloaded { .. }
            | Event::HostConnected { .. }
            | Event::HostListed { .. }
            | Event::PlacerChanged { .. }
            | Event::LinkChanged { .. } => None,
        }
    }
}
