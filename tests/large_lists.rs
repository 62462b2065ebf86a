//! Endpoint lists of thousands of hosts and bursts of thousands of updates are applied completely and without delay.

use emulator::{
    Feed, Host, HostConnection, Program, QUIET_PERIOD, TEST_TIMEOUT, UpdateKind, endpoint_event,
    hex, single_placer_config, wait_for,
};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Maximum number of hosts in a fleet.
const MAX_FLEET: usize = 16_384;
/// Number of hosts whose complete list takes more than a mebibyte in one line.
const LARGE_FLEET: usize = 7_300;

/// Returns the list entry of a full host, which gets no attempts.
fn full_host(n: usize, state: &str, free_cores: i32) -> OwnedValue {
    json!({
        "host": format!("worker-{n:06}"), "dial": format!("127.1.{}.{}:9", n / 250, 1 + n % 250),
        "site": "south", "class": "plain", "block": n / 8, "health": state, "share": 1, "born_ms": 0,
        "unasked": [free_cores, -80]
    })
}

/// Returns the number of hosts that the program reports as known on its admin socket; `None` if it cannot be read.
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

/// Starts a program with an admin socket, a feed and one host, and places a task on the host. Returns them with the
/// connection to the host and the admin address.
fn start() -> (Program, Feed, Host, HostConnection, String) {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let admin = emulator::free_address().to_string();
    config
        .insert("admin", admin.as_str())
        .expect("the configuration is not an object");
    // With a price for handshakes, the placer connects to a host only to send it an attempt.
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

/// Places a task on a host that is not connected yet. Returns the connection to the host.
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

/// Regression: if the line of a complete list was longer than a mebibyte, the placer resubscribed again and again and
/// knew no hosts.
#[test]
fn complete_list_of_thousands_of_hosts_in_one_line_is_applied() {
    for count in [LARGE_FLEET, MAX_FLEET] {
        let (program, mut feed, host, _conn, admin) = start();
        let mut hosts: Vec<OwnedValue> = (0..count - 1).map(|n| full_host(n, "up", -40)).collect();
        hosts.push(host.entry("up", 0));
        let line = endpoint_event(2, UpdateKind::Complete, hosts);
        assert!(
            line.encode().len() > 1_048_576,
            "the line is not longer than a mebibyte"
        );
        feed.send(&line);
        wait_for("all hosts are known", || {
            assert!(!program.log().contains("too-long"), "{}", program.log());
            (hosts_known(&admin) == Some(count as u64)).then_some(())
        });
    }
}

/// Updates of many entries in one line and of one entry in each of many lines are both applied, and leave other hosts
/// unchanged.
#[test]
fn one_line_of_a_thousand_entries_equals_a_thousand_lines_of_one() {
    let (program, mut feed, _host, mut connection, admin) = start();
    feed.send(&endpoint_event(
        2,
        UpdateKind::Delta,
        (0..1_000).map(|n| full_host(n, "up", -40)).collect(),
    ));
    wait_for("all hosts are known", || {
        (hosts_known(&admin) == Some(1_001)).then_some(())
    });
    for n in 0..1_000 {
        feed.send(&endpoint_event(
            3 + n as u64,
            UpdateKind::Delta,
            vec![full_host(n, "removed", -40)],
        ));
    }
    wait_for("all full hosts are removed", || {
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
        "the host that no update named did not get the task"
    );
}

/// A drain among thousands of other updates, one of them a complete list, takes effect at once: the program reads all
/// updates that have arrived before it places a later task.
#[test]
fn drain_within_a_burst_of_updates_is_applied_in_time() {
    let (program, mut feed, first, mut connection, _admin) = start();
    let second = Host::new("h1", "south");
    let mut number = 1;
    let mut send_update = |feed: &mut Feed, kind: UpdateKind, hosts: Vec<OwnedValue>| {
        number += 1;
        feed.send(&endpoint_event(number, kind, hosts));
    };
    for n in 0..1_500 {
        send_update(&mut feed, UpdateKind::Delta, vec![full_host(n, "up", -40)]);
    }
    let mut all: Vec<OwnedValue> = (0..1_500).map(|n| full_host(n, "up", -40)).collect();
    all.push(second.entry("up", 0));
    all.push(first.entry("draining", 0));
    send_update(&mut feed, UpdateKind::Complete, all);
    for n in 0..1_500 {
        send_update(&mut feed, UpdateKind::Delta, vec![full_host(n, "up", -41)]);
    }
    // Long enough for the program to apply the burst, and shorter than the drain grace of 2 s in these settings.
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
    let mut second_connection = second.accept();
    for id in 100..108 {
        assert_eq!(
            second_connection.expect_offer(),
            hex(id),
            "the host that is up did not get the tasks in order"
        );
    }
    assert!(
        connection
            .read_within(QUIET_PERIOD)
            .is_none_or(|message| message.get_str("t") != Some("new")),
        "the draining host got a task"
    );
}
