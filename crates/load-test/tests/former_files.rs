//! Tests that plans, results and traces written by an earlier version can be read.
//!
//! They guard against changes of keys, columns or values that make existing files unreadable.

use load_test::plan::Plan;
use load_test::report_table::{BadRows, Columns, TimeUnit, Trace, read_trace, write_trace};
use std::path::{Path, PathBuf};

/// Number of arrivals that the earlier version generated for the plan in `tests/former/plan.toml`.
const ARRIVALS: usize = 42;

fn earlier_version_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/former")
        .join(name)
}

fn plan() -> Plan {
    Plan::load(&earlier_version_file("plan.toml")).unwrap_or_else(|error| panic!("{error}"))
}

fn read(path: &Path) -> Trace {
    let columns = Columns::parse("").unwrap_or_else(|error| panic!("{error}"));
    read_trace(path, &plan(), &columns, TimeUnit::Micros, BadRows::Fail)
        .unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn results_of_an_earlier_version_are_read_as_a_trace() {
    let trace = read(&earlier_version_file("tasks.parquet"));

    assert_eq!(trace.arrivals.len(), ARRIVALS);
    assert_eq!(trace.skipped, 0);
}

#[test]
fn trace_of_an_earlier_version_is_written_unchanged_after_reading() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let written = folder.path().join("trace.csv");

    let trace = read(&earlier_version_file("trace.csv"));
    write_trace(&written, &plan(), &trace.arrivals).unwrap_or_else(|error| panic!("{error}"));

    assert_eq!(trace.arrivals.len(), ARRIVALS);
    let text = |path: &Path| std::fs::read_to_string(path).expect("trace file read");
    assert_eq!(text(&written), text(&earlier_version_file("trace.csv")));
}

#[test]
fn results_and_trace_of_an_earlier_version_hold_the_same_arrivals() {
    let from_results = read(&earlier_version_file("tasks.parquet"));
    let from_trace = read(&earlier_version_file("trace.csv"));

    assert_eq!(from_results.arrivals, from_trace.arrivals);
}
