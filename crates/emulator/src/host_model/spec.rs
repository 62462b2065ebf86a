//! What a host is and what it is asked to run: sizes, times and limits of the model.

/// A span or a point of time in microseconds.
pub type Micros = i64;

/// An amount of cores and memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Cores.
    pub cores: f64,
    /// Memory, in the unit of the endpoint list.
    pub memory: f64,
}

/// The capacity and the timing of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSpec {
    /// Cores in total.
    pub cores: f64,
    /// Memory in total.
    pub memory: f64,
    /// Time to decide on one offer.
    pub admission_time: Micros,
    /// Offers that may wait for a decision.
    pub max_queued_offers: usize,
    /// Tasks that start at the same time.
    pub max_concurrent_starts: usize,
    /// Time of a start with the program cached.
    pub warm_start: Micros,
    /// Factor on `warm_start` without the program.
    pub cold_start_factor: f64,
    /// Programs that stay cached after their last task.
    pub max_cached_programs: usize,
    /// Whether tasks of lower priority make way for higher ones.
    pub preempts: bool,
    /// Length of the slow start after the host comes up cold.
    pub slow_start: Micros,
    /// Speed at the beginning of the slow start, as a fraction of the full speed.
    pub slow_start_floor: f64,
    /// During slow start the host crashes when offered more than this many times what it can start.
    pub overload_factor: f64,
    /// Offers within a second that never crash it.
    pub always_tolerated_offers: usize,
    /// Time between two evictions while it drains.
    pub drain_interval: Micros,
}

/// A task offered to a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The id of the offer.
    pub id: u64,
    /// The service of the task.
    pub service: u64,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory.
    pub memory: f64,
    /// Priority, 0 (lowest) to 3.
    pub priority: u8,
    /// How long the task runs once started.
    pub run_time: Micros,
    /// How long the placer waits for the reply.
    pub time_left: Micros,
}
