//! Tables on disk: every task of a run, and traces. Parquet, CSV and JSON lines.
//!
//! A trace is a list of arrivals that somebody recorded. Which column holds what is told by a map; a row that
//! can't be read is named by file, row, column and what was expected, or counted and left out where that is
//! asked for. A file that was cut is an error: half a trace is another evening.

use crate::arrivals::Arrival;
use crate::plan::Plan;
use crate::results::result;
use crate::run::Outcome;
use crate::shape::Micros;
use arrow_array::cast::AsArray;
use arrow_array::{
    Array, ArrayRef, Float64Array, Int64Array, RecordBatch, StringArray, UInt32Array, UInt64Array,
};
use arrow_schema::{DataType, Field, Schema};
use parquet::arrow::ArrowWriter;
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;

/// What is wrong with a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableError {
    /// The file.
    pub file: String,
    /// The row, counted from 1 without a header; 0 where it is the file itself.
    pub row: usize,
    /// The column; empty where it is the row itself.
    pub column: String,
    /// What was expected, and what was found.
    pub what: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.row > 0 {
            write!(f, ", row {}", self.row)?;
        }
        if !self.column.is_empty() {
            write!(f, ", column {}", self.column)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for TableError {}

fn whole(file: &Path, what: impl fmt::Display) -> TableError {
    TableError {
        file: file.display().to_string(),
        row: 0,
        column: String::new(),
        what: what.to_string(),
    }
}

/// Forms of tables, by the ending of a file's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Csv,
    Lines,
    Parquet,
}

fn form(file: &Path) -> Result<Form, TableError> {
    match file.extension().and_then(|e| e.to_str()) {
        Some("csv") => Ok(Form::Csv),
        Some("jsonl" | "ndjson") => Ok(Form::Lines),
        Some("parquet") => Ok(Form::Parquet),
        _ => Err(whole(
            file,
            "expected a name that ends in .csv, .jsonl or .parquet",
        )),
    }
}

/// Which column holds what: the name here, and the file's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Columns(BTreeMap<String, String>);

/// What a trace's rows hold. The first is needed; the others have defaults.
pub const FIELDS: [&str; 8] = [
    "due", "class", "tenant", "service", "room", "cores", "memory", "life",
];

impl Default for Columns {
    fn default() -> Columns {
        Columns(
            FIELDS
                .iter()
                .map(|name| (name.to_string(), name.to_string()))
                .collect(),
        )
    }
}

impl Columns {
    /// Reads `due=ts,class=kind`: what is not named keeps its name.
    pub fn parse(text: &str) -> Result<Columns, String> {
        let mut columns = Columns::default();
        for pair in text.split(',').filter(|pair| !pair.trim().is_empty()) {
            let (field, column) = pair
                .split_once('=')
                .ok_or_else(|| format!("expected field=column, found {pair}"))?;
            let known = columns.0.get_mut(field.trim());
            *known.ok_or_else(|| format!("no field {field}; there are {}", FIELDS.join(", ")))? =
                column.trim().to_string();
        }
        Ok(columns)
    }

    fn of(&self, field: &str) -> &str {
        self.0.get(field).map_or("", String::as_str)
    }
}

/// How times are written in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Microseconds.
    Micros,
    /// Milliseconds.
    Millis,
    /// Seconds.
    Seconds,
}

impl Unit {
    fn micros(self, value: f64) -> f64 {
        match self {
            Unit::Micros => value,
            Unit::Millis => value * 1e3,
            Unit::Seconds => value * 1e6,
        }
    }
}

/// A trace, and how many rows were left out.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// Its arrivals, the first due at 0, in order.
    pub arrivals: Vec<Arrival>,
    /// Rows that could not be read.
    pub skipped: usize,
}

/// A row of a table, as texts by column.
type Row = BTreeMap<String, String>;

