//! Errors of reading and validating plans.

use std::fmt;
use std::path::PathBuf;

/// A value of a plan that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// Key of the value in the plan, such as `placers.count` or `fault 2: which`.
    pub field: String,
    /// What was expected and what was found.
    pub problem: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The plan in a file is invalid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// Path of the file.
        path: PathBuf,
        /// Why the plan is invalid.
        source: Box<PlanError>,
    },
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// All values of the plan that are not allowed.
    #[error("{}", lines(.0))]
    InvalidFields(Vec<InvalidField>),
}

fn lines(fields: &[InvalidField]) -> String {
    let lines: Vec<String> = fields.iter().map(InvalidField::to_string).collect();
    lines.join("\n")
}
