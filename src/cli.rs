//! The command line.

use crate::ctl;
use crate::net::{self, config, log};
use crate::operator::{self, Loaded, LogFormat, LogLevel, Operator};
use crate::terminal::complain;
use clap::builder::PossibleValuesParser;
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use task_placer::operation::admin::AdminCommand;

/// Exit code of `check` for files with errors, as of `clap` for words that can't be read.
const BAD_INPUT: u8 = 2;
/// Exit code of `call` where nobody answers.
const UNANSWERED: u8 = 2;
/// How long a process may take to take a call, and to answer it; it answers within a second.
const CALL: Duration = Duration::from_secs(3);
/// No reply is longer: figures of some hundred classes.
const MOST_REPLY: u64 = 1024 * 1024;

/// A task placer: takes tasks from clients, offers each to one host at a time, and answers exactly once.
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
}

#[derive(Debug, Args)]
struct LogArgs {
    /// How lines of the log look; goes before the operator's file
    #[arg(long, value_enum, global = true)]
    log_format: Option<LogFormat>,
    /// What is logged; goes before the operator's file
    #[arg(long, value_enum, global = true)]
    log_level: Option<LogLevel>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM (the same as no command)
    Serve,
    /// Read both files and print each value in force with its origin, or every error found
    Check,
    /// Give an order to a running placer, or ask how it is
    #[command(subcommand)]
    Ctl(CtlCommand),
    /// Call a process of a placer where operators call, and print its reply
    Call {
        /// Its address, `admin` in its configuration
        #[arg(long, value_name = "ADDRESS", env = "LB_ADMIN")]
        at: SocketAddr,
        /// The call
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
    /// Tell balancers to send nothing new, and finish what is in hand; the process goes on
    Drain(ctl::Target),
    /// Take a drain or maintenance back: balancers give its portion back slowly
    Ready(ctl::Target),
    /// Out of service: balancers send nothing and stop checking
    Maint(ctl::Target),
    /// Print what is shed, repeated and tried, and how each host's line stands
    Overload {
        #[command(flatten)]
        target: ctl::Target,
        /// As JSON, as the socket gave it
        #[arg(long)]
        json: bool,
    },
    /// Print state, weight, and what each signal has to do with it
    State {
        #[command(flatten)]
        target: ctl::Target,
        /// As JSON, as the socket gave it
        #[arg(long)]
        json: bool,
    },
}

/// Reads the command line and does what it says.
pub fn run() -> ExitCode {
    let mut cli = Cli::parse();
    cli.files.apply_former_variable();
    match &cli.command {
        None | Some(Command::Serve) => serve(&cli),
        Some(Command::Check) => check(&cli),
        Some(Command::Ctl(command)) => {
            let (command, target, json) = match command {
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
            ctl::send(command, target, cli.files.operator.as_deref(), format)
        }
        Some(Command::Call { at, call }) => call_at(*at, call),
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

fn load_operator(path: Option<&Path>) -> Loaded {
    path.map_or_else(Loaded::default, operator::load)
}

/// What is wrong between the two files.
fn disagreements(config: &config::Config, operator: &Operator) -> Vec<(&'static str, String)> {
    let mut found = Vec::new();
    let health = &operator.health;
    for (field, addresses) in [
        ("health.agent", &health.agent),
        ("health.http", &health.http),
    ] {
        if addresses.contains(&config.listen) {
            found.push((
                field,
                format!("{} is where clients connect (listen)", config.listen),
            ));
        }
    }
    // Clients hold at most a third of the descriptors; hosts and the placer itself need theirs.
    let most = config.limits.descriptors / 4;
    if health.listens() && health.connections > most {
        let what = format!(
            "{} of limits.sockets {} is more than a quarter, {most}",
            health.connections, config.limits.descriptors
        );
        found.push(("health.connections", what));
    }
    let queues = config.limits.memory_bytes / 16;
    if operator.log.queue > queues {
        let what = format!(
            "{} is more than a sixteenth of limits.memory_mb, {queues}",
            operator.log.queue
        );
        found.push(("log.queue-bytes", what));
    }
    found
}

fn serve(cli: &Cli) -> ExitCode {
    let signals = match net::signals() {
        Ok(signals) => signals,
        Err(problem) => {
            complain(&format!("task-placer: signals: {problem}"));
            return ExitCode::FAILURE;
        }
    };
    let config = match config::load(cli.files.config.as_deref()) {
        Ok(config) => config,
        Err(problem) => {
            complain(&format!("task-placer: {problem}"));
            return ExitCode::FAILURE;
        }
    };
    let loaded = load_operator(cli.files.operator.as_deref());
    let mut operator = loaded.operator;
    if let Some(path) = cli.files.operator.as_deref() {
        let mut wrong: Vec<String> = loaded
            .problems
            .iter()
            .map(|p| p.line(&path.to_string_lossy()))
            .collect();
        let between = disagreements(&config, &operator);
        wrong.extend(
            between
                .iter()
                .map(|(field, what)| format!("{}: {field}: {what}", path.display())),
        );
        if !wrong.is_empty() {
            wrong
                .iter()
                .for_each(|line| complain(&format!("task-placer: {line}")));
            return ExitCode::FAILURE;
        }
    }
    operator.log.format = cli.log.log_format.unwrap_or(operator.log.format);
    operator.log.level = cli.log.log_level.unwrap_or(operator.log.level);
    log::start(&operator.log);
    let served = net::serve(config, cli.files.config.clone(), operator, signals);
    let code = match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            tracing::error!(%problem, "can't serve");
            ExitCode::FAILURE
        }
    };
    log::finish();
    code
}

/// Calls a process: 0 where it says yes or tells its figures, 1 where it says no.
fn call_at(address: SocketAddr, call: &str) -> ExitCode {
    let asked = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, CALL)?;
        stream.set_read_timeout(Some(CALL))?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut reply = String::new();
        stream.take(MOST_REPLY).read_to_string(&mut reply)?;
        Ok(reply)
    };
    match asked() {
        Ok(reply) if !reply.is_empty() => {
            let _ = std::io::stdout().write_all(reply.as_bytes());
            if reply.starts_with("fail") {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            }
        }
        answered => {
            let why =
                answered.map_or_else(|e| e.to_string(), |_| "closed without a reply".to_string());
            complain(&format!("task-placer: {address}: {why}"));
            ExitCode::from(UNANSWERED)
        }
    }
}

