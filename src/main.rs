//! The real placer: the decision module on sockets.

mod cli;
mod ctl;
mod net;
mod operator;
mod terminal;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
