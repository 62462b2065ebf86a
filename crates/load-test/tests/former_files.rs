//! Plans, results and traces that an earlier version wrote are read.

use load_test::plan::Plan;
use load_test::report_table::{BadRows, Columns, TimeUnit, Trace, read_trace, write_trace};
use std::path::{Path, PathBuf};

/// Arrivals of the plan in `tests/former/plan.toml`, as the earlier version played them.
const ARRIVALS: usize = 42;

fn former(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/former")
        .join(name)
}

fn plan() -> Plan {
    Plan::load(&former("plan.toml")).unwrap_or_else(|error| panic!("{error}"))
}

fn read(path: &Path) -> Trace {
    let columns = Columns::parse("").unwrap_or_else(|error| panic!("{error}"));
    read_trace(path, &plan(), &columns, TimeUnit::Micros, BadRows::Fail)
        .unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn results_of_an_earlier_version_are_read_as_a_trace() {
    let trace = read(&former("tasks.parquet"));

    assert_eq!(trace.arrivals.len(), ARRIVALS);
    assert_eq!(trace.skipped, 0);
}

#[test]
fn trace_of_an_earlier_version_is_read_and_written_alike() {
    let folder = tempfile::tempdir().expect("a folder");
    let written = folder.path().join("trace.csv");

    let trace = read(&former("trace.csv"));
    write_trace(&written, &plan(), &trace.arrivals).unwrap_or_else(|error| panic!("{error}"));

    assert_eq!(trace.arrivals.len(), ARRIVALS);
    let text = |path: &Path| std::fs::read_to_string(path).expect("a trace");
    assert_eq!(text(&written), text(&former("trace.csv")));
}

#[test]
fn results_and_trace_of_an_earlier_version_hold_the_same_arrivals() {
    let from_results = read(&former("tasks.parquet"));
    let from_trace = read(&former("trace.csv"));

    assert_eq!(from_results.arrivals, from_trace.arrivals);
}
