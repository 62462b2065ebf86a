//! Selections of placers, hosts, racks or zones by number in plans.

use serde::{Deserialize, Serialize};

/// Maximum end of a range, which keeps the list of its numbers small enough for memory.
const MAX_RANGE_END: usize = 4_096;

/// One number, a list of numbers, or a range of numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "expected a number, a list of numbers, or a range such as \"3..12\""
)]
pub enum Selection {
    /// A single number.
    One(usize),
    /// A list of numbers.
    List(Vec<usize>),
    /// A range of numbers.
    Range(Range),
}

impl Default for Selection {
    fn default() -> Selection {
        Selection::One(0)
    }
}

impl Selection {
    /// Returns all selected numbers.
    pub fn all(&self) -> Vec<usize> {
        match self {
            Selection::One(number) => vec![*number],
            Selection::List(list) => list.clone(),
            Selection::Range(range) => (range.start..range.end).collect(),
        }
    }
}

/// A range of numbers that excludes its end, written as `3..12`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Range {
    /// The first number.
    pub start: usize,
    /// The number after the last.
    pub end: usize,
}

/// A text that is not a range.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected a range such as \"3..12\", found \"{found}\"")]
pub struct InvalidRange {
    /// The invalid text.
    pub found: String,
}

impl TryFrom<String> for Range {
    type Error = InvalidRange;

    fn try_from(text: String) -> Result<Range, InvalidRange> {
        let ends = text
            .split_once("..")
            .and_then(|(start, end)| Some((start.parse().ok()?, end.parse().ok()?)));
        match ends {
            Some((start, end)) if start < end && end <= MAX_RANGE_END => Ok(Range { start, end }),
            _ => Err(InvalidRange { found: text }),
        }
    }
}

impl From<Range> for String {
    fn from(range: Range) -> String {
        format!("{}..{}", range.start, range.end)
    }
}
