//! The command `sweep`, which performs many runs that vary one setting at a time.

use super::terminal::Terminal;
use super::{EXIT_UNUSABLE, Failure, placer_program_path, write_json};
use crate::sample::ProcSampler;
use crate::settings::{Settings, SettingsError};
use crate::sweep::{Axis, AxisPlan, SweepError, SweepPlan, SweepReport, sweep};
use crate::sweep_runner::{ScaleRunner, SweepRunError, admit_all, base_of, default_axis};
use clap::Args;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use strum::IntoEnumIterator;

/// The plan that is used if the command line names none.
const DEFAULT_PLAN: &str = include_str!("../../plans/sweep.toml");
/// The name of the default plan in reports.
const DEFAULT_PLAN_NAME: &str = "sweep.toml";
/// The warm-up of each run. It can be short because tasks start within a fraction of a second, and it should be short
/// because a sweep makes many runs.
const WARM_UP: Duration = Duration::from_secs(3);

/// The command-line options of a sweep.
#[derive(Debug, Args)]
pub struct SweepArgs {
    /// A TOML file with the settings of the base point [default: the packaged plan sweep.toml]
    plan: Option<PathBuf>,
    /// The setting to vary: workers, standing, rate, events; may be given several times [default: all]
    #[arg(long = "axis", value_name = "AXIS", value_parser = parse_axis)]
    axes: Vec<Axis>,
    /// The values of the varied setting, at least four; requires exactly one --axis
    #[arg(
        long,
        value_name = "A,B,C,D",
        value_delimiter = ',',
        allow_hyphen_values = true
    )]
    values: Vec<f64>,
    /// The number of runs at each value
    #[arg(long, default_value_t = 3)]
    repeats: u32,
    /// Set any setting of the base point, such as `--set workers=2000 --set life=60s`; takes precedence over the file
    #[arg(long = "set", value_name = "NAME=VALUE")]
    set: Vec<String>,
    /// The placer's program [default: task-placer in the folder of this program]
    #[arg(long)]
    program: Option<PathBuf>,
    /// The duration of the measurement in each run, in seconds
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Write the report to this file as JSON; if a run fails, write a partial report of the runs before it
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// The error for the name of an axis that does not exist.
#[derive(Debug, thiserror::Error)]
#[error("expected one of {}", .expected.join(", "))]
struct UnknownAxis {
    /// The names of all axes.
    expected: Vec<String>,
}

/// Parses the name of an axis.
fn parse_axis(name: &str) -> Result<Axis, UnknownAxis> {
    name.parse().map_err(|_| UnknownAxis {
        expected: Axis::iter().map(|axis| axis.to_string()).collect(),
    })
}

impl SweepArgs {
    /// Returns the settings of the base point.
    fn settings(&self) -> Result<Settings, SettingsError> {
        let mut settings = match &self.plan {
            Some(path) => Settings::load(path)?,
            None => Settings::parse(DEFAULT_PLAN)?,
        };
        settings.duration = Duration::from_secs(self.seconds);
        settings.warm_up = WARM_UP;
        settings.set_pairs(&self.set)?;
        Ok(settings)
    }

    /// Returns the plan of a sweep that varies settings around this base point.
    fn sweep_plan(&self, settings: &Settings) -> Result<SweepPlan, SettingsError> {
        let axes = match (self.values.as_slice(), self.axes.as_slice()) {
            ([], []) => Axis::iter()
                .map(|axis| default_axis(settings, axis))
                .collect(),
            ([], named) => named
                .iter()
                .map(|axis| default_axis(settings, *axis))
                .collect(),
            (values, [axis]) => vec![AxisPlan {
                axis: *axis,
                values: values.to_vec(),
            }],
            (_, named) => {
                let found = format!("{} axes", named.len());
                return Err(SettingsError::new("--values", "exactly one --axis", found));
            }
        };
        let name = self
            .plan
            .as_deref()
            .unwrap_or(Path::new(DEFAULT_PLAN_NAME))
            .display()
            .to_string();
        Ok(SweepPlan {
            base: base_of(settings, &name),
            axes,
            repeats: self.repeats,
        })
    }
}

/// Performs a sweep, prints its report, and returns the exit code.
pub fn run(args: &SweepArgs) -> Result<ExitCode, Failure> {
    let settings = args.settings()?;
    let plan = args.sweep_plan(&settings)?;
    plan.check()?;
    admit_all(&plan, &settings)?;
    let swept = sweep_with_terminal(&plan, settings, placer_program_path(args.program.as_ref()))?;
    let json = args.json.as_deref();
    match swept {
        Ok(report) => {
            print!("{report}");
            write_json(json, &report)?;
            Ok(ExitCode::from(exit_code(&report)))
        }
        Err(error) => {
            if let SweepError::Run { before, .. } = &error {
                // The caller prints the error of the run. An error in writing the partial report is printed here.
                write_json(json, before).unwrap_or_else(|failure| failure.print());
            }
            Err(Failure::Sweep(error))
        }
    }
}

/// The outcome of a sweep that was started.
type Swept = Result<SweepReport, SweepError<SweepRunError>>;

fn sweep_with_terminal(
    plan: &SweepPlan,
    settings: Settings,
    program: PathBuf,
) -> Result<Swept, Failure> {
    let terminal = Terminal::new().map_err(Failure::Signals)?;
    let mut watcher = terminal.clone();
    let mut runner = ScaleRunner {
        settings,
        program,
        sampler: &mut ProcSampler,
        watcher: &mut watcher,
    };
    let swept = sweep(plan, &mut runner, &mut |progress| {
        terminal.sweep_progress(progress)
    });
    terminal.clear();
    Ok(swept)
}

/// Returns the exit code for a report. The report is unusable if an axis has too few usable runs for any fit.
fn exit_code(report: &SweepReport) -> u8 {
    if report.axes.iter().all(|axis| axis.is_fitted()) {
        0
    } else {
        EXIT_UNUSABLE
    }
}
