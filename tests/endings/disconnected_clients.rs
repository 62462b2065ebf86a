//! Clients that disconnect or cancel: their requests are neither offered, retried nor answered afterwards.

use super::*;

// While the program is stopped, the client's request and its close both arrive, and are read together afterwards.
#[test]
fn request_of_a_disconnected_client_is_not_offered() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    for id in 1..=5 {
        let mut client = checked_client(&program);
        program.while_stopped(|| {
            client.request_task(id, &request(id));
            client.close();
        });
    }
    assert_eq!(
        offers_until_last(&program, &hosts, &mut connections),
        NO_OFFERS
    );
}

#[test]
fn request_cancelled_in_the_same_read_is_not_offered() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    program.while_stopped(|| {
        for id in 1..=5 {
            client.request_task(id, &request(id));
            client.release(id, 16);
        }
    });
    assert_eq!(
        offers_until_last(&program, &hosts, &mut connections),
        NO_OFFERS
    );
    assert!(client.health_check(), "the client's connection was closed");
}

// Hundreds of requests are cancelled at once, so that the program reads the requests several reads before their
// cancellations.
#[test]
fn requests_cancelled_some_reads_later_are_not_offered() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    program.while_stopped(|| {
        (1..=300).for_each(|id| client.request_task(id, &request(id)));
        (1..=300).for_each(|id| client.release(id, 16));
    });
    assert_eq!(
        offers_until_last(&program, &hosts, &mut connections),
        NO_OFFERS
    );
    assert!(client.health_check());
}

// The host's rejection is read before the client's close or cancellation.
#[test]
fn request_of_a_disconnected_client_is_not_retried() {
    for (kind, closes_connection) in [("close", true), ("cancel", false)] {
        let (program, _feed, hosts, mut connections) = start_with_hosts(2);
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        let (at, id) = next_offer(&mut connections);
        let mut open_client = Some(client);
        program.while_stopped(|| {
            connections[at].report_ended(&id, 34, "nq");
            if closes_connection {
                open_client.take().into_iter().for_each(Client::close);
            } else {
                open_client
                    .iter_mut()
                    .for_each(|client| client.release(1, 16));
            }
        });
        assert_eq!(
            offers_until_last(&program, &hosts, &mut connections),
            NO_OFFERS,
            "{kind}"
        );
    }
}

// When the program continues, the connect to the first host has timed out and the client has disconnected.
#[test]
fn client_that_disconnects_during_a_host_connect_gets_no_further_attempt() {
    let mut feed = Feed::new();
    let hosts = [Host::new("h0", "north"), Host::new("h1", "north")];
    let mut config = single_placer_config(
        &feed,
        hosts.iter().map(|host| host.entry("up", 0)).collect(),
    );
    config["settings"]["prices"] = json!({ "handshake": 0.05 });
    let unreachable: Vec<Unreachable> = hosts.iter().map(Host::make_unreachable).collect();
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut client = checked_client(&program);
    client.request_task(1, &request(1));
    assert!(client.health_check(), "the set-up was not processed");
    program.while_stopped(|| {
        hosts
            .iter()
            .zip(unreachable)
            .for_each(|(host, unreachable)| host.make_reachable(unreachable));
        client.close();
        std::thread::sleep(Duration::from_millis(300));
    });
    program.wait_for_log("connection ended peer=\"client\"");
    assert_eq!(
        offers_until_last(&program, &hosts, &mut Vec::new()),
        NO_OFFERS,
        "{}",
        program.log()
    );
}

#[test]
fn client_that_disconnects_before_accept_gets_no_attempt() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": 36 });
    let program = Program::start_with_descriptors(&config, 1_024);
    feed.accept_subscription();
    let mut connections = vec![host.accept()];
    // Makes all connections within the limit busy, so that the next one waits.
    let mut busy: Vec<Client> = Vec::new();
    while !program.log().contains("connection waits") {
        let id = busy.len() as u64 + 1;
        let mut client = program.client();
        client.request_task(id, &request(id));
        busy.push(client);
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut late = program.client();
    late.request_task(0x99, &request(0x99));
    late.close();
    busy.clear();
    let offered = offers_until_last(&program, &[host], &mut connections);
    assert!(!offered.contains(&hex(0x99)), "{offered:?}");
}

// Regression: an offer that the host had not read yet could not be withdrawn; the cancellation was sent after it.
#[test]
fn offer_not_read_by_a_slow_host_is_withheld_once_its_client_disconnects() {
    let mut feed = Feed::new();
    let hosts = [Host::with_small_receive_buffer("h0", "north")];
    let mut config = single_placer_config(&feed, vec![hosts[0].entry("up", 0)]);
    // With such a long connect timeout, no other connection to the host is attempted during the test.
    config["settings"]["caps"]["connect_timeout"] = json!(20_000.0);
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut connections = vec![hosts[0].accept()];
    let (mut closes, mut cancels) = (checked_client(&program), checked_client(&program));
    let mut large_requests = fill_receive_buffer(&program);
    // Because the host sends a message, no other connection to it is opened.
    connections[0].report_running(&hex(1));
    assert_eq!(large_requests.expect_message().kind, 9);
    // One client closes its connection and one cancels.
    closes.request_task(0x990, &request(0x990));
    cancels.request_task(0x991, &request(0x991));
    assert!(
        closes.health_check() && cancels.health_check(),
        "the requests were not read"
    );
    closes.close();
    cancels.release(0x991, 16);
    program.wait_for_log("reason=closed");
    assert!(cancels.health_check(), "the cancellation was not read");
    let offered = offers_until_last(&program, &hosts, &mut connections);
    assert!(offered.contains(&hex(1)), "{offered:?}");
    assert!(
        [0x990, 0x991].iter().all(|id| !offered.contains(&hex(*id))),
        "{offered:?}"
    );
}

