//! Endpoint lists of thousands of hosts, and floods of events: what matters in them takes effect at once.

use emulator::{
    Feed, Host, HostConnection, Program, QUIET_PERIOD, TEST_TIMEOUT, UpdateKind, endpoint_event,
    hex, single_placer_config, wait_for,
};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Maximum number of hosts of a fleet.
const FLEET: usize = 16_384;
/// A complete list of so many is longer than a mebibyte.
const LARGE: usize = 7_300;

/// The entry of a full host: it is listed, and gets no offers.
fn full(n: usize, state: &str, free_cores: i32) -> OwnedValue {
    json!({
        "host": format!("worker-{n:06}"), "dial": format!("127.1.{}.{}:9", n / 250, 1 + n % 250),
        "site": "south", "class": "plain", "block": n / 8, "health": state, "share": 1, "born_ms": 0,
        "unasked": [free_cores, -80]
    })
}

/// Returns how many hosts the program reports as known.
fn hosts_known(admin: &str) -> Option<u64> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    stream.write_all(b"vars\n").ok()?;
    let mut line = String::new();
    let mut reader = BufReader::new(stream);
    while reader.read_line(&mut line).ok()? > 0 {
        if let Some(start) = line.find('{') {
            let mut json = line.as_bytes().get(start..)?.to_vec();
            return simd_json::to_owned_value(&mut json)
                .ok()?
                .get_u64("hosts_known");
        }
        line.clear();
    }
    None
}

/// Starts a program with an admin socket, a feed and one host that accepts tasks.
fn start() -> (Program, Feed, Host, HostConnection, String) {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let admin = emulator::free_address().to_string();
    config.insert("admin", admin.as_str()).expect("an object");
    // Hosts are connected only for offers.
    config["settings"]["prices"] = json!({ "fleet": 0.15, "moves": 0.07, "handshake": 0.01 });
    config["limits"]["sockets"] = json!(256);
    let program = Program::start(&config);
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let mut client = program.client();
    assert!(client.health_check());
    let connection = place(&program, &host, 1);
    (program, feed, host, connection, admin)
}

fn place(program: &Program, host: &Host, id: u64) -> HostConnection {
    let mut client = program.client();
    client.request_task(
        id,
        &emulator::TaskRequest {
            class: "quick",
            wait_ms: 6_000,
            service: id,
            running_at: None,
        },
    );
    let mut connection = host.accept();
    assert_eq!(connection.expect_offer(), hex(id));
    connection.report_running(&hex(id));
    assert_eq!(client.expect_message().kind, 9);
    connection
}

/// Regression: with a list longer than a mebibyte the placer resubscribed again and again, and knew no hosts.
#[test]
fn complete_list_of_thousands_of_hosts_in_one_line_is_applied() {
    for count in [LARGE, FLEET] {
        let (program, mut feed, host, _conn, admin) = start();
        let mut hosts: Vec<OwnedValue> = (0..count - 1).map(|n| full(n, "up", -40)).collect();
        hosts.push(host.entry("up", 0));
        let line = endpoint_event(2, UpdateKind::Complete, hosts);
        assert!(
            line.encode().len() > 1_048_576,
            "the case needs a long line"
        );
        feed.send(&line);
        wait_for("all are known", || {
            assert!(!program.log().contains("too-long"), "{}", program.log());
            (hosts_known(&admin) == Some(count as u64)).then_some(())
        });
    }
}

/// A number of entries in one line, and as many lines of one entry, have the same effect.
#[test]
fn one_line_of_a_thousand_entries_equals_a_thousand_lines_of_one() {
    let (program, mut feed, _host, mut connection, admin) = start();
    feed.send(&endpoint_event(
        2,
        UpdateKind::Delta,
        (0..1_000).map(|n| full(n, "up", -40)).collect(),
    ));
    wait_for("all are known", || {
        (hosts_known(&admin) == Some(1_001)).then_some(())
    });
    for n in 0..1_000 {
        feed.send(&endpoint_event(
            3 + n as u64,
            UpdateKind::Delta,
            vec![full(n, "removed", -40)],
        ));
    }
    wait_for("all are gone", || {
        (hosts_known(&admin) == Some(1)).then_some(())
    });
    let mut client = program.client();
    client.request_task(
        7,
        &emulator::TaskRequest {
            class: "quick",
            wait_ms: 6_000,
            service: 7,
            running_at: None,
        },
    );
    assert_eq!(
        connection.expect_offer(),
        hex(7),
        "the host that was not named is as it was"
    );
}

/// A drain among thousands of other events, a complete list among them, takes effect at once: all events that arrived
/// before the program next runs are read before a later task is placed.
#[test]
fn drain_within_a_flood_of_events_is_applied_in_time() {
    let (program, mut feed, first, mut connection, _admin) = start();
    let second = Host::new("h1", "south");
    let mut number = 1;
    let mut send_update = |feed: &mut Feed, kind: UpdateKind, hosts: Vec<OwnedValue>| {
        number += 1;
        feed.send(&endpoint_event(number, kind, hosts));
    };
    for n in 0..1_500 {
        send_update(&mut feed, UpdateKind::Delta, vec![full(n, "up", -40)]);
    }
    let mut all: Vec<OwnedValue> = (0..1_500).map(|n| full(n, "up", -40)).collect();
    all.push(second.entry("up", 0));
    all.push(first.entry("draining", 0));
    send_update(&mut feed, UpdateKind::Complete, all);
    for n in 0..1_500 {
        send_update(&mut feed, UpdateKind::Delta, vec![full(n, "up", -41)]);
    }
    // The grace of a drain is 2 s in these settings; this is far less, and far more than the flood takes.
    std::thread::sleep(Duration::from_millis(1_500));
    let mut client = program.client();
    for id in 100..108 {
        client.request_task(
            id,
            &emulator::TaskRequest {
                class: "once",
                wait_ms: 6_000,
                service: id,
                running_at: None,
            },
        );
    }
    let mut there = second.accept();
    for id in 100..108 {
        assert_eq!(
            there.expect_offer(),
            hex(id),
            "offers go to the host that is up, in order"
        );
    }
    assert!(
        connection
            .read_within(QUIET_PERIOD)
            .is_none_or(|m| m.get_str("t") != Some("new")),
        "nothing goes to the other"
    );
}
