//! Everything that a run has produced, for results and reports to evaluate.

use crate::arrivals::Arrival;
use crate::clients::{Counts, Fate};
use crate::fault_injector::Action;
use crate::load_profile::{LoadProfile, Micros};
use crate::overload_impact::OverloadImpact;
use crate::plan::Plan;
use emulator::cluster::LoadSample;
use emulator::rule_check::Finding;
use hdrhistogram::Histogram;

/// The quantile of the generator's lateness that is limited.
const LATENESS_QUANTILE: f64 = 0.99;

/// What became of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRecord {
    /// Its idempotency key.
    pub key: u64,
    /// Its arrival.
    pub arrival: Arrival,
    /// Index of the phase of the load profile in which it was due.
    pub phase: usize,
    /// The time from when it was due until it first ran.
    pub start_latency: Option<Micros>,
    /// The time from when it was due until its client was first answered.
    pub answer_latency: Option<Micros>,
    /// Attempts of its client.
    pub attempts: u32,
    /// Attempts that were rejected.
    pub rejections: u32,
    /// The placer that answered last.
    pub placer: Option<usize>,
    /// How it ended; none where the run ended before it.
    pub fate: Option<Fate>,
}

/// The outcome of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The plan.
    pub plan: Plan,
    /// Its load profile.
    pub profile: LoadProfile,
    /// Every task that was due, in order.
    pub tasks: Vec<TaskRecord>,
    /// When the plan began, on the clock of the event log.
    pub start: Micros,
    /// When clients stopped.
    pub end: Micros,
    /// How late the generator itself was, in microseconds.
    pub lateness: Histogram<u64>,
    /// What clients did.
    pub counts: Counts,
    /// Violations of rules.
    pub findings: Vec<Finding>,
    /// The load that the placers together put on the hosts.
    pub impact: OverloadImpact,
    /// Number of events in the log.
    pub event_count: usize,
    /// The load of the hosts over time.
    pub load_samples: Vec<LoadSample>,
    /// The peak memory of each placer in kB.
    pub peak_memory_kb: Vec<u64>,
    /// The peak number of descriptors of each placer.
    pub peak_descriptors: Vec<usize>,
    /// The injected faults, and when.
    pub actions: Vec<(Micros, Action)>,
    /// Whether a signal ended it.
    pub interrupted: bool,
}

impl Outcome {
    /// Whether the generator was within its limit of lateness.
    pub fn generator_in_time(&self) -> bool {
        let limit = self.plan.objectives.max_generator_lateness.as_micros();
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        self.lateness.value_at_quantile(LATENESS_QUANTILE) <= limit
    }
}
