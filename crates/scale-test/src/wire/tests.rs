//! Encoding and decoding of messages, and rejection of bytes that are not messages.

use super::*;
use crate::identity::{RequestId, TaskIndex, WorkerId};
use binary::PlacerMessage;
use description::TaskShape;
use feed::{Entry, EventKind, ListedWorker};
use lines::{NoCapacity, Offer, PlacerLine};
use std::time::Duration;

fn id() -> RequestId {
    RequestId::new(TaskIndex(7), 0)
}

#[test]
fn task_request_has_the_fields_of_the_protocol() {
    let mut out = Vec::new();
    let request = binary::TaskRequest {
        id: id(),
        class: "standard",
        wait_ms: 6_000,
        tenant: "t3",
        key: TaskIndex(7).key(),
        cores: 1.0,
        memory: 2.0,
        service: 0xb4,
        running_at: Some(WorkerId(12)),
        description: "cores=1",
    };
    binary::write_task_request(&mut out, &request);
    assert_eq!(
        usize::from(u16::from_be_bytes([out[0], out[1]])),
        out.len() - 2
    );
    assert_eq!(out[2], 1);
    assert_eq!(out[3..11], id().0.to_be_bytes());
    let text = String::from_utf8_lossy(&out).into_owned();
    assert!(
        text.contains("cores:1;memory:2;service:00000000000000b4;at:w00012"),
        "{text}"
    );
    assert!(text.contains("a000000000000007"), "{text}");
}

#[test]
fn answer_is_read() {
    let answer = answer();

    let (found, message, length) = binary::read(&answer)
        .expect("a valid message")
        .expect("a complete message");

    assert_eq!((found, length), (id(), answer.len()));
    assert_eq!(message, PlacerMessage::Answer("stands".to_string()));
}

fn answer() -> Vec<u8> {
    [
        &[0, 18, 9][..],
        &id().0.to_be_bytes(),
        &[174, 0, 6],
        b"stands",
    ]
    .concat()
}

#[test]
fn incomplete_message_waits_for_the_rest() {
    assert_eq!(binary::read(&answer()[..12]), Ok(None));
}

#[test]
fn release_is_read_with_its_cause() {
    let released = [&[0, 13, 12][..], &id().0.to_be_bytes(), &[171, 0, 1, 34]].concat();

    assert_eq!(
        binary::read(&released),
        Ok(Some((id(), PlacerMessage::Release(34), 15)))
    );
}

#[test]
fn result_of_a_health_check_is_read() {
    let checked = [&[0, 13, 53][..], &[0xff; 8], &[171, 0, 1, 1]].concat();

    let passed = PlacerMessage::HealthChecked { passed: true };
    assert_eq!(
        binary::read(&checked),
        Ok(Some((RequestId(u64::MAX), passed, 15)))
    );
}

#[test]
fn invalid_binary_messages_are_errors() {
    assert_eq!(binary::read(&[0, 3, 9]), Err(WireError::BadLength));
    assert_eq!(binary::read(&[0xff, 0xff, 9]), Err(WireError::TooLong));
    let cut = [&[0, 13, 12][..], &[1; 8], &[171, 0, 9, 34]].concat();
    assert_eq!(binary::read(&cut), Err(WireError::BadLength));
    let unknown = [&[0, 9, 77][..], &[1; 8]].concat();
    assert_eq!(binary::read(&unknown), Err(WireError::BadField("type")));
}

