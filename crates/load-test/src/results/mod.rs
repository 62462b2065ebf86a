//! The results of a run: latency histograms by class, tenant, phase and result, a time series, and whether the
//! objectives are met.

mod interval_log;
#[cfg(test)]
pub(crate) mod tests;
mod text;

use crate::clients::Fate;
use crate::load_profile::Micros;
use crate::outcome::{Outcome, TaskRecord};
use hdrhistogram::Histogram;
pub use interval_log::write_interval_log;
use std::collections::BTreeMap;
use std::time::Duration;
pub use text::{findings_text, impact_table, impact_text, summary_text};

const SECOND: Micros = 1_000_000;
/// Longest latency that is recorded exactly, one hour in microseconds; longer ones count as this value.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Significant decimal digits that histograms keep of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Returns an empty histogram of latencies in microseconds.
///
/// # Panics
///
/// Never: the number of digits is valid.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS)
        .unwrap_or_else(|_| Histogram::new(LATENCY_DIGITS).expect("3 digits"))
}

/// Records a latency in microseconds. Values below 1 µs, also negative ones, count as 1 µs.
fn record_latency(histogram: &mut Histogram<u64>, latency: Micros) {
    histogram.saturating_record(u64::try_from(latency).unwrap_or(0).max(1));
}

/// The result of a task, measured against the latency objective of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskResult {
    /// The task started within the latency objective of its class.
    WithinObjective,
    /// The task started after the latency objective had passed.
    Late,
    /// The task did not start during the run.
    NeverStarted,
}

impl TaskResult {
    /// Returns the name of the result in result files. These names are part of the file format and do not change.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskResult::WithinObjective => "in-aim",
            TaskResult::Late => "late",
            TaskResult::NeverStarted => "never",
        }
    }
}

/// Returns the result of a task, which depends on its start latency and the objective of its class.
pub fn task_result(outcome: &Outcome, task: &TaskRecord) -> TaskResult {
    let class = outcome.plan.classes.get(task.arrival.class);
    let objective = class.map_or(0, |class| class.objective.as_micros() as Micros);
    match task.start_latency {
        Some(latency) if latency <= objective => TaskResult::WithinObjective,
        Some(_) => TaskResult::Late,
        None => TaskResult::NeverStarted,
    }
}

/// Counts and latencies of a group of tasks.
#[derive(Debug, Clone)]
pub struct Group {
    /// What the tasks have in common, such as `class pagina`.
    pub name: String,
    /// Number of tasks that were due.
    pub due: u64,
    /// Number of tasks that started.
    pub started: u64,
    /// Number of tasks that started within the latency objective of their class.
    pub within_objective: u64,
    /// Times from when tasks were due until they started, in microseconds.
    pub latency: Histogram<u64>,
}

impl Group {
    fn new(name: String) -> Group {
        Group {
            name,
            due: 0,
            started: 0,
            within_objective: 0,
            latency: latency_histogram(),
        }
    }

    fn add(&mut self, task: &TaskRecord, result: TaskResult) {
        self.due += 1;
        if let Some(latency) = task.start_latency {
            self.started += 1;
            record_latency(&mut self.latency, latency);
        }
        self.within_objective += u64::from(result == TaskResult::WithinObjective);
    }

    /// Returns the fraction of the due tasks that started within their objective; 1 where no task was due.
    pub fn fraction_within_objective(&self) -> f64 {
        if self.due == 0 {
            1.0
        } else {
            self.within_objective as f64 / self.due as f64
        }
    }

    /// Returns the latency within which this fraction of all due tasks started. A task that never started counts as
    /// later than any other, so the result is `None` where fewer tasks than this fraction started.
    pub fn percentile(&self, fraction: f64) -> Option<Duration> {
        let rank = (fraction * self.due as f64).ceil().max(1.0);
        if self.due == 0 || rank > self.started as f64 {
            return None;
        }
        let quantile = (rank / self.started as f64).min(1.0);
        Some(Duration::from_micros(
            self.latency.value_at_quantile(quantile),
        ))
    }
}

/// The tasks that were due within one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SecondSummary {
    /// Number of tasks that were due.
    pub due: u32,
    /// Number of these tasks that started at any time.
    pub started: u32,
    /// Number of these tasks that started within the latency objective of their class.
    pub within_objective: u32,
    /// Number of attempts that clients made for these tasks, not counting the first attempt for each task.
    pub retries: u32,
    /// Median start latency of the tasks that started, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the start latency of the tasks that started, in milliseconds.
    pub p99_ms: f64,
}

