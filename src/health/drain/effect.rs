//! The inputs of a drain, and the effects that the program must carry out for it.

use super::phase::{Phase, PhaseReason};
use crate::Micros;

/// The work of a process that is not finished yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// The number of requests whose response is pending.
    pub pending_responses: usize,
    /// The number of tasks that run or are being released.
    pub running_tasks: usize,
    /// The number of task ends that no client connection has accepted yet.
    pub unreported_ends: usize,
    /// The number of connections with queued bytes.
    pub unflushed_connections: usize,
}

impl Outstanding {
    /// Returns whether no response is pending and no bytes are queued.
    pub(super) fn is_answered(&self) -> bool {
        self.pending_responses == 0 && self.unflushed_connections == 0
    }

    /// Returns whether no task runs and all task ends are reported.
    pub(super) fn has_no_tasks(&self) -> bool {
        self.running_tasks == 0 && self.unreported_ends == 0
    }
}

/// What the process does after the drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterDrain {
    /// The process keeps running and waits for a command of the operator.
    Wait,
    /// The process exits by itself.
    Exit,
}

/// An effect of a drain that the program must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Report `drain` to load balancers from now on.
    AnnounceDrain,
    /// Stop reporting `drain` to load balancers, and report the placer's own state instead.
    WithdrawDrain,
    /// Close idle connections from now on.
    StartClosingIdle,
    /// Stop closing idle connections.
    StopClosingIdle,
    /// Notify the decision module that it must answer all pending requests.
    AnswerAll {
        /// The time limit for the answers, in microseconds.
        within: Micros,
    },
    /// Log that a phase has begun.
    Entered {
        /// The phase that has begun.
        phase: Phase,
        /// Why it has begun.
        reason: PhaseReason,
    },
    /// Exit the process.
    Exit {
        /// The work that is unfinished when the process exits.
        left: Outstanding,
    },
}
