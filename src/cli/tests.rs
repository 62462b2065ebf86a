//! Tests of `cli.rs`.

use super::*;

#[test]
fn the_command_line_holds_together() {
    Cli::command().debug_assert();
    for words in [
        &["anisehead"][..],
        &["anisehead", "serve", "--operator", "f.toml"],
        &["anisehead", "--operator", "f.toml", "check"],
        &["anisehead", "ctl", "state", "--json", "--socket", "/run/s"],
        &["anisehead", "completions", "bash"],
        &["anisehead", "call", "--at", "127.0.0.1:9600", "drain-on"],
    ] {
        assert!(Cli::try_parse_from(words).is_ok(), "{words:?}");
    }
    for words in [
        &["anisehead", "sevre"][..],
        &["anisehead", "--log-level", "loud"],
        &["anisehead", "ctl"],
        &["anisehead", "call", "--at", "127.0.0.1:1", "drain"],
    ] {
        assert!(Cli::try_parse_from(words).is_err(), "{words:?}");
    }
}