fn check(cli: &Cli) -> ExitCode {
    let mut wrong = Vec::new();
    let config = match config::load(cli.files.config.as_deref()) {
        Ok(config) => Some(config),
        Err(problem) => {
            wrong.push(problem.to_string());
            None
        }
    };
    let loaded = load_operator(cli.files.operator.as_deref());
    let name = cli
        .files
        .operator
        .as_deref()
        .map(|p| p.to_string_lossy().into_owned());
    let name = name.unwrap_or_else(|| "no operator's file".to_string());
    wrong.extend(loaded.problems.iter().map(|problem| problem.line(&name)));
    if let Some(config) = &config {
        let between = disagreements(config, &loaded.operator);
        wrong.extend(
            between
                .iter()
                .map(|(field, what)| format!("{name}: {field}: {what}")),
        );
    }
    if !wrong.is_empty() {
        wrong.iter().for_each(|line| complain(line));
        return ExitCode::from(BAD_INPUT);
    }
    let mut out = std::io::stdout().lock();
    let mut say = |line: String| {
        let _ = writeln!(out, "{line}");
    };
    if let Some(config) = &config {
        let from = cli
            .files
            .config
            .as_deref()
            .map(|p| p.display().to_string())
            .unwrap_or_default();
        for (field, value) in config.in_force() {
            say(format!("{field} = {value}  # {from}"));
        }
    }
    for value in &loaded.in_force {
        let origin = value
            .line
            .map_or_else(|| "default".to_string(), |line| format!("{name}:{line}"));
        say(format!("{} = {}  # {origin}", value.field, value.value));
    }
    if let Some(format) = cli.log.log_format {
        say(format!("log.format = \"{format:?}\"  # --log-format").to_lowercase());
    }
    if let Some(level) = cli.log.log_level {
        say(format!("log.level = \"{level:?}\"  # --log-level").to_lowercase());
    }
    ExitCode::SUCCESS
}

#[cfg(test)]
mod tests;
