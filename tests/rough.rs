//! Tests of the program with misbehaving clients, hosts and feeds, one for each safeguard against them.

#![recursion_limit = "256"]

use emulator::*;
use simd_json::json;
use simd_json::prelude::*;
use std::time::{Duration, Instant};

/// A misbehaving client must get a response or be disconnected within 3 s.
const RESPONSE_LIMIT: Duration = Duration::from_secs(3);

/// Returns the parameters of a task request, some of which the caller chooses to make the request invalid.
fn parameters<'a>(wait: &'a str, tenant: &'a str, figures: &'a str) -> Vec<(u8, &'a [u8])> {
    let key = b"000000000000abcd";
    let texts = [
        (129, "quick"),
        (132, wait),
        (135, tenant),
        (144, figures),
        (174, "d"),
    ];
    let mut all: Vec<(u8, &[u8])> = texts
        .iter()
        .map(|(code, text)| (*code, text.as_bytes()))
        .collect();
    all.push((141, key));
    all
}

// ---- Tests of misbehaving clients ----

// Regression: invalid requests were offered to hosts. Hosts close the connection on an offer without an id, whatever
// else is in flight on it, and reject other invalid offers with errors, for which the placer considered them faulty.
#[test]
fn invalid_requests_are_rejected_at_once_and_reach_no_host() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    let good = "cores:1;memory:2;service:7";
    let cases = [
        (0, "6000", "ours", good),
        (2, "6000", "nobody", good),
        (3, "0", "ours", good),
        (4, "-5", "ours", good),
        (5, "86400000", "ours", good),
        (6, "6000", "ours", "cores:4000;memory:2;service:7"),
        (7, "6000", "ours", "cores:1;memory:1e300;service:7"),
        (8, "6000", "ours", "cores:NaN;memory:2;service:7"),
    ];
    for (id, wait, tenant, figures) in cases {
        client.send(&encode_message(1, id, &parameters(wait, tenant, figures)));
        let answer = client.expect_message();
        assert_eq!(
            (answer.kind, answer.id, answer.cause()),
            (12, id, 47),
            "{wait} {tenant} {figures}"
        );
    }
    // The id of an ended task can't be used again.
    client.request_task(9, &IDEMPOTENT_TASK);
    assert_eq!(connections[0].expect_offer(), hex(9));
    connections[0].report_ended(&hex(9), 16, "");
    assert_eq!(client.expect_message().cause(), 16);
    client.request_task(9, &NON_IDEMPOTENT_TASK);
    assert_eq!(
        (client.expect_message().cause(), client.health_check()),
        (47, true)
    );
    assert!(connections[0].read_within(QUIET_PERIOD).is_none());
}

// Regression: a client that reused the id of an open request received the response that was meant for another client.
#[test]
fn open_request_id_can_not_be_taken_over() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    let mut other = program.client();
    other.request_task(
        1,
        &TaskRequest {
            service: 8,
            ..IDEMPOTENT_TASK
        },
    );
    assert_eq!(
        other.next_message(),
        None,
        "the second connection is closed"
    );
    let mut other = program.client();
    other.send(&encode_message(1, 1, &[]));
    assert_eq!(
        other.next_message(),
        None,
        "no failure is reported under the id of an open request"
    );
    // A release from another connection is acknowledged, but does not cancel the request.
    let mut other = program.client();
    other.release(1, 16);
    assert_eq!(other.expect_message().kind, 16);
    connections[0].report_running(&id);
    assert_eq!(
        (client.expect_message().kind, client.health_check()),
        (9, true)
    );
    // Two different requests with one id on a connection close it, and the offer is withdrawn.
    other.request_task(
        2,
        &TaskRequest {
            service: 8,
            ..IDEMPOTENT_TASK
        },
    );
    assert_eq!(connections[0].expect_offer(), hex(2));
    other.request_task(
        2,
        &TaskRequest {
            service: 8,
            ..IDEMPOTENT_TASK
        },
    );
    assert_eq!(other.next_message(), None);
    assert_eq!(
        connections[0].expect("down").get_str("ref"),
        Some(hex(2).as_str())
    );
}

