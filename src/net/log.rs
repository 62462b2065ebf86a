//! One line an event on standard error.

use anisehead::Micros;
use std::fmt::Arguments;
use std::io::Write;

/// Writes one line. A log that can't be written stops nothing.
pub fn line(now: Micros, text: Arguments<'_>) {
    let _ = writeln!(std::io::stderr().lock(), "{}.{:06} {text}", now / 1_000_000, now % 1_000_000);
}
