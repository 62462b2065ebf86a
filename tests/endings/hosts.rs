//! Hosts that drain, are replaced, or answer several times at once.

use super::*;

// The list changes while the connection comes up; the address may belong to another host by then.
#[test]
fn queued_offers_are_withheld_once_their_host_drains_or_is_replaced() {
    for change in ["draining", "gone", "born", "moved"] {
        let mut feed = Feed::new();
        let host = Host::new("h0", "north");
        let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
        config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
        // A process that has just started tolerates nothing.
        config["settings"]["family_info"]["young_limit"] = json!(0.0);
        let held = host.make_unreachable();
        let program = Program::start(&config);
        feed.accept_subscription();
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        assert!(client.health_check(), "the offer is queued");
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
        // Nor is anything offered to it from now on, where it has another address.
        client.request_task(2, &request(2));
        assert!(client.health_check());
        host.make_reachable(held);
        if let Some(mut connection) = host.accept_within(Duration::from_millis(1_500)) {
            assert!(connection.read_within(QUIET_PERIOD).is_none(), "{change}");
        }
    }
}

// The host closes an idle connection just before an offer is sent on it.
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

// Messages of a host in one read, in every order that could be misread.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn host_messages_in_one_read_end_an_attempt_once() {
    let up = |id: &str| format!("{{\"t\":\"up\",\"ref\":\"{id}\",\"f\":{{}},\"d\":\"stands\"}}\n");
    let down = |id: &str, cause: u8| {
        format!("{{\"t\":\"down\",\"ref\":\"{id}\",\"f\":{{}},\"c\":{cause}}}\n")
    };
    let id = hex(1);
    // What the host sends, what the client gets (type and cause), and whether the host gets another offer.
    let cases = [
        (
            "answered twice and ended",
            up(&id) + &up(&id) + &down(&id, 16),
            vec![(9, 0), (12, 16)],
            false,
        ),
        (
            "answered, and then spoilt",
            up(&id) + "\u{1}\u{2}\n",
            vec![(9, 0)],
            false,
        ),
        (
            "answered, and half of another",
            up(&id) + "{\"t\":\"up\",\"re",
            vec![(9, 0)],
            false,
        ),
        (
            "refused, and then answered",
            down(&id, 34) + &up(&id),
            Vec::new(),
            true,
        ),
        (
            "an error, and then a refusal",
            down(&id, 47) + &down(&id, 34),
            Vec::new(),
            true,
        ),
    ];
    for (what, said, words, again) in cases {
        let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        let (at, offer) = next_offer(&mut connections);
        assert_eq!(offer, id);
        // It has also closed the connection before any of it is read.
        let mut connection = connections.remove(at);
        program.while_stopped(|| {
            connection.send_bytes(said.as_bytes());
            connection.close();
        });
        if again {
            assert_eq!(connections[0].expect_offer(), id, "{what}");
            connections[0].report_running(&id);
            assert_eq!(client.expect_message().kind, 9, "{what}");
        }
        for (kind, cause) in words {
            let word = client.expect_message();
            assert_eq!(
                (word.kind, if word.kind == 12 { word.cause() } else { 0 }),
                (kind, cause),
                "{what}"
            );
        }
        assert!(client.health_check(), "nothing else was said: {what}");
    }
}

// The host's answer has arrived and the client's timeout has passed when both are read.
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
    assert!(client.health_check(), "one answer");
    // A task that was answered as failed does not run on.
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
    let (other, once) = next_offer(&mut connections);
    // Twice, and the second event changes nothing.
    let rest: Vec<_> = (0..2)
        .filter(|n| *n != at)
        .map(|n| hosts[n].entry("up", 0))
        .collect();
    feed.send(&endpoint_event(2, UpdateKind::Complete, rest.clone()));
    feed.send(&endpoint_event(2, UpdateKind::Complete, rest));
    assert!(connections[at].wait_closed());
    let left = 1 - at;
    assert_eq!(
        connections[left]
            .read_within(TEST_TIMEOUT)
            .and_then(|m| m.get_str("ref").map(str::to_string)),
        Some(id.clone())
    );
    connections[left].report_running(&id);
    if other == at {
        // It may have run there.
        let words =
            [client.expect_message(), client.expect_message()].map(|word| (word.id, word.kind));
        assert!(
            words.contains(&(1, 9)) && words.contains(&(2, 12)),
            "{words:?}"
        );
    } else {
        assert_eq!(client.expect_message().kind, 9);
        connections[left].report_running(&once);
        assert_eq!(client.expect_message().kind, 9);
    }
    assert!(client.health_check());
}
