//! Tests of the end of a request, a connection, a host, the feed subscription or the process. In each test the peers
//! force an unfavourable order of events; nothing pending may be lost or started too late.

#![recursion_limit = "256"]

mod accept_queue;
mod disconnected_clients;
mod feed;
mod host_connections;
mod hosts;
mod process;
mod task_ends;

use emulator::fixtures::start_emulated_hosts;
use emulator::host_emulator::HostBehavior;
use emulator::*;
use simd_json::json;
use simd_json::prelude::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Id of the last request. Once it is offered, no earlier request is in flight any more.
const LAST_REQUEST_ID: u64 = 0x7fff;

/// Returns a request whose service no other request uses.
fn request(id: u64) -> TaskRequest<'static> {
    TaskRequest {
        service: id + 100,
        ..IDEMPOTENT_TASK
    }
}

/// Starts a task for this client, and leaves it running.
fn run_task(client: &mut Client, connection: &mut HostConnection, id: u64) {
    client.request_task(id, &request(id));
    assert_eq!(connection.expect_offer(), hex(id));
    connection.report_running(&hex(id));
    assert_eq!(client.expect_message().kind, 9);
}

/// Returns a client whose connection the placer has already read from, so that its next message is read at once.
fn checked_client(program: &Program) -> Client {
    let mut client = program.client();
    assert!(client.health_check());
    client
}

/// Number of large requests: together three times what the kernel buffers for a host that reads nothing, and, together
/// with two other requests, the maximum number in flight to one host.
const LARGE_REQUESTS: u64 = 6;

/// Sends the large requests on a connection of their own, which sends nothing more after that. The requests are not
/// cancelled, so each unsent offer stays queued before later ones, whatever the kernel still buffers.
fn fill_receive_buffer(program: &Program) -> Client {
    let mut client = checked_client(program);
    let padding = "w".repeat(15_000);
    (1..=LARGE_REQUESTS).for_each(|id| client.request_task_with(id, &request(id), &padding));
    assert!(client.health_check(), "the requests were not read");
    client
}

/// Collects the ids offered to these hosts, on the given connections and on new ones, until the last request is
/// offered.
fn offers_until_last(
    program: &Program,
    hosts: &[Host],
    connections: &mut Vec<HostConnection>,
) -> Vec<String> {
    let mut client = checked_client(program);
    client.request_task(LAST_REQUEST_ID, &request(LAST_REQUEST_ID));
    let mut ids = Vec::new();
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        assert!(
            Instant::now() < end,
            "the last request was not offered in time; offered: {ids:?}"
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
                let id = message
                    .get_str("ref")
                    .expect("an offer has no id")
                    .to_string();
                if id == hex(LAST_REQUEST_ID) {
                    return ids;
                }
                ids.push(id);
            }
        }
    }
}

const NO_OFFERS: [String; 0] = [];
