//! Writes traces as CSV, JSON lines or Parquet.

use super::Format;
use super::error::{InFile, TableError};
use super::trace::TRACE_FIELDS;
use crate::arrivals::Arrival;
use crate::plan::Plan;
use arrow_array::{ArrayRef, Float64Array, Int64Array, RecordBatch, StringArray, UInt32Array};
use arrow_schema::{Field, Schema};
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use simd_json::prelude::*;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;

/// The names in the plan of the class, tenant and zone of an arrival.
struct Names<'a> {
    class: Option<&'a str>,
    tenant: Option<&'a str>,
    zone: Option<&'a str>,
}

impl<'a> Names<'a> {
    fn of(plan: &'a Plan, arrival: &Arrival) -> Names<'a> {
        let class = plan.classes.get(arrival.class);
        let tenant = plan.tenants.get(arrival.tenant);
        Names {
            class: class.map(|class| class.name.as_str()),
            tenant: tenant.map(|tenant| tenant.name.as_str()),
            zone: plan.zones.get(arrival.zone).map(String::as_str),
        }
    }
}

/// Writes arrivals as a trace, with times in microseconds. The extension of the file name determines the format.
///
/// # Errors
///
/// The file can't be written, or the extension of its name is unknown.
pub fn write_trace(file: &Path, plan: &Plan, arrivals: &[Arrival]) -> Result<(), TableError> {
    match Format::of(file)? {
        Format::Csv => write_csv(file, plan, arrivals),
        Format::JsonLines => write_json_lines(file, plan, arrivals),
        Format::Parquet => write_parquet_trace(file, plan, arrivals),
    }
}

fn write_csv(file: &Path, plan: &Plan, arrivals: &[Arrival]) -> Result<(), TableError> {
    let mut writer = csv::Writer::from_path(file).in_file(file)?;
    writer.write_record(TRACE_FIELDS).in_file(file)?;
    for arrival in arrivals {
        let names = Names::of(plan, arrival);
        let row = [
            arrival.due.to_string(),
            names.class.unwrap_or_default().into(),
            names.tenant.unwrap_or_default().into(),
            arrival.service.to_string(),
            names.zone.unwrap_or_default().into(),
            arrival.cores.to_string(),
            arrival.memory.to_string(),
            arrival.run_time.to_string(),
        ];
        writer.write_record(row).in_file(file)?;
    }
    writer.flush().in_file(file)
}

fn write_json_lines(file: &Path, plan: &Plan, arrivals: &[Arrival]) -> Result<(), TableError> {
    let mut output = BufWriter::new(File::create(file).in_file(file)?);
    for arrival in arrivals {
        let names = Names::of(plan, arrival);
        let line = simd_json::json!({
            "due": arrival.due, "class": names.class, "tenant": names.tenant, "service": arrival.service,
            "room": names.zone, "cores": arrival.cores, "memory": arrival.memory, "life": arrival.run_time
        });
        writeln!(output, "{}", line.encode()).in_file(file)?;
    }
    output.flush().in_file(file)
}

fn write_parquet_trace(file: &Path, plan: &Plan, arrivals: &[Arrival]) -> Result<(), TableError> {
    let names = || arrivals.iter().map(|arrival| Names::of(plan, arrival));
    write_parquet(
        file,
        vec![
            integers("due", arrivals.iter().map(|arrival| Some(arrival.due))),
            texts("class", names().map(|names| names.class)),
            texts("tenant", names().map(|names| names.tenant)),
            counts("service", arrivals.iter().map(|arrival| arrival.service)),
            texts("room", names().map(|names| names.zone)),
            floats("cores", arrivals.iter().map(|arrival| arrival.cores)),
            floats("memory", arrivals.iter().map(|arrival| arrival.memory)),
            integers(
                "life",
                arrivals.iter().map(|arrival| Some(arrival.run_time)),
            ),
        ],
    )
}

/// A column of a Parquet file.
pub(super) struct Column {
    pub(super) name: &'static str,
    pub(super) values: ArrayRef,
}

pub(super) fn integers(name: &'static str, values: impl Iterator<Item = Option<i64>>) -> Column {
    Column {
        name,
        values: Arc::new(values.collect::<Int64Array>()),
    }
}

pub(super) fn counts(name: &'static str, values: impl Iterator<Item = u32>) -> Column {
    Column {
        name,
        values: Arc::new(values.map(Some).collect::<UInt32Array>()),
    }
}

pub(super) fn floats(name: &'static str, values: impl Iterator<Item = f64>) -> Column {
    Column {
        name,
        values: Arc::new(values.map(Some).collect::<Float64Array>()),
    }
}

pub(super) fn texts<'a>(
    name: &'static str,
    values: impl Iterator<Item = Option<&'a str>>,
) -> Column {
    Column {
        name,
        values: Arc::new(values.collect::<StringArray>()),
    }
}

/// Writes columns of the same length as a Parquet file, in which every column may have empty cells.
pub(super) fn write_parquet(file: &Path, columns: Vec<Column>) -> Result<(), TableError> {
    let fields: Vec<Field> = columns
        .iter()
        .map(|column| Field::new(column.name, column.values.data_type().clone(), true))
        .collect();
    let schema = Arc::new(Schema::new(fields));
    let values = columns.into_iter().map(|column| column.values).collect();
    let batch = RecordBatch::try_new(schema.clone(), values).in_file(file)?;
    let open = File::create(file).in_file(file)?;
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let mut writer = ArrowWriter::try_new(open, schema, Some(properties)).in_file(file)?;
    writer.write(&batch).in_file(file)?;
    writer.close().map(drop).in_file(file)
}
