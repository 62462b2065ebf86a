//! The command-line interface of the program `scale-test`.

mod sweep;
mod terminal;

use crate::error::RunError;
use crate::results::{self, RunResult};
use crate::run::{admit, descriptor_limit, run};
use crate::sample::ProcSampler;
use crate::settings::{Settings, SettingsArgs, SettingsError};
use crate::sweep::{PlanError, SweepError};
use crate::sweep_runner::{PointError, SweepRunError};
use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use serde::Serialize;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use terminal::Terminal;

/// The exit code if a run failed or was stopped by a signal.
const EXIT_FAILED: u8 = 1;
/// The exit code if the command was rejected before anything started, because it is invalid or needs more resources
/// than the machine has.
const EXIT_REJECTED: u8 = 2;
/// The exit code if a run broke a rule: a task was lost, started twice or answered twice.
const EXIT_RULE_BROKEN: u8 = 3;
/// The exit code if the measurements of a run are unusable.
const EXIT_UNUSABLE: u8 = 4;
/// The file name of the placer's program, by default in the same folder as this program.
const PLACER_PROGRAM: &str = "task-placer";

/// Runs real placers among thousands of simulated workers, and measures the resource usage of each placer every second.
///
/// Exit codes: 0 success, 1 a run failed or was stopped, 2 the command is invalid or needs more resources than the
/// machine has, 3 a rule was broken (a task was lost, started twice or answered twice), 4 the measurements are
/// unusable.
#[derive(Debug, Parser)]
#[command(name = "scale-test", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Perform one run and print its result
    Run(RunArgs),
    /// Check the settings and print the effective values
    Check(SettingsArgs),
    /// Perform many runs that vary one setting at a time, and fit each metric as a function of it
    Sweep(sweep::SweepArgs),
}

#[derive(Debug, Args)]
struct RunArgs {
    #[command(flatten)]
    settings: SettingsArgs,
    /// The placer's program [default: task-placer in the folder of this program]
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the result to this file as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Point(#[from] PointError),
    #[error(transparent)]
    Sweep(SweepError<SweepRunError>),
    #[error("failed to write the result to {path}: {source}")]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("failed to install signal handlers: {0}")]
    Signals(std::io::Error),
}

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Failure {
        Failure::Run(error.into())
    }
}

impl Failure {
    /// Returns the exit code of the program for this failure.
    fn code(&self) -> u8 {
        match self {
            Failure::Plan(_) => EXIT_REJECTED,
            Failure::Run(error) if error.is_rejection() => EXIT_REJECTED,
            Failure::Point(error) if error.source.is_rejection() => EXIT_REJECTED,
            Failure::Sweep(SweepError::Plan(_)) => EXIT_REJECTED,
            Failure::Sweep(SweepError::Run {
                source: SweepRunError::RuleBroken { .. },
                ..
            }) => EXIT_RULE_BROKEN,
            _ => EXIT_FAILED,
        }
    }

    /// Prints the failure to stderr, with one line for each resource of which a run needs more than is available.
    fn print(&self) {
        let (prefix, excesses) = match self {
            Failure::Run(RunError::Budget(error)) => (String::new(), &error.excesses),
            Failure::Point(PointError {
                axis,
                value,
                source: RunError::Budget(error),
            }) => (format!("{axis} {value}: "), &error.excesses),
            _ => return eprintln!("scale-test: {self}"),
        };
        excesses
            .iter()
            .for_each(|excess| eprintln!("scale-test: {prefix}{excess}"));
    }
}

/// Runs the command given on the command line, and returns its exit code.
pub fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return print_usage_error(&error),
    };
    let done = match cli.command {
        Command::Run(args) => run_once(&args),
        Command::Check(args) => check(&args),
        Command::Sweep(args) => sweep::run(&args),
    };
    done.unwrap_or_else(|failure| {
        failure.print();
        ExitCode::from(failure.code())
    })
}

/// Prints help and version texts in full to stdout, and only the first line of any other command-line error to stderr.
fn print_usage_error(error: &clap::Error) -> ExitCode {
    if matches!(
        error.kind(),
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
    ) {
        // If printing fails here, an error message could not be printed either.
        let _ = error.print();
        return ExitCode::SUCCESS;
    }
    let text = error.to_string();
    eprintln!(
        "scale-test: {}",
        text.lines().next().unwrap_or("invalid command line")
    );
    ExitCode::from(EXIT_REJECTED)
}

/// Returns the settings of the command line after checking them and the resources that they need.
fn admitted(args: &SettingsArgs) -> Result<Settings, Failure> {
    let settings = args.settings()?;
    admit(&settings)?;
    Ok(settings)
}

fn check(args: &SettingsArgs) -> Result<ExitCode, Failure> {
    let settings = admitted(args)?;
    print!("{}", settings.to_toml());
    println!("# configured placers: {}", settings.configured_placers());
    println!(
        "# worker capacity: {} tasks",
        settings.max_tasks_per_worker()
    );
    println!(
        "# descriptors needed: at most {} of the {} available to this process",
        settings.descriptors_needed(),
        descriptor_limit()
    );
    Ok(ExitCode::SUCCESS)
}

fn run_once(args: &RunArgs) -> Result<ExitCode, Failure> {
    let settings = admitted(&args.settings)?;
    let program = placer_program_path(args.program.as_ref());
    let mut watcher = Terminal::new().map_err(Failure::Signals)?;
    let result = run(&settings, &program, &mut ProcSampler, &mut watcher);
    watcher.clear();
    let result = result?;
    print!("{}", results::print(&result));
    write_json(args.json.as_deref(), &result)?;
    Ok(ExitCode::from(exit_code(&result)))
}

/// Writes a result as JSON to a file, if a path is given.
fn write_json(path: Option<&Path>, result: &impl Serialize) -> Result<(), Failure> {
    let Some(path) = path else { return Ok(()) };
    let json = serde_json::to_string_pretty(result).map_err(std::io::Error::from);
    let written = json.and_then(|json| fs::write(path, json + "\n"));
    written.map_err(|source| Failure::Write {
        path: path.to_path_buf(),
        source,
    })
}

/// Returns the exit code for the result of a run.
fn exit_code(result: &RunResult) -> u8 {
    if result.fleet.rules_broken() > 0 {
        EXIT_RULE_BROKEN
    } else if !result.usable {
        EXIT_UNUSABLE
    } else {
        0
    }
}

/// Returns the path of the placer's program: `given`, or by default the file in the folder of this program.
fn placer_program_path(given: Option<&PathBuf>) -> PathBuf {
    let default_path = || {
        std::env::current_exe()
            .unwrap_or_default()
            .with_file_name(PLACER_PROGRAM)
    };
    given.cloned().unwrap_or_else(default_path)
}