#[test]
fn invalid_lines_are_errors() {
    for line in [
        &b"\0\xff"[..],
        b"[]",
        b"{}",
        b"{\"t\":\"new\"}",
        b"{\"t\":1,\"ref\":\"0000000000000001\"}",
    ] {
        assert_eq!(lines::read(line), Err(WireError::BadJson), "{line:?}");
    }
    assert_eq!(
        lines::read(br#"{"t":"ack","ref":"1"}"#),
        Err(WireError::BadField("ref"))
    );
}

#[test]
fn end_of_a_line_is_found_and_its_length_is_limited() {
    let long = vec![b'a'; MAX_MESSAGE_BYTES];

    assert_eq!(lines::line_end(&long), Err(WireError::TooLong));
    assert_eq!(lines::line_end(b"abc"), Ok(None));
    assert_eq!(lines::line_end(b"abc\ndef\n"), Ok(Some(3)));
}

#[test]
fn lines_of_placers_are_read() {
    let offer = br#"{"t":"new","ref":"0000000000000008","f":{"class":"standard","key":"a000000000000007","left":"1500"},"d":"a\r\nb"}"#;
    let read = Offer {
        id: id(),
        key: TaskIndex(7).key(),
        description: "a\r\nb".to_string(),
    };
    assert_eq!(lines::read(offer), Ok(PlacerLine::Offer(read)));
    let release = br#"{"t":"down","ref":"0000000000000008","f":{},"c":16}"#;
    assert_eq!(lines::read(release), Ok(PlacerLine::Release { id: id() }));
    let acknowledged = br#"{"t":"ack","ref":"0000000000000008","f":{}}"#;
    assert_eq!(
        lines::read(acknowledged),
        Ok(PlacerLine::EndAcknowledged { id: id() })
    );
}

#[test]
fn lines_of_workers_are_json() {
    let mut out = Vec::new();
    lines::write_task_started(&mut out, id(), &description::write_answer(WorkerId(9)));
    lines::write_no_capacity(&mut out, id(), NoCapacity::Memory);
    lines::write_release(&mut out, id(), cause::NORMAL);
    lines::write_health_check_passed(&mut out, id());
    let text = String::from_utf8(out).expect("UTF-8 text");
    let values: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("valid JSON"))
        .collect();
    assert_eq!(values[0]["d"], "worker=w00009");
    assert_eq!(
        (&values[1]["c"], &values[1]["f"]["note"]),
        (&34.into(), &"nm".into())
    );
    assert_eq!(values[2]["c"], 16);
    assert_eq!(values[3]["t"], "hb_ok");
}

#[test]
fn task_shape_survives_a_round_trip_as_description() {
    let shape = TaskShape {
        cores: 1.5,
        memory: 2.0,
        lifetime: Duration::from_micros(12_345_678),
        non_idempotent: true,
    };

    assert_eq!(TaskShape::read(&shape.write()), Some(shape));
}

#[test]
fn invalid_description_is_not_read() {
    assert_eq!(
        TaskShape::read("cores=1 memory=-2 life-us=1 once=false"),
        None
    );
    assert_eq!(TaskShape::read(""), None);
}

#[test]
fn worker_survives_a_round_trip_as_answer() {
    assert_eq!(
        description::read_answer(&description::write_answer(WorkerId(3))),
        Some(WorkerId(3))
    );
    assert_eq!(description::read_answer("anything"), None);
}

#[test]
fn feed_event_has_the_fields_of_the_protocol() {
    let listed = ListedWorker {
        is_up: true,
        started_at_unix_ms: 5,
        free_cores: 15.5,
        free_memory: 30.0,
    };
    let entry = Entry {
        worker: WorkerId(300),
        port: 20_001,
        zone: "z6",
        listed,
    };
    let removed = Entry {
        listed: ListedWorker {
            is_up: false,
            ..listed
        },
        ..entry
    };
    let mut out = Vec::new();
    feed::write_event(&mut out, 41, EventKind::Delta, [entry, removed].into_iter());
    let value: serde_json::Value = serde_json::from_slice(&out).expect("valid JSON");
    assert_eq!(value["n"], 41);
    let hosts = &value["members"]["hosts"];
    assert_eq!(hosts[0]["dial"], "127.16.1.44:20001");
    assert_eq!(hosts[0]["unasked"], serde_json::json!([15.5, 30]));
    assert_eq!(
        (&hosts[0]["health"], &hosts[1]["health"]),
        (&"up".into(), &"removed".into())
    );
    assert_eq!(hosts[0]["block"], 9);
}

#[test]
fn subscription_is_read() {
    assert_eq!(feed::read_subscription(b"SUB 12"), Some(12));
    assert_eq!(feed::read_subscription(b"SUB x"), None);
}
