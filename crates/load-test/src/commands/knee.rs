//! `knee`: finds the highest rate at which the objective of a plan is met.

use super::{CommandError, Progress, print_error_line, print_line, run_options};
use crate::cli::CommonArgs;
use load_test::arrivals::arrivals;
use load_test::load_profile::LoadProfile;
use load_test::plan::Plan;
use load_test::results::{findings_text, summarize};
use load_test::run::run_arrivals;
use load_test::search::KneeSearch;

pub(super) fn find_knee(
    plan: &Plan,
    mut search: KneeSearch,
    common: &CommonArgs,
) -> Result<u8, CommandError> {
    let profile = plan.load_profile();
    let max_rate = profile.max_rate();
    while let Some(factor) = search.next_factor() {
        let runs = search.runs_per_trial();
        let passes = run_trial(plan, &profile, factor, runs, common)?;
        search.record_trial(factor, passes, runs);
        print_line(&format!(
            "{factor:>7.2} times, up to {:>8.1}/s: objective met in {passes} of {runs} runs",
            max_rate * factor
        ));
    }
    let (low, high) = search.bounds();
    match high {
        Some(high) => print_line(&format!(
            "knee between {:.1}/s and {:.1}/s; {:.0} % of the runs agree with the verdict on their rate",
            max_rate * low,
            max_rate * high,
            100.0 * search.agreement()
        )),
        None => print_line(&format!(
            "the objective is met up to {:.1}/s, the maximum rate of the search",
            max_rate * low
        )),
    }
    Ok(0)
}

/// Runs a plan several times at a multiple of its rate. Returns the number of runs that met the objective without a
/// violation of a rule.
fn run_trial(
    plan: &Plan,
    profile: &LoadProfile,
    factor: f64,
    runs: u32,
    common: &CommonArgs,
) -> Result<u32, CommandError> {
    let mut passes = 0;
    for n in 0..runs {
        let plan = Plan {
            seed: plan.seed + u64::from(n),
            ..plan.clone()
        };
        let scaled = profile.scaled(factor);
        let arrivals = arrivals(&plan, &scaled);
        let options = run_options(common, Progress::Hide);
        let outcome = run_arrivals(&plan, scaled, &arrivals, &options)?;
        let summary = summarize(&outcome);
        if !summary.generator_in_time {
            return Err(CommandError::GeneratorLate { factor });
        }
        let no_findings = outcome.findings.is_empty();
        if !no_findings {
            print_error_line(&findings_text(&outcome, 1));
        }
        passes += u32::from(summary.objective_met == Some(true) && no_findings);
    }
    Ok(passes)
}
