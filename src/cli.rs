//! The command line: its words, and which function runs for them.

mod call;
mod check;
mod conflicts;
mod serve;

use crate::ctl;
use crate::operator::{self, Loaded, LogFormat, LogLevel};
use crate::terminal::complain;
use clap::builder::PossibleValuesParser;
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use task_placer::operation::admin::AdminCommand;

/// A task placer: places each task of its clients on one host at a time, and sends exactly one final response.
///
/// Without a command it serves on the configuration that LB_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "task-placer", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Files,
    #[command(flatten)]
    log: LogArgs,
}

#[derive(Debug, Args)]
struct Files {
    /// The deployment's configuration, JSON
    #[arg(long, value_name = "FILE", env = "LB_CONFIG", global = true)]
    config: Option<PathBuf>,
    /// The operator's file, TOML; without one nothing that it could switch on is on
    #[arg(long, value_name = "FILE", env = "TASK_PLACER_OPERATOR", global = true)]
    operator: Option<PathBuf>,
}

/// The former name of `TASK_PLACER_OPERATOR`, still read for installations that set it.
const FORMER_OPERATOR_VARIABLE: &str = "ANISEHEAD_OPERATOR";

impl Files {
    /// Takes the operator's file from the variable's former name if nothing else names it, with a warning.
    fn apply_former_variable(&mut self) {
        if self.operator.is_some() {
            return;
        }
        if let Some(path) = std::env::var_os(FORMER_OPERATOR_VARIABLE) {
            complain(&format!(
                "task-placer: warning: {FORMER_OPERATOR_VARIABLE} is the former name of TASK_PLACER_OPERATOR"
            ));
            self.operator = Some(path.into());
        }
    }

    /// Reads the operator's file, or returns the defaults where there is none.
    fn load_operator(&self) -> Loaded {
        self.operator
            .as_deref()
            .map_or_else(Loaded::default, operator::load)
    }
}

#[derive(Debug, Args)]
struct LogArgs {
    /// The format of log lines; overrides the operator's file
    #[arg(long, value_enum, global = true)]
    log_format: Option<LogFormat>,
    /// What is logged; overrides the operator's file
    #[arg(long, value_enum, global = true)]
    log_level: Option<LogLevel>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM (the same as no command)
    Serve,
    /// Read both files and print each value in force with its origin, or every error found
    Check,
    /// Send a command to a running placer, or ask for its state
    #[command(subcommand)]
    Ctl(CtlCommand),
    /// Send an admin command to a process of a placer, and print its reply
    Call {
        /// Its address, `admin` in its configuration
        #[arg(long, value_name = "ADDRESS", env = "LB_ADMIN")]
        at: SocketAddr,
        /// The command
        #[arg(value_parser = PossibleValuesParser::new(AdminCommand::ALL.map(|(word, _)| word)))]
        call: String,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum CtlCommand {
    /// Notify load balancers to send nothing new, and finish what is in hand; the process goes on
    Drain(ctl::Target),
    /// End a drain or maintenance: load balancers restore its share slowly
    Ready(ctl::Target),
    /// Go out of service: load balancers send nothing and stop checking
    Maint(ctl::Target),
    /// Print what is shed, retried and checked, and each host's concurrency limit
    Overload {
        #[command(flatten)]
        target: ctl::Target,
        /// As JSON, as the socket gave it
        #[arg(long)]
        json: bool,
    },
    /// Print state, weight, and how each signal contributes to it
    State {
        #[command(flatten)]
        target: ctl::Target,
        /// As JSON, as the socket gave it
        #[arg(long)]
        json: bool,
    },
}

impl CtlCommand {
    /// Sends the command to the placer, and returns the exit code.
    fn run(&self, operator_file: Option<&Path>) -> ExitCode {
        let (command, target, json) = match self {
            CtlCommand::Drain(target) => (ctl::Command::Drain, target, false),
            CtlCommand::Ready(target) => (ctl::Command::Ready, target, false),
            CtlCommand::Maint(target) => (ctl::Command::Maint, target, false),
            CtlCommand::State { target, json } => (ctl::Command::State, target, *json),
            CtlCommand::Overload { target, json } => (ctl::Command::Overload, target, *json),
        };
        let format = if json {
            ctl::ReplyFormat::Json
        } else {
            ctl::ReplyFormat::Text
        };
        ctl::send(command, target, operator_file, format)
    }
}

/// Reads the command line, runs its command, and returns the exit code.
pub fn run() -> ExitCode {
    let mut cli = Cli::parse();
    cli.files.apply_former_variable();
    match &cli.command {
        None | Some(Command::Serve) => serve::run(&cli),
        Some(Command::Check) => check::run(&cli),
        Some(Command::Ctl(command)) => command.run(cli.files.operator.as_deref()),
        Some(Command::Call { at, call }) => call::run(*at, call),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(
                *shell,
                &mut Cli::command(),
                "task-placer",
                &mut std::io::stdout(),
            );
            ExitCode::SUCCESS
        }
    }
}

#[cfg(test)]
mod tests;
