//! Tests of a placer's interfaces for load balancers and operators, on real sockets and with misbehaving peers.

mod checks;
mod drains;
mod log;
mod start;

use emulator::host_emulator::{EmulatedFeed, EmulatedHost, HostBehavior, HostRecords};
use emulator::load_balancer::polling::query_agent;
use emulator::{
    Client, Feed, Host, HostConnection, IDEMPOTENT_TASK, Launch, Program, binary, free_address,
    hex, single_placer_config, temp_path, wait_for,
};
use simd_json::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

struct Deployment {
    program: Program,
    feed: Feed,
    hosts: Vec<Host>,
    connections: Vec<HostConnection>,
    agent: SocketAddr,
    http: SocketAddr,
    socket: PathBuf,
}

/// Starts a placer that has every interface enabled and one scripted host. `drain` holds lines of its `[drain]`
/// section.
fn start(drain: &str) -> Deployment {
    let mut feed = Feed::new();
    let hosts = vec![Host::new("h0", "north")];
    let (agent, http, socket) = (free_address(), free_address(), temp_path("sock"));
    let operator = format!(
        "[health]\nagent = [\"{agent}\"]\nhttp = [\"{http}\"]\n[health.weight]\nslow-start = \"200ms\"\nrise = \"1s\"\n\
         [drain]\nenabled = true\n{drain}\n[ctl]\nsocket = \"{}\"\n",
        socket.display()
    );
    let entries = hosts.iter().map(|host| host.entry("up", 0)).collect();
    let program = Launch::new(&single_placer_config(&feed, entries))
        .operator_file(&operator)
        .start();
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&simd_json::json!({ "n": 1 }));
    let connections = hosts.iter().map(Host::accept).collect();
    Deployment {
        program,
        feed,
        hosts,
        connections,
        agent,
        http,
        socket,
    }
}

fn agent(address: SocketAddr) -> String {
    query_agent(address, "t\n", 5 * SECOND).unwrap_or_default()
}

/// Sends bytes, and returns all that is received until the peer closes the connection or the timeout passes.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("cannot connect");
    stream
        .set_read_timeout(Some(5 * SECOND))
        .expect("cannot set the read timeout");
    stream.write_all(bytes).expect("cannot write to the placer");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn get(address: SocketAddr, path: &str) -> String {
    exchange(
        address,
        format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n").as_bytes(),
    )
}

fn ctl(socket: &Path, words: &[&str]) -> (bool, String) {
    let out = Command::new(binary())
        .arg("ctl")
        .args(words)
        .arg("--socket")
        .arg(socket)
        .output()
        .expect("the ctl command does not start");
    let text = if out.status.success() {
        out.stdout
    } else {
        out.stderr
    };
    (
        out.status.success(),
        String::from_utf8(text).expect("the output is not UTF-8"),
    )
}
