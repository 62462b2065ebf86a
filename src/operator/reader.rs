//! Reads values out of a TOML document, each with its place, and collects every problem on the way.
//!
//! `toml` parses; what it does not give is all problems at once and the place of each value, which an
//! operator needs to mend a file in one go. A value that can't be read leaves its default in force here,
//! and the problem is kept: whoever starts a program on the result looks at [`Reader::finish`] first.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Something wrong with the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line and column, counted from 1; none for what has no place in the file.
    pub place: Option<(usize, usize)>,
    /// The field, such as `drain.notice`; empty where the file is no TOML.
    pub field: String,
    /// What is wrong, and what was expected.
    pub what: String,
}

impl Problem {
    /// As one line, with the file's name.
    pub fn line(&self, file: &str) -> String {
        let place = self
            .place
            .map(|(line, column)| format!(":{line}:{column}"))
            .unwrap_or_default();
        let field = if self.field.is_empty() {
            String::new()
        } else {
            format!("{}: ", self.field)
        };
        format!("{file}{place}: {field}{}", self.what)
    }
}

/// A value in force: its field, itself, and the line that set it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// Its field.
    pub field: String,
    /// Itself, as the file would say it.
    pub value: String,
    /// The line that set it; none for a default.
    pub line: Option<usize>,
}

/// A type that a value of the file can be read as.
pub trait Value: Sized {
    /// What is expected, in words.
    const EXPECTED: &'static str;
    /// Reads it; what is wrong, where the type is right and the value is not.
    fn read(value: &DeValue<'_>) -> Result<Self, String>;
    /// As the file would say it.
    fn show(&self) -> String;
}

fn wrong<T: Value>(value: &DeValue<'_>) -> String {
    format!("expected {}, found {}", T::EXPECTED, value.type_str())
}

impl Value for bool {
    const EXPECTED: &'static str = "true or false";

