//! The task placer program: the command line, and the network side around the decision module.

mod cli;
mod ctl;
mod net;
mod operator;
mod terminal;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