/// The summary of a run.
#[derive(Debug, Clone)]
pub struct Summary {
    /// One group of all tasks, then one for each class, tenant, phase and result.
    pub groups: Vec<Group>,
    /// One entry for each second of the load profile, with the tasks that were due in it.
    pub seconds: Vec<SecondSummary>,
    /// Number of tasks by how they ended for their clients; `open` counts those that had not ended.
    pub fates: BTreeMap<&'static str, u64>,
    /// Number of violations of each rule that was violated.
    pub violations: BTreeMap<&'static str, usize>,
    /// Whether the objective of the plan is met; `None` where no task of its class was due.
    pub objective_met: Option<bool>,
    /// Whether the lateness of the generator stayed within its limit. Otherwise latency percentiles are not meaningful.
    pub generator_in_time: bool,
}

/// Returns the summary of a run.
pub fn summarize(outcome: &Outcome) -> Summary {
    let mut fates: BTreeMap<&'static str, u64> = BTreeMap::new();
    for task in &outcome.tasks {
        *fates
            .entry(task.fate.map_or("open", Fate::as_str))
            .or_default() += 1;
    }
    let mut violations: BTreeMap<&'static str, usize> = BTreeMap::new();
    for finding in &outcome.findings {
        *violations.entry(finding.rule.as_str()).or_default() += 1;
    }
    let groups = group_tasks(outcome);
    let objectives = &outcome.plan.objectives;
    let judged_name = format!("class {}", objectives.class);
    let judged = groups.iter().find(|group| group.name == judged_name);
    Summary {
        objective_met: judged.map(|group| group.fraction_within_objective() >= objectives.share),
        groups,
        seconds: summarize_seconds(outcome),
        fates,
        violations,
        generator_in_time: outcome.generator_in_time(),
    }
}

/// Returns the names of the groups that a task belongs to, each with its rank in the order of groups.
fn group_names(outcome: &Outcome, task: &TaskRecord, result: TaskResult) -> [(u8, String); 5] {
    let plan = &outcome.plan;
    let class = plan.classes.get(task.arrival.class);
    let tenant = plan.tenants.get(task.arrival.tenant);
    let phase = outcome.profile.phases.get(task.phase);
    let class = class.map_or("", |class| class.name.as_str());
    let tenant = tenant.map_or("", |tenant| tenant.name.as_str());
    let phase = phase.map_or("", |phase| phase.name.as_str());
    [
        (0, "all".to_string()),
        (1, format!("class {class}")),
        (2, format!("tenant {tenant}")),
        (3, format!("phase {phase}")),
        (4, format!("result {}", result.as_str())),
    ]
}

fn group_tasks(outcome: &Outcome) -> Vec<Group> {
    let mut groups: BTreeMap<(u8, String), Group> = BTreeMap::new();
    for task in &outcome.tasks {
        let result = task_result(outcome, task);
        for (rank, name) in group_names(outcome, task, result) {
            groups
                .entry((rank, name.clone()))
                .or_insert_with(|| Group::new(name))
                .add(task, result);
        }
    }
    groups.into_values().collect()
}

fn summarize_seconds(outcome: &Outcome) -> Vec<SecondSummary> {
    let count = (outcome.profile.length() / SECOND) as usize + 1;
    let mut seconds = vec![(SecondSummary::default(), latency_histogram()); count];
    for task in &outcome.tasks {
        let index = (task.arrival.due / SECOND) as usize;
        let Some((second, latency)) = seconds.get_mut(index) else {
            continue;
        };
        let result = task_result(outcome, task);
        second.due += 1;
        second.retries += task.attempts.saturating_sub(1);
        second.within_objective += u32::from(result == TaskResult::WithinObjective);
        if let Some(start_latency) = task.start_latency {
            second.started += 1;
            record_latency(latency, start_latency);
        }
    }
    let quantile_ms =
        |latency: &Histogram<u64>, quantile: f64| latency.value_at_quantile(quantile) as f64 / 1e3;
    seconds
        .into_iter()
        .map(|(second, latency)| SecondSummary {
            p50_ms: quantile_ms(&latency, 0.5),
            p99_ms: quantile_ms(&latency, 0.99),
            ..second
        })
        .collect()
}

impl Summary {
    /// Returns the group with this name, such as `all` or `class pagina`.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.name == name)
    }

    /// Returns the exit code: 0 on success, 1 if an objective is missed or the run was interrupted, 3 if a rule is
    /// violated, 4 if the generator was late.
    pub fn exit_code(&self, outcome: &Outcome) -> u8 {
        if !self.violations.is_empty() {
            3
        } else if !self.generator_in_time {
            4
        } else if self.objective_met == Some(false) || outcome.interrupted {
            1
        } else {
            0
        }
    }
}
