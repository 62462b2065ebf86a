//! Checks that the deploy file lists all files of the decision module, and that each of them is short enough to be read
//! during an incident.

use std::collections::BTreeSet;
use std::path::Path;

/// The only file of `src/placement` that contains no decisions.
const MODULE_FILE: &str = "mod.rs";
/// Maximum number of lines in a file of the decision module.
const MAX_LINES: usize = 400;

/// Returns the files that `policy` in `deploy/balancer.toml` lists.
fn decision_files() -> Vec<String> {
    let text = include_str!("../deploy/balancer.toml");
    let deploy = toml::de::DeTable::parse(text).expect("the deploy file is not valid TOML");
    let files = deploy.get_ref()["policy"]
        .get_ref()
        .as_array()
        .expect("`policy` is not a list");
    files
        .iter()
        .map(|file| file.get_ref().as_str().expect("not a path").to_string())
        .collect()
}

#[test]
fn listed_files_exist_and_stay_short() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = decision_files();
    assert!(!files.is_empty());
    for file in files {
        let text = std::fs::read_to_string(root.join(&file))
            .unwrap_or_else(|error| panic!("cannot read {file}: {error}"));
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{file} has {lines} lines, at most {MAX_LINES} are allowed"
        );
    }
}

#[test]
fn every_file_of_the_decision_module_is_listed() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/placement");
    let entries =
        std::fs::read_dir(directory).expect("cannot read the directory of the decision module");
    let names = entries.map(|entry| {
        entry
            .expect("cannot read a directory entry")
            .file_name()
            .into_string()
            .expect("file name is not valid UTF-8")
    });
    let existing: BTreeSet<String> = names
        .filter(|name| name.ends_with(".rs") && name != MODULE_FILE)
        .map(|name| format!("src/placement/{name}"))
        .collect();

    let listed: BTreeSet<String> = decision_files().into_iter().collect();

    assert_eq!(listed, existing);
}
