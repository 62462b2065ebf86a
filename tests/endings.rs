//! What ends a request, a connection, a host, the subscription or the process: in each test the peers force the
//! bad order, and nothing owed is lost or begun too late.

#![recursion_limit = "256"]

use emulator::*;
use simd_json::json;
use simd_json::prelude::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Ids of the request that comes last and shows that nothing else was under way.
const LAST: u64 = 0x7fff;

/// A set-up of a service of its own.
fn ask(id: u64) -> TaskRequest<'static> {
    TaskRequest {
        service: id + 100,
        ..IDEMPOTENT_TASK
    }
}

/// A connection that has been read before: what is said on it next is read at once.
fn known(program: &Program) -> Client {
    let mut client = program.client();
    assert!(client.health_check());
    client
}

/// Wide set-ups: three times what the system takes for a narrow host that reads nothing, and with two others as many
/// as are out at one host.
const WIDE: u64 = 6;

/// Asks for these on a connection of their own, which is silent from then on. They are not taken back: each that has
/// not left waits before what is asked for later, however much the system still takes and whenever it does.
fn clog(program: &Program) -> Client {
    let mut client = known(program);
    let wide = "w".repeat(15_000);
    (1..=WIDE).for_each(|id| client.request_task_with(id, &ask(id), &wide));
    assert!(client.health_check(), "the set-ups were taken in");
    client
}

/// The ids offered to these hosts, on these connections and on those that are made, until the last request is.
fn offered_until_last(
    program: &Program,
    hosts: &[Host],
    connections: &mut Vec<HostConnection>,
) -> Vec<String> {
    let mut client = known(program);
    client.request_task(LAST, &ask(LAST));
    let mut ids = Vec::new();
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        assert!(
            Instant::now() < end,
            "the last request is not offered: {ids:?}"
        );
        connections.extend(
            hosts
                .iter()
                .filter_map(|host| host.accept_within(Duration::from_millis(2))),
        );
        for connection in connections.iter_mut() {
            while let Some(message) = connection.read_within(Duration::from_millis(20)) {
                if message.get_str("t") != Some("new") {
                    continue;
                }
                let id = message.get_str("ref").expect("an id").to_string();
                if id == hex(LAST) {
                    return ids;
                }
                ids.push(id);
            }
        }
    }
}

const NONE: [String; 0] = [];

// ---- A client that left ----

// While the program is stopped, all that a client does is there at once when it goes on.
#[test]
fn request_of_a_disconnected_client_is_not_offered() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    for id in 1..=5 {
        let mut client = known(&program);
        program.while_stopped(|| {
            client.request_task(id, &ask(id));
            client.close();
        });
    }
    assert_eq!(offered_until_last(&program, &hosts, &mut connections), NONE);
}

#[test]
fn request_cancelled_in_the_same_read_is_not_offered() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    program.while_stopped(|| {
        for id in 1..=5 {
            client.request_task(id, &ask(id));
            client.release(id, 16);
        }
    });
    assert_eq!(offered_until_last(&program, &hosts, &mut connections), NONE);
    assert!(client.health_check(), "and its connection goes on");
}

// Hundreds of set-ups, taken back at once: their cancels are several reads behind.
#[test]
fn requests_cancelled_some_reads_later_are_not_offered() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    program.while_stopped(|| {
        (1..=300).for_each(|id| client.request_task(id, &ask(id)));
        (1..=300).for_each(|id| client.release(id, 16));
    });
    assert_eq!(offered_until_last(&program, &hosts, &mut connections), NONE);
    assert!(client.health_check());
}

// The host's refusal is heard before the client's close.
#[test]
fn request_of_a_disconnected_client_is_not_retried() {
    for (kind, leaves) in [("close", true), ("cancel", false)] {
        let (program, _feed, hosts, mut connections) = start_with_hosts(2);
        let mut client = known(&program);
        client.request_task(1, &ask(1));
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
            offered_until_last(&program, &hosts, &mut connections),
            NONE,
            "{kind}"
        );
    }
}

// The call to the first host has had its time when the program goes on, and the client has left.
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
    let mut client = known(&program);
    client.request_task(1, &ask(1));
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
        offered_until_last(&program, &hosts, &mut Vec::new()),
        NONE,
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
    // All that may be held are busy, so that the next connection waits.
    let mut busy: Vec<Client> = Vec::new();
    while !program.log().contains("connection waits") {
        let id = busy.len() as u64 + 1;
        let mut client = program.client();
        client.request_task(id, &ask(id));
        busy.push(client);
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut late = program.client();
    late.request_task(0x99, &ask(0x99));
    late.close();
    busy.clear();
    let offered = offered_until_last(&program, &[host], &mut connections);
    assert!(!offered.contains(&hex(0x99)), "{offered:?}");
}

