//! The phases of a drain, and the reasons for which they begin.

/// The phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No drain is in progress.
    Idle,
    /// Load balancers are notified of the drain when they poll.
    Announcing,
    /// Idle connections are closed, and pending responses are awaited.
    ClosingIdle,
    /// The ends of running tasks are awaited and reported.
    AwaitingTasks,
    /// Running tasks are no longer awaited: all have ended, or their time limit has passed.
    Drained,
    /// The decision module answers all pending requests.
    AnsweringAll,
    /// The drain is over, and the process exits.
    Finished,
}

impl Phase {
    /// Returns the name of the phase in logs and in answers to operators.
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
    /// SIGTERM was received.
    Signal,
    /// An operator commanded the drain.
    Command,
    /// SIGTERM was received during a drain after which the process exits.
    SecondSignal,
    /// An operator cancelled the drain.
    Cancelled,
    /// Every load balancer check that polls has seen the drain.
    AllNotified,
    /// No load balancer check polls.
    NobodyPolls,
    /// [`DrainLimits::max_announcement`](super::DrainLimits::max_announcement) has passed.
    AnnouncementLimit,
    /// No response has been pending for [`DrainLimits::quiet_time`](super::DrainLimits::quiet_time).
    NothingPending,
    /// [`DrainLimits::max_answer_time`](super::DrainLimits::max_answer_time) has passed.
    AnswerLimit,
    /// No task runs, and all task ends are reported.
    NoTaskRuns,
    /// [`DrainLimits::max_task_time`](super::DrainLimits::max_task_time) has passed.
    TaskLimit,
    /// The drain is complete, and the process was told to exit after it.
    Drained,
    /// The decision module has answered all pending requests.
    AllAnswered,
    /// [`DrainLimits::final_exit_time`](super::DrainLimits::final_exit_time) has passed.
    ExitLimit,
}

impl PhaseReason {
    /// Returns the code of the reason in the log.
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
