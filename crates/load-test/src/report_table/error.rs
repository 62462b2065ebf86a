//! Why a table can't be read or written.

use std::fmt;
use std::path::{Path, PathBuf};

/// What is wrong with a table.
#[derive(Debug, thiserror::Error)]
pub enum TableProblem {
    /// The name of the file has no known extension.
    #[error("expected a name that ends in .csv, .jsonl or .parquet")]
    UnknownFormat,
    /// The file can't be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It is not CSV.
    #[error(transparent)]
    Csv(#[from] csv::Error),
    /// Parquet can't be read or written.
    #[error(transparent)]
    Parquet(#[from] parquet::errors::ParquetError),
    /// The columns of a table do not fit.
    #[error(transparent)]
    Arrow(#[from] arrow_schema::ArrowError),
    /// The file is empty.
    #[error("it is empty")]
    Empty,
    /// A text does not end in a line feed.
    #[error("it is cut: the last line has no end")]
    Truncated,
    /// A Parquet file without its table of contents, which is at the end.
    #[error("it is cut, or no Parquet: {0}")]
    NotParquet(parquet::errors::ParquetError),
    /// No row could be read.
    #[error("no row could be read, {skipped} were left out")]
    NoRows {
        /// Rows left out.
        skipped: usize,
    },
    /// A line is not JSON.
    #[error("expected a JSON object: {0}")]
    NotJson(simd_json::Error),
    /// A line is JSON, but no object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A cell is not a number.
    #[error("expected a number from 0 on, found {found:?}")]
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
    /// A row has no time.
    #[error("expected a time, found nothing")]
    NoTime,
}

/// Why a table can't be read or written, and where.
#[derive(Debug)]
pub struct TableError {
    /// The file.
    pub file: PathBuf,
    /// The row, counted from 1 without a header; none where it is the file itself.
    pub row: Option<usize>,
    /// The column; none where it is the row itself.
    pub column: Option<String>,
    /// What is wrong.
    pub problem: Box<TableProblem>,
}

impl TableError {
    /// Returns an error of a file as a whole.
    pub(super) fn in_file(file: &Path, problem: impl Into<TableProblem>) -> TableError {
        TableError {
            file: file.to_path_buf(),
            row: None,
            column: None,
            problem: Box::new(problem.into()),
        }
    }

    /// Returns an error of a row.
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

/// Adds the file to an error.
pub(super) trait InFile<T> {
    fn in_file(self, file: &Path) -> Result<T, TableError>;
}

impl<T, E: Into<TableProblem>> InFile<T> for Result<T, E> {
    fn in_file(self, file: &Path) -> Result<T, TableError> {
        self.map_err(|e| TableError::in_file(file, e))
    }
}
