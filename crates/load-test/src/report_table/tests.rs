//! Tests of reading and writing traces and task tables.

use super::*;
use crate::arrivals::Arrival;
use crate::arrivals::arrivals;
use crate::load_profile::Micros;
use crate::plan::Plan;
use crate::results::tests::simulated_outcome;
use arrow_array::Array;
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use std::fs::File;

fn plan() -> Plan {
    Plan::parse("[arrivals]\nshape = \"20/s for 5s\"\n").expect("valid plan")
}

fn read(file: &Path, bad_rows: BadRows) -> Result<Trace, TableError> {
    let columns = Columns::default();
    read_trace(file, &plan(), &columns, TimeUnit::Micros, bad_rows)
}

#[test]
fn trace_round_trips_through_each_format_with_its_order_and_gaps() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (plan, all) = (plan(), arrivals(&plan(), &plan().load_profile()));
    for extension in ["csv", "jsonl", "parquet"] {
        let file = folder.path().join(format!("t.{extension}"));
        write_trace(&file, &plan, &all).expect("file written");
        let trace = read(&file, BadRows::Fail).expect("trace read");
        assert_eq!(
            (trace.arrivals.len(), trace.skipped),
            (all.len(), 0),
            "{extension}"
        );
        let first = all[0].due;
        for (written, read_back) in all.iter().zip(&trace.arrivals) {
            assert_eq!(
                Arrival {
                    due: written.due - first,
                    ..written.clone()
                },
                *read_back,
                "{extension}"
            );
        }
    }
}

#[test]
fn invalid_row_is_reported_or_counted() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let cases = [
        (
            "due,class\n1,pagina\nsoon,pagina\n2,pagina\n",
            2,
            "due",
            "expected a number of 0 or more, found \"soon\"",
        ),
        (
            "due,class\n1,pagina\n2,cars\n",
            2,
            "class",
            "expected one of pagina, totalizador, found \"cars\"",
        ),
        (
            "due,class\n1,pagina\n,pagina\n",
            2,
            "due",
            "expected a time, found nothing",
        ),
        (
            "due,room\n1,sala-a\n2,sala-a,extra\n",
            2,
            "",
            "found record with 3 fields",
        ),
    ];
    for (n, (text, row, column, message)) in cases.into_iter().enumerate() {
        let file = folder.path().join(format!("{n}.csv"));
        std::fs::write(&file, text).expect("file written");
        let error = read(&file, BadRows::Fail).expect_err(text);
        assert_eq!(error.row, Some(row), "{error}");
        assert_eq!(
            error.column.as_deref().unwrap_or_default(),
            column,
            "{error}"
        );
        assert!(error.to_string().contains(message), "{error}");
        let trace = read(&file, BadRows::Skip).expect("valid rows");
        assert_eq!(trace.skipped, 1, "{text}");
    }
    let lines = folder.path().join("a.jsonl");
    std::fs::write(&lines, "{\"due\": 1}\n[1]\n{\"due\": \"3\"}\n").expect("file written");
    assert_eq!(
        read(&lines, BadRows::Fail)
            .expect_err("a JSON list is not a row")
            .row,
        Some(2)
    );
    assert_eq!(
        read(&lines, BadRows::Skip)
            .expect("valid rows")
            .arrivals
            .len(),
        2
    );
}

#[test]
fn truncated_file_is_rejected() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (plan, all) = (plan(), arrivals(&plan(), &plan().load_profile()));
    for extension in ["csv", "jsonl", "parquet"] {
        let file = folder.path().join(format!("t.{extension}"));
        write_trace(&file, &plan, &all).expect("file written");
        let bytes = std::fs::read(&file).expect("file opened");
        std::fs::write(&file, &bytes[..bytes.len() - 3]).expect("file written");
        let error = read(&file, BadRows::Skip).expect_err(extension).to_string();
        assert!(error.contains("truncated"), "{extension}: {error}");
        std::fs::write(&file, b"").expect("file written");
        assert!(read(&file, BadRows::Skip).is_err(), "{extension}");
    }
    assert!(
        read(&folder.path().join("x.txt"), BadRows::Fail)
            .expect_err("unknown format")
            .to_string()
            .contains(".parquet")
    );
}

#[test]
fn columns_are_mapped_and_traces_are_cut_and_scaled() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("t.csv");
    std::fs::write(
        &file,
        "ts,kind\n10,pagina\n10.5,totalizador\n12,pagina\n14,pagina\n",
    )
    .expect("file written");
    let columns = Columns::parse("due=ts, class=kind").expect("valid column map");
    let trace =
        read_trace(&file, &plan(), &columns, TimeUnit::Seconds, BadRows::Fail).expect("trace read");
    let due_millis = |trace: &Trace| {
        trace
            .arrivals
            .iter()
            .map(|a| a.due / 1_000)
            .collect::<Vec<_>>()
    };
    assert_eq!(due_millis(&trace), [0, 500, 2_000, 4_000]);
    assert_eq!(trace.arrivals[1].class, 1);
    assert_eq!(due_millis(&trace.cut(500_000, 4_000_000)), [0, 1_500]);
    assert_eq!(due_millis(&trace.scale_time(0.5)), [0, 250, 1_000, 2_000]);
    assert_eq!(
        due_millis(&trace.scale_rate(2.0)),
        [0, 0, 500, 500, 2_000, 2_000, 4_000, 4_000]
    );
    assert_eq!(due_millis(&trace.scale_rate(0.5)), [500, 4_000]);
    assert!(Columns::parse("when=ts").is_err() && Columns::parse("due").is_err());
}

#[test]
fn task_table_has_every_task_of_a_run() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("tasks.parquet");
    let outcome = simulated_outcome("20/s for 5s", 3, |n| {
        (n % 7 != 0).then_some(n as Micros * 10)
    });
    write_tasks(&file, &outcome).expect("file written");
    let open = File::open(&file).expect("file opened");
    let reader = ParquetRecordBatchReaderBuilder::try_new(open)
        .and_then(|b| b.build())
        .expect("Parquet file");
    let (mut rows, mut empty) = (0, 0);
    for batch in reader {
        let batch = batch.expect("record batch");
        rows += batch.num_rows();
        empty += batch
            .column_by_name("started")
            .expect("column \"started\"")
            .null_count();
    }
    let never = outcome
        .tasks
        .iter()
        .filter(|t| t.start_latency.is_none())
        .count();
    assert_eq!((rows, empty), (outcome.tasks.len(), never));
}
