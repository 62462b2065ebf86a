//! The updates that a host reports about a task, and the reasons for which tasks end.

/// The reason why a task was rejected or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Too many offers were queued.
    QueueFull,
    /// The host is draining.
    Draining,
    /// The placer no longer waits for the reply.
    Expired,
    /// The host rejects every offer because of a fault.
    RejectFault,
    /// The host had too few free cores.
    NoCores,
    /// The host had too little free memory.
    NoMemory,
    /// The host evicted the task because it was short of memory.
    Evicted,
    /// The host evicted the task while it was draining.
    Drained,
    /// The host preempted the task in favor of one of higher priority.
    Preempted,
    /// The task had run to completion.
    Completed,
    /// The placer stopped the task.
    Stopped,
    /// The host was lost.
    HostLost,
}

impl EndReason {
    /// Returns the code of the cause on the wire.
    pub fn cause(self) -> u8 {
        match self {
            EndReason::QueueFull
            | EndReason::Draining
            | EndReason::Expired
            | EndReason::RejectFault
            | EndReason::NoCores
            | EndReason::NoMemory => 34,
            EndReason::Evicted | EndReason::Drained | EndReason::Preempted => 41,
            EndReason::Completed => 16,
            EndReason::Stopped => 31,
            EndReason::HostLost => 43,
        }
    }

    /// Returns the note on the wire, which is empty for reasons without a note.
    pub fn note(self) -> &'static str {
        match self {
            EndReason::QueueFull => "nq",
            EndReason::Draining | EndReason::Expired => "nh",
            EndReason::RejectFault | EndReason::NoCores => "nc",
            EndReason::NoMemory => "nm",
            EndReason::Evicted => "ev",
            EndReason::Drained => "dr",
            EndReason::Preempted => "pre",
            EndReason::Completed | EndReason::Stopped | EndReason::HostLost => "",
        }
    }
}

/// A change of a task's state that the host reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskUpdate {
    /// The task is running.
    Running,
    /// The task was rejected or has ended.
    Ended(EndReason),
}

/// Updates, each with the id of its task.
pub type TaskUpdates = Vec<(u64, TaskUpdate)>;
