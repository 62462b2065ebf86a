//! What is made of a run: histograms by class, tenant, phase and outcome, a time series, and the verdict.

use crate::clients::Fate;
use crate::run::{Outcome, Task};
use crate::shape::Micros;
use emulator::rule_check::Rule;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::V2DeflateSerializer;
use hdrhistogram::serialization::interval_log::{IntervalLogWriterBuilder, Tag};
use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

const SECOND: Micros = 1_000_000;
/// Latencies up to an hour, with three digits.
const MOST: u64 = 3_600_000_000;

/// An empty histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST, 3).unwrap_or_else(|_| Histogram::new(3).expect("3 digits"))
}

/// How a task came out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Result {
    /// It started within its class's aim.
    InAim,
    /// It started later.
    Late,
    /// It never started.
    Never,
}

impl Result {
    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Result::InAim => "in-aim",
            Result::Late => "late",
            Result::Never => "never",
        }
    }
}

/// How a task of a run came out.
pub fn result(outcome: &Outcome, task: &Task) -> Result {
    let aim = outcome
        .plan
        .classes
        .get(task.arrival.class)
        .map_or(0, |class| class.aim.as_micros() as Micros);
    match task.started {
        Some(after) if after <= aim => Result::InAim,
        Some(_) => Result::Late,
        None => Result::Never,
    }
}

/// One group of tasks.
#[derive(Debug, Clone)]
pub struct Group {
    /// What they have in common, such as `class pagina`.
    pub name: String,
    /// How many there were.
    pub due: u64,
    /// How many started.
    pub started: u64,
    /// How many started within their aim.
    pub in_aim: u64,
    /// From when they were due until they started.
    pub latency: Histogram<u64>,
}

impl Group {
    fn new(name: String) -> Group {
        Group {
            name,
            due: 0,
            started: 0,
            in_aim: 0,
            latency: histogram(),
        }
    }

    fn add(&mut self, task: &Task, result: Result) {
        self.due += 1;
        if let Some(after) = task.started {
            self.started += 1;
            self.latency
                .saturating_record(u64::try_from(after).unwrap_or(0).max(1));
        }
        self.in_aim += u64::from(result == Result::InAim);
    }

    /// The share that started within the aim.
    pub fn share(&self) -> f64 {
        if self.due == 0 {
            1.0
        } else {
            self.in_aim as f64 / self.due as f64
        }
    }

    /// The latency that so many of all tasks stayed within; none where too few ever started. A task that never
    /// started is later than any.
    pub fn percentile(&self, part: f64) -> Option<Duration> {
        let rank = (part * self.due as f64).ceil().max(1.0);
        if self.due == 0 || rank > self.started as f64 {
            return None;
        }
        let within = rank / self.started as f64;
        Some(Duration::from_micros(
            self.latency.value_at_quantile(within.min(1.0)),
        ))
    }
}

/// A second of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Second {
    /// Tasks that were due in it.
    pub due: u32,
    /// Tasks that were due in it and started at all.
    pub started: u32,
    /// Tasks of it that started within their aim.
    pub in_aim: u32,
    /// Attempts of tasks that were due in it, beyond the first.
    pub again: u32,
    /// Median latency of those that started, in milliseconds.
    pub p50_ms: f64,
    /// The same for 99 in 100.
    pub p99_ms: f64,
}

/// A run, summed up.
#[derive(Debug, Clone)]
pub struct Summary {
    /// All tasks, then by class, tenant, phase and result.
    pub groups: Vec<Group>,
    /// Second by second of due times.
    pub seconds: Vec<Second>,
    /// How tasks ended for their clients.
    pub fates: BTreeMap<&'static str, u64>,
    /// Broken rules, by name.
    pub broken: BTreeMap<&'static str, usize>,
    /// Whether the plan's aim holds: none where no task was judged.
    pub aim: Option<bool>,
    /// Whether percentiles may be told.
    pub in_time: bool,
}

