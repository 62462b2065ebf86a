//! Reads a TOML document table by table, and collects every problem with its position.
//!
//! If a value can't be read, its default is returned and the problem is recorded. A caller must therefore check the
//! problems that [`Reader::finish`] returns before it uses the values.

mod value;

pub use value::Value;

use std::collections::BTreeSet;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The maximum edit distance at which an unknown key is taken for a misspelled known key.
const MAX_TYPO_DISTANCE: usize = 2;

/// A position in the file. Lines and columns are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line number.
    pub line: usize,
    /// The column number, in characters.
    pub column: usize,
}

/// A problem of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The position of the problem; `None` if it has none, as for a missing file.
    pub position: Option<Position>,
    /// The full name of the field, such as `drain.notice`; empty if the file is not valid TOML.
    pub field: String,
    /// The value that was found and what was expected.
    pub message: String,
}

impl Problem {
    /// Formats the problem as one line that begins with the name of the file.
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

/// A value that is in effect, from the file or by default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveValue {
    /// The full name of the field.
    pub field: String,
    /// The value as it would be written in the file.
    pub value: String,
    /// The number of the line that sets the value; `None` for a default.
    pub line: Option<usize>,
}

/// A table of the file, which may be absent.
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

    /// Returns the full name of a key in this table.
    fn field(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the value of a key, if the file has it.
    fn find(&self, key: &str) -> Option<&'t Spanned<DeValue<'t>>> {
        let (table, _) = self.table.as_ref()?;
        table
            .iter()
            .find(|(name, _)| name.get_ref() == key)
            .map(|(_, value)| value)
    }

    /// Returns the known key that an unknown key is probably a misspelling of.
    fn similar_key(&self, unknown: &str) -> Option<&String> {
        let distance = |known: &&String| strsim::damerau_levenshtein(known, unknown);
        self.known_keys
            .iter()
            .min_by_key(distance)
            .filter(|known| distance(known) <= MAX_TYPO_DISTANCE)
    }
}

/// Reads the values of a document and records problems and effective values.
pub struct Reader<'t> {
    text: &'t str,
    problems: Vec<Problem>,
    effective_values: Vec<EffectiveValue>,
}

impl<'t> Reader<'t> {
    /// Creates a reader for a document. Errors of the TOML parser become the first problems.
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

    /// Returns the top-level table of the document.
    pub fn root<'d>(&self, document: &'d Spanned<DeTable<'d>>) -> Section<'d> {
        let table = Some((document.get_ref(), document.span()));
        Section::new(String::new(), table)
    }

    /// Returns a table within another table. A table that is absent is not a problem.
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

    /// Returns the value of a key, or the default if the key is absent or invalid.
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

    /// Returns the value of a key, or the default, and records a problem if the value is not valid.
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
            self.report(section, key, format!("expected {expected}, found {found}"));
        }
        value
    }

    /// Returns the value of a key, or `None` if the key is absent or invalid.
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

    /// Records a problem with the value of a key, at the position of the value, or of the table if the key is absent.
    pub fn report(&mut self, section: &Section<'_>, key: &str, message: String) {
        let value_start = section.find(key).map(|value| value.span().start);
        let table_start = section.table.as_ref().map(|(_, span)| span.start);
        self.add_problem(value_start.or(table_start), section.field(key), message);
    }

    /// Finishes a table: records a problem for every key that was not read.
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
                .map(|known| format!(", did you mean {known}?"))
                .unwrap_or_default();
            let known: Vec<&str> = section.known_keys.iter().map(String::as_str).collect();
            let message = format!("unknown key{hint} (known keys: {})", known.join(", "));
            self.add_problem(Some(name.span().start), section.field(key), message);
        }
    }

    /// Returns the effective values in the order in which they were read, and all problems in the order of the file.
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

    /// Returns the position of a byte offset.
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
