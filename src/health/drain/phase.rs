//! The phases of a drain, and why each begins.

/// The phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// There is no drain.
    Idle,
    /// Load balancers are notified.
    Announcing,
    /// Idle connections are closed.
    ClosingIdle,
    /// Running tasks are awaited.
    AwaitingTasks,
    /// Nothing is outstanding.
    Drained,
    /// The module answers everything.
    AnsweringAll,
    /// The process may exit.
    Finished,
}

impl Phase {
    /// Returns the name used in logs and in answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Announcing => "telling",
            Phase::ClosingIdle => "closing",
            Phase::AwaitingTasks => "standing",
            Phase::Drained => "drained",
            Phase::AnsweringAll => "answering",
            Phase::Finished => "over",
        }
    }
}

/// Why a phase has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseReason {
    /// SIGTERM.
    Signal,
    /// An operator's command.
    Command,
    /// A second SIGTERM.
    SecondSignal,
    /// An operator cancelled the drain.
    Cancelled,
    /// Every load balancer that polls has seen the drain.
    AllNotified,
    /// No load balancer polls.
    NobodyPolls,
    /// [`DrainLimits::max_announcement`](super::DrainLimits::max_announcement) has passed.
    AnnouncementLimit,
    /// No response has been pending for a while.
    NothingPending,
    /// [`DrainLimits::max_answer_time`](super::DrainLimits::max_answer_time) has passed.
    AnswerLimit,
    /// No task runs.
    NoTaskRuns,
    /// [`DrainLimits::max_task_time`](super::DrainLimits::max_task_time) has passed.
    TaskLimit,
    /// The drain is complete, and the process was to exit.
    Drained,
    /// The module has answered everything.
    AllAnswered,
    /// [`DrainLimits::final_exit_time`](super::DrainLimits::final_exit_time) has passed.
    ExitLimit,
}

impl PhaseReason {
    /// Returns the code used in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            PhaseReason::Signal => "signal",
            PhaseReason::Command => "order",
            PhaseReason::SecondSignal => "second-signal",
            PhaseReason::Cancelled => "ready",
            PhaseReason::AllNotified => "all-seen",
            PhaseReason::NobodyPolls => "nobody-polls",
            PhaseReason::AnnouncementLimit => "notice-bound",
            PhaseReason::NothingPending => "nothing-owed",
            PhaseReason::AnswerLimit => "answer-bound",
            PhaseReason::NoTaskRuns => "nothing-stands",
            PhaseReason::TaskLimit => "standing-bound",
            PhaseReason::Drained => "drained",
            PhaseReason::AllAnswered => "all-answered",
            PhaseReason::ExitLimit => "end-bound",
        }
    }
}
