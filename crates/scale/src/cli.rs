//! The command line.

use crate::error::RunError;
use crate::sample::ProcSampler;
use crate::results::{self, RunResult};
use crate::run::{Progress, Watcher, own_descriptors, run};
use crate::settings::{Settings, SettingsArgs, SettingsError};
use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use std::fs;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The run could not be carried out, or was ended from outside.
const FAILED: u8 = 1;
/// The settings can't be meant.
const BAD_SETTINGS: u8 = 2;
/// A rule was broken: a task was lost, started twice or answered twice.
const RULE_BROKEN: u8 = 3;
/// The figures are of no use.
const NOT_USABLE: u8 = 4;
/// The placer's program beside this one.
const PROGRAM: &str = "anisehead";

/// Runs real placers among thousands of hollow workers, and tells what each costs by second.
///
/// Exit codes: 0 good, 1 the run failed or was ended, 2 the settings can't be meant, 3 a rule is broken, 4 the
/// figures are of no use.
#[derive(Debug, Parser)]
#[command(name = "anisehead-scale", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run once and print the result
    Run(RunArgs),
    /// Check settings and print what holds
    Check(SettingsArgs),
    // The subcommand of sweeps stands here: one run after the other over a list of settings.
}

#[derive(Debug, Args)]
struct RunArgs {
    #[command(flatten)]
    settings: SettingsArgs,
    /// The placer's program; without it the one beside this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// Write the result there as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Run(#[from] RunError),
    #[error("write the result to {path}: {source}")]
    Write { path: PathBuf, source: std::io::Error },
    #[error("take over signals: {0}")]
    Signals(std::io::Error),
}

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Failure {
        Failure::Run(error.into())
    }
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return refuse(&error),
    };
    let done = match cli.command {
        Command::Run(args) => run_once(&args),
        Command::Check(args) => check(&args),
    };
    match done {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("anisehead-scale: {failure}");
            let bad = matches!(failure, Failure::Run(RunError::Settings(_)));
            ExitCode::from(if bad { BAD_SETTINGS } else { FAILED })
        }
    }
}

/// A command line that can't be meant gets one line; help and version are printed whole.
fn refuse(error: &clap::Error) -> ExitCode {
    if matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion) {
        // There is nobody to tell where even this can't be printed.
        let _ = error.print();
        return ExitCode::SUCCESS;
    }
    let text = error.to_string();
    eprintln!("anisehead-scale: {}", text.lines().next().unwrap_or("bad command line"));
    ExitCode::from(BAD_SETTINGS)
}

fn checked(args: &SettingsArgs) -> Result<Settings, SettingsError> {
    let settings = args.settings()?;
    settings.check(own_descriptors())?;
    Ok(settings)
}

fn check(args: &SettingsArgs) -> Result<ExitCode, Failure> {
    let settings = checked(args)?;
    print!("{}", settings.to_toml());
    println!("# placers stated: {}", settings.stated_placers());
    println!("# room of a worker: {} tasks", settings.room());
    println!(
        "# descriptors needed: at most {} of the {} of this process",
        settings.descriptors_needed(),
        own_descriptors()
    );
    Ok(ExitCode::SUCCESS)
}

fn run_once(args: &RunArgs) -> Result<ExitCode, Failure> {
    let settings = checked(&args.settings)?;
    let program = args.program.clone().unwrap_or_else(program_beside);
    let mut watcher = Terminal::new().map_err(Failure::Signals)?;
    let result = run(&settings, &program, &mut ProcSampler, &mut watcher);
    watcher.clear();
    let result = result?;
    print!("{}", results::print(&result));
    if let Some(path) = &args.json {
        let json = serde_json::to_string_pretty(&result).map_err(std::io::Error::from);
        let written = json.and_then(|json| fs::write(path, json + "\n"));
        written.map_err(|source| Failure::Write { path: path.clone(), source })?;
    }
    Ok(ExitCode::from(verdict(&result)))
}

/// The exit code of a result.
fn verdict(result: &RunResult) -> u8 {
    if result.fleet.rules_broken() > 0 {
        RULE_BROKEN
    } else if !result.usable {
        NOT_USABLE
    } else {
        0
    }
}

/// The placer's program in the folder of this one.
fn program_beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(PROGRAM)
}

/// Shows progress on a terminal, and takes Ctrl-C and SIGTERM as the wish to end.
struct Terminal {
    stop: Arc<AtomicBool>,
    shows: bool,
}

impl Terminal {
    fn new() -> std::io::Result<Terminal> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, stop.clone())?;
        }
        Ok(Terminal { stop, shows: std::io::stderr().is_terminal() })
    }

    fn clear(&self) {
        if self.shows {
            eprint!("\r\x1b[K");
        }
    }
}

impl Watcher for Terminal {
    fn progress(&mut self, progress: &Progress) {
        if !self.shows {
            return;
        }
        let Progress { step, seconds, started, refused, waiting, held, connections } = progress;
        eprint!(
            "\r\x1b[K{step} {seconds} s: {started} started, {refused} refused, {waiting} wait, \
             {held} held, {connections} connections"
        );
        let _ = std::io::stderr().flush();
    }

    fn stop_wanted(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}
