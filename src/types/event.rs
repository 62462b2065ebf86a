//! Events of which the decision module is notified.

use super::{
    Endpoint, HostId, Limit, Micros, Outcome, OutcomeDetail, RequestId, Task, TaskReport,
    TimerToken, UpdateKind,
};

/// An event of which the decision module is notified.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list has changed, or could not be read.
    EndpointsChanged {
        /// Whether the update is complete, partial, cached or failed.
        kind: UpdateKind,
        /// The endpoints in the update; none for [`UpdateKind::Failed`].
        endpoints: Vec<Endpoint>,
    },
    /// A client requests a task.
    TaskRequested(Task),
    /// This placer adopts a task that already runs on this host. No response is pending for it.
    TaskAdopted(Task, HostId),
    /// An attempt has started its task, so that the request is placed.
    AttemptStarted {
        /// The request that the attempt was made for.
        id: RequestId,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// The host that the attempt was sent to.
        host: HostId,
        /// Time since the attempt was sent, in microseconds.
        elapsed: Micros,
    },
    /// A host reports about a running task.
    TaskReported {
        /// The request that placed the task.
        id: RequestId,
        /// The host that runs the task and reports about it.
        host: HostId,
        /// What the reported value measures.
        report: TaskReport,
        /// The reported value, in the unit of its kind.
        value: f64,
    },
    /// An attempt has ended, or the task that it started.
    AttemptEnded {
        /// The request that the attempt was made for.
        id: RequestId,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// The host that the attempt was sent to.
        host: HostId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Why the attempt ended this way.
        detail: OutcomeDetail,
        /// Whether the request is complete, so that no other attempt may follow.
        done: bool,
        /// Time since the attempt was sent, in microseconds.
        elapsed: Micros,
        /// The host's load report, or empty if none came with the outcome.
        load_report: Vec<f64>,
    },
    /// The client has cancelled the request; no response is pending any more.
    TaskCancelled(RequestId),
    /// Limits that are imposed from outside the module have changed.
    LimitsChanged(Vec<Limit>),
    /// The placer shuts down. Every pending response must be sent within this time, in microseconds.
    ShutdownRequested(Micros),
    /// The timer with this token has fired.
    TimerFired(TimerToken),
    /// A health check has been answered or has failed.
    HealthCheckEnded {
        /// The host that was checked.
        host: HostId,
        /// [`Outcome::Completed`] if the host has answered, otherwise how the health check failed.
        outcome: Outcome,
        /// Time since the health check was sent, in microseconds.
        elapsed: Micros,
        /// The host's load report, or empty if none came with the outcome.
        load_report: Vec<f64>,
    },
}
