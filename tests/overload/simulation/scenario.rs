//! What is simulated, and what came of it.

use super::SECOND;
use std::collections::BTreeMap;
use task_placer::Micros;
use task_placer::overload::Features;

/// A fleet, its load, and what goes wrong.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub placer_count: usize,
    pub host_count: usize,
    pub hosts_per_cell: usize,
    pub cells_per_zone: usize,
    pub features: Features,
    pub seed: u64,
    /// From a time on, tasks per second as a multiple of what the hosts can start.
    pub load: Vec<(Micros, f64)>,
    pub duration: Micros,
    /// The fraction of clients that honour a Retry-After.
    pub retry_after_compliance: f64,
    /// The fraction of all tasks that go to the first placer.
    pub first_placer_fraction: f64,
    /// How late an update of the endpoint list may be.
    pub discovery_delay: Micros,
    pub faults: Vec<(Micros, Fault)>,
}

/// What goes wrong, or recovers.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Hosts accept attempts and report nothing.
    SilenceHosts(Vec<usize>),
    /// They report again.
    ResumeHosts(Vec<usize>),
    /// The links between placers and hosts carry nothing.
    CutLinks {
        placers: Vec<usize>,
        hosts: Vec<usize>,
    },
    /// They carry messages again.
    RestoreLinks {
        placers: Vec<usize>,
        hosts: Vec<usize>,
    },
    /// Hosts fail: their tasks end, and nothing answers.
    KillHosts(Vec<usize>),
    /// Cold hosts replace them, under new ids.
    ReplaceHosts(Vec<usize>),
    /// Placers are killed.
    KillPlacers(Vec<usize>),
    /// Placers start without any state.
    StartPlacers(Vec<usize>),
    /// Placers process no events.
    StallPlacers(Vec<usize>),
    /// They process the events of the meantime, and go on.
    ResumePlacers(Vec<usize>),
}

impl Scenario {
    /// Six hosts that start about 200 tasks a second: low load, then so many times the capacity, then low load.
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

/// The tasks that were first requested in one second.
#[derive(Debug, Clone, Copy, Default)]
pub struct SecondSummary {
    pub requested: u32,
    pub started_within_objective: u32,
}

/// What came of a scenario.
#[derive(Debug, Default)]
pub struct Summary {
    pub seconds: Vec<SecondSummary>,
    pub tasks: u32,
    pub attempts: u32,
    /// Attempts at silent or unreachable hosts, by host and quarter of a second.
    pub futile_attempts: BTreeMap<(usize, Micros), u32>,
    /// Requests without a response in time.
    pub unanswered: u32,
    /// Responses beyond the first.
    pub duplicate_responses: u32,
}

impl Summary {
    /// The fraction that started within the objective, of the tasks requested in these seconds.
    pub fn success_between(&self, from_second: usize, to_second: usize) -> f64 {
        let end = to_second.min(self.seconds.len());
        let seconds = self.seconds.get(from_second..end).unwrap_or_default();
        let total = |count: fn(&SecondSummary) -> u32| seconds.iter().map(count).sum::<u32>();
        let started = total(|second| second.started_within_objective);
        let requested = total(|second| second.requested);
        f64::from(started) / f64::from(requested.max(1))
    }

    /// The fraction of all tasks that started within the objective.
    pub fn success(&self) -> f64 {
        self.success_between(0, usize::MAX)
    }

    pub fn attempts_per_task(&self) -> f64 {
        f64::from(self.attempts) / f64::from(self.tasks.max(1))
    }

    /// The most futile attempts at one host in a quarter of a second, from a time on.
    pub fn max_futile_attempts_per_quarter(&self, from: Micros) -> u32 {
        self.futile_attempts
            .iter()
            .filter(|((_, quarter), _)| quarter * (SECOND / 4) >= from)
            .map(|(_, count)| *count)
            .max()
            .unwrap_or(0)
    }
}
