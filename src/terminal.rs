//! Prints messages for users at a terminal.

use std::io::Write;

/// Prints a line on standard error. Failures are ignored, so a closed standard error does not stop the program.
pub fn print_error(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
