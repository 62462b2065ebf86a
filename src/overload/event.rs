//! The events that the overload controller handles, and its answer to a request.

use crate::{Endpoint, HostId, Micros, Outcome, OutcomeDetail, RequestId, UpdateKind};

/// An event at the placer that may change the limits imposed by overload control.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The endpoint list has changed.
    EndpointsChanged {
        /// Whether the update is complete, cached or a delta; [`UpdateKind::Failed`] changes nothing.
        kind: UpdateKind,
        /// The endpoints that the update lists.
        endpoints: &'a [Endpoint],
    },
    /// An attempt was sent.
    AttemptSent {
        /// The request that the attempt belongs to.
        id: &'a RequestId,
        /// The host that the attempt was sent to.
        host: &'a HostId,
    },
    /// An attempt has started its task.
    AttemptStarted {
        /// The request that the attempt belongs to.
        id: &'a RequestId,
    },
    /// An attempt has ended without starting its task.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: &'a RequestId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Why the attempt ended, if the host gave a reason.
        detail: OutcomeDetail,
    },
    /// No further attempt will be made for the request.
    RequestEnded {
        /// The request that ended.
        id: &'a RequestId,
        /// How the request ended.
        end: RequestEnd,
    },
    /// The periodic work of the placer is due.
    Tick,
}

/// How a request ended without its task being started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// This placer rejected or failed the request.
    GivenUp,
    /// The client cancelled the request.
    Cancelled,
}

/// The controller's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestAdmission {
    /// The request's position in the order of load shedding, from 0 (admitted first) to 1 (shed first). The request
    /// is admitted if its rank is below the admitted fraction.
    pub shed_rank: f64,
    /// The Retry-After to send if the request is rejected, in microseconds; 0 leaves the choice to the decision
    /// module.
    pub retry_after: Micros,
}
