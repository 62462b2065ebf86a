//! Actions that the decision module asks its caller to carry out.

use super::{HostId, Micros, RequestId, TimerToken};

/// An action that the caller of the decision module is to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Subscribe to the endpoint list.
    Subscribe,
    /// End the subscription.
    Unsubscribe,
    /// Poll the complete endpoint list once.
    PollEndpoints,
    /// Close idle connections to a host.
    CloseIdleConnections {
        /// The host whose idle connections are closed.
        host: HostId,
    },
    /// Report that the decision module has found itself to be faulty, with a description.
    ReportFault(String),
    /// Send an attempt to place a task to a host.
    SendAttempt {
        /// The request that the attempt is made for.
        id: RequestId,
        /// The host that the attempt is sent to.
        host: HostId,
        /// How long the host may take to answer, in microseconds.
        timeout: Micros,
    },
    /// Stop waiting for the outcome of an attempt.
    CancelAttempt {
        /// The request that the attempt was made for.
        id: RequestId,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u32,
    },
    /// Send the final response that the request is rejected. A retry by the client is harmless.
    Reject {
        /// The request that is rejected.
        id: RequestId,
        /// Time after which the client may retry, in microseconds; 0 leaves it to the client.
        retry_after: Micros,
    },
    /// Send the final response that the request failed. The task may have run.
    Fail {
        /// The request that failed.
        id: RequestId,
    },
    /// Stop a running task, so that its client requests it again.
    Migrate {
        /// The request that placed the task.
        id: RequestId,
    },
    /// Send a health check to a host, which also returns its load report.
    SendHealthCheck {
        /// The host that the health check is sent to.
        host: HostId,
    },
    /// Notify the module by [`Event::TimerFired`](super::Event::TimerFired) after some time.
    SetTimer {
        /// The token by which the event identifies the timer.
        token: TimerToken,
        /// Time from now until the timer fires, in microseconds.
        after: Micros,
    },
    /// Write a line to the log.
    Log(String),
}
