//! Events: what has happened, as the module is notified of it.

use super::{
    Endpoint, HostId, Limit, Micros, Outcome, OutcomeDetail, RequestId, Task, TaskReport,
    TimerToken, UpdateKind,
};

/// Something that has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list has changed, or could not be read.
    EndpointsChanged {
        /// What the update contains.
        kind: UpdateKind,
        /// Its endpoints; none for [`UpdateKind::Failed`].
        endpoints: Vec<Endpoint>,
    },
    /// A client requests a task.
    TaskRequested(Task),
    /// A task that already runs on this host becomes this placer's; no response is pending for it.
    TaskAdopted(Task, HostId),
    /// The attempt placed its task.
    AttemptStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// A host reports about a running task.
    TaskReported {
        /// The request.
        id: RequestId,
        /// Its host.
        host: HostId,
        /// What is reported.
        report: TaskReport,
        /// The value.
        value: f64,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Why.
        detail: OutcomeDetail,
        /// The request is complete with it.
        done: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// The host's load report, if one came with the outcome.
        load_report: Vec<f64>,
    },
    /// The client has cancelled the request; no response is pending any more.
    TaskCancelled(RequestId),
    /// Limits from outside have changed.
    LimitsChanged(Vec<Limit>),
    /// The placer shuts down: every pending response must be sent within this time.
    ShutdownRequested(Micros),
    /// A timer has fired.
    TimerFired(TimerToken),
    /// A health check has ended.
    HealthCheckEnded {
        /// Its host.
        host: HostId,
        /// [`Outcome::Completed`], or why not.
        outcome: Outcome,
        /// Time since the health check was sent.
        elapsed: Micros,
        /// The host's load report, if one came with the outcome.
        load_report: Vec<f64>,
    },
}
