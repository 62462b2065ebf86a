//! Emulated peers of the placer on loopback, for tests, benches and load tests.
//!
//! - Processes of the program under test: [`Program`] for single ones, [`supervisor`] for all placers of a run.
//! - Scripted peers that a test drives step by step: [`Feed`], [`Host`] and [`Client`]. A scripted peer panics if a
//!   step fails, which fails the test; these types are therefore unsuitable outside tests.
//! - Peers that run by themselves: [`host_emulator`], [`cluster`], [`load_balancer`] and [`fault_proxy`].
//! - The event log of a run, and the check of the protocol's rules on it: [`event_log`] and [`rule_check`].

#![recursion_limit = "256"]

pub mod admin_socket;
mod client;
pub mod cluster;
mod deployment_config;
pub mod event_log;
pub mod fault_proxy;
mod feed;
pub mod fixtures;
mod host;
pub mod host_emulator;
pub mod host_model;
pub mod load_balancer;
mod program;
pub mod rule_check;
pub mod supervisor;
mod tcp_delivery;

pub use client::{
    Client, IDEMPOTENT_TASK, Message, NON_IDEMPOTENT_TASK, TaskRequest, encode_message,
    encode_task_request,
};
pub use deployment_config::{placer_config, single_placer_config};
pub use feed::{Feed, UpdateKind, endpoint_event};
pub use fixtures::{start_configured, start_with_hosts};
pub use host::{Host, HostConnection, Unreachable};
pub use program::{Launch, Program, binary, run_with_invalid_config, temp_path};

use simd_json::prelude::*;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The timeout for everything that a test expects to happen. It is generous, since only a failing test waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls `poll` every 5 ms until it returns a value, and returns that value.
///
/// # Panics
///
/// If `poll` returns no value within [`TEST_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the current Unix time in milliseconds.
///
/// # Panics
///
/// If the system clock is set to a time before 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the system clock is set to a time before 1970")
        .as_millis() as u64
}

pub(crate) fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("no free port on loopback")
}

/// Returns a free address for the program to listen at. Each call uses a different loopback network, so that no other
/// socket of the tests takes the port before the program binds it.
///
/// # Panics
///
/// If no port is free.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let network = NEXT.fetch_add(1, Ordering::Relaxed) % 100;
    let ip = Ipv4Addr::new(127, 100 + network as u8, high, low);
    TcpListener::bind((ip, 0))
        .and_then(|l| l.local_addr())
        .expect("no free port on loopback")
}

/// Accepts a connection, and returns `None` if none arrives within `limit`.
pub(crate) fn accept(listener: &TcpListener, limit: Duration) -> Option<TcpStream> {
    listener
        .set_nonblocking(true)
        .expect("cannot set a socket option");
    let deadline = Instant::now() + limit;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream
                    .set_nonblocking(false)
                    .expect("cannot set a socket option");
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("cannot set a socket option");
                return Some(stream);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(_) => return None,
        }
    }
}

/// How long a test waits to confirm that something does not happen. This is many times longer than it would take to
/// happen.
pub const QUIET_PERIOD: Duration = Duration::from_millis(400);

/// Returns an id in the format of host messages: 16 hexadecimal digits.
pub fn hex(id: u64) -> String {
    format!("{id:016x}")
}

/// Waits for the next offer on any of the connections, and returns the index of its connection and the id of the offer.
///
/// # Panics
///
/// If no offer arrives within [`TEST_TIMEOUT`], or if another message arrives first.
pub fn next_offer(connections: &mut [HostConnection]) -> (usize, String) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < deadline {
        for (n, connection) in connections.iter_mut().enumerate() {
            if let Some(message) = connection.read_within(Duration::from_millis(20)) {
                assert_eq!(message.get_str("t"), Some("new"), "{message}");
                return (
                    n,
                    message
                        .get_str("ref")
                        .expect("the offer has no id")
                        .to_string(),
                );
            }
        }
    }
    panic!("no offer arrived in time");
}
