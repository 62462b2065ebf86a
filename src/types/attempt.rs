//! What hosts report about the attempts to start a task on them.

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran to its end.
    Completed,
    /// The host answered with an error; the task may have started.
    Error,
    /// The host rejected the attempt; the task never ran.
    Rejected,
    /// No answer in time; the task may have started.
    Timeout,
    /// No connection; the task never ran.
    ConnectFailed,
    /// The connection or the host failed under the attempt.
    Reset,
    /// Abandoned by this placer, migrated, or stopped by its client.
    Cancelled,
    /// The attempt never left this placer; the task never ran.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the task never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// Why an attempt ended so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeDetail {
    /// No reason is known.
    Unknown,
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// Too many attempts are queued at the host.
    QueueFull,
    /// Not on this host: wrong kind, draining, deadline passed, or the task runs there already.
    NotEligible,
    /// Evicted for want of memory.
    Evicted,
    /// Preempted by a task of a higher priority.
    Preempted,
    /// Released by a draining host.
    Drained,
}

impl OutcomeDetail {
    /// Whether this only happens to a task that runs: a host hands one that does not run yet back as rejected.
    pub fn implies_task_ran(self) -> bool {
        matches!(
            self,
            OutcomeDetail::Evicted | OutcomeDetail::Preempted | OutcomeDetail::Drained
        )
    }
}

/// The result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// The number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub detail: OutcomeDetail,
    /// The request is complete with it.
    pub is_done: bool,
}

/// What a host reports about a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskReport {
    /// The task runs.
    Running,
    /// Cores it uses now.
    Cores,
    /// Memory it uses now.
    Memory,
    /// Fraction of full service that it gets.
    ServiceLevel,
    /// Fraction of its host's memory that is in use.
    HostMemory,
    /// Another kind, ignored.
    Other,
}
