//! The decisions stand in files that the deploy file names, and these stay small enough to be read on call.

use std::path::Path;

/// Lines that a file of decisions may have.
const MAX_LINES: usize = 1_200;

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
fn every_file_of_decisions_is_listed_and_stays_short() {
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
