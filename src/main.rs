//! The task placer: the decision module on sockets, with its command line.

mod cli;
mod ctl;
mod net;
mod operator;
mod terminal;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
