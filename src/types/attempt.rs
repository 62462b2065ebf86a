//! Outcomes of attempts to start a task on a host, and reports of hosts about running tasks.

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran to its end.
    Completed,
    /// The host answered with an error; the task may have started.
    Error,
    /// The host rejected the attempt; the task never ran.
    Rejected,
    /// No answer came in time; the task may have started.
    Timeout,
    /// No connection to the host was established; the task never ran.
    ConnectFailed,
    /// The connection or the host failed during the attempt; the task may have started.
    Reset,
    /// The attempt was abandoned by this placer, its task was migrated, or its client stopped it.
    Cancelled,
    /// The attempt never left this placer; the task never ran.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the task never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The reason for the outcome of an attempt, as far as the host states one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeDetail {
    /// The host gave no reason, or one that this program does not know.
    Unknown,
    /// The host has too few free cores.
    NoCores,
    /// The host has too little free memory.
    NoMemory,
    /// Too many attempts are queued at the host.
    QueueFull,
    /// The host cannot take this attempt: it is of the wrong kind or draining, the deadline has passed, or the task
    /// runs there already.
    NotEligible,
    /// The host evicted the task because it ran out of memory.
    Evicted,
    /// The task was preempted by one of a higher priority.
    Preempted,
    /// A draining host released the task.
    Drained,
}

impl OutcomeDetail {
    /// Returns whether this reason is given only for tasks that have run. For a task that does not run yet, the host
    /// reports a rejection instead.
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
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Why the attempt ended this way.
    pub detail: OutcomeDetail,
    /// Whether the request is complete, so that no other attempt may follow.
    pub is_done: bool,
}

/// The kind of a value that a host reports about a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskReport {
    /// The host reports that the task is running. The value is ignored.
    Running,
    /// Cores that the task uses now.
    Cores,
    /// Memory that the task uses now, in the unit of the settings.
    Memory,
    /// Fraction of full service that the task gets.
    ServiceLevel,
    /// Fraction of the host's memory that is in use.
    HostMemory,
    /// Any other kind of report, which is ignored.
    Other,
}
