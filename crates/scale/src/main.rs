//! `anisehead-scale`: scale runs from the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    scale::cli::main()
}
