//! `scale-test`: scale runs from the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    scale_test::cli::main()
}
