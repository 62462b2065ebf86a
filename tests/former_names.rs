//! Tests that an operator's file of an earlier version, and the former name of the variable that sets its path, are
//! still accepted.

use emulator::{Feed, Launch, single_placer_config};
use std::process::Output;

const FORMER_OPERATOR_FILE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/tests/former_files/operator.toml"
);
/// The number of values that the file sets; the table of each signal sets four of them.
const VALUES_IN_FILE: usize = 85;
const FORMER_VARIABLE: &str = "ANISEHEAD_OPERATOR";

fn launch() -> Launch {
    Launch::new(&single_placer_config(&Feed::new(), vec![]))
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

fn warnings(output: &Output) -> Vec<String> {
    let errors = String::from_utf8(output.stderr.clone()).expect("UTF-8");
    errors.lines().map(str::to_string).collect()
}

#[test]
fn operators_file_of_an_earlier_version_is_read_whole() {
    let output = launch()
        .args(&["check", "--operator", FORMER_OPERATOR_FILE])
        .output();

    assert!(output.status.success(), "{:?}", warnings(&output));
    assert!(warnings(&output).is_empty(), "{:?}", warnings(&output));
    let from_file = stdout_text(&output)
        .lines()
        .filter(|line| line.contains("operator.toml"))
        .count();
    assert_eq!(from_file, VALUES_IN_FILE, "{}", stdout_text(&output));
}

#[test]
fn former_variable_names_the_operators_file_with_one_warning() {
    let output = launch()
        .env(FORMER_VARIABLE, FORMER_OPERATOR_FILE)
        .args(&["check"])
        .output();

    assert!(output.status.success(), "{:?}", warnings(&output));
    let warnings = warnings(&output);
    assert_eq!(warnings.len(), 1, "{warnings:?}");
    assert!(
        warnings[0].contains(FORMER_VARIABLE) && warnings[0].contains("TASK_PLACER_OPERATOR"),
        "{warnings:?}"
    );
    assert!(
        stdout_text(&output).contains("operator.toml"),
        "{}",
        stdout_text(&output)
    );
}

#[test]
fn present_variable_takes_precedence_over_the_former_one() {
    let output = launch()
        .operator_file("[drain]\nenabled = true\n")
        .env(FORMER_VARIABLE, FORMER_OPERATOR_FILE)
        .args(&["check"])
        .output();

    assert!(output.status.success(), "{:?}", warnings(&output));
    assert!(warnings(&output).is_empty(), "{:?}", warnings(&output));
    assert!(
        !stdout_text(&output).contains("operator.toml"),
        "{}",
        stdout_text(&output)
    );
}
