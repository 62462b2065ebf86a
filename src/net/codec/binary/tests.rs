//! Tests of the binary messages.

use super::*;

fn request_bytes(parameters: &[(u8, &[u8])]) -> Vec<u8> {
    message(kind::TASK_REQUEST, TaskId(0x9b1f), parameters)
}

const GOOD: [(u8, &[u8]); 7] = [
    (code::CLASS, b"batch"),
    (code::WAIT, b"1500"),
    (code::TENANT, b"acme"),
    (code::RETRY, b"1"),
    (code::KEY, b"7f3a9c21e0b4d655"),
    (
        code::ATTRIBUTES,
        b"cores:1.5;memory:2;service:00000000b4d65521;at:s-1",
    ),
    (code::DESCRIPTION, b"c=IN IP4\r\n"),
];

#[test]
fn task_request_is_read_with_all_fields() {
    let Ok(Some((task, ClientMessage::TaskRequest(task_request), length))) =
        read(&request_bytes(&GOOD))
    else {
        panic!("the request is not read")
    };
    assert_eq!((task, length), (TaskId(0x9b1f), request_bytes(&GOOD).len()));
    let placement = PlacementRequest {
        class: "batch".into(),
        tenant: Some("acme".into()),
        service: 0xb4d6_5521,
        key: 0x7f3a_9c21_e0b4_d655,
        cores: 1.5,
        memory: 2.0,
        time_budget: 1_500_000,
        is_retry: true,
    };
    assert_eq!(task_request.placement, placement);
    assert_eq!(task_request.running_on, Some(HostId(Arc::from("s-1"))));
    assert_eq!(
        (task_request.key.as_str(), task_request.description.as_str()),
        ("7f3a9c21e0b4d655", "c=IN IP4\r\n")
    );
}

#[test]
fn partial_message_waits_for_its_rest() {
    let whole = request_bytes(&GOOD);
    for end in 0..whole.len() {
        assert_eq!(read(&whole[..end]), Ok(None), "first {end} bytes");
    }
    let two_messages = [whole.clone(), release_ack(TaskId(7))].concat();
    assert!(matches!(read(&two_messages), Ok(Some((TaskId(0x9b1f), _, n))) if n == whole.len()));
    assert_eq!(
        read(&two_messages[whole.len()..]),
        Ok(Some((TaskId(7), ClientMessage::ReleaseAck, 11)))
    );
}

#[test]
fn invalid_task_request_names_its_field_and_leaves_the_connection_readable() {
    let cases: [(usize, Option<&[u8]>, &str); 9] = [
        (0, None, "class"),
        (0, Some(b"\xff"), "class"),
        (1, Some(b"soon"), "wait"),
        (4, Some(b"no hex"), "key"),
        (5, Some(b"cores:1;memory:2"), "service"),
        (5, Some(b"cores:-1;memory:2;service:1"), "cores"),
        (5, Some(b"cores:1;memory:inf;service:1"), "memory"),
        (5, Some(b""), "service"),
        (6, Some(b"\xc3("), "description"),
    ];
    for (index, value, field) in cases {
        let mut parameters = GOOD.to_vec();
        match value {
            Some(value) => parameters[index].1 = value,
            None => drop(parameters.remove(index)),
        }
        let read = read(&request_bytes(&parameters))
            .expect("a valid message")
            .expect("a complete message");
        assert_eq!(
            read.1,
            ClientMessage::InvalidTaskRequest(Malformed::Field(field)),
            "{value:?}"
        );
    }
}

#[test]
fn malformed_message_is_a_typed_error() {
    let long = request_bytes(&[(code::DESCRIPTION, &[b'x'; MAX_MESSAGE_BYTES])]);
    let broken: [(&[u8], Malformed); 6] = [
        (&long, Malformed::TooLong),
        (&[0xff, 0xff], Malformed::TooLong),
        (&[0, 8, 1, 0, 0, 0, 0, 0, 0, 0], Malformed::Length),
        (&[0, 10, 12, 0, 0, 0, 0, 0, 0, 0, 0, 171], Malformed::Length),
        (
            &[0, 12, 12, 0, 0, 0, 0, 0, 0, 0, 0, 171, 0, 9],
            Malformed::Length,
        ),
        (
            &[0, 9, 12, 0, 0, 0, 0, 0, 0, 0, 0],
            Malformed::Field("cause"),
        ),
    ];
    for (bytes, reason) in broken {
        assert_eq!(
            read(bytes),
            Err(reason),
            "{:?}",
            &bytes[..bytes.len().min(16)]
        );
    }
}

#[test]
fn encoded_messages_have_the_form_of_the_protocol() {
    let id = TaskId(0x0102_0304_0506_0708);
    let cases: [(Vec<u8>, u8, &[u8]); 6] = [
        (task_started(id, "d"), 9, &[174, 0, 1, b'd']),
        (release(id, Cause(41), None), 12, &[171, 0, 1, 41]),
        (
            release(id, Cause(42), Some(250)),
            12,
            &[171, 0, 1, 42, 147, 0, 3, b'2', b'5', b'0'],
        ),
        (release_ack(id), 16, &[]),
        (task_end(id, TaskEnd::Migrated), 51, &[]),
        (health_check_result(id, true), 53, &[171, 0, 1, 1]),
    ];
    for (bytes, kind, parameters) in cases {
        let head = [0, 9 + parameters.len() as u8, kind, 1, 2, 3, 4, 5, 6, 7, 8];
        assert_eq!(bytes, [&head[..], parameters].concat());
    }
}
