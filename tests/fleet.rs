//! Tests the program with many hosts and clients relative to its limit of descriptors.

use emulator::host_emulator::{EmulatedFeed, EmulatedHost, HostBehavior, HostRecords};
use emulator::*;
use simd_json::{OwnedValue, json};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A placer among emulated hosts.
struct Fleet {
    program: Program,
    _feed: EmulatedFeed,
    _hosts: Vec<EmulatedHost>,
    _records: Arc<Mutex<HostRecords>>,
}

impl Fleet {
    /// Starts emulated hosts and a placer that may use `sockets` descriptors, a limit that the kernel enforces as well.
    fn start(hosts: usize, sockets: u32, behavior: &HostBehavior) -> Fleet {
        let records: Arc<Mutex<HostRecords>> = Arc::default();
        let host = |n: usize| {
            EmulatedHost::start(
                &format!("h{n}"),
                ["north", "south"][n % 2],
                behavior.clone(),
                records.clone(),
            )
        };
        let hosts: Vec<EmulatedHost> = (0..hosts).map(host).collect();
        let feed = EmulatedFeed::start();
        let entries = hosts.iter().map(|host| host.entry("up")).collect();
        let mut config = placer_config("n1", 0, 1, &feed.address(), entries);
        config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": sockets });
        let program = Program::start_with_descriptors(&config, sockets);
        Fleet {
            program,
            _feed: feed,
            _hosts: hosts,
            _records: records,
        }
    }
}

// Guards against reserving descriptors for hundreds of hosts at the clients' expense: only four client connections were
// left, and all others were closed with their requests unread.
#[test]
fn clients_get_a_third_of_the_descriptors_for_any_fleet_size() {
    let behavior = HostBehavior {
        start_time: Duration::from_millis(300),
        run_time: Duration::from_secs(60),
        capacity: 1_000,
    };
    let fleet = Fleet::start(40, 160, &behavior);
    let mut clients: Vec<Client> = (0..53).map(|_| fleet.program.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.request_task(
            n as u64 + 1,
            &TaskRequest {
                service: n as u64,
                ..IDEMPOTENT_TASK
            },
        );
    }
    for client in &mut clients {
        assert_eq!(client.expect_message().kind, 9);
    }
    assert!(fleet.program.descriptors() < 160);
}

// Guards against losing requests: a client that connects while all other connections are busy has already sent its
// request, which is lost if its connection is closed unread.
#[test]
fn connection_beyond_the_budget_waits_for_an_answered_one() {
    let behavior = HostBehavior {
        start_time: Duration::from_millis(300),
        run_time: Duration::from_secs(60),
        capacity: 1_000,
    };
    let fleet = Fleet::start(1, 40, &behavior);
    let busy = |n: u64| {
        let mut client = fleet.program.client();
        client.request_task(
            n + 1,
            &TaskRequest {
                service: n,
                ..IDEMPOTENT_TASK
            },
        );
        client
    };
    let mut clients: Vec<Client> = (0..16).map(busy).collect();
    for client in &mut clients {
        assert_eq!(client.expect_message().kind, 9);
    }
    fleet.program.wait_for_log("connection waits");
}

// After an outage, all clients reconnect to a placer at once. Guards against an accept queue that is too short for
// them: while the program is stopped, their connections wait in this queue, whose length the program sets.
#[test]
fn hundreds_of_simultaneous_connections_are_accepted_and_answered() {
    let behavior = HostBehavior {
        start_time: Duration::from_millis(20),
        run_time: Duration::from_secs(60),
        capacity: 1_000,
    };
    let fleet = Fleet::start(40, 1_024, &behavior);
    drop(fleet.program.client());
    fleet.program.signal("-STOP");
    let connect = |n: u64| {
        let stream = TcpStream::connect_timeout(&fleet.program.address, Duration::from_millis(500));
        let mut client = Client(stream.expect("connection waits in the accept queue"));
        client
            .0
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket option");
        client.request_task(
            n + 1,
            &TaskRequest {
                service: n,
                ..IDEMPOTENT_TASK
            },
        );
        client
    };
    let mut clients: Vec<Client> = (0..400).map(connect).collect();
    fleet.program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.expect_message().kind, 9);
    }
}

