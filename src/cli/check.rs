//! Implements `task-placer check`, which reads both files and prints each effective value with its origin, or every
//! error found.

use super::{Cli, conflicts};
use crate::net::config::{self, Config};
use crate::operator::Loaded;
use crate::terminal::print_error;
use std::io::Write;
use std::process::ExitCode;

/// The exit code for files with errors, the same that `clap` uses for an invalid command line.
const BAD_INPUT: u8 = 2;

/// Runs the command, and returns the exit code: 0 if both files are valid, 2 if they are not.
pub(super) fn run(cli: &Cli) -> ExitCode {
    let config = async_io::block_on(config::load(cli.files.config.as_deref()));
    let loaded = cli.files.load_operator();
    let operator_name = match cli.files.operator.as_deref() {
        Some(path) => path.to_string_lossy().into_owned(),
        None => "no operator's file".to_string(),
    };
    let problems = problems(&config, &loaded, &operator_name);
    if !problems.is_empty() {
        problems.iter().for_each(|problem| print_error(problem));
        return ExitCode::from(BAD_INPUT);
    }
    let mut lines = Vec::new();
    if let Ok(config) = &config {
        lines.extend(config_lines(cli, config));
    }
    lines.extend(operator_lines(&loaded, &operator_name));
    lines.extend(flag_lines(cli));
    let mut out = std::io::stdout().lock();
    for line in lines {
        let _ = writeln!(out, "{line}");
    }
    ExitCode::SUCCESS
}

/// Returns every error within each file, and every conflict between the two files.
fn problems(
    config: &Result<Config, config::ConfigError>,
    loaded: &Loaded,
    operator_name: &str,
) -> Vec<String> {
    let mut problems = Vec::new();
    if let Err(error) = config {
        problems.push(error.to_string());
    }
    let own = loaded.problems.iter();
    problems.extend(own.map(|problem| problem.render(operator_name)));
    if let Ok(config) = config {
        let conflicts = conflicts::find(config, &loaded.operator);
        let conflicts = conflicts.iter();
        problems.extend(conflicts.map(|conflict| format!("{operator_name}: {conflict}")));
    }
    problems
}

fn config_lines(cli: &Cli, config: &Config) -> Vec<String> {
    let path = cli.files.config.as_deref();
    let origin = path.map_or_else(String::new, |path| path.display().to_string());
    let values = config.effective_values().into_iter();
    values
        .map(|(field, value)| format!("{field} = {value}  # {origin}"))
        .collect()
}

fn operator_lines(loaded: &Loaded, operator_name: &str) -> Vec<String> {
    let values = loaded.effective_values.iter();
    values
        .map(|value| {
            let origin = value.line.map_or_else(
                || "default".to_string(),
                |line| format!("{operator_name}:{line}"),
            );
            format!("{} = {}  # {origin}", value.field, value.value)
        })
        .collect()
}

/// Returns the lines for the values that flags of the command line override.
fn flag_lines(cli: &Cli) -> Vec<String> {
    let format = cli.log.log_format;
    let level = cli.log.log_level;
    let format = format.map(|format| format!("log.format = \"{format:?}\"  # --log-format"));
    let level = level.map(|level| format!("log.level = \"{level:?}\"  # --log-level"));
    let lines = format.into_iter().chain(level);
    lines.map(|line| line.to_lowercase()).collect()
}
