//! Defines the command line and runs its commands.

mod call;
mod check;
mod conflicts;
mod serve;

use crate::ctl;
use crate::operator::{self, Loaded, LogFormat, LogLevel};
use crate::terminal::print_error;
use clap::builder::PossibleValuesParser;
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use task_placer::operation::admin::AdminCommand;

/// A task placer: places each task of its clients on one host at a time, and sends exactly one final response per
/// request.
///
/// Without a command it serves with the configuration that --config or LB_CONFIG names.
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
    /// The deployment's configuration file, in JSON
    #[arg(long, value_name = "FILE", env = "LB_CONFIG", global = true)]
    config: Option<PathBuf>,
    /// The operator's file, in TOML; without one every feature that it can enable is disabled
    #[arg(long, value_name = "FILE", env = "TASK_PLACER_OPERATOR", global = true)]
    operator: Option<PathBuf>,
}

/// The former name of `TASK_PLACER_OPERATOR`. It is still read, because existing installations set it.
const FORMER_OPERATOR_VARIABLE: &str = "ANISEHEAD_OPERATOR";

impl Files {
    /// Takes the path of the operator's file from the former variable, with a warning, if it is not given otherwise.
    fn apply_former_variable(&mut self) {
        if self.operator.is_some() {
            return;
        }
        if let Some(path) = std::env::var_os(FORMER_OPERATOR_VARIABLE) {
            print_error(&format!(
                "task-placer: warning: {FORMER_OPERATOR_VARIABLE} is deprecated, set TASK_PLACER_OPERATOR instead"
            ));
            self.operator = Some(path.into());
        }
    }

    /// Reads the operator's file, or returns the defaults if no file is given.
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
    /// The lowest severity of events that are logged; overrides the operator's file
    #[arg(long, value_enum, global = true)]
    log_level: Option<LogLevel>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM (the default command)
    Serve,
    /// Read both files and print each effective value with its origin, or every error found
    Check,
    /// Send a command to a running placer, or ask for its state
    #[command(subcommand)]
    Ctl(CtlCommand),
    /// Send an admin command to a process of a placer, and print its reply
    Call {
        /// The address of the process, `admin` in its configuration
        #[arg(long, value_name = "ADDRESS", env = "LB_ADMIN")]
        at: SocketAddr,
        /// The admin command
        #[arg(value_parser = PossibleValuesParser::new(AdminCommand::ALL.map(|(name, _)| name)))]
        call: String,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
enum CtlCommand {
    /// Tell load balancers to send no new requests, and finish pending requests and running tasks; the process keeps
    /// running
    Drain(ctl::Target),
    /// End a drain or maintenance; load balancers restore the placer's share of requests gradually
    Ready(ctl::Target),
    /// Go out of service for maintenance; load balancers send no requests and stop checking
    Maint(ctl::Target),
    /// Print the shed level, the counters of overload control, and each host's concurrency limit
    Overload {
        #[command(flatten)]
        target: ctl::Target,
        /// Print the reply as the JSON received from the socket
        #[arg(long)]
        json: bool,
    },
    /// Print the state, the weight, and how each signal limits the weight
    State {
        #[command(flatten)]
        target: ctl::Target,
        /// Print the reply as the JSON received from the socket
        #[arg(long)]
        json: bool,
    },
}

impl CtlCommand {
    /// Sends the command to the placer, prints the reply, and returns the exit code.
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
