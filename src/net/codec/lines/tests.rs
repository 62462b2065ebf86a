//! Tests of the messages of hosts.

use super::*;

#[test]
fn lines_are_read_by_their_type() {
    let cases = [
        (
            r#""t":"up","f":{},"d":"a\r\nb""#,
            HostMessage::Started("a\r\nb".into()),
        ),
        (r#""t":"up","d":"""#, HostMessage::Started(String::new())),
        (
            r#""t":"down","f":{"note":"nc"},"c":34"#,
            HostMessage::Released(Cause(34), OutcomeDetail::NoCores),
        ),
        (
            r#""t":"down","f":{"note":"pre"},"c":41"#,
            HostMessage::Released(Cause(41), OutcomeDetail::Preempted),
        ),
        (
            r#""t":"down","f":{},"c":16"#,
            HostMessage::Released(Cause(16), OutcomeDetail::Unknown),
        ),
        (
            r#""t":"tell","f":{"note":"m","value":"1.5"}"#,
            HostMessage::Report(TaskReport::Memory, 1.5),
        ),
        (
            r#""t":"tell","f":{"note":"s","value":0.25}"#,
            HostMessage::Report(TaskReport::ServiceLevel, 0.25),
        ),
        (r#""t":"wait","f":{}"#, HostMessage::Other),
        (r#""t":"unheard of""#, HostMessage::Other),
    ];
    for (rest, message) in cases {
        let mut line = format!(r#"{{"ref":"9b1f03aa5c7e2d41",{rest}}}"#).into_bytes();
        assert_eq!(
            read(&mut line),
            Ok((TaskId(0x9b1f_03aa_5c7e_2d41), message)),
            "{rest}"
        );
    }
}

#[test]
fn malformed_lines_are_typed_errors() {
    let deep = "[".repeat(MAX_MESSAGE_BYTES);
    let cases = [
        ("", Malformed::Json),
        ("{", Malformed::Json),
        ("[1]", Malformed::Json),
        (deep.as_str(), Malformed::Json),
        ("{\"t\":\"up\",\"ref\":\"\u{1}\"}", Malformed::Json),
        (r#"{"t":"up"}"#, Malformed::Field("ref")),
        (
            r#"{"t":"up","ref":"9b1f03aa5c7e2d41","f":{}}"#,
            Malformed::Field("d"),
        ),
        (
            r#"{"t":"up","ref":"9b1f03aa5c7e2d41","d":7}"#,
            Malformed::Field("d"),
        ),
        (r#"{"t":"up","ref":"1"}"#, Malformed::Field("ref")),
        (r#"{"t":"up","ref":7}"#, Malformed::Field("ref")),
        (r#"{"ref":"9b1f03aa5c7e2d41"}"#, Malformed::Field("t")),
        (
            r#"{"t":"down","ref":"9b1f03aa5c7e2d41","c":"x"}"#,
            Malformed::Field("c"),
        ),
        (
            r#"{"t":"down","ref":"9b1f03aa5c7e2d41","c":300}"#,
            Malformed::Field("c"),
        ),
        (
            r#"{"t":"tell","ref":"9b1f03aa5c7e2d41","f":[]}"#,
            Malformed::Field("value"),
        ),
    ];
    for (line, reason) in cases {
        assert_eq!(
            read(&mut line.as_bytes().to_vec()),
            Err(reason),
            "{:.40}",
            line
        );
    }
}

#[test]
fn attempt_is_encoded_with_all_fields_in_one_line() {
    let text = "a\r\n\"b\"\\\u{7}é";
    let mut line =
        start_task(TaskId(0x41), "batch", "7f3a", 1500, text).expect("a line within the limit");
    assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
    line.pop();
    let value = simd_json::to_owned_value(&mut line).expect("valid JSON");
    let field = |name| value.get("f").and_then(|f| f.get_str(name));
    assert_eq!(
        (value.get_str("t"), value.get_str("ref")),
        (Some("new"), Some("0000000000000041"))
    );
    assert_eq!(
        (field("class"), field("key"), field("left")),
        (Some("batch"), Some("7f3a"), Some("1500"))
    );
    assert_eq!(value.get_str("d"), Some(text));
    assert_eq!(
        start_task(
            TaskId(1),
            "batch",
            "7f3a",
            1500,
            &"\u{1}".repeat(MAX_MESSAGE_BYTES / 6)
        ),
        None
    );
    assert_eq!(release(TaskId(1), Cause(16)).last(), Some(&b'\n'));
}
