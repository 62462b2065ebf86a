//! Reads single settings by path and parses their values.

use super::{SettingsByPath, SettingsError, millis_to_micros, parse_number};
use crate::types::Micros;
use std::fmt::Write;

/// Settings by path, with a method for each form of value.
pub(super) struct Reader<'a> {
    pub(super) settings: &'a SettingsByPath,
}

impl<'a> Reader<'a> {
    /// Returns whether a setting is present.
    pub(super) fn has(&self, path: &str) -> bool {
        self.settings.contains_key(path)
    }

    pub(super) fn text(&self, path: &str) -> Result<&'a str, SettingsError> {
        let value = self.settings.get(path).map(String::as_str);
        value.ok_or_else(|| SettingsError::Missing {
            path: path.to_string(),
        })
    }

    pub(super) fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let text = self.text(path)?;
        parse_number(text).ok_or_else(|| bad_value(path, text, "a number"))
    }

    pub(super) fn number_or(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        if self.has(path) {
            self.number(path)
        } else {
            Ok(default)
        }
    }

    /// Reads a duration, which the setting states in milliseconds.
    pub(super) fn duration(&self, path: &str) -> Result<Micros, SettingsError> {
        self.number(path).map(millis_to_micros)
    }

    pub(super) fn count(&self, path: &str) -> Result<usize, SettingsError> {
        let text = self.text(path)?;
        text.parse()
            .map_err(|_| bad_value(path, text, "a whole number"))
    }

    pub(super) fn count_or_zero(&self, path: &str) -> Result<usize, SettingsError> {
        if self.has(path) {
            self.count(path)
        } else {
            Ok(0)
        }
    }

    pub(super) fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(bad_value(path, other, "true or false")),
        }
    }

    pub(super) fn names(&self, path: &str) -> Result<Vec<String>, SettingsError> {
        Ok(items(self.text(path)?).map(str::to_string).collect())
    }

    /// Reads a setting whose value is one of the words in `table`, and returns the value that the table lists for the
    /// word.
    pub(super) fn one_of<T: Copy>(
        &self,
        path: &str,
        table: &[(&str, T)],
    ) -> Result<T, SettingsError> {
        look_up(path, self.text(path)?, table)
    }

    /// Reads item `index` of a list that has one item for each class, tenant or host kind.
    pub(super) fn item(&self, path: &str, index: usize) -> Result<&'a str, SettingsError> {
        let item = items(self.text(path)?).nth(index);
        item.ok_or_else(|| SettingsError::TooFewItems {
            path: path.to_string(),
        })
    }

    pub(super) fn item_number(&self, path: &str, index: usize) -> Result<f64, SettingsError> {
        let text = self.item(path, index)?;
        parse_number(text).ok_or_else(|| bad_value(path, text, "a number"))
    }
}

/// Returns the value that `table` lists for a word.
///
/// # Errors
///
/// Returns an error that lists the words of the table if the word is not among them.
pub(super) fn look_up<T: Copy>(
    path: &str,
    word: &str,
    table: &[(&str, T)],
) -> Result<T, SettingsError> {
    let found = table
        .iter()
        .find(|(name, _)| *name == word)
        .map(|(_, value)| *value);
    found.ok_or_else(|| {
        let mut expected = String::from("one of");
        for (name, _) in table {
            write!(expected, " {name}").expect("writing to a String cannot fail");
        }
        bad_value(path, word, &expected)
    })
}

fn bad_value(path: &str, found: &str, expected: &str) -> SettingsError {
    SettingsError::BadValue {
        path: path.to_string(),
        found: found.to_string(),
        expected: expected.to_string(),
    }
}

/// Splits a comma-separated list, skipping empty items and `-`, which stands for an absent item.
fn items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .filter(|item| !item.is_empty() && *item != "-")
}
