//! Tests of rule 1: each request gets exactly one final response.

use super::*;

#[test]
fn offers_and_their_answers_are_forwarded_unchanged() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(0x51, &IDEMPOTENT_TASK);
    let offer = connections[0].expect("new");
    let field = |name| offer.get("f").and_then(|f| f.get_str(name));
    assert_eq!(
        (offer.get_str("ref"), offer.get_str("d")),
        (Some(hex(0x51).as_str()), Some("c=IN 81\r\n"))
    );
    assert_eq!(
        (field("class"), field("key")),
        (Some("quick"), Some(hex(0x51 + 0xabc0).as_str()))
    );
    let left: u64 = field("left")
        .and_then(|ms| ms.parse().ok())
        .expect("the offer has no `left` field in milliseconds");
    assert!(left > 1_000 && left < 6_000, "{left}");
    connections[0].report_running(&hex(0x51));
    // A repeated message of the host must not cause a second response.
    connections[0].report_running(&hex(0x51));
    let answer = client.expect_message();
    assert_eq!(
        (answer.kind, answer.id, answer.text(174)),
        (9, 0x51, Some("stands 0000000000000051\r\n"))
    );
    assert!(
        client.health_check(),
        "nothing else was sent before the result of the health check"
    );
    // The end of the task and its cause are forwarded to the client.
    connections[0].report_ended(&hex(0x51), 16, "");
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 0x51, 16));
    connections[0].expect("ack");
}

#[test]
fn rejected_offer_is_retried_elsewhere_and_late_messages_of_the_first_host_are_ignored() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    client.request_task(1, &NON_IDEMPOTENT_TASK);
    let (first, id) = next_offer(&mut connections);
    connections[first].report_ended(&id, 34, "nc");
    let (second, again) = next_offer(&mut connections);
    assert_eq!(
        (again.as_str(), second),
        (id.as_str(), 1 - first),
        "a retry has the same id"
    );
    connections[first].report_running(&id);
    connections[first].report_ended(&id, 16, "");
    connections[second].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(client.health_check(), "the client gets only one response");
}

#[test]
fn request_without_capacity_is_rejected_in_time_with_retry_after() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    let start = Instant::now();
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 900,
            ..IDEMPOTENT_TASK
        },
    );
    let id = connections[0].expect_offer();
    connections[0].report_ended(&id, 34, "nc");
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.cause()), (12, 42));
    assert!(
        start.elapsed() < Duration::from_millis(950),
        "{:?}",
        start.elapsed()
    );
    let retry_after_ms: u64 = answer
        .text(147)
        .and_then(|ms| ms.parse().ok())
        .expect("the response has no Retry-After time");
    assert!(
        retry_after_ms > 0 && retry_after_ms <= 3_000,
        "{retry_after_ms}"
    );
}

#[test]
fn request_repeated_on_another_connection_is_answered_there() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let (mut first, mut second) = (program.client(), program.client());
    first.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    second.request_task(1, &IDEMPOTENT_TASK);
    assert!(second.health_check());
    drop(first);
    assert!(second.health_check());
    connections[0].report_running(&id);
    assert_eq!(
        (second.expect_message().kind, second.health_check()),
        (9, true)
    );
}

#[test]
fn client_that_cancels_or_disconnects_gets_no_response_and_its_host_is_notified() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    client.release(1, 16);
    assert_eq!(connections[0].expect("down").get_u64("c"), Some(16));
    connections[0].report_running(&id);
    assert!(client.health_check());
    client.request_task(2, &IDEMPOTENT_TASK);
    connections[0].expect_offer();
    drop(client);
    assert_eq!(
        connections[0].expect("down").get_str("ref"),
        Some(hex(2).as_str())
    );
}

// Regression: a host reported the start and the end of a task in one write, and the end was sent on another connection
// than the response, so that the client received it first.
#[test]
fn end_of_a_task_is_notified_after_its_answer_on_the_same_connection() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let (mut first, mut other) = (program.client(), program.client());
    for (id, client) in [(1, &mut other), (2, &mut first)] {
        client.request_task(id, &IDEMPOTENT_TASK);
        connections[0].expect_offer();
        // The task of the other client is placed first, and that client is the last one to send a message.
        if id == 1 {
            connections[0].report_running(&hex(1));
            assert_eq!(client.expect_message().kind, 9);
        }
    }
    assert!(other.health_check());
    let (up, down) = (hex(2), hex(2));
    let lines = format!(
        "{{\"t\":\"up\",\"ref\":\"{up}\",\"f\":{{}},\"d\":\"stands\"}}\n{{\"t\":\"down\",\"ref\":\"{down}\",\"f\":{{}},\"c\":16}}\n"
    );
    connections[0].send_bytes(lines.as_bytes());
    let messages =
        [first.expect_message(), first.expect_message()].map(|message| (message.kind, message.id));
    assert_eq!(messages, [(9, 2), (12, 2)]);
    assert!(
        other.health_check(),
        "nothing about task 2 was sent on the other connection"
    );
}

// Regression: a task that every host ended at once, because its deadline had passed, was offered to each host in turn,
// and each was considered faulty.
#[test]
fn task_whose_deadline_has_passed_is_not_retried() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let (at, id) = next_offer(&mut connections);
    connections[at].report_ended(&id, 16, "");
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.cause()), (12, 16));
    assert!(connections[1 - at].read_within(QUIET_PERIOD).is_none());
}
