//! Entry point of the `scale-test` program, which runs scale tests from the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    scale_test::cli::main()
}
