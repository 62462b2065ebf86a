//! The data that a run produces, from which results and reports are made.

use crate::arrivals::Arrival;
use crate::clients::{Counts, Fate};
use crate::fault_injector::Action;
use crate::load_profile::{LoadProfile, Micros};
use crate::overload_impact::OverloadImpact;
use crate::plan::Plan;
use emulator::cluster::LoadSample;
use emulator::rule_check::Finding;
use hdrhistogram::Histogram;

/// Quantile of the generator's lateness that must not exceed the limit of the plan.
const LATENESS_QUANTILE: f64 = 0.99;

/// What happened to a task during a run.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRecord {
    /// Idempotency key of the task.
    pub key: u64,
    /// When the task was due, and what it needs.
    pub arrival: Arrival,
    /// Index of the phase of the load profile in which it was due.
    pub phase: usize,
    /// Time from when the task was due until it first ran, in microseconds; `None` if it never ran.
    pub start_latency: Option<Micros>,
    /// Time from when the task was due until its client got the first answer, in microseconds; `None` without one.
    pub answer_latency: Option<Micros>,
    /// Number of attempts that the client made for the task.
    pub attempts: u32,
    /// Number of these attempts that were rejected.
    pub rejections: u32,
    /// Index of the placer that answered last.
    pub placer: Option<usize>,
    /// How the task ended; `None` if it had not ended when the run did.
    pub fate: Option<Fate>,
}

/// The outcome of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The plan of the run.
    pub plan: Plan,
    /// The load profile of the run.
    pub profile: LoadProfile,
    /// Every task that was due, sorted by key.
    pub tasks: Vec<TaskRecord>,
    /// Start of the plan, in microseconds on the clock of the event log.
    pub start: Micros,
    /// Time at which the clients stopped, in microseconds on the clock of the event log.
    pub end: Micros,
    /// Lateness of the generator: how long after their due times it issued tasks, in microseconds.
    pub lateness: Histogram<u64>,
    /// Counts of what the clients did.
    pub counts: Counts,
    /// Violations of the rules that the events of a run are checked against.
    pub findings: Vec<Finding>,
    /// The load that the placers together put on the hosts.
    pub impact: OverloadImpact,
    /// Number of events in the event log.
    pub event_count: usize,
    /// Samples of the load of the hosts over time.
    pub load_samples: Vec<LoadSample>,
    /// Peak memory of each placer in kB.
    pub peak_memory_kb: Vec<u64>,
    /// Peak number of open descriptors of each placer.
    pub peak_descriptors: Vec<usize>,
    /// The schedule of the fault injector: each action with its time from the start of the plan in microseconds.
    pub actions: Vec<(Micros, Action)>,
    /// Whether a signal ended the run early.
    pub interrupted: bool,
}

impl Outcome {
    /// Returns whether the lateness of the generator stayed within the limit of the plan.
    pub fn generator_in_time(&self) -> bool {
        let limit = self.plan.objectives.max_generator_lateness.as_micros();
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        self.lateness.value_at_quantile(LATENESS_QUANTILE) <= limit
    }
}
