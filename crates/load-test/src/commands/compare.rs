//! `compare` and `policies`: run plans over several seeds and print their metrics side by side.

use super::{CommandError, Progress, print_error_line, print_line, run_options};
use crate::cli::CommonArgs;
use load_test::clients::RetryPolicy;
use load_test::load_profile::{Micros, Phase};
use load_test::outcome::Outcome;
use load_test::plan::Plan;
use load_test::results::{SecondSummary, summarize};
use load_test::run::run;
use load_test::search::{Metric, Samples, collect_samples, compare, compared_metrics};

const SECOND: Micros = 1_000_000;

pub(super) fn compare_plans(
    a: &Plan,
    b: &Plan,
    seeds: u64,
    common: &CommonArgs,
) -> Result<u8, CommandError> {
    let names = if a.name == b.name {
        ["A", "B"]
    } else {
        [a.name.as_str(), b.name.as_str()]
    };
    let a = collect_samples(&run_over_seeds(a, seeds, common)?);
    let b = collect_samples(&run_over_seeds(b, seeds, common)?);
    print_line(&comparison_text(names, &a, &b));
    Ok(0)
}

fn comparison_text(names: [&str; 2], a: &[Samples], b: &[Samples]) -> String {
    let mut text = format!("{:<44}{:>22}{:>22}  \n", "", names[0], names[1]);
    for a in a {
        let Some(b) = b.iter().find(|b| b.name == a.name) else {
            continue;
        };
        text.push_str(&format!(
            "{:<44}{:>22}{:>22}  {}\n",
            a.name,
            samples_text(a),
            samples_text(b),
            compare(a, b).as_str()
        ));
    }
    text
}

fn samples_text(samples: &Samples) -> String {
    format!("{:.2} ± {:.2}", samples.mean(), samples.deviation())
}

pub(super) fn compare_policies(
    plan: &Plan,
    seeds: u64,
    common: &CommonArgs,
) -> Result<u8, CommandError> {
    let mut columns = Vec::new();
    for policy in RetryPolicy::ALL {
        let mut plan = plan.clone();
        plan.clients.retry_policy = policy;
        plan.name = policy.as_str().to_string();
        columns.push(collect_samples(&run_over_seeds(&plan, seeds, common)?));
    }
    let mut text = format!("{:<44}", "");
    for policy in RetryPolicy::ALL {
        text.push_str(&format!("{:>20}", policy.as_str()));
    }
    text.push('\n');
    for (row, metric) in columns.first().into_iter().flatten().enumerate() {
        text.push_str(&format!("{:<44}", metric.name));
        for samples in &columns {
            let cell = samples.get(row).map_or_else(String::new, samples_text);
            text.push_str(&format!("{cell:>20}"));
        }
        text.push('\n');
    }
    print_line(&text);
    Ok(0)
}

fn run_over_seeds(
    plan: &Plan,
    seeds: u64,
    common: &CommonArgs,
) -> Result<Vec<Vec<Metric>>, CommandError> {
    let mut runs = Vec::new();
    for n in 0..seeds.max(1) {
        let plan = Plan {
            seed: plan.seed + n,
            ..plan.clone()
        };
        let outcome = run(&plan, &run_options(common, Progress::Show))?;
        let summary = summarize(&outcome);
        print_error_line(&format!(
            "{}, seed {}: exit {}",
            plan.name,
            plan.seed,
            summary.exit_code(&outcome)
        ));
        let mut metrics = compared_metrics(&summary);
        metrics.extend(cost_metrics(&outcome, &summary.seconds));
        runs.push(metrics);
    }
    Ok(runs)
}

/// Returns metrics of the cost of retries, and of the time that the deployment takes to recover after the peak.
fn cost_metrics(outcome: &Outcome, seconds: &[SecondSummary]) -> Vec<Metric> {
    let counts = outcome.counts;
    let first_attempts = counts.first_attempts.max(1) as f64;
    let impact = &outcome.impact;
    vec![
        Metric::new(
            "attempts beyond the first, a task",
            counts.retries as f64 / first_attempts,
        ),
        Metric::new(
            "attempts that brought nothing, a task",
            counts.failed_attempts as f64 / first_attempts,
        ),
        Metric::new(
            "seconds until all is well after the peak",
            recovery_seconds(outcome, seconds) as f64,
        ),
        Metric::new("offers, a task", impact.offers_per_task()),
        Metric::new(
            "refused offers",
            impact.total(|second| second.rejected_offers) as f64,
        ),
        Metric::new(
            "offers in vain",
            impact.total(|second| second.abandoned_offers) as f64,
        ),
        Metric::new(
            "most returns in a second",
            f64::from(impact.max_per_second(|second| second.retries)),
        ),
    ]
}

/// Returns the seconds from the end of the phase with the highest rate until at least nine in ten tasks start within
/// their objective in every second of the rest of the run.
fn recovery_seconds(outcome: &Outcome, seconds: &[SecondSummary]) -> usize {
    let middle_rate = |phase: &Phase| outcome.profile.rate(phase.start + phase.length / 2);
    let peak = outcome
        .profile
        .phases
        .iter()
        .max_by(|a, b| middle_rate(a).total_cmp(&middle_rate(b)));
    let from = peak.map_or(0, |phase| (phase.start + phase.length) / SECOND) as usize;
    let missed =
        |second: &SecondSummary| second.due > 0 && second.within_objective * 10 < second.due * 9;
    seconds
        .iter()
        .enumerate()
        .skip(from)
        .filter(|(_, second)| missed(second))
        .map(|(n, _)| n + 1 - from)
        .max()
        .unwrap_or(0)
}
