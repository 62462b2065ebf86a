//! What a hollow worker answers to a placer, and the timers of its tasks.

use crate::identity::{RequestId, WorkerId};
use crate::wire::lines::NoCapacity;
use std::time::Duration;

/// An offer or a task at a worker. The same set-up may reach several workers.
pub type ActiveTaskId = (WorkerId, RequestId);

/// The reply to an offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OfferReply {
    /// The task starts, and the answer follows.
    Starts {
        /// The time from the offer to the answer.
        after: Duration,
    },
    /// The worker has no capacity left.
    Full(NoCapacity),
    /// The offer cannot be read.
    Unreadable,
    /// No reply: the worker already has the task, or is not running.
    Silent,
}

/// The reply to a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReply {
    /// No reply: the offer is dropped, or was never known.
    Nothing,
    /// The task was running and has ended with this cause.
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