/// Sums a run up.
pub fn summarize(outcome: &Outcome) -> Summary {
    let plan = &outcome.plan;
    let mut groups: BTreeMap<(u8, String), Group> = BTreeMap::new();
    let mut seconds =
        vec![(Second::default(), histogram()); (outcome.shape.length() / SECOND) as usize + 1];
    let mut fates: BTreeMap<&'static str, u64> = BTreeMap::new();
    for task in &outcome.tasks {
        let result = result(outcome, task);
        let class = plan
            .classes
            .get(task.arrival.class)
            .map_or("", |c| c.name.as_str());
        let tenant = plan
            .tenants
            .get(task.arrival.tenant)
            .map_or("", |t| t.name.as_str());
        let phase = outcome
            .shape
            .phases
            .get(task.phase)
            .map_or("", |p| p.name.as_str());
        let names = [
            (0, "all".to_string()),
            (1, format!("class {class}")),
            (2, format!("tenant {tenant}")),
            (3, format!("phase {phase}")),
            (4, format!("result {}", result.as_str())),
        ];
        for (order, name) in names {
            let group = groups
                .entry((order, name.clone()))
                .or_insert_with(|| Group::new(name));
            group.add(task, result);
        }
        if let Some((second, latency)) = seconds.get_mut((task.arrival.due / SECOND) as usize) {
            second.due += 1;
            second.again += task.attempts.saturating_sub(1);
            second.in_aim += u32::from(result == Result::InAim);
            if let Some(after) = task.started {
                second.started += 1;
                latency.saturating_record(u64::try_from(after).unwrap_or(0).max(1));
            }
        }
        *fates
            .entry(task.fate.map_or("open", Fate::as_str))
            .or_default() += 1;
    }
    let mut broken: BTreeMap<&'static str, usize> = BTreeMap::new();
    for finding in &outcome.findings {
        *broken.entry(finding.rule.as_str()).or_default() += 1;
    }
    let seconds = seconds.into_iter().map(|(second, latency)| Second {
        p50_ms: latency.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: latency.value_at_quantile(0.99) as f64 / 1e3,
        ..second
    });
    let groups: Vec<Group> = groups.into_values().collect();
    let judged = groups
        .iter()
        .find(|g| g.name == format!("class {}", plan.aims.class));
    let aim = judged.map(|group| group.share() >= plan.aims.share);
    Summary {
        seconds: seconds.collect(),
        fates,
        broken,
        aim,
        in_time: outcome.in_time(),
        groups,
    }
}

impl Summary {
    /// A group by name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.name == name)
    }

    /// As text for a terminal. Percentiles are left out where the generator was late itself.
    pub fn text(&self, outcome: &Outcome) -> String {
        let mut text = format!("{}, seed {}\n\n", outcome.plan.name, outcome.plan.seed);
        text.push_str(&format!(
            "{:<28}{:>8}{:>9}{:>9}{:>10}{:>10}{:>10}\n",
            "", "due", "started", "in aim", "p50", "p99", "p99.9"
        ));
        for group in &self.groups {
            let cell = |part: f64| match group.percentile(part) {
                _ if !self.in_time => "-".to_string(),
                Some(latency) => format!("{:.1} ms", latency.as_secs_f64() * 1e3),
                None => "never".to_string(),
            };
            text.push_str(&format!(
                "{:<28}{:>8}{:>9}{:>8.1}%{:>10}{:>10}{:>10}\n",
                group.name,
                group.due,
                group.started,
                100.0 * group.share(),
                cell(0.5),
                cell(0.99),
                cell(0.999)
            ));
        }
        let counts = outcome.counts;
        text.push_str(&format!(
            "\nclients: {} first tries, {} repeats, {} attempts brought nothing, {} presented\n",
            counts.first, counts.again, counts.wasted, counts.presented
        ));
        text.push_str(&outcome.harm.text());
        let late = outcome.lateness.value_at_quantile(0.99) as f64 / 1e3;
        text.push_str(&format!(
            "the generator itself: p99 {late:.2} ms late, at most {:.2} ms\n",
            outcome.lateness.max() as f64 / 1e3
        ));
        if !self.in_time {
            text.push_str(
                "it was later than the plan allows: percentiles would be its own, and are not told\n",
            );
        }
        let peak = outcome.memory_kb.iter().max().copied().unwrap_or(0);
        text.push_str(&format!(
            "placers: at most {:.1} MB of memory\n",
            peak as f64 / 1024.0
        ));
        if self.broken.is_empty() {
            text.push_str(&format!(
                "audit: no rule is broken, by {} notes\n",
                outcome.event_count
            ));
        } else {
            let list: Vec<String> = self
                .broken
                .iter()
                .map(|(rule, n)| format!("{rule} {n}"))
                .collect();
            text.push_str(&format!("audit: BROKEN: {}\n", list.join(", ")));
        }
        if let Some(holds) = self.aim {
            let aims = &outcome.plan.aims;
            let verdict = if holds { "holds" } else { "MISSED" };
            text.push_str(&format!(
                "aim: {:.1} % of {} within their aim: {verdict}\n",
                100.0 * aims.share,
                aims.class
            ));
        }
        if outcome.interrupted {
            text.push_str("ended by a signal: what was done until then\n");
        }
        text
    }

    /// The exit code: 0 good, 1 an aim is missed or a run was ended, 3 a rule is broken, 4 the generator was late.
    pub fn exit_code(&self, outcome: &Outcome) -> u8 {
        if !self.broken.is_empty() {
            3
        } else if !self.in_time {
            4
        } else if self.aim == Some(false) || outcome.interrupted {
            1
        } else {
            0
        }
    }
}

