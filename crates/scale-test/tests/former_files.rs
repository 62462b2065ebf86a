//! Tests that results and plans of earlier versions can be read, and are written again with the same names and values.

use scale_test::sweep::SweepReport;
use scale_test::{RunResult, Settings};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Deserializes a file as a type, and checks that serializing the value gives the same JSON.
fn assert_round_trip<T: Serialize + DeserializeOwned>(path: &Path) {
    let text =
        std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let written_before: Value = serde_json::from_str(&text).expect("file should be JSON");

    let read: T =
        serde_json::from_str(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));

    let written_now = serde_json::to_value(&read).expect("value should serialize");
    assert!(
        written_now == written_before,
        "{}: names or values have changed",
        path.display()
    );
}

fn results(prefix: &str) -> Vec<PathBuf> {
    let folder = repository().join("docs/results/2026-12-02");
    let entries = std::fs::read_dir(&folder).expect("cannot read the directory of results");
    let paths = entries.map(|entry| entry.expect("cannot read a directory entry").path());
    let is_result = |path: &PathBuf| {
        let name = path
            .file_name()
            .expect("path should have a file name")
            .to_string_lossy();
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

/// The results of these runs lack fields that were added later, so only their settings, which are complete, are read.
#[test]
fn settings_in_the_oldest_results_keep_their_names() {
    let paths = results("control-");
    assert_eq!(paths.len(), 12);

    for path in paths {
        let text = std::fs::read_to_string(&path).expect("cannot read the result");
        let result: Value = serde_json::from_str(&text).expect("file should be JSON");
        let settings: Settings = serde_json::from_value(result["settings"].clone())
            .expect("settings should deserialize");
        let written_now = serde_json::to_value(&settings).expect("value should serialize");
        for (name, value) in result["settings"]
            .as_object()
            .expect("settings should be an object")
        {
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
            "{plan}: `standing` was not read"
        );
    }
}
