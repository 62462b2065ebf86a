//! The types of values: how each is read from TOML, and how it is formatted.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::DeValue;

/// The maximum duration: sums of durations and times of the clock stay far below the range of `Micros`.
const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);

/// Why a value can't be read.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// The value has another type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// A description of the expected value.
        expected: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// The number is infinite or NaN.
    #[error("expected a finite number, found {0}")]
    NotFinite(String),
    /// The number is negative or too large.
    #[error("expected a non-negative integer of at most 64 bits, found {0}")]
    NotUnsigned(String),
    /// The string is not a duration.
    #[error("expected {expected}, found \"{found}\": {source}")]
    NotDuration {
        /// A description of the expected value.
        expected: &'static str,
        /// The string that was found.
        found: String,
        /// The error of the duration parser.
        source: humantime::DurationError,
    },
    /// The duration exceeds a year.
    #[error("expected at most a year, found \"{0}\"")]
    TooLong(String),
    /// The string does not have the expected form.
    #[error("expected {expected}, found \"{found}\"")]
    WrongForm {
        /// A description of the expected value.
        expected: &'static str,
        /// The string that was found.
        found: String,
    },
    /// An item of a list is invalid.
    #[error("item {index}: {source}")]
    Item {
        /// The index of the item, from 0.
        index: usize,
        /// The error of the item.
        source: Box<InvalidValue>,
    },
}

/// A type of values in the file.
pub trait Value: Sized {
    /// A description of the expected value, for error messages.
    const EXPECTED: &'static str;

    /// Converts a TOML value to this type.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidValue`], which says what was expected and what was found.
    fn read(value: &DeValue<'_>) -> Result<Self, InvalidValue>;

    /// Formats the value as it would be written in the file.
    fn show(&self) -> String;
}

fn wrong_type<T: Value>(value: &DeValue<'_>) -> InvalidValue {
    InvalidValue::WrongType {
        expected: T::EXPECTED,
        found: value.type_str(),
    }
}

fn wrong_form<T: Value>(found: &str) -> InvalidValue {
    InvalidValue::WrongForm {
        expected: T::EXPECTED,
        found: found.to_string(),
    }
}

fn read_text<'v, T: Value>(value: &'v DeValue<'_>) -> Result<&'v str, InvalidValue> {
    value.as_str().ok_or_else(|| wrong_type::<T>(value))
}

impl Value for bool {
    const EXPECTED: &'static str = "true or false";

    fn read(value: &DeValue<'_>) -> Result<bool, InvalidValue> {
        value.as_bool().ok_or_else(|| wrong_type::<bool>(value))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn read(value: &DeValue<'_>) -> Result<f64, InvalidValue> {
        let text = match value {
            DeValue::Float(float) => float.as_str().to_string(),
            DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().to_string(),
            _ => return Err(wrong_type::<f64>(value)),
        };
        let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
        number.ok_or(InvalidValue::NotFinite(text))
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl Value for u64 {
    const EXPECTED: &'static str = "an integer";

    fn read(value: &DeValue<'_>) -> Result<u64, InvalidValue> {
        let DeValue::Integer(integer) = value else {
            return Err(wrong_type::<u64>(value));
        };
        u64::from_str_radix(integer.as_str(), integer.radix())
            .map_err(|_| InvalidValue::NotUnsigned(integer.as_str().to_string()))
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for Duration {
    const EXPECTED: &'static str = "a duration such as \"250ms\" or \"10s\"";

    fn read(value: &DeValue<'_>) -> Result<Duration, InvalidValue> {
        let text = read_text::<Duration>(value)?;
        let duration =
            humantime::parse_duration(text).map_err(|source| InvalidValue::NotDuration {
                expected: Self::EXPECTED,
                found: text.to_string(),
                source,
            })?;
        if duration > MAX_DURATION {
            return Err(InvalidValue::TooLong(text.to_string()));
        }
        Ok(duration)
    }

    fn show(&self) -> String {
        let text = humantime::format_duration(*self).to_string();
        format!("\"{}\"", text.replace(' ', ""))
    }
}

impl Value for String {
    const EXPECTED: &'static str = "a string";

    fn read(value: &DeValue<'_>) -> Result<String, InvalidValue> {
        read_text::<String>(value).map(str::to_string)
    }

    fn show(&self) -> String {
        format!("{self:?}")
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an address with a port, such as \"127.0.0.1:9100\"";

    fn read(value: &DeValue<'_>) -> Result<SocketAddr, InvalidValue> {
        let text = read_text::<SocketAddr>(value)?;
        text.parse().map_err(|_| wrong_form::<SocketAddr>(text))
    }

    fn show(&self) -> String {
        format!("\"{self}\"")
    }
}

impl Value for PathBuf {
    const EXPECTED: &'static str = "an absolute path";

    fn read(value: &DeValue<'_>) -> Result<PathBuf, InvalidValue> {
        let text = read_text::<PathBuf>(value)?;
        let path = PathBuf::from(text);
        if path.is_absolute() {
            Ok(path)
        } else {
            Err(wrong_form::<PathBuf>(text))
        }
    }

    fn show(&self) -> String {
        format!("{:?}", self.to_string_lossy())
    }
}

impl<T: Value> Value for Vec<T> {
    const EXPECTED: &'static str = "a list";

    fn read(value: &DeValue<'_>) -> Result<Vec<T>, InvalidValue> {
        let items = value
            .as_array()
            .ok_or_else(|| wrong_type::<Vec<T>>(value))?;
        let read_item = |(index, item): (usize, &toml::Spanned<DeValue<'_>>)| {
            T::read(item.get_ref()).map_err(|source| InvalidValue::Item {
                index,
                source: Box::new(source),
            })
        };
        items.iter().enumerate().map(read_item).collect()
    }

    fn show(&self) -> String {
        let items: Vec<String> = self.iter().map(Value::show).collect();
        format!("[{}]", items.join(", "))
    }
}