// Connections in the accept queue at shutdown count as accepted. Guards against an exit that abandons them: the hosts
// answer all pending requests at the same time, just after the process could exit, while connections beyond the budget
// are still in the queue.
#[test]
fn shutdown_leaves_no_connection_in_the_accept_queue() {
    let behavior = HostBehavior {
        start_time: Duration::from_millis(1_100),
        run_time: Duration::from_secs(60),
        capacity: 1_000,
    };
    let mut fleet = Fleet::start(3, 36, &behavior);
    let mut waiting: Vec<Client> = (0..12).map(|_| fleet.program.client()).collect();
    // The first eight connections use up the budget, and their requests arrive together.
    for (n, client) in waiting.iter_mut().enumerate() {
        client.request_task(
            n as u64 + 1,
            &TaskRequest {
                service: n as u64,
                ..IDEMPOTENT_TASK
            },
        );
    }
    fleet.program.terminate();
    for client in &mut waiting {
        assert_eq!(client.expect_message().kind, 9);
    }
    assert!(fleet.program.wait_exit().success());
}

// A process that exits with unread input resets the connection. Guards against losing a response that is still on its
// way.
#[test]
fn shutdown_closes_connections_without_reset() {
    let behavior = HostBehavior {
        start_time: Duration::from_millis(20),
        run_time: Duration::from_secs(60),
        capacity: 1_000,
    };
    let mut fleet = Fleet::start(1, 256, &behavior);
    let mut clients: Vec<Client> = (0..20).map(|_| fleet.program.client()).collect();
    assert!(clients.iter_mut().all(Client::health_check));
    let flood: Vec<u8> = (0..2_000)
        .flat_map(|_| encode_message(16, 77, &[]))
        .collect();
    clients
        .iter()
        .for_each(|client| client.0.set_nonblocking(true).expect("a socket option"));
    fleet.program.terminate();
    while !clients.is_empty() {
        clients.retain_mut(|client| {
            if let Err(e) = client.0.write(&flood) {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
            }
            let ended = match client.0.peek(&mut [0]) {
                Ok(count) => count == 0,
                Err(e) => {
                    assert_eq!(e.kind(), ErrorKind::WouldBlock);
                    false
                }
            };
            !ended
        });
    }
    assert!(fleet.program.wait_exit().success());
}

// Hundreds of placers that connect to all hosts when they start, and again whenever a connection is lost, open more
// connections than there are tasks. If the settings set a price for connections, the placer connects to a host only for
// the first offer to it.
#[test]
fn priced_connections_are_opened_only_for_offers() {
    let mut feed = Feed::new();
    let hosts = [Host::new("h0", "north"), Host::new("h1", "south")];
    let mut config = single_placer_config(
        &feed,
        hosts.iter().map(|host| host.entry("up", 0)).collect(),
    );
    config["settings"]["prices"] = json!({ "fleet": 0.15, "moves": 0.07, "handshake": 0.05 });
    let program = Program::start(&config);
    feed.accept_subscription();
    let mut client = program.client();
    assert!(client.health_check());
    assert!(
        hosts
            .iter()
            .all(|host| host.accept_within(QUIET_PERIOD / 2).is_none())
    );
    client.request_task(1, &IDEMPOTENT_TASK);
    let mut connection = wait_for("a connection", || {
        hosts
            .iter()
            .find_map(|host| host.accept_within(QUIET_PERIOD / 20))
    });
    assert_eq!(connection.expect_offer(), hex(1));
    connection.report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    assert!(
        hosts
            .iter()
            .all(|host| host.accept_within(QUIET_PERIOD / 2).is_none())
    );
}

// Fleets may have hundreds of placers and hosts. Guards against limits on either number below 1,024, and against a
// limit on the time that a start takes. An invalid entry, and a host in a zone that the settings do not state, must not
// prevent the start.
#[test]
fn settings_with_a_thousand_placers_and_hosts_are_accepted() {
    let feed = Feed::new();
    let real = Host::new("real", "attic");
    let mut hosts: Vec<OwnedValue> = (0..1_024)
        .map(|n| {
            json!({
                "host": format!("s-{n:08x}"), "dial": format!("127.9.{}.{}:9", n / 250, n % 250 + 1), "site": "north",
                "class": "plain", "block": n / 8, "health": "up", "share": 1, "born_ms": 0, "unasked": [-40, -80]
            })
        })
        .collect();
    hosts
        .push(json!({ "host": "odd", "dial": "nowhere", "site": "north", "class": "plain", "health": "up" }));
    hosts.push(real.entry("up", 0));
    let mut config = placer_config("n1023", 1_023, 1_024, &feed.address(), hosts);
    config["settings"]["prices"] = json!({ "handshake": 0.05 });
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 48, "sockets": 256 });
    let program = Program::start_with_descriptors(&config, 256);
    let mut client = program.client();
    assert!(client.health_check());
    // Only the last host has free capacity.
    client.request_task(1, &IDEMPOTENT_TASK);
    let mut connection = real.accept();
    assert_eq!(connection.expect_offer(), hex(1));
    connection.report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    program.wait_for_log("endpoint entry rejected host=\"odd\" reason=bad-field:dial");
}
