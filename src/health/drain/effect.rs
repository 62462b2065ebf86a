//! What a drain takes into account, and what the program must do for it.

use super::phase::{Phase, PhaseReason};
use crate::Micros;

/// What is not finished yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Requests whose response is pending.
    pub pending_responses: usize,
    /// Tasks that run, or are being released.
    pub running_tasks: usize,
    /// Ends of tasks that no client connection has taken yet.
    pub unreported_ends: usize,
    /// Connections with queued bytes.
    pub unflushed_connections: usize,
}

impl Outstanding {
    /// Whether all responses are sent.
    pub(super) fn is_answered(&self) -> bool {
        self.pending_responses == 0 && self.unflushed_connections == 0
    }

    /// Whether no task runs, and the end of each was reported.
    pub(super) fn has_no_tasks(&self) -> bool {
        self.running_tasks == 0 && self.unreported_ends == 0
    }
}

/// Whether the process exits after the drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterDrain {
    /// It waits for a command.
    Wait,
    /// It exits.
    Exit,
}

/// What the program must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Report `drain` to load balancers from now on.
    AnnounceDrain,
    /// Report the regular state to load balancers again.
    WithdrawDrain,
    /// Close idle connections from now on.
    StartClosingIdle,
    /// Keep idle connections open again.
    StopClosingIdle,
    /// Have the module answer everything.
    AnswerAll {
        /// How long that may take.
        within: Micros,
    },
    /// Log that a phase has begun.
    Entered {
        /// The phase.
        phase: Phase,
        /// Why.
        reason: PhaseReason,
    },
    /// Exit the process.
    Exit {
        /// What is not finished.
        left: Outstanding,
    },
}
