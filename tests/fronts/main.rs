//! The interfaces of one placer for load balancers and operators, on real sockets, with misbehaving peers.

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

/// Starts a placer with one scripted host and every interface, with these settings of the drain.
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

/// Sends bytes and returns what comes until the end or the timeout.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a listener");
    stream
        .set_read_timeout(Some(5 * SECOND))
        .expect("a socket option");
    stream.write_all(bytes).expect("the peer reads");
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
        .expect("it runs");
    let text = if out.status.success() {
        out.stdout
    } else {
        out.stderr
    };
    (out.status.success(), String::from_utf8(text).expect("text"))
}
