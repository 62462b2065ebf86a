//! The error of reading or writing a table.

use std::fmt;
use std::path::{Path, PathBuf};

/// The cause of a table error.
#[derive(Debug, thiserror::Error)]
pub enum TableProblem {
    /// The name of the file has no known extension.
    #[error("expected a name that ends in .csv, .jsonl or .parquet")]
    UnknownFormat,
    /// The file can't be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The file is not valid CSV, or can't be written as CSV.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// Parquet data can't be read or written.
    #[error(transparent)]
    Parquet(#[from] parquet::errors::ParquetError),
    /// The columns of a table do not form a valid record batch.
    #[error(transparent)]
    Arrow(#[from] arrow_schema::ArrowError),
    /// The file is empty.
    #[error("the file is empty")]
    Empty,
    /// A CSV or JSON lines file does not end in a line feed.
    #[error("the file is truncated: the last line does not end in a line feed")]
    Truncated,
    /// The file is not Parquet, or is truncated: a Parquet file has its metadata at the end.
    #[error("the file is truncated or not Parquet: {0}")]
    NotParquet(parquet::errors::ParquetError),
    /// The file has no valid row.
    #[error("no valid rows, {skipped} skipped")]
    NoRows {
        /// Number of invalid rows that were skipped.
        skipped: usize,
    },
    /// A line is not JSON.
    #[error("expected a JSON object: {0}")]
    NotJson(simd_json::Error),
    /// A line is JSON, but not an object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A cell is not a finite number of 0 or more.
    #[error("expected a number of 0 or more, found {found:?}")]
    NotANumber {
        /// The text of the cell.
        found: String,
    },
    /// A cell names something that the plan does not have.
    #[error("expected one of {}, found {found:?}", expected.join(", "))]
    UnknownName {
        /// The names in the plan.
        expected: Vec<String>,
        /// The text of the cell.
        found: String,
    },
    /// A row does not say when the task was due.
    #[error("expected a time, found nothing")]
    NoTime,
}

/// The error of reading or writing a table, with the place in the table.
#[derive(Debug)]
pub struct TableError {
    /// The file.
    pub file: PathBuf,
    /// Number of the row, counted from 1 without the header; `None` if the error concerns the file as a whole.
    pub row: Option<usize>,
    /// Name of the column; `None` if the error concerns the row or file as a whole.
    pub column: Option<String>,
    /// Cause of the error.
    pub problem: Box<TableProblem>,
}

impl TableError {
    /// Returns an error that concerns a file as a whole.
    pub(super) fn in_file(file: &Path, problem: impl Into<TableProblem>) -> TableError {
        TableError {
            file: file.to_path_buf(),
            row: None,
            column: None,
            problem: Box::new(problem.into()),
        }
    }

    /// Returns an error that concerns a row.
    pub(super) fn in_row(file: &Path, row: usize, problem: impl Into<TableProblem>) -> TableError {
        TableError {
            row: Some(row),
            ..TableError::in_file(file, problem)
        }
    }
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(row) = self.row {
            write!(f, ", row {row}")?;
        }
        if let Some(column) = &self.column {
            write!(f, ", column {column}")?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for TableError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(self.problem.as_ref())
    }
}

/// Converts an error to a [`TableError`] that names the file.
pub(super) trait InFile<T> {
    fn in_file(self, file: &Path) -> Result<T, TableError>;
}

impl<T, E: Into<TableProblem>> InFile<T> for Result<T, E> {
    fn in_file(self, file: &Path) -> Result<T, TableError> {
        self.map_err(|e| TableError::in_file(file, e))
    }
}
