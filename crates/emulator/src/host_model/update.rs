//! What a host reports of a task, and why tasks end.

/// Why a task ended, or never ran.
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
    /// Too few free cores.
    NoCores,
    /// Too little free memory.
    NoMemory,
    /// The host was short of memory.
    Evicted,
    /// The host drained.
    Drained,
    /// A task of higher priority took its place.
    Preempted,
    /// The task was complete.
    Completed,
    /// The placer stopped it.
    Stopped,
    /// The host was lost.
    HostLost,
}

impl EndReason {
    /// The number of the cause on the wire.
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

    /// The note on the wire; empty where there is none.
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

/// What a host reports of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskUpdate {
    /// It runs.
    Running,
    /// It was rejected, or it has ended.
    Ended(EndReason),
}

/// An update and the id of its task.
pub type TaskUpdates = Vec<(u64, TaskUpdate)>;
