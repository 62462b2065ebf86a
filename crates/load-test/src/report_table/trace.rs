//! Reads traces of recorded arrivals from a table, and cuts and scales them.

use super::error::{TableError, TableProblem};
use super::rows::{Row, read_rows};
use crate::arrivals::Arrival;
use crate::load_profile::Micros;
use crate::plan::Plan;
use std::collections::BTreeMap;
use std::path::Path;

/// The fields of a row of a trace. The first is required; the others have defaults.
pub const TRACE_FIELDS: [&str; 8] = [
    "due", "class", "tenant", "service", "room", "cores", "memory", "life",
];
/// Maximum due time and run time in a trace, in microseconds; longer ones are reduced to it.
const MAX_TIME: f64 = 1e15;
/// Run time of a task in microseconds if neither the trace nor the plan specifies one.
const DEFAULT_RUN_TIME: f64 = 1e6;
/// Maximum factor on the number of arrivals of a trace.
const MAX_RATE_FACTOR: f64 = 1_000.0;

/// Maps each field of a trace to the column of the table that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Columns(BTreeMap<String, String>);

/// Errors in the text that maps fields to columns.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidColumns {
    /// A part of the text does not have the form `field=column`.
    #[error("expected field=column, found {found}")]
    NotAPair {
        /// The invalid part.
        found: String,
    },
    /// A part names a field that traces do not have.
    #[error("unknown field {found}; expected one of {}", TRACE_FIELDS.join(", "))]
    UnknownField {
        /// The unknown field.
        found: String,
    },
}

impl Default for Columns {
    fn default() -> Columns {
        let identity = TRACE_FIELDS.map(|field| (field.to_string(), field.to_string()));
        Columns(BTreeMap::from(identity))
    }
}

impl Columns {
    /// Parses a text such as `due=ts,class=kind`. A field that the text does not map is read from the column of its own
    /// name.
    ///
    /// # Errors
    ///
    /// A part does not have the form `field=column`, or its field does not exist.
    pub fn parse(text: &str) -> Result<Columns, InvalidColumns> {
        let mut columns = Columns::default();
        for pair in text.split(',').filter(|pair| !pair.trim().is_empty()) {
            let (field, column) = pair
                .split_once('=')
                .ok_or_else(|| InvalidColumns::NotAPair {
                    found: pair.to_string(),
                })?;
            let mapped = columns.0.get_mut(field.trim());
            let mapped = mapped.ok_or_else(|| InvalidColumns::UnknownField {
                found: field.to_string(),
            })?;
            *mapped = column.trim().to_string();
        }
        Ok(columns)
    }

    /// Returns the column that holds a field.
    fn column(&self, field: &str) -> &str {
        self.0.get(field).map_or("", String::as_str)
    }
}

/// The unit of the times in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeUnit {
    /// Microseconds.
    Micros,
    /// Milliseconds.
    Millis,
    /// Seconds.
    Seconds,
}

impl TimeUnit {
    fn to_micros(self, value: f64) -> f64 {
        match self {
            TimeUnit::Micros => value,
            TimeUnit::Millis => value * 1e3,
            TimeUnit::Seconds => value * 1e6,
        }
    }
}

/// What to do with invalid rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadRows {
    /// Reading fails at the first invalid row.
    Fail,
    /// Invalid rows are skipped and counted.
    Skip,
}

/// A list of recorded arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Arrivals in the order of their due times; the first of a trace that was read is due at 0.
    pub arrivals: Vec<Arrival>,
    /// Number of invalid rows that were skipped.
    pub skipped: usize,
}

/// Reads a trace from a file. The names of classes, tenants and zones in it must be those of the plan.
///
/// # Errors
///
/// The file can't be read, is truncated or has no valid row; or a row is invalid and `bad_rows` is [`BadRows::Fail`].
pub fn read_trace(
    file: &Path,
    plan: &Plan,
    columns: &Columns,
    unit: TimeUnit,
    bad_rows: BadRows,
) -> Result<Trace, TableError> {
    let mut arrivals = Vec::new();
    let mut skipped = 0;
    let reader = RowReader {
        plan,
        columns,
        unit,
    };
    read_rows(file, &mut |number, row: Result<Row, TableError>| {
        let arrival = row.and_then(|row| {
            reader.arrival(&row).map_err(|e| TableError {
                column: Some(columns.column(e.field).to_string()),
                ..TableError::in_row(file, number, e.problem)
            })
        });
        match arrival {
            Ok(arrival) => arrivals.push(arrival),
            Err(_) if bad_rows == BadRows::Skip => skipped += 1,
            Err(e) => return Err(e),
        }
        Ok(())
    })?;
    // The sort is stable: arrivals with the same due time stay in the order of the file. The gaps between due times are
    // kept; only their start moves to 0.
    arrivals.sort_by_key(|arrival| arrival.due);
    let first = arrivals.first().map_or(0, |arrival| arrival.due);
    for arrival in &mut arrivals {
        arrival.due -= first;
    }
    if arrivals.is_empty() {
        return Err(TableError::in_file(file, TableProblem::NoRows { skipped }));
    }
    Ok(Trace { arrivals, skipped })
}