// What a host has not taken yet could not be taken back: its client's cancel went behind it.
#[test]
fn offer_not_read_by_a_slow_host_is_withheld_once_its_client_disconnects() {
    let mut feed = Feed::new();
    let hosts = [Host::with_small_receive_buffer("h0", "north")];
    let mut config = single_placer_config(&feed, vec![hosts[0].entry("up", 0)]);
    // No other connection to the host is tried in the time of the test.
    config["settings"]["caps"]["connect_timeout"] = json!(20_000.0);
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut connections = vec![hosts[0].accept()];
    let (mut closes, mut cancels) = (known(&program), known(&program));
    let mut wide = clog(&program);
    // A host that speaks is not called again.
    connections[0].report_running(&hex(1));
    assert_eq!(wide.expect_message().kind, 9);
    // One closes its connection and one cancels.
    closes.request_task(0x990, &ask(0x990));
    cancels.request_task(0x991, &ask(0x991));
    assert!(
        closes.health_check() && cancels.health_check(),
        "the set-ups were taken in"
    );
    closes.close();
    cancels.release(0x991, 16);
    program.wait_for_log("reason=closed");
    assert!(cancels.health_check(), "the cancel was taken in");
    let offered = offered_until_last(&program, &hosts, &mut connections);
    assert!(offered.contains(&hex(1)), "{offered:?}");
    assert!(
        [0x990, 0x991].iter().all(|id| !offered.contains(&hex(*id))),
        "{offered:?}"
    );
}

// A host that takes nothing is as good as out of reach: what waits for it goes elsewhere.
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
    // Nor does it take another connection.
    let _held = hosts[0].make_unreachable();
    let mut client = known(&program);
    let _wide = clog(&program);
    client.request_task(0x990, &ask(0x990));
    assert!(client.health_check(), "the set-up was taken in");
    feed.send_host_state(2, &hosts[1], "up");
    let start = Instant::now();
    let mut connection = hosts[1].accept();
    // What waited before it goes there, too.
    while connection.expect_offer() != hex(0x990) {}
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    connection.report_running(&hex(0x990));
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id), (9, 0x990));
    // Nothing of it has left to the other.
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
    // As long as the system takes to try again.
    config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
    let held = host.make_unreachable();
    let program = Program::start(&config);
    feed.accept_subscription();
    for leaves in [true, false] {
        let mut client = known(&program);
        client.request_task(1 + u64::from(leaves), &ask(1));
        assert!(client.health_check());
        if !leaves {
            client.release(1, 16);
            assert!(client.health_check());
        }
    }
    host.make_reachable(held);
    assert_eq!(offered_until_last(&program, &[host], &mut Vec::new()), NONE);
}

// A client that goes on talking is still there: what it says later does not hold its offer up.
#[test]
fn client_that_sends_without_pause_gets_its_attempt() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    let mut talks = Client(client.0.try_clone().expect("a socket"));
    let flood: Vec<u8> = (0..1_000)
        .flat_map(|_| encode_message(16, 77, &[]))
        .collect();
    let over = Arc::new(AtomicBool::new(false));
    let told = over.clone();
    let thread = std::thread::spawn(move || {
        for id in 1..=5 {
            talks.request_task(id, &ask(id));
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

// ---- Hosts ----

// The list tells while the connection is being made; the address may be another host's by then.
#[test]
fn queued_offers_are_withheld_once_their_host_drains_or_is_replaced() {
    for change in ["draining", "gone", "born", "moved"] {
        let mut feed = Feed::new();
        let host = Host::new("h0", "north");
        let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
        config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
        // A process that has just started bears nothing.
        config["settings"]["family_info"]["young_limit"] = json!(0.0);
        let held = host.make_unreachable();
        let program = Program::start(&config);
        feed.accept_subscription();
        let mut client = known(&program);
        client.request_task(1, &ask(1));
        assert!(client.health_check(), "the offer waits");
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
        // Nor what is offered to it from now on, where it has another address.
        client.request_task(2, &ask(2));
        assert!(client.health_check());
        host.make_reachable(held);
        if let Some(mut connection) = host.accept_within(Duration::from_millis(1_500)) {
            assert!(connection.read_within(QUIET_PERIOD).is_none(), "{change}");
        }
    }
}

// The host closes an idle connection just before an offer is decided for it.
#[test]
fn offer_is_not_written_to_a_connection_closed_by_its_host() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    program.while_stopped(|| {
        client.request_task(1, &NON_IDEMPOTENT_TASK);
        connections.drain(..).for_each(HostConnection::close);
    });
    let mut connection = hosts[0].accept();
    assert_eq!(connection.expect_offer(), hex(1));
    connection.report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
}

// Words of a host that come in one read, in every order that could be taken for something else.
#[test]
fn host_messages_in_one_read_end_an_attempt_once() {
    let up = |id: &str| format!("{{\"t\":\"up\",\"ref\":\"{id}\",\"f\":{{}},\"d\":\"stands\"}}\n");
    let down = |id: &str, cause: u8| {
        format!("{{\"t\":\"down\",\"ref\":\"{id}\",\"f\":{{}},\"c\":{cause}}}\n")
    };
    let id = hex(1);
    // What the host says, the client's words (type and cause), and whether the host is asked once more.
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
        let mut client = known(&program);
        client.request_task(1, &ask(1));
        let (at, offer) = next_offer(&mut connections);
        assert_eq!(offer, id);
        // It has closed the connection, too, before a word of it is read.
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

// The host's answer has come and the client's time is over when both are read.
#[test]
fn answer_and_timeout_in_one_iteration_give_one_final_answer() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 300,
            ..ask(1)
        },
    );
    let id = connections[0].expect_offer();
    program.while_stopped(|| {
        connections[0].report_running(&id);
        std::thread::sleep(Duration::from_millis(350));
    });
    let answer = client.expect_message();
    assert!(client.health_check(), "one answer");
    // What was answered as failed does not stand on.
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
    let mut client = known(&program);
    client.request_task(1, &ask(1));
    let (at, id) = next_offer(&mut connections);
    client.request_task(
        2,
        &TaskRequest {
            service: 102,
            ..NON_IDEMPOTENT_TASK
        },
    );
    let (other, once) = next_offer(&mut connections);
    // Twice, and the second tells nothing new.
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

// ---- The subscription ----

#[test]
fn feed_with_gaps_is_resubscribed_with_backoff() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let program = Program::start(&single_placer_config(&feed, vec![host.entry("up", 0)]));
    let mut calls = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_eq!(feed.accept_subscription(), 1);
        feed.send_host_state(9, &host, "draining");
        calls += 1;
    }
    assert!((2..=9).contains(&calls), "{calls} calls in a second");
    assert!(known(&program).health_check());
}

