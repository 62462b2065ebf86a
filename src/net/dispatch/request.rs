//! One request and the states it passes through. Data only: [`requests`](super::requests) owns the table of requests and
//! every change of state.

use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskId, TaskRequest};
use crate::net::hosts::ConnectionId;
use task_placer::{HostId, Micros};

/// The state of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RequestState {
    /// The decision module holds it; a response is pending.
    Queued,
    /// An attempt is assigned to a host; a response is pending.
    InFlight {
        /// The attempt's number within the request.
        attempt: u32,
        /// Where it is to run.
        host: HostId,
        /// When the attempt was decided.
        since: Micros,
        /// When the attempt times out.
        deadline: Micros,
        /// The connection that it was sent on, or none as long as not one byte of it has been sent.
        sent_on: Option<ConnectionId>,
    },
    /// The task runs at its host; its client has the response.
    Running {
        /// The attempt that started it; 0 for an adopted task.
        attempt: u32,
        /// Where it runs.
        host: HostId,
        /// When its start was reported here.
        since: Micros,
    },
    /// The task was released from this side and its host has not confirmed yet. Nothing is pending for its client.
    Releasing {
        /// The attempt that started it.
        attempt: u32,
        /// Where it runs.
        host: HostId,
        /// When its start was reported here.
        since: Micros,
        /// The cause that its client gave.
        cause: Cause,
    },
}

impl RequestState {
    /// Returns the host that the request is assigned to, and whether its task has started there.
    pub(super) fn assignment(&self) -> Option<(&HostId, Assignment)> {
        match self {
            RequestState::Queued => None,
            RequestState::InFlight { host, .. } => Some((host, Assignment::InFlight)),
            RequestState::Running { host, .. } | RequestState::Releasing { host, .. } => {
                Some((host, Assignment::Started))
            }
        }
    }

    /// Whether an attempt is assigned of which nothing has been sent.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, RequestState::InFlight { sent_on: None, .. })
    }

    /// Returns the connection that the attempt in flight was sent on.
    pub(super) fn in_flight_on(&self) -> Option<ConnectionId> {
        match self {
            RequestState::InFlight { sent_on, .. } => *sent_on,
            _ => None,
        }
    }
}

/// What a host has of a request that is assigned to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Assignment {
    /// An attempt that has not been answered.
    InFlight,
    /// A task that runs or is being released.
    Started,
}

/// One request, from its arrival until nothing is pending for it.
pub(super) struct Request {
    /// The task's id on the wire.
    pub(super) id: TaskId,
    /// The client that waits for the response.
    pub(super) client: Option<ClientId>,
    /// The message of the client; dropped once the task runs.
    pub(super) message: Option<Box<TaskRequest>>,
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// Its state.
    pub(super) state: RequestState,
    /// The index of its class, if the settings have it.
    pub(super) class: Option<usize>,
    /// When it arrived.
    pub(super) arrived_at: Micros,
    /// The latency objective of its class.
    pub(super) latency_objective: Micros,
    /// The connection on which the running task was requested or adopted.
    pub(super) origin_client: Option<ClientId>,
}

impl Request {
    /// Whether its client waits for a response.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(
            self.state,
            RequestState::Queued | RequestState::InFlight { .. }
        )
    }
}

/// A task that has ended, kept for a while: its client may still ask to adopt it, and another request may reuse its id.
pub(super) struct EndedTask {
    /// The host that released it, with the cause on the wire and the detail.
    pub(super) released_by: Option<HostRelease>,
    /// When it ended.
    pub(super) ended_at: Micros,
}

/// How a host released a task.
pub(super) struct HostRelease {
    /// The host.
    pub(super) host: HostId,
    /// The cause on the wire.
    pub(super) cause: Cause,
}
