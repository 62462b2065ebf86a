//! What the overload controller is notified of, and what it returns for a request.

use crate::{Endpoint, HostId, Micros, Outcome, OutcomeDetail, RequestId, UpdateKind};

/// Something that has happened.
#[derive(Debug, Clone, Copy)]
pub enum Event<'a> {
    /// The endpoint list has changed.
    EndpointsChanged {
        /// What the update contains; [`UpdateKind::Failed`] changes nothing.
        kind: UpdateKind,
        /// Its endpoints.
        endpoints: &'a [Endpoint],
    },
    /// An attempt was sent.
    AttemptSent {
        /// The request.
        id: &'a RequestId,
        /// The host.
        host: &'a HostId,
    },
    /// An attempt has started its task.
    AttemptStarted {
        /// The request.
        id: &'a RequestId,
    },
    /// An attempt has ended without a start.
    AttemptEnded {
        /// The request.
        id: &'a RequestId,
        /// How.
        outcome: Outcome,
        /// Why.
        detail: OutcomeDetail,
    },
    /// No further attempt will be made for the request.
    RequestEnded {
        /// The request.
        id: &'a RequestId,
        /// How it ended.
        end: RequestEnd,
    },
    /// Time has passed.
    Tick,
}

/// How a request ended without a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// This placer rejected or failed it.
    GivenUp,
    /// Its client cancelled it.
    Cancelled,
}

/// The controller's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestAdmission {
    /// Its position in the order of load shedding: it is admitted if this is below the admitted fraction.
    pub shed_rank: f64,
    /// The Retry-After to send if it is rejected; 0 leaves it to the decision module.
    pub retry_after: Micros,
}
