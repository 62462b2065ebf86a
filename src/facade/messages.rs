//! What the caller reports to the facade, and what the facade decides.

use super::Ticket;
use crate::types::{
    Endpoint, Event, HostId, Micros, Outcome, OutcomeDetail, TaskReport, UpdateKind,
};

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

/// An update without endpoints confirms a subscription.
pub(super) fn subscription_confirmed() -> Event {
    endpoints_changed(UpdateKind::Delta, Vec::new())
}

impl PlacementEvent {
    /// The decision module's event.
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
