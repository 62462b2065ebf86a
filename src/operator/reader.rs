//! Reads TOML table by table, and collects every problem with its position.
//!
//! A value that can't be read leaves its default in effect, and the problem is kept: whoever starts a program
//! with the result must look at the problems of [`Reader::finish`] first.

mod value;

pub use value::Value;

use std::collections::BTreeSet;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// An unknown key is taken for a misspelled one up to this edit distance.
const MAX_TYPO_DISTANCE: usize = 2;

/// A position in the file; both count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// Something wrong with the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Its position; `None` for what has none, such as a missing file.
    pub position: Option<Position>,
    /// The field, such as `drain.notice`; empty if the file is no TOML.
    pub field: String,
    /// What is wrong, and what was expected.
    pub message: String,
}

impl Problem {
    /// Returns the problem as one line that begins with the name of the file.
    pub fn render(&self, file: &str) -> String {
        let position = self
            .position
            .map(|Position { line, column }| format!(":{line}:{column}"))
            .unwrap_or_default();
        let field = if self.field.is_empty() {
            String::new()
        } else {
            format!("{}: ", self.field)
        };
        format!("{file}{position}: {field}{}", self.message)
    }
}

/// A value that is in effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveValue {
    /// Its field.
    pub field: String,
    /// The value as it would be written in the file.
    pub value: String,
    /// The line that sets it; `None` for a default.
    pub line: Option<usize>,
}

/// A table of the file, or its absence.
pub struct Section<'t> {
    path: String,
    table: Option<(&'t DeTable<'t>, Range<usize>)>,
    known_keys: BTreeSet<String>,
}

impl<'t> Section<'t> {
    fn new(path: String, table: Option<(&'t DeTable<'t>, Range<usize>)>) -> Section<'t> {
        Section {
            path,
            table,
            known_keys: BTreeSet::new(),
        }
    }

    /// The full name of a key.
    fn field(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn find(&self, key: &str) -> Option<&'t Spanned<DeValue<'t>>> {
        let (table, _) = self.table.as_ref()?;
        table
            .iter()
            .find(|(name, _)| name.get_ref() == key)
            .map(|(_, value)| value)
    }

    /// The known key that an unknown one was probably meant to be.
    fn similar_key(&self, unknown: &str) -> Option<&String> {
        let distance = |known: &&String| strsim::damerau_levenshtein(known, unknown);
        self.known_keys
            .iter()
            .min_by_key(distance)
            .filter(|known| distance(known) <= MAX_TYPO_DISTANCE)
    }
}

/// Reads a document.
pub struct Reader<'t> {
    text: &'t str,
    problems: Vec<Problem>,
    effective_values: Vec<EffectiveValue>,
}

impl<'t> Reader<'t> {
    /// Creates a reader that begins with the parser's own problems.
    pub fn new(text: &'t str, errors: &[toml::de::Error]) -> Reader<'t> {
        let mut reader = Reader {
            text,
            problems: Vec::new(),
            effective_values: Vec::new(),
        };
        for error in errors {
            let start = error.span().map(|span| span.start);
            reader.add_problem(start, String::new(), error.message().to_string());
        }
        reader
    }

    /// Returns the document as a section.
    pub fn root<'d>(&self, document: &'d Spanned<DeTable<'d>>) -> Section<'d> {
        let table = Some((document.get_ref(), document.span()));
        Section::new(String::new(), table)
    }

    /// Returns a table within another; its absence is no problem.
    pub fn section<'d>(&mut self, parent: &mut Section<'d>, key: &str) -> Section<'d> {
        parent.known_keys.insert(key.to_string());
        let path = parent.field(key);
        let table = match parent
            .find(key)
            .map(|value| (value.get_ref(), value.span()))
        {
            Some((DeValue::Table(table), span)) => Some((table, span)),
            Some((value, span)) => {
                let message = format!("expected a table, found {}", value.type_str());
                self.add_problem(Some(span.start), path.clone(), message);
                None
            }
            None => None,
        };
        Section::new(path, table)
    }

    /// Returns the value of a key, or its default.
    pub fn value<T: Value>(&mut self, section: &mut Section<'_>, key: &str, default: T) -> T {
        if let Some(value) = self.optional(section, key) {
            return value;
        }
        self.effective_values.push(EffectiveValue {
            field: section.field(key),
            value: default.show(),
            line: None,
        });
        default
    }

    /// Returns a value that must pass a check, or its default.
    pub fn checked<T: Value>(
        &mut self,
        section: &mut Section<'_>,
        key: &str,
        default: T,
        is_valid: impl Fn(&T) -> bool,
        expected: &str,
    ) -> T {
        let value = self.value(section, key, default);
        if !is_valid(&value) {
            let found = value.show();
            self.wrong(section, key, format!("expected {expected}, found {found}"));
        }
        value
    }

    /// Returns the value of a key, if the file has it.
    pub fn optional<T: Value>(&mut self, section: &mut Section<'_>, key: &str) -> Option<T> {
        section.known_keys.insert(key.to_string());
        let field = section.field(key);
        let found = section.find(key)?;
        let start = found.span().start;
        match T::read(found.get_ref()) {
            Ok(value) => {
                self.effective_values.push(EffectiveValue {
                    field,
                    value: value.show(),
                    line: Some(self.position(start).line),
                });
                Some(value)
            }
            Err(error) => {
                self.add_problem(Some(start), field, error.to_string());
                None
            }
        }
    }

    /// Adds a problem with the value of a key, at its position or at that of its table.
    pub fn wrong(&mut self, section: &Section<'_>, key: &str, message: String) {
        let of_value = section.find(key).map(|value| value.span().start);
        let of_table = section.table.as_ref().map(|(_, span)| span.start);
        self.add_problem(of_value.or(of_table), section.field(key), message);
    }

    /// Ends the reading of a table: every key that was not asked for is unknown.
    pub fn close(&mut self, section: &Section<'_>) {
        let Some((table, _)) = &section.table else {
            return;
        };
        for (name, _) in *table {
            let key: &str = name.get_ref();
            if section.known_keys.contains(key) {
                continue;
            }
            let hint = section
                .similar_key(key)
                .map(|known| format!(", perhaps {known} is meant"))
                .unwrap_or_default();
            let known: Vec<&str> = section.known_keys.iter().map(String::as_str).collect();
            let message = format!("unknown{hint}; known here are {}", known.join(", "));
            self.add_problem(Some(name.span().start), section.field(key), message);
        }
    }

    /// Returns the effective values, and all problems in the order of the file.
    pub fn finish(mut self) -> (Vec<EffectiveValue>, Vec<Problem>) {
        self.problems.sort_by_key(|problem| problem.position);
        (self.effective_values, self.problems)
    }

    fn add_problem(&mut self, start: Option<usize>, field: String, message: String) {
        let position = start.map(|start| self.position(start));
        self.problems.push(Problem {
            position,
            field,
            message,
        });
    }

    /// The position of a byte offset.
    fn position(&self, offset: usize) -> Position {
        let before = self
            .text
            .get(..offset.min(self.text.len()))
            .unwrap_or(self.text);
        let current_line = before.rsplit('\n').next().unwrap_or_default();
        Position {
            line: before.matches('\n').count() + 1,
            column: current_line.chars().count() + 1,
        }
    }
}

#[cfg(test)]
mod tests;