#[test]
fn silent_clients_and_partial_messages_are_closed_but_clients_with_a_complete_message_stay() {
    let (program, _feed, _hosts, _conns) = start_with_hosts(1);
    let started = Instant::now();
    let mut silent = program.client();
    let mut half = program.client();
    half.send(&[0, 200, 1, 0, 0]);
    let mut after = program.client();
    assert!(after.health_check());
    after.send(&[0]);
    let mut once = program.client();
    assert!(once.health_check());
    for client in [&mut silent, &mut half, &mut after] {
        assert_eq!(client.next_message(), None);
    }
    assert!(
        started.elapsed() < RESPONSE_LIMIT,
        "{:?}",
        started.elapsed()
    );
    assert!(once.health_check());
}

#[test]
fn useless_messages_get_a_response_or_a_close() {
    let (program, _feed, _hosts, _conns) = start_with_hosts(1);
    let mut client = program.client();
    client.release(77, 16);
    assert_eq!(
        (client.expect_message().kind, client.health_check()),
        (16, true),
        "the release of an unknown task is acknowledged"
    );
    client.send(&encode_message(99, 5, &[]));
    assert_eq!(
        client.next_message(),
        None,
        "a message of an unknown type closes the connection"
    );
    // The response is sent before the connection is closed, although more input is left that the placer does not read.
    let mut client = program.client();
    client.send(&encode_message(1, 4, &parameters("6000", "nobody", "")));
    client.send(&[0xff; 300_000]);
    assert_eq!(client.expect_message().cause(), 47);
    assert_eq!(client.next_message(), None);
}

// Regression: clients that sent one request and kept their connection used up the descriptors. Each accept then failed
// at first, and requests waited for seconds.
#[test]
fn client_connections_stay_within_the_descriptor_budget_and_busy_ones_are_kept() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": 64 });
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut connection = host.accept();
    let mut busy = program.client();
    busy.request_task(1, &IDEMPOTENT_TASK);
    let id = connection.expect_offer();
    let mut idle_clients: Vec<Client> = (0..64).map(|_| program.client()).collect();
    assert!(idle_clients.last_mut().is_some_and(Client::health_check));
    let descriptors = program.descriptors();
    assert!(descriptors < 64, "{descriptors}");
    connection.report_running(&id);
    assert_eq!(busy.expect_message().kind, 9);
}

#[test]
fn task_end_is_notified_again_if_not_acknowledged() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    let mut other_client = program.client();
    other_client.release(9, 31);
    assert_eq!(
        other_client.expect_message().kind,
        16,
        "the other client is the last one to send a message, and has no task"
    );
    connections[0].report_ended(&id, 16, "");
    assert_eq!(client.expect_message().id, 1);
    drop(client);
    assert_eq!(
        other_client.expect_message().id,
        1,
        "the first client has not acknowledged the end, so it is sent again"
    );
    other_client.send(&encode_message(16, 1, &[]));
    assert!(other_client.health_check());
}

#[test]
fn task_at_an_unknown_host_ends_in_time() {
    let (program, mut feed, _hosts, _conns) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(
        1,
        &TaskRequest {
            running_at: Some("h9"),
            ..IDEMPOTENT_TASK
        },
    );
    client.request_task(
        2,
        &TaskRequest {
            running_at: Some("h0"),
            ..IDEMPOTENT_TASK
        },
    );
    let started = Instant::now();
    // The feed is heard every second, as in service: while it is silent, the host may be one that was listed meanwhile.
    let end = loop {
        feed.send(&json!({ "n": 1 }));
        if let Ok(message) = client.message_within(Duration::from_millis(500)) {
            break message.expect("the connection stays open");
        }
        assert!(
            started.elapsed() < RESPONSE_LIMIT,
            "{:?}",
            started.elapsed()
        );
    };
    assert_eq!((end.id, client.health_check()), (1, true));
    assert!(
        started.elapsed() < RESPONSE_LIMIT,
        "{:?}",
        started.elapsed()
    );
}

// ---- Tests of feeds and new configurations ----

