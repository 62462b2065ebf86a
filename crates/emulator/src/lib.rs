//! Scripted peers of the placer on loopback: the program under test, a control feed, hosts, clients and
//! balancers. A peer does what its test says, one step at a time, and waits with a limit that only a
//! failure reaches. What a peer can't do as told ends its test: these are not for use in a program.

#![recursion_limit = "256"]

pub mod admin_socket;
mod client;
pub mod cluster;
mod deployment_config;
pub mod event_log;
pub mod fault_proxy;
mod feed;
mod host;
pub mod host_emulator;
pub mod host_model;
pub mod load_balancer;
mod program;
pub mod rule_check;
pub mod supervisor;
mod tcp_delivery;

pub use client::{Ask, Client, Message, ONCE, QUICK, bytes, set_up};
pub use deployment_config::{config, deployment};
pub use feed::{Feed, event};
pub use host::{Host, HostConn, OutOfReach};
pub use program::{Launch, Program, binary, refuses, scratch};

use simd_json::json;
use simd_json::prelude::*;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Only a failing test waits so long.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Waits until something comes, looking every 5 ms. Only a failure reaches the limit.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LIMIT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Milliseconds of the Unix clock.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64
}

pub(crate) fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// An address for the program: on a loopback address of its own, so that no other socket of the tests
/// takes its port before the program does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = NEXT.fetch_add(1, Ordering::Relaxed) % 100;
    let ip = Ipv4Addr::new(127, 100 + own as u8, high, low);
    TcpListener::bind((ip, 0))
        .and_then(|l| l.local_addr())
        .expect("a free port")
}

/// Accepts within the limit.
pub(crate) fn accept(listener: &TcpListener, limit: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).expect("a socket option");
    let end = Instant::now() + limit;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a socket option");
                stream
                    .set_read_timeout(Some(LIMIT))
                    .expect("a socket option");
                return Some(stream);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && Instant::now() < end => {
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(_) => return None,
        }
    }
}

/// Long enough for what must not come: many times what it takes to come.
pub const QUIET: Duration = Duration::from_millis(400);

/// A program with up hosts `h0`, `h1` and so on, each with its connection.
pub fn start(hosts: usize) -> (Program, Feed, Vec<Host>, Vec<HostConn>) {
    let mut feed = Feed::new();
    let hosts: Vec<Host> = (0..hosts)
        .map(|n| Host::new(&format!("h{n}"), "north"))
        .collect();
    let program = Program::start(&config(
        &feed,
        hosts.iter().map(|h| h.entry("up", 0)).collect(),
    ));
    assert_eq!(feed.subscribed(), 1);
    feed.tell(&json!({ "n": 1 }));
    let conns = hosts.iter().map(Host::accept).collect();
    (program, feed, hosts, conns)
}

/// An id as hosts write it.
pub fn hex(id: u64) -> String {
    format!("{id:016x}")
}

/// The connection on which the next offer comes, and its id.
pub fn offered(conns: &mut [HostConn]) -> (usize, String) {
    let end = Instant::now() + LIMIT;
    while Instant::now() < end {
        for (n, conn) in conns.iter_mut().enumerate() {
            if let Some(message) = conn.read_within(Duration::from_millis(20)) {
                assert_eq!(message.get_str("t"), Some("new"), "{message}");
                return (n, message.get_str("ref").expect("an id").to_string());
            }
        }
    }
    panic!("no offer comes");
}
