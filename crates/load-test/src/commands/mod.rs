//! The subcommands of the program. Each returns the exit code.

mod compare;
mod knee;
mod pace;
mod run;
mod trace;

use crate::cli::{Command, CommonArgs, PlanCommand};
use load_test::plan::{Plan, PlanError};
use load_test::report::{PlotError, ReportError, profile_svg, profile_text};
use load_test::report_table::{InvalidColumns, TableError};
use load_test::run::{Options, RunError};
use load_test::search::KneeSearch;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A plan is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A run could not be carried out.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A table can't be read or written.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The mapping of the columns of a trace is invalid.
    #[error(transparent)]
    Columns(#[from] InvalidColumns),
    /// The report could not be made.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A file can't be written.
    #[error("{}: {source}", file.display())]
    Write {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A factor on the times or the rate of a trace is out of range.
    #[error("--time must be greater than 0, and --rate 0 or more")]
    InvalidFactor,
    /// The generator was late in a run of the search for the knee, so the result of the run is not meaningful.
    #[error(
        "the generator was late at {factor:.2} times the rate of the plan: this machine cannot determine the result"
    )]
    GeneratorLate {
        /// The factor on the plan's rate.
        factor: f64,
    },
    /// The guarded program could not be run.
    #[error("{0}")]
    Guard(std::io::Error),
}

/// Executes a command and returns the exit code.
pub fn execute(command: Command) -> Result<u8, CommandError> {
    match command {
        Command::Plan(command) => plan(command),
        Command::Run(args) => run::run(&args),
        Command::Compare {
            a,
            b,
            seeds,
            common,
        } => compare::compare_plans(&Plan::load(&a)?, &Plan::load(&b)?, seeds, &common),
        Command::Policies {
            plan,
            seeds,
            common,
        } => compare::compare_policies(&Plan::load(&plan)?, seeds, &common),
        Command::Knee {
            plan,
            repeats,
            precision,
            max_factor,
            common,
        } => knee::find_knee(
            &Plan::load(&plan)?,
            KneeSearch::new(repeats, precision, max_factor),
            &common,
        ),
        Command::Trace(args) => trace::convert(&args),
        Command::Pace { seconds } => pace::measure(seconds),
        Command::Guard {
            program,
            descriptors,
        } => Err(CommandError::Guard(emulator::supervisor::guard(
            &program,
            descriptors,
        ))),
    }
}

fn plan(command: PlanCommand) -> Result<u8, CommandError> {
    match command {
        PlanCommand::Check { file } => {
            let profile = Plan::load(&file)?.load_profile();
            print_line(&format!(
                "good: {:.0} s, about {:.0} tasks",
                profile.length() as f64 / 1e6,
                profile.expected(profile.length())
            ));
        }
        PlanCommand::Show { file, svg } => {
            let profile = Plan::load(&file)?.load_profile();
            print_line(profile_text(&profile).trim_end());
            if let Some(file) = svg {
                write_file(&file, profile_svg(&profile)?.as_bytes())?;
            }
        }
    }
    Ok(0)
}

/// Prints a line to standard output. Errors, such as a closed pipe, are ignored.
fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a line to standard error. Errors, such as a closed pipe, are ignored.
fn print_error_line(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

fn write_file(file: &Path, bytes: &[u8]) -> Result<(), CommandError> {
    std::fs::write(file, bytes).map_err(write_error(file))
}

/// Returns a function that adds the file to an error of the operating system.
fn write_error(file: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    let file = file.to_path_buf();
    move |source| CommandError::Write { file, source }
}

/// Whether a run shows its progress on standard error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Progress is shown if standard error is a terminal.
    Show,
    /// Progress is not shown.
    Hide,
}

fn run_options(common: &CommonArgs, progress: Progress) -> Options {
    Options {
        placer: common.placer.clone(),
        guard: std::env::current_exe().ok(),
        folder: common.folder.clone(),
        progress: progress == Progress::Show && std::io::stderr().is_terminal(),
    }
}