/// An invalid value of a field.
struct FieldError {
    field: &'static str,
    problem: TableProblem,
}

/// Converts rows to arrivals.
struct RowReader<'a> {
    plan: &'a Plan,
    columns: &'a Columns,
    unit: TimeUnit,
}

impl RowReader<'_> {
    fn text<'r>(&self, row: &'r Row, field: &str) -> Option<&'r str> {
        row.get(self.columns.column(field))
            .map(|text| text.trim())
            .filter(|text| !text.is_empty())
    }

    fn number(&self, row: &Row, field: &'static str) -> Result<Option<f64>, FieldError> {
        let Some(text) = self.text(row, field) else {
            return Ok(None);
        };
        let number = text
            .parse::<f64>()
            .ok()
            .filter(|number| number.is_finite() && *number >= 0.0);
        number.map(Some).ok_or_else(|| FieldError {
            field,
            problem: TableProblem::NotANumber {
                found: text.to_string(),
            },
        })
    }

    /// Returns the index in `names` of the name that a field holds; 0 if the field is empty.
    fn index(&self, row: &Row, field: &'static str, names: &[&str]) -> Result<usize, FieldError> {
        let Some(text) = self.text(row, field) else {
            return Ok(0);
        };
        let index = names.iter().position(|name| *name == text);
        index.ok_or_else(|| FieldError {
            field,
            problem: TableProblem::UnknownName {
                expected: names.iter().map(ToString::to_string).collect(),
                found: text.to_string(),
            },
        })
    }

    fn arrival(&self, row: &Row) -> Result<Arrival, FieldError> {
        let plan = self.plan;
        let due = self.number(row, "due")?.ok_or(FieldError {
            field: "due",
            problem: TableProblem::NoTime,
        })?;
        let classes: Vec<&str> = plan.classes.iter().map(|c| c.name.as_str()).collect();
        let class = self.index(row, "class", &classes)?;
        let defaults = plan.classes.get(class);
        let size = defaults
            .and_then(|class| class.sizes.first())
            .copied()
            .unwrap_or_default();
        let run_time = self
            .number(row, "life")?
            .map(|run_time| self.unit.to_micros(run_time));
        let default_run_time =
            defaults.map_or(DEFAULT_RUN_TIME, |class| class.run_time.as_micros() as f64);
        let tenants: Vec<&str> = plan.tenants.iter().map(|t| t.name.as_str()).collect();
        let zones: Vec<&str> = plan.zones.iter().map(String::as_str).collect();
        Ok(Arrival {
            due: self.unit.to_micros(due).min(MAX_TIME) as Micros,
            class,
            tenant: self.index(row, "tenant", &tenants)?,
            service: self.number(row, "service")?.unwrap_or(0.0) as u32,
            zone: self.index(row, "room", &zones)?,
            cores: self.number(row, "cores")?.unwrap_or(size.cores),
            memory: self.number(row, "memory")?.unwrap_or(size.memory),
            run_time: run_time.unwrap_or(default_run_time).min(MAX_TIME) as Micros,
        })
    }
}

impl Trace {
    /// Returns the arrivals due from `from` until before `to`, with `from` subtracted from their due times.
    pub fn cut(&self, from: Micros, to: Micros) -> Trace {
        let within = self
            .arrivals
            .iter()
            .filter(|arrival| (from..to).contains(&arrival.due));
        let arrivals = within
            .map(|arrival| Arrival {
                due: arrival.due - from,
                ..arrival.clone()
            })
            .collect();
        Trace {
            arrivals,
            skipped: self.skipped,
        }
    }

    /// Returns the trace with all due times multiplied by a factor.
    pub fn scale_time(&self, factor: f64) -> Trace {
        let arrivals = self.arrivals.iter().map(|arrival| Arrival {
            due: (arrival.due as f64 * factor) as Micros,
            ..arrival.clone()
        });
        Trace {
            arrivals: arrivals.collect(),
            skipped: self.skipped,
        }
    }

    /// Returns a trace with `rate` times as many arrivals at the same due times. Each arrival is repeated `rate` times;
    /// the repetitions for the fractional part of `rate` are spread evenly over the trace.
    pub fn scale_rate(&self, rate: f64) -> Trace {
        let mut arrivals = Vec::new();
        let rate = rate.clamp(0.0, MAX_RATE_FACTOR);
        let mut pending = 0.0;
        for arrival in &self.arrivals {
            pending += rate;
            while pending >= 1.0 {
                arrivals.push(arrival.clone());
                pending -= 1.0;
            }
        }
        Trace {
            arrivals,
            skipped: self.skipped,
        }
    }
}
