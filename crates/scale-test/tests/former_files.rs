//! Results and plans that earlier versions wrote are read, and written again with the same names and values.

use scale_test::sweep::SweepReport;
use scale_test::{RunResult, Settings};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads a file as a type, and checks that the type writes the same JSON.
fn assert_round_trip<T: Serialize + DeserializeOwned>(path: &Path) {
    let text =
        std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let written_before: Value = serde_json::from_str(&text).expect("JSON");

    let read: T =
        serde_json::from_str(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));

    let written_now = serde_json::to_value(&read).expect("a value");
    assert!(
        written_now == written_before,
        "{}: other names or values",
        path.display()
    );
}

fn results(prefix: &str) -> Vec<PathBuf> {
    let folder = repository().join("docs/results/2026-12-02");
    let entries = std::fs::read_dir(&folder).expect("the folder of results");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let is_result = |path: &PathBuf| {
        let name = path.file_name().expect("a name").to_string_lossy();
        name.starts_with(prefix) && name.ends_with(".json")
    };
    paths.filter(is_result).collect()
}

#[test]
fn run_results_of_earlier_versions_keep_their_names() {
    let paths = results("target-");
    assert_eq!(paths.len(), 2);

    paths
        .iter()
        .for_each(|path| assert_round_trip::<RunResult>(path));
}

#[test]
fn sweep_reports_of_earlier_versions_keep_their_names() {
    let paths = results("sweep-");
    assert_eq!(paths.len(), 1);

    paths
        .iter()
        .for_each(|path| assert_round_trip::<SweepReport>(path));
}

/// These runs were recorded before results had all their fields of today; their settings are whole.
#[test]
fn settings_in_the_oldest_results_keep_their_names() {
    let paths = results("control-");
    assert_eq!(paths.len(), 12);

    for path in paths {
        let text = std::fs::read_to_string(&path).expect("a result");
        let result: Value = serde_json::from_str(&text).expect("JSON");
        let settings: Settings =
            serde_json::from_value(result["settings"].clone()).expect("settings");
        let written_now = serde_json::to_value(&settings).expect("a value");
        for (name, value) in result["settings"].as_object().expect("an object") {
            assert_eq!(
                written_now.get(name),
                Some(value),
                "{}: {name}",
                path.display()
            );
        }
    }
}

#[test]
fn plans_of_earlier_versions_are_read() {
    for plan in ["minute", "small", "target"] {
        let path = repository().join(format!("crates/scale-test/plans/{plan}.toml"));
        let settings = Settings::load(&path).unwrap_or_else(|error| panic!("{plan}: {error}"));
        assert!(
            settings.running_tasks > 0 || plan == "small",
            "{plan}: `standing` is read"
        );
    }
}
