//! Traces: recorded arrivals, read from a table and scaled.

use super::error::{TableError, TableProblem};
use super::rows::{Row, read_rows};
use crate::arrivals::Arrival;
use crate::load_profile::Micros;
use crate::plan::Plan;
use std::collections::BTreeMap;
use std::path::Path;

/// The fields of a trace's rows. The first is needed; the others have defaults.
pub const TRACE_FIELDS: [&str; 8] = [
    "due", "class", "tenant", "service", "room", "cores", "memory", "life",
];
/// Maximum time in a trace, in microseconds.
const MAX_TIME: f64 = 1e15;
/// How long tasks run in microseconds where neither the trace nor the plan says it.
const DEFAULT_RUN_TIME: f64 = 1e6;
/// Maximum factor by which the arrivals of a trace are repeated.
const MAX_RATE_FACTOR: f64 = 1_000.0;

/// Which column of a table holds which field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Columns(BTreeMap<String, String>);

/// Why a map of columns is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidColumns {
    /// A part is not `field=column`.
    #[error("expected field=column, found {found}")]
    NotAPair {
        /// The part.
        found: String,
    },
    /// There is no such field.
    #[error("no field {found}; there are {}", TRACE_FIELDS.join(", "))]
    UnknownField {
        /// The field.
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
    /// Parses `due=ts,class=kind`; fields that are not named keep their names.
    ///
    /// # Errors
    ///
    /// A part is not a pair, or names no field.
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

    /// The column of a field.
    fn column(&self, field: &str) -> &str {
        self.0.get(field).map_or("", String::as_str)
    }
}

/// The unit of times in a trace.
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

/// What happens to rows that can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadRows {
    /// They are an error.
    Fail,
    /// They are counted and left out.
    Skip,
}

/// A trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Its arrivals in order, the first due at 0.
    pub arrivals: Vec<Arrival>,
    /// Rows that were left out.
    pub skipped: usize,
}

/// Reads a trace. Names of classes, tenants and zones are those of the plan.
///
/// # Errors
///
/// The file can't be read, is truncated or has no valid row; or a row is invalid and is not to be skipped.
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
    // Order and gaps are kept; arrivals at the same time stay in the order of the file.
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

/// A problem of a field.
struct FieldError {
    field: &'static str,
    problem: TableProblem,
}

/// Reads arrivals from rows.
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

    /// The index of the name in a field; the first where the row has none.
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
    /// Returns the arrivals between two times, moved to begin at 0.
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

    /// Returns the trace with all times multiplied.
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

    /// Returns a trace with `rate` times as many arrivals at the same times: each is repeated so often, with the
    /// fraction spread evenly over the trace.
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
