//! Reads the rows of a table, with every cell as text.

use super::Format;
use super::error::{InFile, TableError, TableProblem};
use arrow_array::cast::AsArray;
use arrow_array::{Array, ArrayRef, RecordBatch};
use arrow_schema::DataType;
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Seek, SeekFrom};
use std::path::Path;

/// A row: the text of each cell by the name of its column.
pub(super) type Row = BTreeMap<String, String>;

/// Handles each row of a table, or the error that replaces it, together with the row number. Returning an error stops
/// the reading.
pub(super) trait RowHandler:
    FnMut(usize, Result<Row, TableError>) -> Result<(), TableError>
{
}

impl<F: FnMut(usize, Result<Row, TableError>) -> Result<(), TableError>> RowHandler for F {}

/// Reads a file and passes each of its rows to `handle`.
pub(super) fn read_rows(file: &Path, handle: &mut impl RowHandler) -> Result<(), TableError> {
    match Format::of(file)? {
        Format::Csv => read_csv(file, handle),
        Format::JsonLines => read_json_lines(file, handle),
        Format::Parquet => read_parquet(file, handle),
    }
}

fn read_csv(file: &Path, handle: &mut impl RowHandler) -> Result<(), TableError> {
    check_complete(file)?;
    let mut reader = csv::Reader::from_path(file).in_file(file)?;
    let header: Vec<String> = reader
        .headers()
        .in_file(file)?
        .iter()
        .map(str::to_string)
        .collect();
    for (n, record) in reader.records().enumerate() {
        let number = n + 1;
        let row = record
            .map(|record| {
                let cells = record.iter().map(str::to_string);
                header.iter().cloned().zip(cells).collect()
            })
            .map_err(|e| TableError::in_row(file, number, e));
        handle(number, row)?;
    }
    Ok(())
}

fn read_json_lines(file: &Path, handle: &mut impl RowHandler) -> Result<(), TableError> {
    check_complete(file)?;
    let reader = BufReader::new(File::open(file).in_file(file)?);
    for (n, line) in reader.split(b'\n').enumerate() {
        let mut line = line.in_file(file)?;
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let number = n + 1;
        let row = parse_json_row(&mut line).map_err(|e| TableError::in_row(file, number, e));
        handle(number, row)?;
    }
    Ok(())
}

fn parse_json_row(line: &mut [u8]) -> Result<Row, TableProblem> {
    let value = simd_json::to_owned_value(line).map_err(TableProblem::NotJson)?;
    let object = value.as_object().ok_or(TableProblem::NotAnObject)?;
    let cells = object.iter().map(|(name, value)| {
        let text = value
            .as_str()
            .map_or_else(|| value.encode(), str::to_string);
        (name.to_string(), text)
    });
    Ok(cells.collect())
}

/// Checks that a text file ends in a line feed; otherwise it was truncated.
fn check_complete(file: &Path) -> Result<(), TableError> {
    let mut open = File::open(file).in_file(file)?;
    let mut last = [0];
    if open.seek(SeekFrom::End(-1)).is_err() || open.read_exact(&mut last).is_err() {
        return Err(TableError::in_file(file, TableProblem::Empty));
    }
    if last == [b'\n'] {
        Ok(())
    } else {
        Err(TableError::in_file(file, TableProblem::Truncated))
    }
}

fn read_parquet(file: &Path, handle: &mut impl RowHandler) -> Result<(), TableError> {
    let open = File::open(file).in_file(file)?;
    let reader = ParquetRecordBatchReaderBuilder::try_new(open)
        .and_then(|builder| builder.build())
        .map_err(|e| TableError::in_file(file, TableProblem::NotParquet(e)))?;
    let mut number = 0;
    for batch in reader {
        let batch = batch.in_file(file)?;
        for row in 0..batch.num_rows() {
            number += 1;
            handle(number, Ok(batch_row(&batch, row)))?;
        }
    }
    Ok(())
}

fn batch_row(batch: &RecordBatch, row: usize) -> Row {
    let schema = batch.schema();
    let columns = schema.fields().iter().zip(batch.columns());
    columns
        .filter_map(|(field, column)| Some((field.name().clone(), cell_text(column, row)?)))
        .collect()
}

/// Returns a cell as text; `None` if it is empty or of a type that traces do not use.
fn cell_text(column: &ArrayRef, row: usize) -> Option<String> {
    use arrow_array::types::{
        Float32Type, Float64Type, Int32Type, Int64Type, UInt32Type, UInt64Type,
    };
    if column.is_null(row) {
        return None;
    }
    match column.data_type() {
        DataType::Utf8 => Some(column.as_string::<i32>().value(row).to_string()),
        DataType::LargeUtf8 => Some(column.as_string::<i64>().value(row).to_string()),
        DataType::Int32 => Some(column.as_primitive::<Int32Type>().value(row).to_string()),
        DataType::Int64 => Some(column.as_primitive::<Int64Type>().value(row).to_string()),
        DataType::UInt32 => Some(column.as_primitive::<UInt32Type>().value(row).to_string()),
        DataType::UInt64 => Some(column.as_primitive::<UInt64Type>().value(row).to_string()),
        DataType::Float32 => Some(column.as_primitive::<Float32Type>().value(row).to_string()),
        DataType::Float64 => Some(column.as_primitive::<Float64Type>().value(row).to_string()),
        _ => None,
    }
}
