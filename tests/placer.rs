//! The real program on loopback sockets: the rules, and a test for each failure found.

#![recursion_limit = "256"]

use emulator::*;
use simd_json::prelude::*;
use std::time::{Duration, Instant};

// ---- Rule 1: one final answer ----

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
        .expect("a time");
    assert!(left > 1_000 && left < 6_000, "{left}");
    connections[0].report_running(&hex(0x51));
    // A host's second word is no second answer.
    connections[0].report_running(&hex(0x51));
    let answer = client.expect_message();
    assert_eq!(
        (answer.kind, answer.id, answer.text(174)),
        (9, 0x51, Some("stands 0000000000000051\r\n"))
    );
    assert!(
        client.health_check(),
        "nothing else was written before the test's result"
    );
    // The end of the task is told, with its cause.
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
        "a retry carries the same id"
    );
    connections[first].report_running(&id);
    connections[first].report_ended(&id, 16, "");
    connections[second].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(client.health_check(), "one answer only");
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
    let away: u64 = answer
        .text(147)
        .and_then(|ms| ms.parse().ok())
        .expect("a time to stay away");
    assert!(away > 0 && away <= 3_000, "{away}");
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

// Found in rehearsals: a host's answer and release were read at once, and the release went out on another
// connection, where its client read it before the answer.
#[test]
fn end_of_a_task_is_notified_after_its_answer_on_the_same_connection() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let (mut first, mut other) = (program.client(), program.client());
    for (id, client) in [(1, &mut other), (2, &mut first)] {
        client.request_task(id, &IDEMPOTENT_TASK);
        connections[0].expect_offer();
        // The other has had a task placed, and is heard last.
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
    let words =
        [first.expect_message(), first.expect_message()].map(|message| (message.kind, message.id));
    assert_eq!(words, [(9, 2), (12, 2)]);
    assert!(other.health_check(), "nothing of it went there");
}

// Found on fleet days: such a task was offered to every host in turn, and each was held for broken.
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

// ---- Rule 2: no duplicate start ----

#[test]
fn non_idempotent_task_fails_once_it_may_have_run() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    client.request_task(1, &NON_IDEMPOTENT_TASK);
    let (first, _) = next_offer(&mut connections);
    drop(connections.remove(first));
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.cause()), (12, 47));
    assert!(
        connections[0].read_within(QUIET_PERIOD).is_none(),
        "no second offer"
    );
}

#[test]
fn timed_out_attempt_is_cancelled_and_its_late_answer_is_ignored() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 800,
            ..IDEMPOTENT_TASK
        },
    );
    let id = connections[0].expect_offer();
    let down = connections[0].expect("down");
    assert_eq!(
        (down.get_str("ref"), down.get_u64("c")),
        (Some(id.as_str()), Some(16))
    );
    connections[0].report_running(&id);
    assert_eq!(
        (client.expect_message().kind, client.health_check()),
        (12, true)
    );
}

// ---- Rules 3 to 5 ----

#[test]
fn draining_host_gets_no_new_tasks() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(2);
    feed.send_host_state(2, &hosts[0], "draining");
    let mut client = program.client();
    std::thread::sleep(Duration::from_secs(2));
    for id in 1..20 {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        );
        let (at, offer) = next_offer(&mut connections);
        assert_eq!(at, 1, "offered after the grace");
        connections[at].report_ended(&offer, 16, "");
        assert_eq!(client.expect_message().kind, 12);
    }
}

#[test]
fn cold_host_gets_no_more_offers_than_it_always_tolerates() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let program = Program::start(&single_placer_config(
        &feed,
        vec![host.entry("up", unix_ms())],
    ));
    feed.accept_subscription();
    let mut connection = host.accept();
    let mut client = program.client();
    (1..=12).for_each(|id| {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        )
    });
    let times: Vec<Instant> = (0..5)
        .map(|_| {
            let id = connection.expect_offer();
            let now = Instant::now();
            connection.report_running(&id);
            now
        })
        .collect();
    // Three in a second are borne; a fourth must be a whole second after the first.
    assert!(
        times
            .windows(4)
            .all(|w| w[3] - w[0] >= Duration::from_secs(1)),
        "{times:?}"
    );
}

#[test]
fn tasks_of_a_service_are_spread_over_zones() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    (1..=3).for_each(|id| client.request_task(id, &IDEMPOTENT_TASK));
    let placed = [connections[0].expect_offer(), connections[0].expect_offer()];
    placed
        .iter()
        .for_each(|id| connections[0].report_running(id));
    assert!(
        connections[0].read_within(QUIET_PERIOD).is_none(),
        "two stand, a third is held"
    );
    connections[0].report_ended(&placed[0], 16, "");
    connections[0].expect("ack");
    connections[0].expect_offer();
}