    fn read(value: &DeValue<'_>) -> Result<bool, String> {
        value.as_bool().ok_or_else(|| wrong::<bool>(value))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn read(value: &DeValue<'_>) -> Result<f64, String> {
        let text = match value {
            DeValue::Float(float) => float.as_str().to_string(),
            DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().to_string(),
            _ => return Err(wrong::<f64>(value)),
        };
        let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
        number.ok_or_else(|| format!("expected a finite number, found {text}"))
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl Value for u64 {
    const EXPECTED: &'static str = "a whole number";

    fn read(value: &DeValue<'_>) -> Result<u64, String> {
        match value {
            DeValue::Integer(integer) => u64::from_str_radix(integer.as_str(), integer.radix())
                .map_err(|_| {
                    format!(
                        "expected a whole number from 0 on, found {}",
                        integer.as_str()
                    )
                }),
            _ => Err(wrong::<u64>(value)),
        }
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for Duration {
    const EXPECTED: &'static str = "a duration such as \"250ms\" or \"10s\"";

    fn read(value: &DeValue<'_>) -> Result<Duration, String> {
        let text = value.as_str().ok_or_else(|| wrong::<Duration>(value))?;
        let read = humantime::parse_duration(text);
        let read =
            read.map_err(|e| format!("expected {}, found \"{text}\": {e}", Self::EXPECTED))?;
        // Sums of durations with the clock stay far from their limits.
        if read > Duration::from_secs(366 * 86_400) {
            return Err(format!("expected at most a year, found \"{text}\""));
        }
        Ok(read)
    }

    fn show(&self) -> String {
        format!(
            "\"{}\"",
            humantime::format_duration(*self)
                .to_string()
                .replace(' ', "")
        )
    }
}

impl Value for String {
    const EXPECTED: &'static str = "a text";

    fn read(value: &DeValue<'_>) -> Result<String, String> {
        value
            .as_str()
            .map(str::to_string)
            .ok_or_else(|| wrong::<String>(value))
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl Value for std::net::SocketAddr {
    const EXPECTED: &'static str = "an address with a port, such as \"127.0.0.1:9100\"";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let text = value.as_str().ok_or_else(|| wrong::<Self>(value))?;
        text.parse()
            .map_err(|_| format!("expected {}, found \"{text}\"", Self::EXPECTED))
    }

    fn show(&self) -> String {
        format!("\"{self}\"")
    }
}

impl Value for std::path::PathBuf {
    const EXPECTED: &'static str = "an absolute path";

    fn read(value: &DeValue<'_>) -> Result<Self, String> {
        let text = value.as_str().ok_or_else(|| wrong::<Self>(value))?;
        let path = std::path::PathBuf::from(text);
        if path.is_absolute() {
            Ok(path)
        } else {
            Err(format!("expected an absolute path, found \"{text}\""))
        }
    }

    fn show(&self) -> String {
        format!("{:?}", self.to_string_lossy())
    }
}

impl<T: Value> Value for Vec<T> {
    const EXPECTED: &'static str = "a list";

    fn read(value: &DeValue<'_>) -> Result<Vec<T>, String> {
        let items = value.as_array().ok_or_else(|| wrong::<Vec<T>>(value))?;
        items
            .iter()
            .enumerate()
            .map(|(n, item)| T::read(item.get_ref()).map_err(|e| format!("item {n}: {e}")))
            .collect()
    }

    fn show(&self) -> String {
        format!(
            "[{}]",
            self.iter().map(Value::show).collect::<Vec<_>>().join(", ")
        )
    }
}

/// A table of the file, or its absence.
pub struct Section<'t> {
    path: String,
    table: Option<(&'t DeTable<'t>, Range<usize>)>,
    known: BTreeSet<String>,
}

impl Section<'_> {
    fn field(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn find(&self, key: &str) -> Option<&Spanned<DeValue<'_>>> {
        let (table, _) = self.table.as_ref()?;
        table
            .iter()
            .find(|(name, _)| name.get_ref() == key)
            .map(|(_, value)| value)
    }
}

/// The document while it is read.
pub struct Reader<'t> {
    text: &'t str,
    problems: Vec<Problem>,
    in_force: Vec<InForce>,
}

impl<'t> Reader<'t> {
    /// Begins with the parser's own problems.
    pub fn new(text: &'t str, errors: &[toml::de::Error]) -> Reader<'t> {
        let mut reader = Reader {
            text,
            problems: Vec::new(),
            in_force: Vec::new(),
        };
        for error in errors {
            let place = error.span().map(|span| reader.place(span.start));
            reader.problems.push(Problem {
                place,
                field: String::new(),
                what: error.message().to_string(),
            });
        }
        reader
    }

    /// The document itself.
    pub fn root<'d>(&self, document: &'d Spanned<DeTable<'d>>) -> Section<'d> {
        let table = Some((document.get_ref(), document.span()));
        Section {
            path: String::new(),
            table,
            known: BTreeSet::new(),
        }
    }

    /// A table within another; its absence is no problem.
    pub fn section<'d>(&mut self, parent: &mut Section<'d>, key: &str) -> Section<'d> {
        parent.known.insert(key.to_string());
        let path = parent.field(key);
        let found = parent.table.as_ref().and_then(|(table, _)| {
            table
                .iter()
                .find(|(name, _)| name.get_ref() == key)
                .map(|(_, value)| value)
        });
        let table = match found.map(|value| (value.get_ref(), value.span())) {
            Some((DeValue::Table(table), span)) => Some((table, span)),
            Some((value, span)) => {
                let what = format!("expected a table, found {}", value.type_str());
                self.problem(Some(span.start), &path, what);
                None
            }
            None => None,
        };
        Section {
            path,
            table,
            known: BTreeSet::new(),
        }
    }

    /// The value of a key, or its default.
    pub fn value<T: Value>(&mut self, section: &mut Section<'_>, key: &str, default: T) -> T {
        self.read(section, key).unwrap_or_else(|| {
            let field = section.field(key);
            self.in_force.push(InForce {
                field,
                value: default.show(),
                line: None,
            });
            default
        })
    }

    /// The value of a key, if the file has it.
    pub fn optional<T: Value>(&mut self, section: &mut Section<'_>, key: &str) -> Option<T> {
        self.read(section, key)
    }

    /// A value that must pass a check, or its default.
    pub fn checked<T: Value>(
        &mut self,
        section: &mut Section<'_>,
        key: &str,
        default: T,
        fits: impl Fn(&T) -> bool,
        expected: &str,
    ) -> T {
        let value = self.value(section, key, default);
        if !fits(&value) {
            let shown = value.show();
            self.wrong(section, key, format!("expected {expected}, found {shown}"));
        }
        value
    }

    fn read<T: Value>(&mut self, section: &mut Section<'_>, key: &str) -> Option<T> {
        section.known.insert(key.to_string());
        let field = section.field(key);
        let found = section.find(key)?;
        let start = found.span().start;
        match T::read(found.get_ref()) {
            Ok(value) => {
                let line = Some(self.place(start).0);
                self.in_force.push(InForce {
                    field,
                    value: value.show(),
                    line,
                });
                Some(value)
            }
            Err(what) => {
                self.problem(Some(start), &field, what);
                None
            }
        }
    }

    /// Notes a problem with the value of a key: at its place, or at that of its table.
    pub fn wrong(&mut self, section: &Section<'_>, key: &str, what: String) {
        let own = section.find(key).map(|value| value.span().start);
        let start = own.or_else(|| section.table.as_ref().map(|(_, span)| span.start));
        let field = section.field(key);
        self.problem(start, &field, what);
    }

    /// Nothing more is read from a table: what is left there is unknown.
    pub fn close(&mut self, section: &Section<'_>) {
        let Some((table, _)) = &section.table else {
            return;
        };
        for (name, _) in table
            .iter()
            .filter(|(name, _)| !section.known.contains(name.get_ref().as_ref()))
        {
            let alike = |known: &&String| strsim::damerau_levenshtein(known, name.get_ref());
            let near = section
                .known
                .iter()
                .min_by_key(alike)
                .filter(|known| alike(known) <= 2);
            let hint = near
                .map(|known| format!(", perhaps {known} is meant"))
                .unwrap_or_default();
            let known: Vec<&str> = section.known.iter().map(String::as_str).collect();
            let what = format!("unknown{hint}; known here are {}", known.join(", "));
            let field = section.field(name.get_ref());
            self.problem(Some(name.span().start), &field, what);
        }
    }

    /// The values in force, and all problems in the order of the file.
    pub fn finish(mut self) -> (Vec<InForce>, Vec<Problem>) {
        self.problems.sort_by_key(|problem| problem.place);
        (self.in_force, self.problems)
    }

    fn problem(&mut self, start: Option<usize>, field: &str, what: String) {
        let place = start.map(|start| self.place(start));
        self.problems.push(Problem {
            place,
            field: field.to_string(),
            what,
        });
    }

    /// Line and column of an offset, counted from 1, in characters.
    fn place(&self, offset: usize) -> (usize, usize) {
        let before = self
            .text
            .get(..offset.min(self.text.len()))
            .unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .map_or(0, |last| last.chars().count())
            + 1;
        (line, column)
    }
}

#[cfg(test)]
mod tests;