// A host that reads nothing counts as unreachable, and the offers queued for it are retried elsewhere.
#[test]
fn offer_that_a_host_does_not_read_is_retried_elsewhere_soon() {
    let mut feed = Feed::new();
    let hosts = [
        Host::with_small_receive_buffer("h0", "north"),
        Host::new("h1", "north"),
    ];
    let known_hosts = vec![hosts[0].entry("up", 0), hosts[1].entry("draining", 0)];
    let program = Program::start(&single_placer_config(&feed, known_hosts));
    feed.accept_subscription();
    let mut silent_connection = hosts[0].accept();
    // The host does not accept another connection either.
    let _unreachable = hosts[0].make_unreachable();
    let mut client = checked_client(&program);
    let _large_requests = fill_receive_buffer(&program);
    client.request_task(0x990, &request(0x990));
    assert!(client.health_check(), "the set-up was not processed");
    feed.send_host_state(2, &hosts[1], "up");
    let start = Instant::now();
    let mut connection = hosts[1].accept();
    // The large requests, which were sent before this one, are offered to the second host first.
    while connection.expect_offer() != hex(0x990) {}
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    connection.report_running(&hex(0x990));
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id), (9, 0x990));
    // The offer must not have been sent to the host that reads nothing.
    while let Some(message) = silent_connection.read_within(Duration::from_millis(20)) {
        assert_ne!(
            message.get_str("ref"),
            Some(hex(0x990).as_str()),
            "{message}"
        );
    }
}

#[test]
fn offer_queued_for_a_connection_is_withheld_once_its_client_disconnects() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    // The kernel takes this long to retry the connect.
    config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
    let unreachable = host.make_unreachable();
    let program = Program::start(&config);
    feed.accept_subscription();
    for closes_connection in [true, false] {
        let mut client = checked_client(&program);
        client.request_task(1 + u64::from(closes_connection), &request(1));
        assert!(client.health_check());
        if !closes_connection {
            client.release(1, 16);
            assert!(client.health_check());
        }
    }
    host.make_reachable(unreachable);
    assert_eq!(
        offers_until_last(&program, &[host], &mut Vec::new()),
        NO_OFFERS
    );
}

// A client that keeps sending is still connected, so its later messages must not delay its offer.
#[test]
fn client_that_sends_without_pause_gets_its_attempt() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    let mut sender = Client(client.0.try_clone().expect("failed to clone the socket"));
    let flood: Vec<u8> = (0..1_000)
        .flat_map(|_| encode_message(16, 77, &[]))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let is_stopped = stop.clone();
    let thread = std::thread::spawn(move || {
        for id in 1..=5 {
            sender.request_task(id, &request(id));
            sender.send(&flood);
        }
        while !is_stopped.load(Ordering::Relaxed) {
            sender.send(&flood);
        }
    });
    let mut ids: Vec<String> = (0..5).map(|_| connections[0].expect_offer()).collect();
    stop.store(true, Ordering::Relaxed);
    thread.join().expect("the sending thread panicked");
    ids.sort();
    assert_eq!(ids, (1..=5).map(hex).collect::<Vec<_>>());
    ids.iter().for_each(|id| connections[0].report_running(id));
    (1..=5).for_each(|_| assert_eq!(client.expect_message().kind, 9));
}

// The program reads what a client has sent before it notices the client's close. Attempts were sent meanwhile.
#[test]
fn client_that_closes_with_much_unread_gets_no_attempts_afterwards() {
    // The protocol allows 0.1 s; the rest is the way to the host.
    const LIMIT: Duration = Duration::from_millis(150);
    for (requests, description_bytes) in [(20_000, 10), (3_000, 1_000), (250, 15_500)] {
        let feed = Feed::new();
        let behavior = HostBehavior {
            start_time: Duration::ZERO,
            run_time: Duration::from_millis(200),
            capacity: 100_000,
        };
        let (hosts, records) = start_emulated_hosts(2, &behavior);
        let entries = hosts.iter().map(|host| host.entry("up")).collect();
        let program = Program::start(&single_placer_config(&feed, entries));
        let mut client = checked_client(&program);
        let description = "x".repeat(description_bytes);
        let bytes: Vec<u8> = (1..=requests)
            .flat_map(|id| encode_task_request(id, &request(id), &description))
            .collect();

        client.send(&bytes);
        client.close();
        let closed_at = Instant::now();
        program.wait_for_log("peer=\"client\"");
        std::thread::sleep(LIMIT);

        let records = records.lock().expect("the records of the hosts");
        let late = records
            .starts
            .iter()
            .filter(|start| start.at > closed_at + LIMIT);
        let latest = records.starts.iter().map(|start| start.at).max();
        assert_eq!(
            late.count(),
            0,
            "of {requests} requests, the last was started {:?} after the close",
            latest.map(|at| at - closed_at)
        );
    }
}
