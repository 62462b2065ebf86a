//! Tables on disk, as Parquet, CSV and JSON lines: every task of a run, and traces.
//!
//! A trace is a list of recorded arrivals. A map says which column holds what. A row that can't be read is reported
//! with file, row, column and what was expected, or counted and left out on request. A truncated file is an error:
//! half a trace is another load.

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

/// Formats of tables, by the extension of a file's name.
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
