//! Definition of the command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::time::Duration;

/// Load tests of real placers among emulated hosts: open-loop arrivals, faults, and a check of every task
/// against the rules.
///
/// Exit codes: 0 success, 1 an objective was missed or the run was interrupted, 2 the input is invalid, 3 a rule was
/// violated, 4 the load generator itself was late.
#[derive(Debug, Parser)]
#[command(name = "load-test", version, max_term_width = 100)]
pub struct Cli {
    /// The command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a plan or show the load profile of its arrivals
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Run a plan and write its report
    Run(RunArgs),
    /// Run two plans with the same seeds and compare their results
    Compare {
        /// The first plan
        a: PathBuf,
        /// The second plan
        b: PathBuf,
        /// Number of seeds to run each plan with
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Paths of the placer and its files
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Run a plan with each retry policy and several seeds, and compare the results
    Policies {
        /// The plan
        plan: PathBuf,
        /// Number of seeds to run each policy with
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Paths of the placer and its files
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Find the highest rate at which the plan's objective is met
    Knee {
        /// The plan
        plan: PathBuf,
        /// Number of runs at each rate
        #[arg(long, default_value_t = 3)]
        repeats: u32,
        /// Stop when the knee is known to within this fraction of its upper bound
        #[arg(long, default_value_t = 0.1)]
        precision: f64,
        /// Highest rate to try, as a multiple of the plan's rate
        #[arg(long = "most", value_name = "MOST", default_value_t = 64.0)]
        max_factor: f64,
        /// Paths of the placer and its files
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Convert a trace to another format, optionally cut or scaled
    Trace(TraceArgs),
    /// Measure how many arrivals per second one core generates with a p99 lateness below 1 ms
    Pace {
        /// Duration of the measurement at each rate, in seconds
        #[arg(long, default_value_t = 3)]
        seconds: u64,
    },
    /// Run a program that is killed when the caller of this command ends (used for the placers)
    #[command(hide = true)]
    Guard {
        /// The program to run
        program: PathBuf,
        /// Maximum number of file descriptors that the program may open
        #[arg(long)]
        descriptors: Option<u64>,
    },
}

/// The commands on plans.
#[derive(Debug, Subcommand)]
pub enum PlanCommand {
    /// Check a plan and report all invalid values
    Check {
        /// The plan
        file: PathBuf,
    },
    /// Draw the load profile of a plan's arrivals
    Show {
        /// The plan
        file: PathBuf,
        /// File to write the drawing to as SVG as well
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

/// The paths that several commands use.
#[derive(Debug, Args)]
pub struct CommonArgs {
    /// The placer's executable
    #[arg(long, default_value = "target/release/task-placer")]
    pub placer: PathBuf,
    /// Folder for the configurations and logs of the placers
    #[arg(long, default_value = "target/rehearsal")]
    pub folder: PathBuf,
}

/// The arguments of `run`.
#[derive(Debug, Args)]
pub struct RunArgs {
    /// The plan
    pub plan: PathBuf,
    /// Seed to use instead of the plan's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Trace whose recorded arrivals replace those of the plan
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// Columns, units and handling of bad rows
    #[command(flatten)]
    pub reading: ReadingArgs,
    /// Paths of the placer and its files
    #[command(flatten)]
    pub common: CommonArgs,
    /// Print only the verdict
    #[arg(long)]
    pub quiet: bool,
}

/// How a trace is read.
#[derive(Debug, Args)]
pub struct ReadingArgs {
    /// Names of the trace's columns where they differ from the fields, such as due=ts,class=kind
    #[arg(long, default_value = "")]
    pub columns: String,
    /// Unit of the times in the trace
    #[arg(long, value_enum, default_value_t = UnitArg::Us)]
    pub unit: UnitArg,
    /// Skip and count rows that cannot be read, instead of failing
    #[arg(long)]
    pub skip_bad: bool,
}

/// Units of the times in a trace.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum UnitArg {
    /// Microseconds.
    #[value(help = None)]
    Us,
    /// Milliseconds.
    #[value(help = None)]
    Ms,
    /// Seconds.
    #[value(help = None)]
    S,
}

/// The arguments of `trace`.
#[derive(Debug, Args)]
pub struct TraceArgs {
    /// The trace to convert: .csv, .jsonl or .parquet
    pub from: PathBuf,
    /// The file to write: .csv, .jsonl or .parquet
    pub to: PathBuf,
    /// The plan that defines the classes, tenants and zones in the trace
    #[arg(long)]
    pub plan: Option<PathBuf>,
    /// Columns, units and handling of bad rows
    #[command(flatten)]
    pub reading: ReadingArgs,
    /// Time at which the part to keep begins, such as 30s
    #[arg(long, value_parser = humantime::parse_duration)]
    pub cut_from: Option<Duration>,
    /// Time at which the part to keep ends, such as 90s
    #[arg(long, value_parser = humantime::parse_duration)]
    pub cut_to: Option<Duration>,
    /// Factor to multiply all times by
    #[arg(long = "time", value_name = "TIME", default_value_t = 1.0)]
    pub time_factor: f64,
    /// Factor to multiply the number of arrivals by
    #[arg(long = "rate", value_name = "RATE", default_value_t = 1.0)]
    pub rate_factor: f64,
}
