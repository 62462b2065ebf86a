//! Clients that disconnect or cancel: their requests are not offered, retried or answered.

use super::*;

// What a client does while the program is stopped is all there at once when it continues.
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
    assert!(client.health_check(), "its connection stays open");
}

// Hundreds of requests, cancelled at once: their cancels are several reads behind.
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

// The host's rejection is read before the client's close.
#[test]
fn request_of_a_disconnected_client_is_not_retried() {
    for (kind, leaves) in [("close", true), ("cancel", false)] {
        let (program, _feed, hosts, mut connections) = start_with_hosts(2);
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        let (at, id) = next_offer(&mut connections);
        let mut held = Some(client);
        program.while_stopped(|| {
            connections[at].report_ended(&id, 34, "nq");
            if leaves {
                held.take().into_iter().for_each(Client::close);
            } else {
                held.iter_mut().for_each(|client| client.release(1, 16));
            }
        });
        assert_eq!(
            offers_until_last(&program, &hosts, &mut connections),
            NO_OFFERS,
            "{kind}"
        );
    }
}

// The connect to the first host has timed out when the program continues, and the client has disconnected.
#[test]
fn client_that_disconnects_during_a_host_connect_gets_no_further_attempt() {
    let mut feed = Feed::new();
    let hosts = [Host::new("h0", "north"), Host::new("h1", "north")];
    let mut config = single_placer_config(
        &feed,
        hosts.iter().map(|host| host.entry("up", 0)).collect(),
    );
    config["settings"]["prices"] = json!({ "handshake": 0.05 });
    let held: Vec<Unreachable> = hosts.iter().map(Host::make_unreachable).collect();
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut client = checked_client(&program);
    client.request_task(1, &request(1));
    assert!(client.health_check(), "the set-up was taken in");
    program.while_stopped(|| {
        hosts
            .iter()
            .zip(held)
            .for_each(|(host, held)| host.make_reachable(held));
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
    // All connections within the limit are busy, so that the next one waits.
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

// Regression: an offer that a host had not read could not be withdrawn; the cancel was sent after it.
#[test]
fn offer_not_read_by_a_slow_host_is_withheld_once_its_client_disconnects() {
    let mut feed = Feed::new();
    let hosts = [Host::with_small_receive_buffer("h0", "north")];
    let mut config = single_placer_config(&feed, vec![hosts[0].entry("up", 0)]);
    // No other connection to the host is attempted during the test.
    config["settings"]["caps"]["connect_timeout"] = json!(20_000.0);
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut connections = vec![hosts[0].accept()];
    let (mut closes, mut cancels) = (checked_client(&program), checked_client(&program));
    let mut wide = fill_receive_buffer(&program);
    // A host that sends messages is not connected again.
    connections[0].report_running(&hex(1));
    assert_eq!(wide.expect_message().kind, 9);
    // One client closes its connection and one cancels.
    closes.request_task(0x990, &request(0x990));
    cancels.request_task(0x991, &request(0x991));
    assert!(
        closes.health_check() && cancels.health_check(),
        "the requests were read"
    );
    closes.close();
    cancels.release(0x991, 16);
    program.wait_for_log("reason=closed");
    assert!(cancels.health_check(), "the cancel was read");
    let offered = offers_until_last(&program, &hosts, &mut connections);
    assert!(offered.contains(&hex(1)), "{offered:?}");
    assert!(
        [0x990, 0x991].iter().all(|id| !offered.contains(&hex(*id))),
        "{offered:?}"
    );
}

// A host that reads nothing counts as unreachable: offers queued for it are retried elsewhere.
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
    let mut reads_nothing = hosts[0].accept();
    // Nor does it accept another connection.
    let _held = hosts[0].make_unreachable();
    let mut client = checked_client(&program);
    let _wide = fill_receive_buffer(&program);
    client.request_task(0x990, &request(0x990));
    assert!(client.health_check(), "the set-up was taken in");
    feed.send_host_state(2, &hosts[1], "up");
    let start = Instant::now();
    let mut connection = hosts[1].accept();
    // What was queued before it goes there, too.
    while connection.expect_offer() != hex(0x990) {}
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    connection.report_running(&hex(0x990));
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id), (9, 0x990));
    // Nothing of it was sent to the other.
    while let Some(message) = reads_nothing.read_within(Duration::from_millis(20)) {
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
    // As long as the kernel takes to retry.
    config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
    let held = host.make_unreachable();
    let program = Program::start(&config);
    feed.accept_subscription();
    for leaves in [true, false] {
        let mut client = checked_client(&program);
        client.request_task(1 + u64::from(leaves), &request(1));
        assert!(client.health_check());
        if !leaves {
            client.release(1, 16);
            assert!(client.health_check());
        }
    }
    host.make_reachable(held);
    assert_eq!(
        offers_until_last(&program, &[host], &mut Vec::new()),
        NO_OFFERS
    );
}

// A client that keeps sending is still connected: later messages do not delay its offer.
#[test]
fn client_that_sends_without_pause_gets_its_attempt() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    let mut talks = Client(client.0.try_clone().expect("a socket"));
    let flood: Vec<u8> = (0..1_000)
        .flat_map(|_| encode_message(16, 77, &[]))
        .collect();
    let over = Arc::new(AtomicBool::new(false));
    let told = over.clone();
    let thread = std::thread::spawn(move || {
        for id in 1..=5 {
            talks.request_task(id, &request(id));
            talks.send(&flood);
        }
        while !told.load(Ordering::Relaxed) {
            talks.send(&flood);
        }
    });
    let mut ids: Vec<String> = (0..5).map(|_| connections[0].expect_offer()).collect();
    over.store(true, Ordering::Relaxed);
    thread.join().expect("it wrote");
    ids.sort();
    assert_eq!(ids, (1..=5).map(hex).collect::<Vec<_>>());
    ids.iter().for_each(|id| connections[0].report_running(id));
    (1..=5).for_each(|_| assert_eq!(client.expect_message().kind, 9));
}