// ---- Tasks that stand ----

#[test]
fn running_task_is_not_bound_to_a_connection() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    for id in [1, 2] {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        );
        let offer = connections[0].expect_offer();
        connections[0].report_running(&offer);
        client.expect_message();
    }
    drop(client);
    // The host closes its connection: the tasks stand on, and it is called again.
    drop(connections.remove(0));
    let mut connection = hosts[0].accept();
    connection.report_ended(&hex(1), 41, "ev");
    connection.report_ended(&hex(1), 41, "ev");
    connection.expect("ack");
    connection.expect("ack");
    // With no client connected the end waits for the next one that asks for anything, and comes once.
    // A client may end a task on any connection; the host's word then goes no further.
    let mut client = program.client();
    client.release(2, 31);
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
    assert_eq!(client.expect_message().kind, 16);
    assert_eq!(connection.expect("down").get_u64("c"), Some(31));
    connection.report_ended(&hex(2), 31, "");
    connection.expect("ack");
    assert!(client.health_check());
}

#[test]
fn tasks_of_a_dead_host_process_are_lost_at_once() {
    let (program, _feed, mut hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    client.expect_message();
    hosts.clear();
    connections.clear();
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
}

// Found on fleet days: of machines that died together, one with no offer out was missed until the feed told.
#[test]
fn death_of_a_host_process_reconnects_the_others_of_its_cell() {
    let (program, _feed, mut hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    for (id, host) in [(1, "h0"), (2, "h1")] {
        client.request_task(
            id,
            &TaskRequest {
                running_at: Some(host),
                ..IDEMPOTENT_TASK
            },
        );
    }
    assert!(client.health_check());
    // Nothing listens any more, but only the first connection shows it.
    hosts.clear();
    drop(connections.remove(0));
    let mut lost =
        [client.expect_message(), client.expect_message()].map(|end| (end.id, end.cause()));
    lost.sort_unstable();
    assert_eq!(lost, [(1, 41), (2, 41)]);
}

#[test]
fn task_end_before_the_client_reconnects_is_kept_for_it() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    connections[0].report_ended(&hex(1), 16, "");
    connections[0].expect("ack");
    let mut client = program.client();
    client.request_task(
        1,
        &TaskRequest {
            running_at: Some("h0"),
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
    // It may be named again, which changes nothing.
    client.request_task(
        2,
        &TaskRequest {
            running_at: Some("h0"),
            ..IDEMPOTENT_TASK
        },
    );
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
    connections[0].report_ended(&hex(2), 16, "");
    assert_eq!(client.expect_message().id, 2);
    assert!(client.health_check());
}

// ---- Peers that fail ----

// Found on fleet days: a vanished host kept its open connection and swallowed offer after offer.
#[test]
fn connection_silent_during_an_offer_is_replaced() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    let mut second = hosts[0].accept();
    client.request_task(2, &IDEMPOTENT_TASK);
    assert_eq!(second.expect_offer(), hex(2));
    // The first is still heard.
    connections[0].report_running(&id);
    assert_eq!(
        (client.expect_message().id, client.0.peer_addr().is_ok()),
        (1, true)
    );
}

/// Two hosts, one of which holds a task and has vanished with another offered to it: that one comes again on
/// a new connection of the other, which is of the same cell, and is placed there.
fn one_vanishes() -> (
    Program,
    Feed,
    Client,
    Vec<Host>,
    usize,
    Unreachable,
    Instant,
) {
    let (program, feed, hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let (at, id) = next_offer(&mut connections);
    connections[at].report_running(&id);
    let heard = Instant::now();
    assert_eq!(client.expect_message().kind, 9);
    let held = hosts[at].make_unreachable();
    client.request_task(2, &IDEMPOTENT_TASK);
    assert_eq!(connections[at].expect_offer(), hex(2));
    let since = Instant::now();
    let mut beside = hosts[1 - at].accept();
    assert_eq!(beside.expect_offer(), hex(2));
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "well before its client gives up"
    );
    beside.report_running(&hex(2));
    assert_eq!(client.expect_message().kind, 9);
    (program, feed, client, hosts, at, held, heard)
}

// Found on days with hosts that are cut off for a while: offers to each stayed out there until their clients
// gave up, and what stood there was called lost, though it ran on.
#[test]
fn unreachable_host_keeps_its_running_tasks_and_its_offers_are_retried_elsewhere() {
    let (_program, _feed, mut client, hosts, at, held, _) = one_vanishes();
    // Out of reach for longer than a lost task needs to be told, less than it may go untold.
    let told = client.message_within(Duration::from_secs(4));
    assert!(told.is_err(), "{told:?}");
    hosts[at].make_reachable(held);
    let mut back = hosts[at].accept();
    back.report_ended(&hex(1), 16, "");
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
}

#[test]
fn tasks_of_a_host_that_stays_unreachable_are_lost_in_time() {
    let (_program, _feed, mut client, _hosts, _at, _held, heard) = one_vanishes();
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
    assert!(
        heard.elapsed() < Duration::from_millis(8_050),
        "{:?}",
        heard.elapsed()
    );
}

#[test]
fn idle_connections_are_evicted_when_descriptors_run_out() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let program = Program::start_with_descriptors(
        &single_placer_config(&feed, vec![host.entry("up", 0)]),
        32,
    );
    feed.accept_subscription();
    let mut connection = host.accept();
    let mut busy = program.client();
    busy.request_task(1, &IDEMPOTENT_TASK);
    let id = connection.expect_offer();
    let idle: Vec<Client> = (0..60).map(|_| program.client()).collect();
    let mut last = program.client();
    last.request_task(2, &IDEMPOTENT_TASK);
    assert_eq!(connection.expect_offer(), hex(2));
    connection.report_running(&id);
    assert_eq!(
        (busy.expect_message().kind, idle.len()),
        (9, 60),
        "one with an open set-up stays"
    );
}

#[test]
fn misbehaving_clients_do_not_affect_others() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut good = program.client();
    for bad in [
        &[0xff, 0xff, 1][..],
        &[0, 3, 1, 2, 3],
        &encode_message(12, 1, &[]),
        &[0, 10, 1, 0, 0, 0, 0, 0, 0, 0, 1, 9],
    ] {
        let mut client = program.client();
        client.send(bad);
        assert_eq!(client.next_message(), None, "{bad:?}");
    }
    // A set-up of an unknown class, and one with nothing in it, fail; the connection goes on.
    good.request_task(
        1,
        &TaskRequest {
            class: "unheard",
            ..IDEMPOTENT_TASK
        },
    );
    assert_eq!(
        (good.expect_message().cause(), good.health_check()),
        (47, true)
    );
    good.send(&encode_message(1, 2, &[]));
    assert_eq!(
        (good.expect_message().cause(), good.health_check()),
        (47, true)
    );
    // A host that talks nonsense loses its connection only.
    connections[0].send_bytes(b"{\"t\":\"up\"\n");
    assert!(connections[0].read_within(TEST_TIMEOUT).is_none());
    assert!(good.health_check());
}