/// Reads a trace. Names of classes, tenants and rooms are those of the plan.
pub fn read_trace(
    file: &Path,
    plan: &Plan,
    columns: &Columns,
    unit: Unit,
    skip_bad: bool,
) -> Result<Trace, TableError> {
    let mut arrivals = Vec::new();
    let mut skipped = 0;
    let mut take = |n: usize, row: Result<Row, TableError>| match row
        .and_then(|row| arrival(file, n, &row, plan, columns, unit))
    {
        Ok(arrival) => {
            arrivals.push(arrival);
            Ok(())
        }
        Err(_) if skip_bad => {
            skipped += 1;
            Ok(())
        }
        Err(e) => Err(e),
    };
    match form(file)? {
        Form::Csv => rows_of_csv(file, &mut take)?,
        Form::Lines => rows_of_lines(file, &mut take)?,
        Form::Parquet => rows_of_parquet(file, &mut take)?,
    }
    // Order and gaps are kept; what came at once stays in the order of the file.
    arrivals.sort_by_key(|arrival| arrival.due);
    let first = arrivals.first().map_or(0, |arrival| arrival.due);
    arrivals.iter_mut().for_each(|arrival| arrival.due -= first);
    if arrivals.is_empty() {
        return Err(whole(
            file,
            format!("no row could be read, {skipped} were left out"),
        ));
    }
    Ok(Trace { arrivals, skipped })
}

fn rows_of_csv(
    file: &Path,
    take: &mut impl FnMut(usize, Result<Row, TableError>) -> Result<(), TableError>,
) -> Result<(), TableError> {
    ends_whole(file)?;
    let mut reader = csv::Reader::from_path(file).map_err(|e| whole(file, e))?;
    let header: Vec<String> = reader
        .headers()
        .map_err(|e| whole(file, e))?
        .iter()
        .map(str::to_string)
        .collect();
    for (n, record) in reader.records().enumerate() {
        let row = record
            .map(|record| {
                header
                    .iter()
                    .cloned()
                    .zip(record.iter().map(str::to_string))
                    .collect()
            })
            .map_err(|e| TableError {
                row: n + 1,
                ..whole(file, e)
            });
        take(n + 1, row)?;
    }
    Ok(())
}

fn rows_of_lines(
    file: &Path,
    take: &mut impl FnMut(usize, Result<Row, TableError>) -> Result<(), TableError>,
) -> Result<(), TableError> {
    ends_whole(file)?;
    let reader = BufReader::new(File::open(file).map_err(|e| whole(file, e))?);
    for (n, line) in reader.split(b'\n').enumerate() {
        let mut line = line.map_err(|e| whole(file, e))?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let bad = |what: String| TableError {
            row: n + 1,
            ..whole(file, what)
        };
        let value = simd_json::to_owned_value(&mut line)
            .map_err(|e| bad(format!("expected a JSON object: {e}")));
        let row = value.and_then(|value| {
            let object = value
                .as_object()
                .ok_or_else(|| bad("expected a JSON object".into()))?;
            Ok(object
                .iter()
                .map(|(k, v)| {
                    (
                        k.to_string(),
                        v.as_str().map_or_else(|| v.encode(), str::to_string),
                    )
                })
                .collect())
        });
        take(n + 1, row)?;
    }
    Ok(())
}

/// A text that does not end in a line feed was cut.
fn ends_whole(file: &Path) -> Result<(), TableError> {
    use std::io::{Read, Seek, SeekFrom};
    let mut open = File::open(file).map_err(|e| whole(file, e))?;
    let mut last = [0];
    if open.seek(SeekFrom::End(-1)).is_err() || open.read_exact(&mut last).is_err() {
        return Err(whole(file, "it is empty"));
    }
    if last == [b'\n'] {
        Ok(())
    } else {
        Err(whole(file, "it is cut: the last line has no end"))
    }
}

fn rows_of_parquet(
    file: &Path,
    take: &mut impl FnMut(usize, Result<Row, TableError>) -> Result<(), TableError>,
) -> Result<(), TableError> {
    // The table of contents is at the end: a cut file has none.
    let open = File::open(file).map_err(|e| whole(file, e))?;
    let reader = ParquetRecordBatchReaderBuilder::try_new(open).and_then(|builder| builder.build());
    let mut n = 0;
    for batch in reader.map_err(|e| whole(file, format!("it is cut, or no Parquet: {e}")))? {
        let batch = batch.map_err(|e| whole(file, e))?;
        let schema = batch.schema();
        for place in 0..batch.num_rows() {
            n += 1;
            let cell = |(field, column): (&Arc<Field>, &ArrayRef)| {
                Some((field.name().clone(), cell(column, place)?))
            };
            let row = schema
                .fields()
                .iter()
                .zip(batch.columns())
                .filter_map(cell)
                .collect();
            take(n, Ok(row))?;
        }
    }
    Ok(())
}