// The address that is called does not answer, and the configuration names another.
#[test]
fn feed_that_moves_during_a_hanging_connect_is_followed_at_once() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(1);
    let second = Feed::new();
    let mut config = single_placer_config(&second, vec![hosts[0].entry("up", 0)]);
    config["listen"] = program.address.to_string().into();
    let held = feed.make_unreachable();
    drop(feed.take_subscription());
    program.wait_for_log("connection ended peer=\"feed\"");
    let mut second = second;
    let moved = Instant::now();
    program.reload(&config.encode());
    assert_eq!(second.accept_subscription(), 1);
    assert!(
        moved.elapsed() < Duration::from_millis(500),
        "{:?}",
        moved.elapsed()
    );
    second.send_host_state(2, &hosts[0], "draining");
    second.send(&json!({ "n": 2 }));
    let mut client = known(&program);
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 300,
            ..ask(1)
        },
    );
    assert_eq!(client.expect_message().kind, 12);
    assert!(
        connections[0]
            .read_within(Duration::from_millis(20))
            .is_none()
    );
    drop(held);
}

// Idle clients took the descriptors while few hosts were listed.
#[test]
fn idle_clients_at_the_limit_do_not_block_the_feed_hosts_or_other_clients() {
    let sockets = 160;
    let address = free_address();
    let mut feed = Feed::bind(address);
    let first = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![first.entry("up", 0)]);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": sockets });
    let program = Program::start_with_descriptors(&config, sockets);
    feed.accept_subscription();
    let mut connection = first.accept();
    drop(feed.take_subscription());
    // Discovery is away, and each that has said something once stays.
    drop(feed);
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..sockets {
        let mut client = program.client();
        if client.health_check() {
            idle.push(client);
        }
    }
    assert!(
        program.descriptors() < sockets as usize,
        "{}",
        program.descriptors()
    );
    let mut feed = Feed::bind(address);
    feed.accept_subscription();
    let hosts: Vec<Host> = (1..40)
        .map(|n| Host::new(&format!("h{n}"), "south"))
        .collect();
    let mut entries: Vec<_> = hosts.iter().map(|host| host.entry("up", 0)).collect();
    entries.push(first.entry("draining", 0));
    feed.send(&endpoint_event(2, UpdateKind::Complete, entries));
    let mut connections: Vec<HostConnection> = hosts.iter().map(Host::accept).collect();
    assert!(
        program.descriptors() < sockets as usize,
        "{}",
        program.descriptors()
    );
    assert!(
        !program.log().contains("no-descriptor"),
        "{}",
        program.log()
    );
    let mut client = known(&program);
    client.request_task(1, &ask(1));
    let (at, id) = next_offer(&mut connections);
    connections[at].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(connection.read_within(Duration::from_millis(20)).is_none());
}

// ---- The process ----

