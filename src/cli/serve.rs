//! Implements `task-placer serve`, which reads both files and serves until the process may exit.

use super::{Cli, conflicts};
use crate::net::config::{self, Config};
use crate::net::{self, log};
use crate::operator::{Loaded, Operator};
use crate::terminal::print_error;
use std::path::Path;
use std::process::ExitCode;

/// Runs the command, and returns the exit code: success after a shutdown, failure if the program can't serve.
pub(super) fn run(cli: &Cli) -> ExitCode {
    let signals = match net::signals() {
        Ok(signals) => signals,
        Err(problem) => {
            print_error(&format!("task-placer: can't handle signals: {problem}"));
            return ExitCode::FAILURE;
        }
    };
    let config = match async_io::block_on(config::load(cli.files.config.as_deref())) {
        Ok(config) => config,
        Err(problem) => {
            print_error(&format!("task-placer: {problem}"));
            return ExitCode::FAILURE;
        }
    };
    let loaded = cli.files.load_operator();
    if let Some(path) = cli.files.operator.as_deref() {
        let problems = operator_problems(path, &loaded, &config);
        if !problems.is_empty() {
            for problem in problems {
                print_error(&format!("task-placer: {problem}"));
            }
            return ExitCode::FAILURE;
        }
    }
    let mut operator = loaded.operator;
    operator.log.format = cli.log.log_format.unwrap_or(operator.log.format);
    operator.log.level = cli.log.log_level.unwrap_or(operator.log.level);
    log::start(&operator.log);
    let code = serve(cli, config, operator, signals);
    log::flush_at_exit();
    code
}

fn serve(cli: &Cli, config: Config, operator: Operator, signals: net::Signals) -> ExitCode {
    match net::serve(config, cli.files.config.clone(), operator, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            tracing::error!(%problem, "can't serve");
            ExitCode::FAILURE
        }
    }
}

/// Returns every error of the operator's file, and its conflicts with the configuration.
fn operator_problems(path: &Path, loaded: &Loaded, config: &Config) -> Vec<String> {
    let name = path.to_string_lossy();
    let own = loaded.problems.iter().map(|problem| problem.render(&name));
    let conflicts = conflicts::find(config, &loaded.operator);
    let conflicts = conflicts
        .iter()
        .map(|conflict| format!("{}: {conflict}", path.display()));
    own.chain(conflicts).collect()
}
