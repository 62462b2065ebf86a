//! Errors in the adapter's input.

/// An error in the input, with its line and field.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: field {field}: {problem}")]
pub struct InputError {
    line: u64,
    field: String,
    problem: String,
}

impl InputError {
    /// Creates an error that names a line, a field of it and the problem. Lines are numbered from 1.
    pub fn new(line: u64, field: &str, problem: impl std::fmt::Display) -> InputError {
        InputError {
            line,
            field: field.to_string(),
            problem: problem.to_string(),
        }
    }
}

/// The problem with one field or message of the input.
#[derive(Debug, thiserror::Error)]
pub enum Problem<'a> {
    #[error("{found} values where {expected} belong")]
    WrongValueCount { found: usize, expected: usize },
    #[error("missing")]
    Missing,
    #[error("not a whole number: {0}")]
    NotWhole(&'a str),
    #[error("not a number: {0}")]
    NotANumber(&'a str),
    #[error("not numbers: {0}")]
    NotNumbers(&'a str),
    #[error("not 0 or 1: {0}")]
    NotAFlag(&'a str),
    #[error("not hex digits: {0}")]
    NotHex(&'a str),
    #[error("not a pair: {0}")]
    NotAPair(&'a str),
    #[error("too large")]
    TooLarge,
    #[error("unknown name: {0}")]
    UnknownName(&'a str),
    #[error("unknown outcome: {0}")]
    UnknownOutcome(u64),
    #[error("unknown state: {0}")]
    UnknownState(&'a str),
    #[error("unknown mode: {0}")]
    UnknownMode(&'a str),
    #[error("unknown list")]
    UnknownList,
    #[error("unknown event")]
    UnknownEvent,
    #[error("unknown instance")]
    UnknownInstance,
    #[error("no INSTANCE line before this event")]
    NoInstanceLine,
    #[error("fewer entries than the catalog states")]
    CatalogTooShort,
    #[error("inside a batch")]
    InsideBatch,
    #[error("outside a batch")]
    OutsideBatch,
    #[error("{0}")]
    Setting(String),
}
