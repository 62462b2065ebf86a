//! The description of a simulated scenario, and the summary of its results.

use super::SECOND;
use std::collections::BTreeMap;
use task_placer::Micros;
use task_placer::overload::Features;

/// A fleet, its load, and the faults that occur.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub placer_count: usize,
    pub host_count: usize,
    pub hosts_per_cell: usize,
    pub cells_per_zone: usize,
    pub features: Features,
    pub seed: u64,
    /// The load from each of these times on, as a multiple of the tasks per second that the hosts can start.
    pub load: Vec<(Micros, f64)>,
    pub duration: Micros,
    /// The fraction of clients that honour a Retry-After.
    pub retry_after_compliance: f64,
    /// The fraction of all tasks that go to the first placer.
    pub first_placer_fraction: f64,
    /// The longest delay of an update of the endpoint list.
    pub discovery_delay: Micros,
    /// The faults, with their times from the start of the scenario.
    pub faults: Vec<(Micros, Fault)>,
}

/// A fault, or the recovery from one.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Hosts accept attempts but send no reports.
    SilenceHosts(Vec<usize>),
    /// Silenced hosts send the reports that they held back, and report again.
    ResumeHosts(Vec<usize>),
    /// The links between these placers and hosts drop all messages.
    CutLinks {
        placers: Vec<usize>,
        hosts: Vec<usize>,
    },
    /// The links between these placers and hosts deliver messages again.
    RestoreLinks {
        placers: Vec<usize>,
        hosts: Vec<usize>,
    },
    /// Hosts fail: their tasks end, and attempts to connect to them fail.
    KillHosts(Vec<usize>),
    /// Cold hosts with new ids replace killed ones.
    ReplaceHosts(Vec<usize>),
    /// Placers are killed and lose their state.
    KillPlacers(Vec<usize>),
    /// Killed placers start again, without any state but the endpoint list.
    StartPlacers(Vec<usize>),
    /// Placers stop processing events.
    StallPlacers(Vec<usize>),
    /// Stalled placers process the events that arrived in the meantime, and continue.
    ResumePlacers(Vec<usize>),
}

impl Scenario {
    /// Returns a scenario with six hosts, which together start about 200 tasks a second. The load is low, then `times`
    /// the capacity of the hosts, then low again.
    pub fn load_peak(placer_count: usize, times: f64, features: Features, seed: u64) -> Scenario {
        Scenario {
            placer_count,
            host_count: 6,
            hosts_per_cell: 1,
            cells_per_zone: 2,
            features,
            seed,
            load: vec![(0, 0.2), (3 * SECOND, times), (8 * SECOND, 0.2)],
            duration: 18 * SECOND,
            retry_after_compliance: 0.5,
            first_placer_fraction: 0.0,
            discovery_delay: SECOND,
            faults: Vec::new(),
        }
    }
}

/// Counts of the tasks that were first requested in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct SecondSummary {
    pub requested: u32,
    pub started_within_objective: u32,
}

/// The results of a scenario.
#[derive(Debug, Default)]
pub struct Summary {
    pub seconds: Vec<SecondSummary>,
    pub tasks: u32,
    pub attempts: u32,
    /// The number of attempts sent to silent or unreachable hosts, by host and quarter of a second.
    pub futile_attempts: BTreeMap<(usize, Micros), u32>,
    /// Requests that a working placer did not answer before the client's timeout.
    pub unanswered: u32,
    /// Responses to a request beyond the first.
    pub duplicate_responses: u32,
}

impl Summary {
    /// Returns the fraction of the tasks requested from `from_second` to before `to_second` that started within the
    /// latency objective.
    pub fn success_between(&self, from_second: usize, to_second: usize) -> f64 {
        let end = to_second.min(self.seconds.len());
        let seconds = self.seconds.get(from_second..end).unwrap_or_default();
        let total = |count: fn(&SecondSummary) -> u32| seconds.iter().map(count).sum::<u32>();
        let started = total(|second| second.started_within_objective);
        let requested = total(|second| second.requested);
        f64::from(started) / f64::from(requested.max(1))
    }

    /// Returns the fraction of all tasks that started within the latency objective.
    pub fn success(&self) -> f64 {
        self.success_between(0, usize::MAX)
    }

    pub fn attempts_per_task(&self) -> f64 {
        f64::from(self.attempts) / f64::from(self.tasks.max(1))
    }

    /// Returns the largest number of futile attempts at one host in a quarter of a second, from the time `from` on.
    pub fn max_futile_attempts_per_quarter(&self, from: Micros) -> u32 {
        self.futile_attempts
            .iter()
            .filter(|((_, quarter), _)| quarter * (SECOND / 4) >= from)
            .map(|(_, count)| *count)
            .max()
            .unwrap_or(0)
    }
}
