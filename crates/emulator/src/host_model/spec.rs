//! The capacity and timing of a host, and the offers that it receives.

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

/// An amount of cores and memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// The number of cores.
    pub cores: f64,
    /// The memory, in the unit of the endpoint list.
    pub memory: f64,
}

/// The capacity and the timing of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSpec {
    /// The total number of cores.
    pub cores: f64,
    /// The total memory, in the unit of the endpoint list.
    pub memory: f64,
    /// The time that the decision on one offer takes.
    pub admission_time: Micros,
    /// The maximum number of offers that wait for a decision; further offers are rejected.
    pub max_queued_offers: usize,
    /// The maximum number of tasks that start at the same time.
    pub max_concurrent_starts: usize,
    /// The time that a start takes if the program is cached.
    pub warm_start: Micros,
    /// The factor by which a start takes longer than `warm_start` if the program is not cached.
    pub cold_start_factor: f64,
    /// The maximum number of programs that stay cached after their last task has ended.
    pub max_cached_programs: usize,
    /// Whether tasks of higher priority preempt tasks of lower priority.
    pub preempts: bool,
    /// The length of the slow start after a cold start of the host.
    pub slow_start: Micros,
    /// The speed at the beginning of the slow start, as a fraction of the full speed.
    pub slow_start_floor: f64,
    /// The factor that limits the load during the slow start: the host crashes if it is offered more than this many
    /// times what it can start.
    pub overload_factor: f64,
    /// The number of offers within a second that never crash the host.
    pub always_tolerated_offers: usize,
    /// The time between two evictions while the host drains.
    pub drain_interval: Micros,
}

/// A task offered to a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The id of the offer.
    pub id: u64,
    /// The service of the task.
    pub service: u64,
    /// The requested number of cores.
    pub cores: f64,
    /// The requested memory, in the unit of the endpoint list.
    pub memory: f64,
    /// The priority of the task, from 0 (lowest) to 3.
    pub priority: u8,
    /// How long the task runs once it has started.
    pub run_time: Micros,
    /// How long the placer waits for the host's reply.
    pub time_left: Micros,
}
