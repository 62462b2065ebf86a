//! The end of a request, a connection, a host, the subscription or the process: in each test the peers force the
//! unfavourable order, and nothing pending is lost or started too late.

#![recursion_limit = "256"]

mod accept_queue;
mod disconnected_clients;
mod feed;
mod host_connections;
mod hosts;
mod process;
mod task_ends;

use emulator::*;
use simd_json::json;
use simd_json::prelude::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Id of the last request, which shows that nothing else was in flight.
const LAST: u64 = 0x7fff;

/// A request of a service of its own.
fn request(id: u64) -> TaskRequest<'static> {
    TaskRequest {
        service: id + 100,
        ..IDEMPOTENT_TASK
    }
}

/// Starts a task for this client and leaves it running.
fn run_task(client: &mut Client, connection: &mut HostConnection, id: u64) {
    client.request_task(id, &request(id));
    assert_eq!(connection.expect_offer(), hex(id));
    connection.report_running(&hex(id));
    assert_eq!(client.expect_message().kind, 9);
}

/// A connection that the placer has read from: what is sent on it next is read at once.
fn checked_client(program: &Program) -> Client {
    let mut client = program.client();
    assert!(client.health_check());
    client
}

/// Number of wide requests: three times what the kernel buffers for a host that reads nothing, and together with two
/// others the maximum number in flight to one host.
const WIDE_REQUESTS: u64 = 6;

/// Sends the wide requests on a connection of their own, which is silent from then on. They are not cancelled: each
/// unsent offer is queued before later ones, whatever the kernel still buffers.
fn fill_receive_buffer(program: &Program) -> Client {
    let mut client = checked_client(program);
    let wide = "w".repeat(15_000);
    (1..=WIDE_REQUESTS).for_each(|id| client.request_task_with(id, &request(id), &wide));
    assert!(client.health_check(), "the requests were read");
    client
}

/// Collects the ids offered to these hosts, on these connections and on new ones, until the last request is offered.
fn offers_until_last(
    program: &Program,
    hosts: &[Host],
    connections: &mut Vec<HostConnection>,
) -> Vec<String> {
    let mut client = checked_client(program);
    client.request_task(LAST, &request(LAST));
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

const NO_OFFERS: [String; 0] = [];
