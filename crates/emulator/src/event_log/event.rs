//! What the parties of a run record: requests, offers, reports, notices, and what becomes of processes and links.

use crate::host_model::Micros;

/// The state of a host in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Up,
    /// Finishing its tasks.
    Draining,
    /// No longer in the list.
    Removed,
}

/// What a placer notified a client of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientNotice {
    /// The task runs; the fingerprint of the description that came with it.
    Placed(u64),
    /// The task was rejected or has ended, with this cause.
    Released(u8),
    /// The task migrates.
    Migrated,
}

/// What a host reported of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostReport {
    /// It runs; the fingerprint of the description in the report.
    Running(u64),
    /// It was rejected or has ended, with this cause.
    Ended(u8),
    /// The same, but without a connection: the report goes out on the next one.
    EndedUndelivered(u8),
    /// The host reset the connection: earlier reports on it may not arrive.
    ConnectionReset,
}

/// What became of a placer's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessChange {
    /// It was started.
    Started,
    /// It was killed.
    Killed,
    /// It was stopped by a signal, and does nothing until it is resumed.
    Paused,
    /// It was resumed.
    Resumed,
    /// It was asked to terminate.
    TerminationRequested,
    /// It exited by itself with this code.
    Exited(i32),
}

/// The other end of a placer's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// All clients.
    Clients,
    /// The host in a slot.
    Host(usize),
    /// Its service discovery feed.
    Feed,
}

/// One event of a run. Hosts are named by their number, placers by their index.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client has written a complete request.
    TaskRequested {
        /// The id of the request.
        id: u64,
        /// The idempotency key of the task.
        key: u64,
        /// Index of its class.
        class: usize,
        /// Its service.
        service: u64,
        /// The placer.
        placer: usize,
        /// How long the client waits.
        wait: Micros,
        /// The fingerprint of its description.
        description: u64,
        /// The host that already runs it, for a client that reconnects.
        running_at: Option<usize>,
    },
    /// A client has read a notice.
    ClientNotified {
        /// The id of the request.
        id: u64,
        /// The notice.
        notice: ClientNotice,
    },
    /// A client has given a request up.
    ClientGaveUp {
        /// The id of the request.
        id: u64,
    },
    /// The connection of an open request ended.
    ClientDisconnected {
        /// The id of the request.
        id: u64,
    },
    /// A complete offer has reached a host.
    OfferReceived {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
        /// The fingerprint of the description that arrived.
        description: u64,
    },
    /// A host has written a report.
    HostReported {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
        /// The report.
        report: HostReport,
    },
    /// A host has read that an offer is withdrawn, or that a task is to stop.
    AttemptStopped {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
    },
    /// The connection of an open offer ended.
    OfferConnectionClosed {
        /// The id of the request.
        id: u64,
        /// The host.
        host: usize,
    },
    /// A host's process died, and all its tasks with it.
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
        /// Its state.
        state: ListedState,
    },
    /// A placer's process was started, stopped or has ended.
    PlacerChanged {
        /// The placer.
        placer: usize,
        /// What happened.
        change: ProcessChange,
    },
    /// A link of a placer is impaired or intact again. What was sent in between may come late, or never.
    LinkChanged {
        /// The placer.
        placer: usize,
        /// The other end.
        peer: Peer,
        /// Whether it is intact from now on.
        intact: bool,
    },
}

/// An event and its time.
pub type TimedEvent = (Micros, Event);

impl Event {
    /// Returns the id of the request that it belongs to, if any.
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
