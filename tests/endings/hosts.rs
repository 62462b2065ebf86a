//! Tests of hosts that drain, are replaced, or send several answers at once.

use super::*;

// The endpoint list changes while the connection is being established; the address may belong to another host by then.
#[test]
fn queued_offers_are_withheld_once_their_host_drains_or_is_replaced() {
    for change in ["draining", "gone", "born", "moved"] {
        let mut feed = Feed::new();
        let host = Host::new("h0", "north");
        let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
        config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
        // A slow-start budget of zero: a host process that has just started gets no attempt.
        config["settings"]["family_info"]["young_limit"] = json!(0.0);
        let unreachable = host.make_unreachable();
        let program = Program::start(&config);
        feed.accept_subscription();
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        assert!(client.health_check(), "the offer was not queued");
        let mut entry = host.entry("up", 0);
        match change {
            "draining" => feed.send_host_state(2, &host, "draining"),
            "gone" => {
                let mut other = host.entry("draining", 0);
                other["host"] = json!("h1");
                entry["health"] = json!("removed");
                feed.send(&endpoint_event(2, UpdateKind::Delta, vec![entry, other]));
            }
            "born" => feed.send(&endpoint_event(
                2,
                UpdateKind::Delta,
                vec![host.entry("up", unix_ms())],
            )),
            _ => {
                entry["dial"] = json!("127.0.0.1:9");
                feed.send(&endpoint_event(2, UpdateKind::Delta, vec![entry]));
            }
        }
        feed.send(&json!({ "n": 2 }));
        assert!(client.health_check());
        // A new request must not be offered to the host either, if its address has changed.
        client.request_task(2, &request(2));
        assert!(client.health_check());
        host.make_reachable(unreachable);
        if let Some(mut connection) = host.accept_within(Duration::from_millis(1_500)) {
            assert!(connection.read_within(QUIET_PERIOD).is_none(), "{change}");
        }
    }
}

// The host closes an idle connection just before an offer would be sent on it.
#[test]
fn offer_is_not_written_to_a_connection_closed_by_its_host() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    program.while_stopped(|| {
        client.request_task(1, &NON_IDEMPOTENT_TASK);
        connections.drain(..).for_each(HostConnection::close);
    });
    let mut connection = hosts[0].accept();
    assert_eq!(connection.expect_offer(), hex(1));
    connection.report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
}

// A host's messages are read at once, in each order that could be misinterpreted.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn host_messages_in_one_read_end_an_attempt_once() {
    let up = |id: &str| format!("{{\"t\":\"up\",\"ref\":\"{id}\",\"f\":{{}},\"d\":\"stands\"}}\n");
    let down = |id: &str, cause: u8| {
        format!("{{\"t\":\"down\",\"ref\":\"{id}\",\"f\":{{}},\"c\":{cause}}}\n")
    };
    let id = hex(1);
    // Each case: its name, what the host sends, what the client receives (type and cause), and whether another host
    // gets an offer.
    let cases = [
        (
            "answered twice and ended",
            up(&id) + &up(&id) + &down(&id, 16),
            vec![(9, 0), (12, 16)],
            false,
        ),
        (
            "answered, then a malformed message",
            up(&id) + "\u{1}\u{2}\n",
            vec![(9, 0)],
            false,
        ),
        (
            "answered, then half of a message",
            up(&id) + "{\"t\":\"up\",\"re",
            vec![(9, 0)],
            false,
        ),
        (
            "refused, then answered",
            down(&id, 34) + &up(&id),
            Vec::new(),
            true,
        ),
        (
            "error, then refused",
            down(&id, 47) + &down(&id, 34),
            Vec::new(),
            true,
        ),
    ];
    for (name, host_messages, expected, is_offered_again) in cases {
        let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        let (at, offer) = next_offer(&mut connections);
        assert_eq!(offer, id);
        // The host also closes the connection before any of its messages is read.
        let mut connection = connections.remove(at);
        program.while_stopped(|| {
            connection.send_bytes(host_messages.as_bytes());
            connection.close();
        });
        if is_offered_again {
            assert_eq!(connections[0].expect_offer(), id, "{name}");
            connections[0].report_running(&id);
            assert_eq!(client.expect_message().kind, 9, "{name}");
        }
        for (kind, cause) in expected {
            let message = client.expect_message();
            assert_eq!(
                (
                    message.kind,
                    if message.kind == 12 {
                        message.cause()
                    } else {
                        0
                    }
                ),
                (kind, cause),
                "{name}"
            );
        }
        assert!(
            client.health_check(),
            "the client received an unexpected message: {name}"
        );
    }
}

// Both the host's answer and the end of the client's timeout are due when the program continues.
#[test]
fn answer_and_timeout_in_one_iteration_give_one_final_answer() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 300,
            ..request(1)
        },
    );
    let id = connections[0].expect_offer();
    program.while_stopped(|| {
        connections[0].report_running(&id);
        std::thread::sleep(Duration::from_millis(350));
    });
    let answer = client.expect_message();
    assert!(
        client.health_check(),
        "the client received more than one answer"
    );
    // If the client was told of a failure, the task must not keep running.
    if answer.kind == 12 {
        assert_eq!(
            connections[0].expect("down").get_str("ref"),
            Some(id.as_str())
        );
    } else {
        assert_eq!(answer.kind, 9);
    }
}

#[test]
fn complete_list_without_a_host_ends_its_attempts() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(2);
    let mut client = checked_client(&program);
    client.request_task(1, &request(1));
    let (at, id) = next_offer(&mut connections);
    client.request_task(
        2,
        &TaskRequest {
            service: 102,
            ..NON_IDEMPOTENT_TASK
        },
    );
    let (other, non_idempotent_id) = next_offer(&mut connections);
    // The same event is sent twice; the second one changes nothing.
    let rest: Vec<_> = (0..2)
        .filter(|n| *n != at)
        .map(|n| hosts[n].entry("up", 0))
        .collect();
    feed.send(&endpoint_event(2, UpdateKind::Complete, rest.clone()));
    feed.send(&endpoint_event(2, UpdateKind::Complete, rest));
    assert!(connections[at].wait_closed());
    let remaining = 1 - at;
    assert_eq!(
        connections[remaining]
            .read_within(TEST_TIMEOUT)
            .and_then(|m| m.get_str("ref").map(str::to_string)),
        Some(id.clone())
    );
    connections[remaining].report_running(&id);
    if other == at {
        // Both tasks were offered to the removed host. The non-idempotent one may have run there, so it is reported as
        // ended.
        let messages = [client.expect_message(), client.expect_message()]
            .map(|message| (message.id, message.kind));
        assert!(
            messages.contains(&(1, 9)) && messages.contains(&(2, 12)),
            "{messages:?}"
        );
    } else {
        assert_eq!(client.expect_message().kind, 9);
        connections[remaining].report_running(&non_idempotent_id);
        assert_eq!(client.expect_message().kind, 9);
    }
    assert!(client.health_check());
}
