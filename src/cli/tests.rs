//! Tests of the command line.

use super::*;

#[test]
fn definition_of_the_command_line_is_consistent() {
    Cli::command().debug_assert();
}

#[test]
fn valid_command_lines_parse() {
    for words in [
        &["task-placer"][..],
        &["task-placer", "serve", "--operator", "f.toml"],
        &["task-placer", "--operator", "f.toml", "check"],
        &[
            "task-placer",
            "ctl",
            "state",
            "--json",
            "--socket",
            "/run/s",
        ],
        &["task-placer", "completions", "bash"],
        &["task-placer", "call", "--at", "127.0.0.1:9600", "drain-on"],
    ] {
        assert!(Cli::try_parse_from(words).is_ok(), "{words:?}");
    }
}

#[test]
fn invalid_command_lines_fail() {
    for words in [
        &["task-placer", "sevre"][..],
        &["task-placer", "--log-level", "loud"],
        &["task-placer", "ctl"],
        &["task-placer", "call", "--at", "127.0.0.1:1", "drain"],
    ] {
        assert!(Cli::try_parse_from(words).is_err(), "{words:?}");
    }
}
