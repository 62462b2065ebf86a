//! Splits a line of the simulator's protocol into its message name and values, and parses the values.

use crate::error::{InputError, Problem};
use std::sync::Arc;
use task_placer::settings::{millis_to_micros, parse_number};
use task_placer::{HostId, Micros, Outcome, OutcomeDetail, RequestId};

/// The text that the protocol uses in place of an absent value.
pub const ABSENT: &str = "-";

/// A line of the protocol, split at tabs.
pub struct Fields<'a> {
    /// Line number, counted from 1.
    pub line: u64,
    /// Name of the message: the first field of the line.
    pub name: &'a str,
    /// Values that follow the name.
    pub values: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line at its tabs.
    pub fn new(line: u64, text: &'a str) -> Fields<'a> {
        let mut parts = text.split('\t');
        Fields {
            line,
            name: parts.next().unwrap_or(""),
            values: parts.collect(),
        }
    }

    /// Creates an error that names a field of this line and the problem with it.
    pub fn error(&self, field: &str, problem: Problem<'_>) -> InputError {
        InputError::new(self.line, field, format_args!("{problem} ({})", self.name))
    }

    /// Returns an error unless the message has the expected number of values.
    pub fn expect_count(&self, expected: usize) -> Result<(), InputError> {
        let found = self.values.len();
        if found == expected {
            return Ok(());
        }
        Err(self.error("message", Problem::WrongValueCount { found, expected }))
    }

    /// Returns a value that must not be empty.
    pub fn text(&self, index: usize, field: &str) -> Result<&'a str, InputError> {
        match self.values.get(index) {
            Some(value) if !value.is_empty() => Ok(value),
            _ => Err(self.error(field, Problem::Missing)),
        }
    }

    /// Parses an unsigned whole number.
    pub fn unsigned(&self, index: usize, field: &str) -> Result<u64, InputError> {
        let text = self.text(index, field)?;
        text.parse()
            .map_err(|_| self.error(field, Problem::NotWhole(text)))
    }

    /// Parses a finite number.
    pub fn number(&self, index: usize, field: &str) -> Result<f64, InputError> {
        let text = self.text(index, field)?;
        parse_number(text).ok_or_else(|| self.error(field, Problem::NotANumber(text)))
    }

    /// Parses a finite number; returns `default` if it is absent.
    pub fn number_or(&self, index: usize, field: &str, default: f64) -> Result<f64, InputError> {
        if self.text(index, field)? == ABSENT {
            Ok(default)
        } else {
            self.number(index, field)
        }
    }

    /// Parses a duration or point in time that the message states in milliseconds.
    pub fn micros(&self, index: usize, field: &str) -> Result<Micros, InputError> {
        self.number(index, field).map(millis_to_micros)
    }

    /// Parses a flag, 0 or 1; an absent flag is 0.
    pub fn flag(&self, index: usize, field: &str) -> Result<bool, InputError> {
        match self.text(index, field)? {
            "1" => Ok(true),
            "0" | ABSENT => Ok(false),
            other => Err(self.error(field, Problem::NotAFlag(other))),
        }
    }

    /// Parses a hexadecimal number; an absent number is 0.
    pub fn hex(&self, index: usize, field: &str) -> Result<u64, InputError> {
        let text = self.text(index, field)?;
        if text == ABSENT {
            return Ok(0);
        }
        u64::from_str_radix(text, 16).map_err(|_| self.error(field, Problem::NotHex(text)))
    }

    /// Returns the index of a name in `names`.
    pub fn name_index(
        &self,
        index: usize,
        field: &str,
        names: &[String],
    ) -> Result<usize, InputError> {
        let text = self.text(index, field)?;
        let found = names.iter().position(|name| name == text);
        found.ok_or_else(|| self.error(field, Problem::UnknownName(text)))
    }

    /// Parses a request id.
    pub fn request_id(&self, index: usize, field: &str) -> Result<RequestId, InputError> {
        self.text(index, field)
            .map(|text| RequestId(Arc::from(text)))
    }

    /// Parses a host id.
    pub fn host_id(&self, index: usize, field: &str) -> Result<HostId, InputError> {
        self.text(index, field).map(|text| HostId(Arc::from(text)))
    }

    /// Parses the number of an attempt, which the protocol calls `copy`.
    pub fn attempt(&self, index: usize) -> Result<u32, InputError> {
        let number = self.unsigned(index, "copy")?;
        u32::try_from(number).map_err(|_| self.error("copy", Problem::TooLarge))
    }

    /// Parses the comma-separated values of a load report. An absent report is empty, and an absent value is 0.
    pub fn load_report(&self, index: usize, field: &str) -> Result<Vec<f64>, InputError> {
        let text = self.text(index, field)?;
        if text == ABSENT {
            return Ok(Vec::new());
        }
        let values = text.split(',').map(|value| match value {
            ABSENT => Some(0.0),
            value => parse_number(value),
        });
        let values: Option<Vec<f64>> = values.collect();
        values.ok_or_else(|| self.error(field, Problem::NotNumbers(text)))
    }

    /// Parses the number that states how an attempt or health check ended.
    pub fn outcome(&self, index: usize) -> Result<Outcome, InputError> {
        match self.unsigned(index, "how")? {
            100 => Ok(Outcome::Completed),
            301 => Ok(Outcome::Error),
            302 => Ok(Outcome::Rejected),
            303 => Ok(Outcome::Timeout),
            304 => Ok(Outcome::ConnectFailed),
            305 => Ok(Outcome::Reset),
            306 => Ok(Outcome::Cancelled),
            307 => Ok(Outcome::NotSent),
            other => Err(self.error("how", Problem::UnknownOutcome(other))),
        }
    }

    /// Parses the number that states the reason for an attempt's outcome. Absent and unknown numbers give
    /// [`OutcomeDetail::Unknown`].
    pub fn outcome_detail(&self, index: usize) -> Result<OutcomeDetail, InputError> {
        if self.text(index, "detail")? == ABSENT {
            return Ok(OutcomeDetail::Unknown);
        }
        Ok(match self.unsigned(index, "detail")? {
            1 => OutcomeDetail::NoCores,
            2 => OutcomeDetail::NoMemory,
            3 => OutcomeDetail::QueueFull,
            4 => OutcomeDetail::NotEligible,
            5 => OutcomeDetail::Evicted,
            6 => OutcomeDetail::Preempted,
            7 => OutcomeDetail::Drained,
            _ => OutcomeDetail::Unknown,
        })
    }
}
