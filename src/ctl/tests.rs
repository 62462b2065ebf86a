//! Tests of `ctl.rs`.

use super::*;

#[test]
fn commands_are_parsed_and_invalid_lines_are_named() {
    for (name, command) in Command::ALL {
        assert_eq!(
            parse(
                format!("{{\"v\":1,\"do\":\"{name}\"}}")
                    .as_bytes()
                    .to_vec()
                    .as_mut()
            ),
            Ok(command)
        );
        assert_eq!(command.as_str(), name);
    }
    for (line, says) in [
        ("{", "not JSON"),
        ("[]", "no version"),
        ("{\"do\":\"drain\"}", "no version"),
        ("{\"v\":2,\"do\":\"drain\"}", "version 2"),
        ("{\"v\":1}", "expected \"do\""),
        ("{\"v\":1,\"do\":\"explode\"}", "no such order: explode"),
    ] {
        let error = parse(line.as_bytes().to_vec().as_mut()).expect_err(line);
        assert!(error.to_string().contains(says), "{line}: {error}");
    }
}

#[test]
fn replies_are_lines_with_the_version_and_reports_for_people() {
    assert_eq!(
        encode_reply(Err(CommandError::NotNow("no".into()))),
        b"{\"v\":1,\"ok\":false,\"error\":\"no\"}\n"
    );
    let mut line = encode_reply(Ok(json!({ "state": "up", "weight": 100 })));
    let value = simd_json::to_owned_value(&mut line).expect("JSON");
    assert_eq!(
        (value.get_u64("v"), value.get_bool("ok")),
        (Some(1), Some(true))
    );
    assert_eq!(report::state(&value), "up 100%");
    let value = json!({
        "step": 2, "through": 0.81, "attempts-left": 1.5, "away": 3, "counters": { "shed": 7, "again": 2 },
        "hosts": [{ "host": "a", "window": 0.5, "out": 1, "delay": 0.25 }, { "host": "b", "turn": 1.5 }]
    });
    let lines = [
        "step 2: lets 81% through; 1.5 further attempts left; 3 clients stay away",
        "again 2  shed 7",
        "  a  window 0.50  out 1  delay 0.25 s",
        "  b  in doubt, own turn in 1.50 s",
    ];
    assert_eq!(report::overload(&value), lines.join("\n"));
}
