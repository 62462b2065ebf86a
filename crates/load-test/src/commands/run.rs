//! `run`: runs a plan once, and writes the report and the result files.

use super::{CommandError, Progress, print_line, run_options, trace, write_error, write_file};
use crate::cli::RunArgs;
use load_test::load_profile::{LoadProfile, Phase, RateCurve};
use load_test::outcome::Outcome;
use load_test::plan::Plan;
use load_test::report::html;
use load_test::report_table::{Trace, write_tasks};
use load_test::results::{
    Summary, findings_text, impact_table, summarize, summary_text, write_interval_log,
};
use load_test::run::{run as run_plan, run_arrivals};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

/// Number of lines at the end of the summary that are printed with `--quiet`.
const VERDICT_LINES: usize = 3;
/// Maximum number of findings of each rule that are printed.
const PRINTED_FINDINGS: usize = 3;

pub(super) fn run(args: &RunArgs) -> Result<u8, CommandError> {
    let mut plan = Plan::load(&args.plan)?;
    plan.seed = args.seed.unwrap_or(plan.seed);
    let progress = if args.quiet {
        Progress::Hide
    } else {
        Progress::Show
    };
    let options = run_options(&args.common, progress);
    let outcome = match &args.trace {
        Some(file) => {
            let trace = trace::read(&args.reading, file, &plan)?;
            run_arrivals(&plan, trace_profile(&trace), &trace.arrivals, &options)?
        }
        None => run_plan(&plan, &options)?,
    };
    let summary = summarize(&outcome);
    write_results(&outcome, &summary, &args.common.folder)?;
    let text = summary_text(&summary, &outcome);
    if args.quiet {
        print_line(&last_lines(&text, VERDICT_LINES));
    } else {
        print_line(&text);
        let report = args.common.folder.join("report.html");
        print_line(&format!("report: {}", report.display()));
    }
    if !outcome.findings.is_empty() {
        print_line(&findings_text(&outcome, PRINTED_FINDINGS));
    }
    Ok(summary.exit_code(&outcome))
}

/// Returns the load profile of a trace, for the report: one phase that is as long as the trace, at its mean rate.
fn trace_profile(trace: &Trace) -> LoadProfile {
    let length = trace.arrivals.last().map_or(1, |arrival| arrival.due + 1);
    let rate = trace.arrivals.len() as f64 * 1e6 / length as f64;
    LoadProfile {
        phases: vec![Phase {
            name: "trace".into(),
            start: 0,
            length,
            curve: RateCurve::Constant(rate),
        }],
    }
}

fn last_lines(text: &str, count: usize) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let from = lines.len().saturating_sub(count);
    lines.get(from..).unwrap_or_default().join("\n")
}

/// Writes the report and the result files of a run to a folder.
fn write_results(outcome: &Outcome, summary: &Summary, folder: &Path) -> Result<(), CommandError> {
    let page = html(outcome, summary)?;
    write_file(&folder.join("report.html"), page.as_bytes())?;
    let findings = findings_text(outcome, usize::MAX);
    write_file(&folder.join("audit.txt"), findings.as_bytes())?;
    let impact = impact_table(&outcome.impact, &summary.seconds);
    write_file(&folder.join("harm.txt"), impact.as_bytes())?;
    write_tasks(&folder.join("tasks.parquet"), outcome)?;
    let file = folder.join("latency.hlog");
    let mut output = BufWriter::new(File::create(&file).map_err(write_error(&file))?);
    write_interval_log(outcome, &mut output)
        .and_then(|()| output.flush())
        .map_err(write_error(&file))
}
