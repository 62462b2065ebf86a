//! Messages to people at a terminal. It never ends the process.

use std::io::Write;

/// Prints a line on standard error; a standard error that is closed stops nothing.
pub fn complain(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
