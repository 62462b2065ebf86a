//! What the caller reports to the facade, and what the facade decides.

use super::Ticket;
use crate::placement::{Endpoint, HostId, Micros, Outcome, OutcomeDetail, TaskReport};

/// What the caller has learned.
#[derive(Debug, Clone)]
pub enum PlacementEvent {
    /// The attempt placed the task.
    AttemptStarted {
        /// The request.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// Time since the decision to send it.
        elapsed: Micros,
    },
    /// An attempt, or the task that it placed, has ended.
    AttemptEnded {
        /// The request.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// How.
        outcome: Outcome,
        /// Why.
        detail: OutcomeDetail,
        /// Time since the decision to send it.
        elapsed: Micros,
    },
    /// A host reports about a running task.
    TaskReported {
        /// The request.
        ticket: Ticket,
        /// Its host.
        host: HostId,
        /// What is reported.
        report: TaskReport,
        /// The value.
        value: f64,
    },
    /// The client cancelled the request; no response is pending.
    Cancelled(Ticket),
    /// The complete endpoint list, as configured at start.
    EndpointsCached(Vec<Endpoint>),
    /// Service discovery has updated the endpoint list.
    EndpointsChanged {
        /// Whether this is the complete list.
        is_complete: bool,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// Service discovery delivers updates.
    DiscoveryUp,
    /// Service discovery delivers nothing until further notice.
    DiscoveryDown,
    /// The process shuts down: every pending response must be sent within this time.
    ShutdownRequested(Micros),
}

/// What the module has decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send an attempt to a host.
    SendAttempt {
        /// The request.
        ticket: Ticket,
        /// The host.
        host: HostId,
        /// How long the host may take to answer.
        timeout: Micros,
    },
    /// Final response: rejected. A retry is harmless.
    Reject {
        /// The request.
        ticket: Ticket,
        /// When the client may retry; 0 leaves it to the client.
        retry_after: Micros,
    },
    /// Final response: failed. The task may have run.
    Fail {
        /// The request.
        ticket: Ticket,
    },
    /// Stop a running task; its client requests it again.
    Migrate {
        /// The request.
        ticket: Ticket,
    },
    /// Stop waiting for one attempt.
    CancelAttempt {
        /// The request.
        ticket: Ticket,
        /// The attempt.
        attempt: u32,
    },
    /// A line for the log.
    Log(String),
}
