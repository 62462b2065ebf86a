//! The replies of a simulated worker to a placer, and the timers of its tasks.

use crate::identity::{RequestId, WorkerId};
use crate::wire::lines::NoCapacity;
use std::time::Duration;

/// Identifies an offer or a task at a worker. The worker is part of the id because one request may reach several
/// workers.
pub type ActiveTaskId = (WorkerId, RequestId);

/// The reply to an offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OfferReply {
    /// The task starts. The answer is sent once it has started.
    Starts {
        /// The time from the offer to the answer.
        after: Duration,
    },
    /// The worker lacks capacity for the task.
    Full(NoCapacity),
    /// The offer cannot be parsed.
    Unreadable,
    /// No reply is sent, because the worker already has the task or is not running.
    Silent,
}

/// The reply to a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReply {
    /// No reply is sent: the offer is withdrawn, or the worker does not know it.
    Nothing,
    /// The task has ended with this cause, now or before the release.
    Ended(u8),
}

/// A timer of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskTimer {
    /// The answer to the offer is due.
    Answer,
    /// The task ends by itself.
    End,
}
