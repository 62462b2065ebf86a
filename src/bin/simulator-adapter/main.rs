//! Runs one [`task_placer::Placer`] for each placer instance of a simulation.
//!
//! Reads batches of events from standard input, answers each batch on standard output, and exits at end of input. On
//! a malformed line it exits with an error that names the line and the field, in one line on standard error.
#![forbid(unsafe_code)]

mod actions;
mod error;
mod events;
mod fields;
mod session;

use error::InputError;
use session::Session;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run(input: impl BufRead, output: impl Write) -> Result<(), InputError> {
    let mut session = Session::new(output);
    for (index, line) in input.lines().enumerate() {
        let number = index as u64 + 1;
        let line = line.map_err(|error| InputError::new(number, "line", error))?;
        session.line(line)?;
    }
    session.end()
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