/// A cell as text; none where it is empty or of a type that no trace uses.
fn cell(column: &ArrayRef, place: usize) -> Option<String> {
    use arrow_array::types::{
        Float32Type, Float64Type, Int32Type, Int64Type, UInt32Type, UInt64Type,
    };
    if column.is_null(place) {
        return None;
    }
    match column.data_type() {
        DataType::Utf8 => Some(column.as_string::<i32>().value(place).to_string()),
        DataType::LargeUtf8 => Some(column.as_string::<i64>().value(place).to_string()),
        DataType::Int32 => Some(column.as_primitive::<Int32Type>().value(place).to_string()),
        DataType::Int64 => Some(column.as_primitive::<Int64Type>().value(place).to_string()),
        DataType::UInt32 => Some(column.as_primitive::<UInt32Type>().value(place).to_string()),
        DataType::UInt64 => Some(column.as_primitive::<UInt64Type>().value(place).to_string()),
        DataType::Float32 => Some(
            column
                .as_primitive::<Float32Type>()
                .value(place)
                .to_string(),
        ),
        DataType::Float64 => Some(
            column
                .as_primitive::<Float64Type>()
                .value(place)
                .to_string(),
        ),
        _ => None,
    }
}

fn arrival(
    file: &Path,
    n: usize,
    row: &Row,
    plan: &Plan,
    columns: &Columns,
    unit: Unit,
) -> Result<Arrival, TableError> {
    let bad = |field: &str, what: String| TableError {
        file: file.display().to_string(),
        row: n,
        column: columns.of(field).to_string(),
        what,
    };
    let text = |field: &str| {
        row.get(columns.of(field))
            .map(|text| text.trim())
            .filter(|text| !text.is_empty())
    };
    let number = |field: &str| match text(field) {
        None => Ok(None),
        Some(text) => {
            let read = text
                .parse::<f64>()
                .ok()
                .filter(|v| v.is_finite() && *v >= 0.0);
            read.map(Some).ok_or_else(|| {
                bad(
                    field,
                    format!("expected a number from 0 on, found {text:?}"),
                )
            })
        }
    };
    let place = |field: &str, names: Vec<&str>| match text(field) {
        None => Ok(0),
        Some(text) => names.iter().position(|name| *name == text).ok_or_else(|| {
            bad(
                field,
                format!("expected one of {}, found {text:?}", names.join(", ")),
            )
        }),
    };
    let due = number("due")?.ok_or_else(|| bad("due", "expected a time, found nothing".into()))?;
    let class = place(
        "class",
        plan.classes.iter().map(|c| c.name.as_str()).collect(),
    )?;
    let default = plan.classes.get(class);
    let size = default
        .and_then(|c| c.sizes.first())
        .copied()
        .unwrap_or([1.0, 1.0]);
    let life = number("life")?.map(|life| unit.micros(life));
    Ok(Arrival {
        due: unit.micros(due).min(1e15) as Micros,
        class,
        tenant: place(
            "tenant",
            plan.tenants.iter().map(|t| t.name.as_str()).collect(),
        )?,
        service: number("service")?.unwrap_or(0.0) as u32,
        room: place("room", plan.rooms.iter().map(String::as_str).collect())?,
        cores: number("cores")?.unwrap_or(size[0]),
        memory: number("memory")?.unwrap_or(size[1]),
        life: life
            .or(default.map(|c| c.life.as_micros() as f64))
            .unwrap_or(1e6)
            .min(1e15) as Micros,
    })
}

impl Trace {
    /// What was due between two times, moved to begin at 0.
    pub fn cut(&self, from: Micros, to: Micros) -> Trace {
        let within = self.arrivals.iter().filter(|a| (from..to).contains(&a.due));
        let arrivals = within
            .map(|a| Arrival {
                due: a.due - from,
                ..a.clone()
            })
            .collect();
        Trace {
            arrivals,
            skipped: self.skipped,
        }
    }

