//! Tests with hosts, clients and feeds that fail.

use super::*;

// Regression: the placer kept the open connection to an unreachable host, and every offer sent on it was lost.
#[test]
fn connection_silent_during_an_offer_is_replaced() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    let mut second = hosts[0].accept();
    client.request_task(2, &IDEMPOTENT_TASK);
    assert_eq!(second.expect_offer(), hex(2));
    // Messages on the first connection are still read.
    connections[0].report_running(&id);
    assert_eq!(
        (client.expect_message().id, client.0.peer_addr().is_ok()),
        (1, true)
    );
}

/// Starts two hosts of one cell. One of them runs a task and becomes unreachable before a second task is offered to it.
/// The second task is then retried on a new connection to the other host, which runs it.
fn start_with_unreachable_host() -> (
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
    let last_message_at = Instant::now();
    assert_eq!(client.expect_message().kind, 9);
    let unreachable = hosts[at].make_unreachable();
    client.request_task(2, &IDEMPOTENT_TASK);
    assert_eq!(connections[at].expect_offer(), hex(2));
    let since = Instant::now();
    let mut other = hosts[1 - at].accept();
    assert_eq!(other.expect_offer(), hex(2));
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "the retry comes well before the client's timeout"
    );
    other.report_running(&hex(2));
    assert_eq!(client.expect_message().kind, 9);
    (
        program,
        feed,
        client,
        hosts,
        at,
        unreachable,
        last_message_at,
    )
}

// Regression: when a host was unreachable for a while, offers to it stayed in flight until the clients gave up, and its
// running tasks were reported as lost.
#[test]
fn unreachable_host_keeps_its_running_tasks_and_its_offers_are_retried_elsewhere() {
    let (_program, _feed, mut client, hosts, at, unreachable, _) = start_with_unreachable_host();
    // The host stays unreachable for longer than it usually takes until a lost task is reported, but for less than the
    // longest time that this may take.
    let message = client.message_within(Duration::from_secs(4));
    assert!(message.is_err(), "{message:?}");
    hosts[at].make_reachable(unreachable);
    let mut back = hosts[at].accept();
    back.report_ended(&hex(1), 16, "");
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
}

#[test]
fn tasks_of_a_host_that_stays_unreachable_are_lost_in_time() {
    let (_program, _feed, mut client, _hosts, _at, _unreachable, last_message_at) =
        start_with_unreachable_host();
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
    assert!(
        last_message_at.elapsed() < Duration::from_millis(8_050),
        "{:?}",
        last_message_at.elapsed()
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
        "a connection with an open request is not evicted"
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
    // A request with an unknown class and one without parameters fail, and the connection stays open.
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
    // A malformed message of a host closes only that connection.
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
    assert_eq!(
        feed.accept_subscription(),
        3,
        "resubscribed after the connection closed"
    );
    assert_eq!(
        feed.accept_subscription(),
        3,
        "resubscribed after the feed fell silent"
    );
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(
        connections[0].expect_offer(),
        hex(1),
        "a repeated event is applied only once"
    );
}
