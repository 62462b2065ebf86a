//! The data types of a request and its states. [`requests`](super::requests) maintains the table of requests and makes
//! every change of state.

use super::request_memory::ReservedMemory;
use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskId, TaskRequest};
use crate::net::hosts::ConnectionId;
use task_placer::{HostId, Micros};

/// The state of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RequestState {
    /// No attempt is assigned to a host: the decision module holds the request until it decides on an attempt or a
    /// response. A response is pending.
    Queued,
    /// An attempt is assigned to a host, sent or not; a response is pending.
    InFlight {
        /// The attempt's number within the request.
        attempt: u32,
        /// The host that the attempt is assigned to.
        host: HostId,
        /// When the decision module decided to make the attempt, which may be before the attempt is sent.
        since: Micros,
        /// When the attempt times out.
        deadline: Micros,
        /// The connection that the attempt was sent on, or `None` as long as no byte of it has been sent.
        sent_on: Option<ConnectionId>,
    },
    /// The task runs at its host; the response was sent to its client.
    Running {
        /// The number of the attempt that started the task; 0 for an adopted task.
        attempt: u32,
        /// The host that runs the task.
        host: HostId,
        /// When this placer was notified that the task had started, or adopted the task.
        since: Micros,
    },
    /// This placer has released the task, and its host has not confirmed that yet. No response is pending.
    Releasing {
        /// The number of the attempt that started the task; 0 for an adopted task.
        attempt: u32,
        /// The host that runs the task.
        host: HostId,
        /// When this placer was notified that the task had started, or adopted the task.
        since: Micros,
        /// When the task was released.
        released_at: Micros,
        /// When the release was last written to a connection, if there was one.
        sent_at: Option<Micros>,
        /// The cause in the release sent to the host: the one that the client stated, or `CANCELLED` for a migration.
        cause: Cause,
    },
}

impl RequestState {
    /// Returns the host that the request is assigned to, if any, and whether its task has started there.
    pub(super) fn assignment(&self) -> Option<(&HostId, Assignment)> {
        match self {
            RequestState::Queued => None,
            RequestState::InFlight { host, .. } => Some((host, Assignment::InFlight)),
            RequestState::Running { host, .. } | RequestState::Releasing { host, .. } => {
                Some((host, Assignment::Started))
            }
        }
    }

    /// Whether an attempt is assigned and no byte of it has been sent.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, RequestState::InFlight { sent_on: None, .. })
    }

    /// Returns the connection that the attempt in flight was sent on, if any.
    pub(super) fn in_flight_on(&self) -> Option<ConnectionId> {
        match self {
            RequestState::InFlight { sent_on, .. } => *sent_on,
            _ => None,
        }
    }
}

/// How far a request has progressed at the host that it is assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Assignment {
    /// The host has not answered the attempt.
    InFlight,
    /// The task runs or is being released.
    Started,
}

/// One request, from its arrival until it is answered without a running task, or its task has ended.
pub(super) struct Request {
    /// The task's id on the wire.
    pub(super) id: TaskId,
    /// The client that waits for the response, or that asked to adopt the task.
    pub(super) client: Option<ClientId>,
    /// The client's message, dropped once the task runs.
    pub(super) message: Option<Box<TaskRequest>>,
    /// The memory reserved for the request while its response is pending.
    pub(super) reserved_memory: Option<ReservedMemory>,
    /// The number of attempts made so far.
    pub(super) attempts: u32,
    /// Whether an attempt has ended without proof that the task never ran.
    pub(super) may_have_run: bool,
    /// The request's state, which only `Dispatch::set_request_state` changes.
    pub(super) state: RequestState,
    /// The index of the request's class, if the settings define the class.
    pub(super) class: Option<usize>,
    /// When the request arrived.
    pub(super) arrived_at: Micros,
    /// The latency objective of the request's class.
    pub(super) latency_objective: Micros,
    /// The connection on which the running task was requested or adopted, if the task runs.
    pub(super) origin_client: Option<ClientId>,
}

impl Request {
    /// Whether the request is not assigned to a host, and it is certain that its task never ran.
    pub(super) fn never_ran(&self) -> bool {
        self.state == RequestState::Queued && !self.may_have_run
    }

    /// Whether a response to the client is pending.
    pub(super) fn awaits_response(&self) -> bool {
        matches!(
            self.state,
            RequestState::Queued | RequestState::InFlight { .. }
        )
    }
}

/// How a host released a task.
pub(super) struct HostRelease {
    /// The host that released the task.
    pub(super) host: HostId,
    /// The cause as sent on the wire.
    pub(super) cause: Cause,
}