    /// The same in `time` times the time: gaps shrink or grow together.
    pub fn scale_time(&self, time: f64) -> Trace {
        let arrivals = self.arrivals.iter().map(|a| Arrival {
            due: (a.due as f64 * time) as Micros,
            ..a.clone()
        });
        Trace {
            arrivals: arrivals.collect(),
            skipped: self.skipped,
        }
    }

    /// `rate` times as many at the same times: each arrival is taken so often, a part of them once more or
    /// not at all, evenly over the trace.
    pub fn scale_rate(&self, rate: f64) -> Trace {
        let mut arrivals = Vec::new();
        let (mut owed, rate) = (0.0, rate.clamp(0.0, 1_000.0));
        for arrival in &self.arrivals {
            owed += rate;
            while owed >= 1.0 {
                arrivals.push(arrival.clone());
                owed -= 1.0;
            }
        }
        Trace {
            arrivals,
            skipped: self.skipped,
        }
    }
}

fn schema(fields: &[(&str, DataType)]) -> Arc<Schema> {
    Arc::new(Schema::new(
        fields
            .iter()
            .map(|(name, kind)| Field::new(*name, kind.clone(), true))
            .collect::<Vec<_>>(),
    ))
}

fn write_parquet(
    file: &Path,
    schema: Arc<Schema>,
    columns: Vec<ArrayRef>,
) -> Result<(), TableError> {
    let batch = RecordBatch::try_new(schema.clone(), columns).map_err(|e| whole(file, e))?;
    let open = File::create(file).map_err(|e| whole(file, e))?;
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let mut writer =
        ArrowWriter::try_new(open, schema, Some(properties)).map_err(|e| whole(file, e))?;
    writer.write(&batch).map_err(|e| whole(file, e))?;
    writer.close().map(drop).map_err(|e| whole(file, e))
}

fn numbers(values: impl Iterator<Item = Option<i64>>) -> ArrayRef {
    Arc::new(values.collect::<Int64Array>())
}

fn texts<'a>(values: impl Iterator<Item = Option<&'a str>>) -> ArrayRef {
    Arc::new(values.collect::<StringArray>())
}

/// Writes arrivals as a trace, with times in microseconds.
pub fn write_trace(file: &Path, plan: &Plan, arrivals: &[Arrival]) -> Result<(), TableError> {
    let class = |a: &Arrival| plan.classes.get(a.class).map(|c| c.name.as_str());
    let tenant = |a: &Arrival| plan.tenants.get(a.tenant).map(|t| t.name.as_str());
    let room = |a: &Arrival| plan.rooms.get(a.room).map(String::as_str);
    match form(file)? {
        Form::Csv => {
            let mut writer = csv::Writer::from_path(file).map_err(|e| whole(file, e))?;
            writer.write_record(FIELDS).map_err(|e| whole(file, e))?;
            for a in arrivals {
                let row = [
                    a.due.to_string(),
                    class(a).unwrap_or_default().into(),
                    tenant(a).unwrap_or_default().into(),
                    a.service.to_string(),
                    room(a).unwrap_or_default().into(),
                    a.cores.to_string(),
                    a.memory.to_string(),
                    a.life.to_string(),
                ];
                writer.write_record(row).map_err(|e| whole(file, e))?;
            }
            writer.flush().map_err(|e| whole(file, e))
        }
        Form::Lines => {
            let mut out = BufWriter::new(File::create(file).map_err(|e| whole(file, e))?);
            for a in arrivals {
                let line = simd_json::json!({
                    "due": a.due, "class": class(a), "tenant": tenant(a), "service": a.service, "room": room(a),
                    "cores": a.cores, "memory": a.memory, "life": a.life
                });
                writeln!(out, "{}", line.encode()).map_err(|e| whole(file, e))?;
            }
            out.flush().map_err(|e| whole(file, e))
        }
        Form::Parquet => {
            let schema = schema(&[
                ("due", DataType::Int64),
                ("class", DataType::Utf8),
                ("tenant", DataType::Utf8),
                ("service", DataType::UInt32),
                ("room", DataType::Utf8),
                ("cores", DataType::Float64),
                ("memory", DataType::Float64),
                ("life", DataType::Int64),
            ]);
            let columns: Vec<ArrayRef> = vec![
                numbers(arrivals.iter().map(|a| Some(a.due))),
                texts(arrivals.iter().map(class)),
                texts(arrivals.iter().map(tenant)),
                Arc::new(
                    arrivals
                        .iter()
                        .map(|a| Some(a.service))
                        .collect::<UInt32Array>(),
                ),
                texts(arrivals.iter().map(room)),
                Arc::new(
                    arrivals
                        .iter()
                        .map(|a| Some(a.cores))
                        .collect::<Float64Array>(),
                ),
                Arc::new(
                    arrivals
                        .iter()
                        .map(|a| Some(a.memory))
                        .collect::<Float64Array>(),
                ),
                numbers(arrivals.iter().map(|a| Some(a.life))),
            ];
            write_parquet(file, schema, columns)
        }
    }
}

