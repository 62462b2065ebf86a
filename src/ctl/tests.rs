//! Tests of the control protocol and of the formatted replies.

use super::*;

fn parse_text(line: &str) -> Result<Command, CommandError> {
    parse(&mut line.as_bytes().to_vec())
}

#[test]
fn every_command_is_parsed_by_its_name() {
    for (name, command) in Command::ALL {
        let parsed = parse_text(&format!("{{\"v\":1,\"do\":\"{name}\"}}"));

        assert_eq!(parsed, Ok(command));
        assert_eq!(command.as_str(), name);
    }
}

#[test]
fn invalid_line_is_an_error_that_names_the_problem() {
    for (line, problem) in [
        ("{", "not JSON"),
        ("[]", "no version"),
        ("{\"do\":\"drain\"}", "no version"),
        ("{\"v\":2,\"do\":\"drain\"}", "version 2"),
        ("{\"v\":1}", "expected \"do\""),
        ("{\"v\":1,\"do\":\"explode\"}", "no such order: explode"),
    ] {
        let error = parse_text(line).expect_err(line);
        assert!(error.to_string().contains(problem), "{line}: {error}");
    }
}

#[test]
fn error_reply_is_one_line_with_the_version() {
    let reply = encode_reply(Err(CommandError::NotNow("no".into())));

    assert_eq!(reply, b"{\"v\":1,\"ok\":false,\"error\":\"no\"}\n");
}

#[test]
fn successful_reply_has_the_version_beside_its_fields() {
    let mut line = encode_reply(Ok(json!({ "state": "up", "weight": 100 })));

    let value = simd_json::to_owned_value(&mut line).expect("JSON");
    assert_eq!(
        (value.get_u64("v"), value.get_bool("ok")),
        (Some(1), Some(true))
    );
    assert_eq!(report::state(&value), "up 100%");
}

#[test]
fn overload_report_names_counters_and_hosts() {
    let value = json!({
        "step": 2, "through": 0.81, "attempts-left": 1.5, "away": 3, "counters": { "shed": 7, "again": 2 },
        "hosts": [{ "host": "a", "window": 0.5, "out": 1, "delay": 0.25 }, { "host": "b", "turn": 1.5 }]
    });

    let text = report::overload(&value);

    let lines = [
        "shed level 2: admits 81% of requests; 1.5 retries left; 3 clients waiting for their Retry-After",
        "again 2  shed 7",
        "  a  window 0.50  in flight 1  mean delay 0.25 s",
        "  b  suspect, next health check slot in 1.50 s",
    ];
    assert_eq!(text, lines.join("\n"));
}
