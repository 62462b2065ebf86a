//! Tests of summaries and interval logs, and a simulated outcome that the tests of other modules use too.

use super::*;
use crate::arrivals::arrivals;
use crate::clients::Counts;
use crate::overload_impact::OverloadImpact;
use crate::plan::Plan;

/// Returns the outcome of a simulated run with the arrivals of a load profile. `start_latency` returns the latency of
/// the n-th task, or `None` if the task never starts.
pub(crate) fn simulated_outcome(
    profile: &str,
    seed: u64,
    start_latency: impl Fn(usize) -> Option<Micros>,
) -> Outcome {
    let plan = Plan::parse(&format!(
        "seed = {seed}\n[arrivals]\nshape = \"{profile}\"\n"
    ))
    .expect("valid plan");
    let profile = plan.load_profile();
    let tasks = arrivals(&plan, &profile)
        .into_iter()
        .enumerate()
        .map(|(n, arrival)| TaskRecord {
            key: n as u64,
            phase: 0,
            start_latency: start_latency(n),
            answer_latency: start_latency(n),
            attempts: 1 + n as u32 % 2,
            rejections: n as u32 % 2,
            placer: Some(n % 3),
            fate: start_latency(n).map(|_| Fate::Completed),
            arrival,
        });
    Outcome {
        tasks: tasks.collect(),
        plan,
        profile,
        start: 0,
        end: 60 * SECOND,
        lateness: latency_histogram(),
        counts: Counts::default(),
        findings: Vec::new(),
        impact: OverloadImpact::default(),
        event_count: 0,
        load_samples: Vec::new(),
        peak_memory_kb: vec![9_000],
        peak_descriptors: vec![40],
        actions: Vec::new(),
        interrupted: false,
    }
}

#[test]
fn percentiles_count_tasks_that_never_started_as_latest() {
    let outcome = simulated_outcome("100/s for 10s", 1, |n| {
        (n % 100 != 0).then_some((n as Micros % 100) * 1_000)
    });
    let summary = summarize(&outcome);
    let all = summary.group("all").expect("group of all tasks");
    assert!(all.due > 800 && all.started < all.due);
    assert_eq!(
        all.percentile(0.995),
        None,
        "one task in a hundred never started"
    );
    let median = all.percentile(0.5).expect("median latency").as_secs_f64();
    assert!((median - 0.050).abs() < 0.003, "{median}");
    assert!(summary_text(&summary, &outcome).contains("never"));
    assert_eq!(
        summary.objective_met,
        Some(false),
        "fewer than 99 % of the tasks started within the objective"
    );
}

#[test]
fn late_generator_reports_no_percentiles_and_a_distinct_exit_code() {
    let mut outcome = simulated_outcome("10/s for 10s", 1, |_| Some(1_000));
    assert_eq!(summarize(&outcome).exit_code(&outcome), 0);
    outcome
        .lateness
        .record_n(500_000, 10)
        .expect("lateness in range");
    let summary = summarize(&outcome);
    assert_eq!(
        (summary.generator_in_time, summary.exit_code(&outcome)),
        (false, 4)
    );
    let text = summary_text(&summary, &outcome);
    assert!(
        !text.contains("1.0 ms") && text.contains("not reported"),
        "{text}"
    );
}

#[test]
fn interval_log_reads_back_to_the_same_counts() {
    use hdrhistogram::serialization::Deserializer;
    use hdrhistogram::serialization::interval_log::{IntervalLogIterator, LogEntry};
    let outcome = simulated_outcome("50/s for 3s", 4, |n| Some(1_000 + n as Micros));
    let mut bytes = Vec::new();
    write_interval_log(&outcome, &mut bytes).expect("writing the interval log");
    let (mut count, mut deserializer) = (0, Deserializer::new());
    for entry in IntervalLogIterator::new(&bytes) {
        if let Ok(LogEntry::Interval(interval)) = entry {
            use base64::Engine;
            let encoded = interval.encoded_histogram();
            let raw = base64::engine::general_purpose::STANDARD
                .decode(encoded)
                .expect("valid base64");
            let histogram: Histogram<u64> = deserializer
                .deserialize(&mut raw.as_slice())
                .expect("valid histogram");
            count += histogram.len();
        }
    }
    assert_eq!(count, outcome.tasks.len() as u64);
}