/// Writes latencies as an interval log (version 2, deflated), second by second of due times, tagged by class:
/// what the usual tools for HDR histograms read.
pub fn interval_log(outcome: &Outcome, out: &mut impl Write) -> std::io::Result<()> {
    let mut serializer = V2DeflateSerializer::new();
    let mut log = IntervalLogWriterBuilder::new()
        .add_comment("latency from due to start, microseconds")
        .begin_log_with(out, &mut serializer)?;
    let seconds = outcome.shape.length() / SECOND + 1;
    for second in 0..seconds {
        for (n, class) in outcome.plan.classes.iter().enumerate() {
            let mut histogram = histogram();
            let theirs = outcome
                .tasks
                .iter()
                .filter(|t| t.arrival.class == n && t.arrival.due / SECOND == second);
            for after in theirs.filter_map(|t| t.started) {
                histogram.saturating_record(u64::try_from(after).unwrap_or(0).max(1));
            }
            if histogram.is_empty() {
                continue;
            }
            let (start, length) = (Duration::from_secs(second as u64), Duration::from_secs(1));
            let written = log.write_histogram(&histogram, start, length, Tag::new(&class.name));
            written.map_err(|e| std::io::Error::other(format!("{e:?}")))?;
        }
    }
    Ok(())
}

/// The findings as text, the first so many of each rule.
pub fn findings(outcome: &Outcome, most: usize) -> String {
    let mut text = String::new();
    for rule in Rule::ALL {
        let found: Vec<_> = outcome.findings.iter().filter(|f| f.rule == rule).collect();
        for finding in found.iter().take(most) {
            text.push_str(&format!("{finding}\n"));
        }
        if found.len() > most {
            text.push_str(&format!(
                "{} and {} more\n",
                rule.as_str(),
                found.len() - most
            ));
        }
    }
    text
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::arrivals::arrivals;
    use crate::clients::Counts;
    use crate::plan::Plan;

    /// A run that was never made: each task started after so long.
    pub fn made_up(shape: &str, seed: u64, after: impl Fn(usize) -> Option<Micros>) -> Outcome {
        let plan = Plan::parse(&format!("seed = {seed}\n[arrivals]\nshape = \"{shape}\"\n"))
            .expect("a plan");
        let shape = plan.shape();
        let tasks = arrivals(&plan, &shape)
            .into_iter()
            .enumerate()
            .map(|(n, arrival)| Task {
                key: n as u64,
                phase: 0,
                started: after(n),
                answered: after(n),
                attempts: 1 + n as u32 % 2,
                refused: n as u32 % 2,
                placer: Some(n % 3),
                fate: after(n).map(|_| Fate::Ran),
                arrival,
            });
        Outcome {
            tasks: tasks.collect(),
            plan,
            shape,
            begun: 0,
            ended: 60 * SECOND,
            lateness: histogram(),
            counts: Counts::default(),
            findings: Vec::new(),
            harm: crate::harm::Harm::default(),
            event_count: 0,
            looks: Vec::new(),
            memory_kb: vec![9_000],
            descriptors: vec![40],
            acts: Vec::new(),
            interrupted: false,
        }
    }

    #[test]
    fn percentiles_are_of_all_tasks_and_a_task_that_never_started_is_later_than_any() {
        let outcome = made_up("100/s for 10s", 1, |n| {
            (n % 100 != 0).then_some((n as Micros % 100) * 1_000)
        });
        let summary = summarize(&outcome);
        let all = summary.group("all").expect("a group");
        assert!(all.due > 800 && all.started < all.due);
        assert_eq!(
            all.percentile(0.995),
            None,
            "one in a hundred never started"
        );
        let median = all.percentile(0.5).expect("a latency").as_secs_f64();
        assert!((median - 0.050).abs() < 0.003, "{median}");
        assert!(summary.text(&outcome).contains("never"));
        assert_eq!(summary.aim, Some(false), "99 % of the tasks is not reached");
    }

    #[test]
    fn a_late_generator_tells_no_percentiles_and_says_so_in_its_exit_code() {
        let mut outcome = made_up("10/s for 10s", 1, |_| Some(1_000));
        assert_eq!(summarize(&outcome).exit_code(&outcome), 0);
        outcome.lateness.record_n(500_000, 10).expect("in range");
        let summary = summarize(&outcome);
        assert_eq!((summary.in_time, summary.exit_code(&outcome)), (false, 4));
        let text = summary.text(&outcome);
        assert!(
            !text.contains("1.0 ms") && text.contains("not told"),
            "{text}"
        );
    }

    #[test]
    fn the_interval_log_reads_back_to_the_same_counts() {
        use hdrhistogram::serialization::Deserializer;
        use hdrhistogram::serialization::interval_log::{IntervalLogIterator, LogEntry};
        let outcome = made_up("50/s for 3s", 4, |n| Some(1_000 + n as Micros));
        let mut bytes = Vec::new();
        interval_log(&outcome, &mut bytes).expect("written");
        let (mut count, mut deserializer) = (0, Deserializer::new());
        for entry in IntervalLogIterator::new(&bytes) {
            if let Ok(LogEntry::Interval(interval)) = entry {
                use base64::Engine;
                let encoded = interval.encoded_histogram();
                let raw = base64::engine::general_purpose::STANDARD
                    .decode(encoded)
                    .expect("base64");
                let histogram: Histogram<u64> = deserializer
                    .deserialize(&mut raw.as_slice())
                    .expect("a histogram");
                count += histogram.len();
            }
        }
        assert_eq!(count, outcome.tasks.len() as u64);
    }
}
