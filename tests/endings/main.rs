//! What ends a request, a connection, a host, the subscription or the process: in each test the peers force the
//! bad order, and nothing owed is lost or begun too late.

#![recursion_limit = "256"]

mod disconnected_clients;
mod feed;
mod hosts;
mod process;

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