// Regression: SIGHUP ended the process, and all open requests were lost.
#[test]
fn sighup_moves_the_feed_from_its_last_event_while_requests_continue() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let program = Program::start(&config);
    assert_eq!(feed.accept_subscription(), 1);
    feed.send_host_state(2, &host, "up");
    let mut connection = host.accept();
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connection.expect_offer();
    let mut new_hosts = Vec::new();
    for n in 3..5 {
        // After an invalid file is read, the previous configuration stays in effect.
        program.reload("{\"feed\":");
        // The connection to the new host shows that the placer has applied the event before it gets the signal.
        let new_host = Host::new(&format!("h{n}"), "north");
        feed.send_host_state(n, &new_host, "up");
        new_hosts.push((new_host.accept(), new_host));
        assert!(client.health_check());
        feed = Feed::new();
        config["feed"] = feed.address().into();
        program.reload(&config.encode());
        assert_eq!(feed.accept_subscription(), n);
    }
    connection.report_running(&id);
    assert_eq!(
        (client.expect_message().kind, client.health_check()),
        (9, true)
    );
}

#[test]
fn feed_cut_within_an_event_or_gone_silent_is_resubscribed_soon() {
    let (_program, mut feed, hosts, _conns) = start_with_hosts(1);
    let text = endpoint_event(2, UpdateKind::Delta, vec![hosts[0].entry("draining", 0)]).encode();
    for malformed in [
        &text[..text.len() / 2],
        "{\"n\":2,\"members\":7}\n",
        "\u{1}\u{2}\n",
    ] {
        let mut stream = feed.take_subscription().expect("no feed subscription");
        std::io::Write::write_all(&mut stream, malformed.as_bytes())
            .expect("cannot write to the placer");
        let broken = Instant::now();
        drop(stream);
        assert_eq!(feed.accept_subscription(), 1, "{malformed}");
        assert!(
            broken.elapsed() < Duration::from_secs(2),
            "{:?}",
            broken.elapsed()
        );
    }
    let stopped = Instant::now();
    assert_eq!(
        feed.accept_subscription(),
        1,
        "resubscribed after the feed stayed open but fell silent"
    );
    assert!(
        stopped.elapsed() < Duration::from_secs(4),
        "{:?}",
        stopped.elapsed()
    );
}

// ---- Tests of misbehaving hosts ----

#[test]
fn malformed_reply_closes_its_connection_and_idempotent_tasks_are_retried_elsewhere() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    let up = |rest: &str| format!("{{\"t\":\"up\",\"ref\":\"{}\"{rest}", hex(1));
    // The replies are garbage, a message without a description, a line that never ends, and a truncated line.
    let malformed = [
        "\u{1}\u{2}\n".into(),
        up(",\"f\":{}}\n"),
        up(&"x".repeat(20_000)),
        up(",\"d\":\"sta"),
    ];
    for (n, bytes) in malformed.iter().enumerate() {
        let id = 1 + n as u64;
        client.request_task(
            id,
            &TaskRequest {
                service: 20 + id,
                ..IDEMPOTENT_TASK
            },
        );
        let (at, _) = next_offer(&mut connections);
        connections[at].send_bytes(bytes.as_bytes());
        assert!(connections[at].wait_closed(), "{n}");
        // The host then closes its end of the connection.
        connections.remove(at).close();
        connections.insert(at, hosts[at].accept());
        let (again, offer) = next_offer(&mut connections);
        assert_eq!((again, offer.as_str()), (1 - at, hex(id).as_str()), "{n}");
        connections[again].report_running(&offer);
        assert_eq!(
            (client.expect_message().kind, client.health_check()),
            (9, true),
            "{n}"
        );
    }
    // A non-idempotent task fails instead of being retried.
    client.request_task(9, &NON_IDEMPOTENT_TASK);
    let (at, _) = next_offer(&mut connections);
    connections[at].send_bytes(malformed[1].as_bytes());
    assert_eq!(
        (client.expect_message().cause(), client.health_check()),
        (47, true)
    );
}

#[test]
fn repeated_and_unknown_replies_are_ignored() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    connections[0].report_running("00000000000000ff");
    connections[0].report_running(&id);
    connections[0].report_running(&id);
    assert_eq!(
        (client.expect_message().id, client.health_check()),
        (1, true)
    );
    client.request_task(2, &IDEMPOTENT_TASK);
    assert_eq!(
        connections[0].expect_offer(),
        hex(2),
        "the connection is still in use"
    );
}
