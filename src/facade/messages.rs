//! Events that the caller reports to the facade, and the decisions that the facade returns.

use super::Ticket;
use crate::types::{
    Endpoint, Event, HostId, Micros, Outcome, OutcomeDetail, TaskReport, UpdateKind,
};

/// An event that the caller of the facade has observed.
#[derive(Debug, Clone)]
pub enum PlacementEvent {
    /// The attempt placed the task.
    AttemptStarted {
        /// The request that the attempt was made for.
        ticket: Ticket,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// The host that the attempt was sent to.
        host: HostId,
        /// Time since the decision to send the attempt, in microseconds.
        elapsed: Micros,
    },
    /// An attempt, or the task that it placed, has ended.
    AttemptEnded {
        /// The request that the attempt was made for.
        ticket: Ticket,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// The host that the attempt was sent to.
        host: HostId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Why the attempt ended that way.
        detail: OutcomeDetail,
        /// Time since the decision to send the attempt, in microseconds.
        elapsed: Micros,
    },
    /// A host reports a value about a running task.
    TaskReported {
        /// The request that placed the task.
        ticket: Ticket,
        /// The host that runs the task.
        host: HostId,
        /// What the value measures.
        report: TaskReport,
        /// The reported value, in the unit of what it measures.
        value: f64,
    },
    /// The client has cancelled the request, so no response is pending.
    Cancelled(Ticket),
    /// The complete endpoint list from the configuration, which may be stale.
    EndpointsCached(Vec<Endpoint>),
    /// Service discovery has updated the endpoint list.
    EndpointsChanged {
        /// Whether `endpoints` is the complete list; otherwise it holds only the changed endpoints.
        is_complete: bool,
        /// All endpoints if the update is complete, otherwise the changed ones.
        endpoints: Vec<Endpoint>,
    },
    /// Service discovery has become available and delivers updates.
    DiscoveryUp,
    /// Service discovery has become unavailable: no updates arrive until [`PlacementEvent::DiscoveryUp`].
    DiscoveryDown,
    /// The process shuts down: the final response to every pending request must be sent within this time.
    ShutdownRequested(Micros),
}

/// A decision that the caller of the facade must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send an attempt to a host.
    SendAttempt {
        /// The request that the attempt is made for.
        ticket: Ticket,
        /// The host that receives the attempt.
        host: HostId,
        /// Maximum time that the host may take to answer, in microseconds.
        timeout: Micros,
    },
    /// Send the client the final response that its request is rejected. A retry by the client does no harm.
    Reject {
        /// The request that is rejected.
        ticket: Ticket,
        /// Time after which the client may retry, in microseconds; 0 leaves the time to the client.
        retry_after: Micros,
    },
    /// Send the client the final response that its request failed. The task may have run.
    Fail {
        /// The request that failed.
        ticket: Ticket,
    },
    /// Stop a running task so that its client requests it again.
    Migrate {
        /// The request that placed the task.
        ticket: Ticket,
    },
    /// Stop waiting for the answer to an attempt.
    CancelAttempt {
        /// The request that the attempt was made for.
        ticket: Ticket,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u32,
    },
    /// Write a line to the log.
    Log(String),
}

/// Returns an event that confirms a subscription to the endpoint list: a delta update without endpoints.
pub(super) fn subscription_confirmed() -> Event {
    endpoints_changed(UpdateKind::Delta, Vec::new())
}

impl PlacementEvent {
    /// Converts the event into the corresponding event of the decision module.
    pub(super) fn into_module_event(self) -> Event {
        match self {
            PlacementEvent::Cancelled(ticket) => Event::TaskCancelled(ticket.to_request_id()),
            PlacementEvent::ShutdownRequested(within) => Event::ShutdownRequested(within),
            PlacementEvent::DiscoveryUp => subscription_confirmed(),
            PlacementEvent::DiscoveryDown => endpoints_changed(UpdateKind::Failed, Vec::new()),
            PlacementEvent::EndpointsCached(endpoints) => {
                endpoints_changed(UpdateKind::Cached, endpoints)
            }
            PlacementEvent::EndpointsChanged {
                is_complete: true,
                endpoints,
            } => endpoints_changed(UpdateKind::Complete, endpoints),
            PlacementEvent::EndpointsChanged {
                is_complete: false,
                endpoints,
            } => endpoints_changed(UpdateKind::Delta, endpoints),
            PlacementEvent::AttemptStarted {
                ticket,
                attempt,
                host,
                elapsed,
            } => Event::AttemptStarted {
                id: ticket.to_request_id(),
                attempt,
                host,
                elapsed,
            },
            PlacementEvent::AttemptEnded {
                ticket,
                attempt,
                host,
                outcome,
                detail,
                elapsed,
            } => Event::AttemptEnded {
                id: ticket.to_request_id(),
                attempt,
                host,
                outcome,
                detail,
                done: outcome == Outcome::Completed,
                elapsed,
                load_report: Vec::new(),
            },
            PlacementEvent::TaskReported {
                ticket,
                host,
                report,
                value,
            } => Event::TaskReported {
                id: ticket.to_request_id(),
                host,
                report,
                value,
            },
        }
    }
}

fn endpoints_changed(kind: UpdateKind, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { kind, endpoints }
}
