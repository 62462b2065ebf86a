//! Actions: what the module wants done.

use super::{HostId, Micros, RequestId, TimerToken};

/// Something to be done by the caller.
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
        /// The host.
        host: HostId,
    },
    /// The module declares itself broken.
    ReportFault(String),
    /// Send an attempt to a host.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The host.
        host: HostId,
        /// How long the host may take to answer.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final response: rejected. A retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client may retry; 0 leaves it to the client.
        retry_after: Micros,
    },
    /// Final response: failed. The task may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop a running task, so that its client requests it again.
    Migrate {
        /// The request.
        id: RequestId,
    },
    /// Ask a host for its load report.
    SendHealthCheck {
        /// The host.
        host: HostId,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after a time.
    SetTimer {
        /// Identifies the timer.
        token: TimerToken,
        /// Time from now.
        after: Micros,
    },
    /// A line for the log.
    Log(String),
}
