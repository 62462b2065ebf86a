//! Reads and writes tables as Parquet, CSV and JSON lines: the tasks of a run, and traces.
//!
//! A trace is a list of recorded arrivals. The caller may map the fields of an arrival to columns of the table. An invalid
//! row is reported with the file, row, column and expected value, or on request skipped and counted. A truncated file
//! is an error, since a part of a trace is a different load.

mod error;
mod rows;
mod tasks;
#[cfg(test)]
mod tests;
mod trace;
mod write;

pub use error::{TableError, TableProblem};
use std::path::Path;
pub use tasks::write_tasks;
pub use trace::{BadRows, Columns, InvalidColumns, TRACE_FIELDS, TimeUnit, Trace, read_trace};
pub use write::write_trace;

/// The format of a table, which the extension of the file name determines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Csv,
    JsonLines,
    Parquet,
}

impl Format {
    fn of(file: &Path) -> Result<Format, TableError> {
        match file.extension().and_then(|extension| extension.to_str()) {
            Some("csv") => Ok(Format::Csv),
            Some("jsonl" | "ndjson") => Ok(Format::JsonLines),
            Some("parquet") => Ok(Format::Parquet),
            _ => Err(TableError::in_file(file, TableProblem::UnknownFormat)),
        }
    }
}