/// Writes every task of a run as Parquet; times are microseconds from when the task was due, and empty where
/// there was none.
pub fn write_tasks(file: &Path, outcome: &Outcome) -> Result<(), TableError> {
    let plan = &outcome.plan;
    let tasks = &outcome.tasks;
    let schema = schema(&[
        ("key", DataType::UInt64),
        ("due", DataType::Int64),
        ("class", DataType::Utf8),
        ("tenant", DataType::Utf8),
        ("service", DataType::UInt32),
        ("room", DataType::Utf8),
        ("phase", DataType::Utf8),
        ("cores", DataType::Float64),
        ("memory", DataType::Float64),
        ("life", DataType::Int64),
        ("started", DataType::Int64),
        ("answered", DataType::Int64),
        ("attempts", DataType::UInt32),
        ("refused", DataType::UInt32),
        ("placer", DataType::Int64),
        ("result", DataType::Utf8),
        ("fate", DataType::Utf8),
    ]);
    let columns: Vec<ArrayRef> = vec![
        Arc::new(tasks.iter().map(|t| Some(t.key)).collect::<UInt64Array>()),
        numbers(tasks.iter().map(|t| Some(t.arrival.due))),
        texts(
            tasks
                .iter()
                .map(|t| plan.classes.get(t.arrival.class).map(|c| c.name.as_str())),
        ),
        texts(
            tasks
                .iter()
                .map(|t| plan.tenants.get(t.arrival.tenant).map(|x| x.name.as_str())),
        ),
        Arc::new(
            tasks
                .iter()
                .map(|t| Some(t.arrival.service))
                .collect::<UInt32Array>(),
        ),
        texts(
            tasks
                .iter()
                .map(|t| plan.rooms.get(t.arrival.room).map(String::as_str)),
        ),
        texts(
            tasks
                .iter()
                .map(|t| outcome.shape.phases.get(t.phase).map(|p| p.name.as_str())),
        ),
        Arc::new(
            tasks
                .iter()
                .map(|t| Some(t.arrival.cores))
                .collect::<Float64Array>(),
        ),
        Arc::new(
            tasks
                .iter()
                .map(|t| Some(t.arrival.memory))
                .collect::<Float64Array>(),
        ),
        numbers(tasks.iter().map(|t| Some(t.arrival.life))),
        numbers(tasks.iter().map(|t| t.started)),
        numbers(tasks.iter().map(|t| t.answered)),
        Arc::new(
            tasks
                .iter()
                .map(|t| Some(t.attempts))
                .collect::<UInt32Array>(),
        ),
        Arc::new(
            tasks
                .iter()
                .map(|t| Some(t.refused))
                .collect::<UInt32Array>(),
        ),
        numbers(
            tasks
                .iter()
                .map(|t| t.placer.and_then(|p| i64::try_from(p).ok())),
        ),
        texts(tasks.iter().map(|t| Some(result(outcome, t).as_str()))),
        texts(
            tasks
                .iter()
                .map(|t| t.fate.map(crate::clients::Fate::as_str)),
        ),
    ];
    write_parquet(file, schema, columns)
}

#[cfg(test)]
mod tests;