#[test]
fn request_partially_read_at_shutdown_is_answered() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    let whole = encode_task_request(1, &ask(1), "half");
    let (half, rest) = whole.split_at(whole.len() / 2);
    client.send(half);
    assert!(known(&program).health_check());
    program.terminate();
    program.wait_for_log("closing");
    client.send(rest);
    assert_eq!(connections[0].expect_offer(), hex(1));
    connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    // Told a second time, and with a configuration that can't be read, it ends as it would have.
    program.terminate();
    program.reload("{");
    program.wait_for_log("configuration not read again");
    assert!(program.wait_exit().success());
}

// The end of a task is heard while the process ends, and told before it has.
#[test]
fn task_end_during_shutdown_is_notified() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = known(&program);
    client.request_task(1, &ask(1));
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    program.terminate();
    program.wait_for_log("closing");
    program.while_stopped(|| connections[0].report_ended(&id, 16, ""));
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
    assert!(program.wait_exit().success());
}

/// A program whose configuration is a pipe: it has begun to read it once the pipe can be opened for writing.
fn start_on_a_pipe(config: &simd_json::OwnedValue) -> (Program, std::path::PathBuf) {
    let pipe = temp_path("pipe");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("mkfifo runs").success());
    (
        Launch::new(config)
            .env("LB_CONFIG", &pipe.to_string_lossy())
            .start(),
        pipe,
    )
}

// SIGTERM comes when the program has just begun to read its file: it starts, and ends as it should.
#[test]
fn sigterm_during_the_start_shuts_down_gracefully() {
    let feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let (mut program, pipe) = start_on_a_pipe(&config);
    let mut file = OpenOptions::new()
        .write(true)
        .open(&pipe)
        .expect("it reads");
    program.terminate();
    file.write_all(config.encode().as_bytes())
        .expect("it reads");
    drop(file);
    // Who connects meanwhile is answered.
    let mut client = program.client();
    client.request_task(1, &ask(1));
    let mut connection = host.accept();
    let id = connection.expect_offer();
    connection.report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(program.wait_exit().success());
    let _ = std::fs::remove_file(&pipe);
}

// Far more than can be placed, beside clients that send what can't be read.
#[test]
fn every_request_of_a_flood_gets_one_answer_in_time() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let program = Program::start(&config);
    feed.accept_subscription();
    let _conn = host.accept();
    let mut good: Vec<Client> = (0..20).map(|_| known(&program)).collect();
    let mut bad: Vec<Client> = (0..20).map(|_| known(&program)).collect();
    let wait = Duration::from_millis(900);
    let start = Instant::now();
    for n in 0..30 {
        for (at, client) in good.iter_mut().enumerate() {
            let id = 1 + at as u64 * 100 + n;
            client.request_task(
                id,
                &TaskRequest {
                    wait_ms: 900,
                    ..ask(id)
                },
            );
        }
        for client in &mut bad {
            let _ = client.0.write_all(&[0xff; 600]);
        }
    }
    let sent = start.elapsed();
    for client in &mut good {
        let mut ids: Vec<u64> = (0..30).map(|_| client.expect_message().id).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), 30);
        assert!(
            start.elapsed() < sent + wait + Duration::from_millis(50),
            "{:?} {sent:?}",
            start.elapsed()
        );
        assert!(client.health_check());
    }
}

// The platform ends a process after the longest wait of a client and 0.7 s more.
#[test]
fn shutdown_is_quick_with_short_client_timeouts() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    for class in 0..2 {
        config["settings"]["services"][class]["hard_limit"] = json!(200.0);
        config["settings"]["services"][class]["aim"] = json!(100.0);
    }
    let mut program = Program::start(&config);
    feed.accept_subscription();
    let mut client = known(&program);
    let told = Instant::now();
    program.terminate();
    program.wait_for_log("closing");
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 200,
            ..ask(1)
        },
    );
    assert_eq!(
        (client.expect_message().kind, client.next_message()),
        (12, None)
    );
    assert!(program.wait_exit().success());
    assert!(
        told.elapsed() < Duration::from_millis(900),
        "{:?}",
        told.elapsed()
    );
}

// The file is a pipe, so that the signal comes when the program has just begun to read it.
#[test]
fn sighup_during_the_start_does_not_end_the_process() {
    let feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let (mut program, pipe) = start_on_a_pipe(&config);
    let write = |file: std::io::Result<std::fs::File>| {
        file.and_then(|mut file| file.write_all(config.encode().as_bytes()))
            .expect("it reads");
    };
    let open = || OpenOptions::new().write(true).open(&pipe);
    let file = open();
    program.signal("-HUP");
    write(file);
    // Once it listens it has read the file, and what it has to read again waits for a writer.
    let mut client = program.client();
    write(open());
    program.wait_for_log("configuration read again");
    assert!(client.health_check() && program.is_running());
    let _ = std::fs::remove_file(&pipe);
}
