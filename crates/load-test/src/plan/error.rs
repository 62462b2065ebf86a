//! Why a plan can't be used.

use std::fmt;
use std::path::PathBuf;

/// A value of a plan that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// The field, as in `placers.count` or `fault 2: which`.
    pub field: String,
    /// What was expected and what was found.
    pub problem: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Why a plan can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The plan in a file is invalid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        source: Box<PlanError>,
    },
    /// It is not TOML, or has a key or a type that plans do not have.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// Values that are not allowed, all of them.
    #[error("{}", lines(.0))]
    InvalidFields(Vec<InvalidField>),
}

fn lines(fields: &[InvalidField]) -> String {
    let lines: Vec<String> = fields.iter().map(InvalidField::to_string).collect();
    lines.join("\n")
}