#[test]
fn broken_or_silent_feed_is_resubscribed_from_its_last_event() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(1);
    feed.send_host_state(2, &hosts[0], "up");
    feed.send_host_state(2, &hosts[0], "removed");
    feed.send_host_state(3, &hosts[0], "up");
    drop(feed.take_subscription());
    assert_eq!(feed.accept_subscription(), 3, "after a break");
    assert_eq!(feed.accept_subscription(), 3, "after a silence");
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(
        connections[0].expect_offer(),
        hex(1),
        "an event that comes twice counts once"
    );
}

// ---- Start and end ----

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let good = single_placer_config(&Feed::new(), vec![]).encode();
    let cases = [
        ("{", "LB_CONFIG"),
        ("[]", "LB_CONFIG"),
        (&good.replace("\"8c1f30d27a5be964\"", "\"seed\""), "seed"),
        (&good.replace("\"listen\"", "\"lisen\""), "listen"),
        (
            &good.replace("\"drain_grace\"", "\"drain\""),
            "settings.rules.drain_grace",
        ),
        (
            &good.replace("\"safe\"", "\"sage\""),
            "settings.services.0.semantics",
        ),
        (&good.replace("\"events\"", "\"event\""), "known.events"),
        (
            &good.replace("\"sockets\":1024", "\"sockets\":31"),
            "limits.sockets",
        ),
    ];
    for (text, field) in cases {
        let (failed, said) = run_with_invalid_config(text);
        assert!(
            failed && said.lines().count() == 1 && said.contains(field),
            "{field}: {said}"
        );
    }
}

#[test]
fn requests_after_sigterm_are_still_accepted_and_answered() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let held = connections[0].expect_offer();
    program.terminate();
    while client.health_check() {}
    let mut late = program.client();
    late.request_task(
        2,
        &TaskRequest {
            service: 2,
            ..IDEMPOTENT_TASK
        },
    );
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(
        (late.expect_message().id, program.wait_exit().code()),
        (2, Some(0))
    );
    // The host never answered the first: its client was told before the end.
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id, answer.cause()), (12, 1, 42));
    assert_eq!(
        connections[0].expect("down").get_str("ref"),
        Some(held.as_str())
    );
}
