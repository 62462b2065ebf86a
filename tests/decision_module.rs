//! The deploy file names all files of the decision logic, and they stay short enough to be read on call.

use std::collections::BTreeSet;
use std::path::Path;

/// The one file of `src/placement` that holds no decision.
const MODULE_FILE: &str = "mod.rs";
/// Lines that a file of decisions may have.
const MAX_LINES: usize = 400;

/// The files that `policy` in `deploy/balancer.toml` names.
fn decision_files() -> Vec<String> {
    let text = include_str!("../deploy/balancer.toml");
    let deploy = toml::de::DeTable::parse(text).expect("the deploy file is TOML");
    let files = deploy.get_ref()["policy"]
        .get_ref()
        .as_array()
        .expect("`policy` is a list");
    files
        .iter()
        .map(|file| file.get_ref().as_str().expect("a path").to_string())
        .collect()
}

#[test]
fn listed_files_exist_and_stay_short() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = decision_files();
    assert!(!files.is_empty());
    for file in files {
        let text = std::fs::read_to_string(root.join(&file))
            .unwrap_or_else(|error| panic!("{file}: {error}"));
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{file}: {lines} lines, {MAX_LINES} at most"
        );
    }
}

#[test]
fn every_file_of_decisions_is_listed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/placement");
    let entries = std::fs::read_dir(folder).expect("the folder of the decision module");
    let names = entries.map(|entry| {
        entry
            .expect("an entry")
            .file_name()
            .into_string()
            .expect("UTF-8")
    });
    let decisions: BTreeSet<String> = names
        .filter(|name| name.ends_with(".rs") && name != MODULE_FILE)
        .map(|name| format!("src/placement/{name}"))
        .collect();

    let listed: BTreeSet<String> = decision_files().into_iter().collect();

    assert_eq!(listed, decisions);
}
