//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::time::Duration;

/// Load tests of real placers among emulated hosts: open-loop arrivals, faults, and a check of every task.
///
/// Exit codes: 0 good, 1 an objective was missed or the run was interrupted, 2 the input is invalid, 3 a rule is
/// violated, 4 the generator itself was late.
#[derive(Debug, Parser)]
#[command(name = "load-test", version, max_term_width = 100)]
pub struct Cli {
    /// What to do.
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
    /// Run two plans over the same seeds, side by side
    Compare {
        /// The first plan
        a: PathBuf,
        /// The second plan
        b: PathBuf,
        /// Seeds to run each with
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Where things are
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Run a plan with each retry policy, over several seeds
    Policies {
        /// The plan
        plan: PathBuf,
        /// Seeds to run each with
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Where things are
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Find the highest rate at which the plan's objective is met
    Knee {
        /// The plan
        plan: PathBuf,
        /// Runs of each rate
        #[arg(long, default_value_t = 3)]
        repeats: u32,
        /// Stop where the knee is known to this fraction
        #[arg(long, default_value_t = 0.1)]
        precision: f64,
        /// No more than so many times the plan's rate
        #[arg(long = "most", value_name = "MOST", default_value_t = 64.0)]
        max_factor: f64,
        /// Where things are
        #[command(flatten)]
        common: CommonArgs,
    },
    /// Convert a trace to another format, cut or scaled
    Trace(TraceArgs),
    /// How many arrivals a second one core makes with a lateness p99 under 1 ms
    Pace {
        /// Seconds at each rate
        #[arg(long, default_value_t = 3)]
        seconds: u64,
    },
    /// Run a program that ends with this one (used for the placers)
    #[command(hide = true)]
    Guard {
        /// The program
        program: PathBuf,
        /// Maximum number of its descriptors
        #[arg(long)]
        descriptors: Option<u64>,
    },
}

/// The commands on plans.
#[derive(Debug, Subcommand)]
pub enum PlanCommand {
    /// Read a plan and report what is wrong with it
    Check {
        /// The plan
        file: PathBuf,
    },
    /// Draw the load profile of its arrivals
    Show {
        /// The plan
        file: PathBuf,
        /// Also write it as SVG
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

/// Where things are.
#[derive(Debug, Args)]
pub struct CommonArgs {
    /// The placer's program
    #[arg(long, default_value = "target/release/task-placer")]
    pub placer: PathBuf,
    /// Where configurations and logs of the placers go
    #[arg(long, default_value = "target/rehearsal")]
    pub folder: PathBuf,
}

/// The arguments of `run`.
#[derive(Debug, Args)]
pub struct RunArgs {
    /// The plan
    pub plan: PathBuf,
    /// Another seed than the plan's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Arrivals of a recorded trace in place of the plan's own
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// How the trace is read
    #[command(flatten)]
    pub reading: ReadingArgs,
    /// Where things are
    #[command(flatten)]
    pub common: CommonArgs,
    /// Print no more than the verdict
    #[arg(long)]
    pub quiet: bool,
}

/// How a trace is read.
#[derive(Debug, Args)]
pub struct ReadingArgs {
    /// Which column of the trace holds what, such as due=ts,class=kind
    #[arg(long, default_value = "")]
    pub columns: String,
    /// Unit of the times in the trace
    #[arg(long, value_enum, default_value_t = UnitArg::Us)]
    pub unit: UnitArg,
    /// Leave out rows that can't be read, and count them
    #[arg(long)]
    pub skip_bad: bool,
}

/// Units of times.
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
    /// The trace: .csv, .jsonl or .parquet
    pub from: PathBuf,
    /// Where to write it: .csv, .jsonl or .parquet
    pub to: PathBuf,
    /// The plan whose classes, tenants and zones it names
    #[arg(long)]
    pub plan: Option<PathBuf>,
    /// How the trace is read
    #[command(flatten)]
    pub reading: ReadingArgs,
    /// Begin here
    #[arg(long, value_parser = humantime::parse_duration)]
    pub cut_from: Option<Duration>,
    /// End here
    #[arg(long, value_parser = humantime::parse_duration)]
    pub cut_to: Option<Duration>,
    /// Factor on all times
    #[arg(long = "time", value_name = "TIME", default_value_t = 1.0)]
    pub time_factor: f64,
    /// Factor on the number of arrivals
    #[arg(long = "rate", value_name = "RATE", default_value_t = 1.0)]
    pub rate_factor: f64,
}
