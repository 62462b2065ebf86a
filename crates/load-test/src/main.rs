//! The program `load-test`: runs load tests from the command line.

mod cli;
mod commands;

use clap::Parser;
use cli::Cli;
use std::io::Write;
use std::process::ExitCode;

/// The exit code for invalid input.
const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    match commands::execute(Cli::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "load-test: {error}");
            ExitCode::from(INVALID_INPUT)
        }
    }
}
