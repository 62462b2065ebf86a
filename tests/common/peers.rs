//! Scripted peers on loopback: the program under test, a control feed, hosts and owners. A peer does
//! what its test says, one step at a time, and waits with a limit that only a failure reaches.
#![allow(dead_code)]

use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Only a failing test waits so long.
pub const LIMIT: Duration = Duration::from_secs(20);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// An address for the program: on a loopback address of its own, so that no other socket of the tests
/// takes its port before the program does.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = NEXT.fetch_add(1, Ordering::Relaxed) % 100;
    let ip = Ipv4Addr::new(127, 100 + own as u8, high, low);
    TcpListener::bind((ip, 0)).and_then(|l| l.local_addr()).expect("a free port")
}

/// Accepts within the limit.
fn accept(listener: &TcpListener, limit: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).expect("a socket option");
    let end = Instant::now() + limit;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a socket option");
                stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
                return Some(stream);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && Instant::now() < end => {
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(_) => return None,
        }
    }
}

/// The program under test; ended with its test.
pub struct Program {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
}

impl Program {
    /// Starts it on this configuration.
    pub fn start(config: &OwnedValue) -> Program {
        Program::start_with(config, 1_024)
    }

    /// Starts it with so many descriptors.
    pub fn start_with(config: &OwnedValue, descriptors: u32) -> Program {
        let address = config.get_str("listen").expect("an address").parse().expect("an address");
        let (child, path) = spawn(&config.encode(), descriptors);
        Program { child, config: path, address }
    }

    /// A new connection, made as soon as it listens.
    pub fn owner(&self) -> Owner {
        let end = Instant::now() + LIMIT;
        loop {
            match TcpStream::connect(self.address) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
                    stream.set_nodelay(true).expect("a socket option");
                    return Owner(stream);
                }
                Err(e) => assert!(Instant::now() < end, "it does not listen: {e}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.expect("a process").count()
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and has it read again.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("a temporary file");
        self.signal("-HUP");
    }

    pub fn exit(&mut self) -> ExitStatus {
        let end = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(Instant::now() < end, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn spawn(config: &str, descriptors: u32) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("anisehead-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a temporary file");
    let child = Command::new("sh")
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), env!("CARGO_BIN_EXE_anisehead")])
        .env("LB_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    (child, path)
}

/// Runs it on a configuration that it must not accept: whether it failed, and what it said.
pub fn refuses(config: &str) -> (bool, String) {
    let (child, path) = spawn(config, 1_024);
    let out = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(path);
    (!out.status.success(), String::from_utf8(out.stderr).expect("text"))
}

/// The control feed: a listener, and the subscription once there is one.
pub struct Feed {
    listener: TcpListener,
    stream: Option<TcpStream>,
}

impl Feed {
    pub fn new() -> Feed {
        Feed { listener: listen(), stream: None }
    }

    pub fn address(&self) -> String {
        self.listener.local_addr().expect("an address").to_string()
    }

    /// Waits for a subscription and answers its number.
    pub fn subscribed(&mut self) -> u64 {
        let stream = accept(&self.listener, LIMIT).expect("a subscription");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        self.stream = Some(stream);
        line.strip_prefix("SUB ").and_then(|n| n.trim_end().parse().ok()).expect("SUB N")
    }

    /// Breaks the subscription off when dropped.
    pub fn stream_taken(&mut self) -> Option<TcpStream> {
        self.stream.take()
    }

    pub fn tell(&mut self, line: &OwnedValue) {
        let text = format!("{}\n", line.encode());
        self.stream.as_mut().expect("a subscription").write_all(text.as_bytes()).expect("it reads");
    }

    /// Event `n`: one host is in this state.
    pub fn event(&mut self, n: u64, host: &Host, state: &str) {
        self.tell(&event(n, false, vec![host.entry(state, 0)]));
    }
}

pub fn event(n: u64, whole: bool, hosts: Vec<OwnedValue>) -> OwnedValue {
    json!({ "n": n, "members": { "seq": n, "whole": whole, "hosts": hosts } })
}

/// A host and its connections.
pub struct Host {
    pub name: String,
    pub zone: &'static str,
    listener: TcpListener,
}

impl Host {
    pub fn new(name: &str, zone: &'static str) -> Host {
        Host { name: name.to_string(), zone, listener: listen() }
    }

    pub fn entry(&self, state: &str, born_ms: u64) -> OwnedValue {
        let address = self.listener.local_addr().expect("an address").to_string();
        json!({
            "host": self.name.as_str(), "dial": address, "site": self.zone, "class": "plain", "block": 1,
            "health": state, "share": 1, "born_ms": born_ms, "unasked": [32, 64]
        })
    }

    pub fn accept(&self) -> HostConn {
        let stream = accept(&self.listener, LIMIT).expect("a connection");
        HostConn { reader: BufReader::new(stream) }
    }

    pub fn accept_within(&self, limit: Duration) -> Option<HostConn> {
        accept(&self.listener, limit).map(|stream| HostConn { reader: BufReader::new(stream) })
    }
}

/// One connection at a host.
pub struct HostConn {
    reader: BufReader<TcpStream>,
}

impl HostConn {
    /// The next message, or none within the limit.
    pub fn read_within(&mut self, limit: Duration) -> Option<OwnedValue> {
        self.reader.get_ref().set_read_timeout(Some(limit)).expect("a socket option");
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(n) if n > 0 => Some(simd_json::to_owned_value(&mut line).expect("JSON")),
            _ => None,
        }
    }

    /// Waits for the program to end the connection, whatever it still says.
    pub fn ended(&mut self) -> bool {
        self.reader.get_ref().set_read_timeout(Some(LIMIT)).expect("a socket option");
        let mut line = Vec::new();
        loop {
            line.clear();
            match self.reader.read_until(b'\n', &mut line) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == ErrorKind::ConnectionReset,
            }
        }
    }

    /// The next message of a type, which must come.
    pub fn expect(&mut self, kind: &str) -> OwnedValue {
        let message = self.read_within(LIMIT).unwrap_or_else(|| panic!("no {kind} comes"));
        assert_eq!(message.get_str("t"), Some(kind), "{message}");
        message
    }

    /// The id of the next offer.
    pub fn offer(&mut self) -> String {
        self.expect("new").get_str("ref").expect("an id").to_string()
    }

    pub fn say(&mut self, line: &OwnedValue) {
        self.raw(format!("{}\n", line.encode()).as_bytes());
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.reader.get_ref().write_all(bytes).expect("it reads");
    }

    pub fn up(&mut self, id: &str) {
        self.say(&json!({ "t": "up", "ref": id, "f": {}, "d": format!("stands {id}\r\n") }));
    }

    pub fn down(&mut self, id: &str, cause: u8, note: &str) {
        self.say(&json!({ "t": "down", "ref": id, "f": { "note": note }, "c": cause }));
    }
}

/// A message to an owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    pub kind: u8,
    pub id: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(c, _)| *c == code).map(|(_, value)| value.as_slice())
    }

    pub fn text(&self, code: u8) -> Option<&str> {
        self.get(code).map(|value| std::str::from_utf8(value).expect("text"))
    }

    pub fn cause(&self) -> u8 {
        match self.get(171) {
            Some([cause]) => *cause,
            other => panic!("no cause: {other:?}"),
        }
    }
}

/// A connection of an owner.
pub struct Owner(pub TcpStream);

/// A set-up as an owner writes it.
pub struct Ask<'a> {
    pub class: &'a str,
    pub wait_ms: u64,
    pub service: u64,
    pub at: Option<&'a str>,
}

pub const QUICK: Ask<'_> = Ask { class: "quick", wait_ms: 6_000, service: 7, at: None };
pub const ONCE: Ask<'_> = Ask { class: "once", wait_ms: 6_000, service: 9, at: None };

pub fn bytes(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut all = (body.len() as u16).to_be_bytes().to_vec();
    all.extend(body);
    all
}

impl Owner {
    pub fn say(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("it reads");
    }

    pub fn set_up(&mut self, id: u64, ask: &Ask<'_>) {
        let mut figures = format!("cores:1;memory:2;service:{:016x}", ask.service);
        if let Some(host) = ask.at {
            figures.push_str(&format!(";at:{host}"));
        }
        let (wait, key) = (ask.wait_ms.to_string(), format!("{:016x}", id + 0xabc0));
        let description = format!("c=IN {id}\r\n");
        self.say(&bytes(
            1,
            id,
            &[
                (129, ask.class.as_bytes()),
                (132, wait.as_bytes()),
                (135, b"ours"),
                (141, key.as_bytes()),
                (144, figures.as_bytes()),
                (174, description.as_bytes()),
            ],
        ));
    }

    pub fn release(&mut self, id: u64, cause: u8) {
        self.say(&bytes(12, id, &[(171, &[cause])]));
    }

    /// Sends a test and answers whether it passed.
    pub fn test(&mut self) -> bool {
        self.say(&bytes(52, 0xfe, &[(171, &[0])]));
        let result = self.read();
        assert_eq!((result.kind, result.id), (53, 0xfe));
        result.cause() == 1
    }

    /// The next message, or none where the connection ends.
    pub fn next(&mut self) -> Option<Message> {
        let mut length = [0; 2];
        match self.0.read_exact(&mut length) {
            Ok(()) => {}
            Err(e) if matches!(e.kind(), ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset) => {
                return None;
            }
            Err(e) => panic!("nothing comes: {e}"),
        }
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        self.0.read_exact(&mut body).expect("a whole message");
        let (kind, id) = (body[0], u64::from_be_bytes(body[1..9].try_into().expect("8 bytes")));
        let mut parameters = Vec::new();
        let mut rest = &body[9..];
        while let [code, a, b, after @ ..] = rest {
            let (value, after) = after.split_at(usize::from(u16::from_be_bytes([*a, *b])));
            parameters.push((*code, value.to_vec()));
            rest = after;
        }
        Some(Message { kind, id, parameters })
    }

    pub fn read(&mut self) -> Message {
        self.next().expect("a message")
    }
}

/// The configuration of a placer with these hosts: `quick` is safe and spread (2 in a zone), `once`
/// must never start twice, and a cold host bears 3 offers a second.
pub fn config(feed: &Feed, hosts: Vec<OwnedValue>) -> OwnedValue {
    let listen = free_address().to_string();
    let feed = feed.address();
    let class = |name: &str, semantics: &str| {
        json!({
            "name": name, "aim": 1000.0, "hard_limit": 6000.0, "semantics": semantics, "group": "all",
            "worth": 1.0, "late_share": 0.2, "memory_span": 5000.0, "long_lived": true
        })
    };
    json!({
        "name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "feed": feed,
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
        "known": { "n": 1, "events": [event(1, true, hosts)] },
        "settings": {
            "me": 0, "n_instances": 1, "locality": "north", "zones": ["north", "south"], "step": 2.0,
            "models": ["plain"], "membership_mode": "subscribe", "over_share_worth": 0.1,
            "services": [class("quick", "safe"), class("once", "unsafe")],
            "realms": [{ "name": "ours", "portion": 1.0, "allowance_per_s": 5.0 }],
            "caps": {
                "cancel": true, "connect_timeout": 250.0, "conn_idle": 30000.0, "max_retry_after": 3000.0,
                "probing": false, "retry_after": true, "send_cap": 4
            },
            "family_info": {
                "accepts_memory": 1.0, "cores_multiple": 1.0, "class_kind": [-1, -1], "class_most": [2, 2],
                "class_priority": [0, 2], "fades_over": [1.0, 0.2], "full_up_to": [1.0, 0.8],
                "kind_cores": [32], "kind_memory": [64.0], "lists_free": true, "make_sure": 3000.0,
                "mean_memory": 2.0, "usual_cores": 1.0, "measured_by": "asked", "no_price": 0.03,
                "preempts": true, "prompt_start_s": [10.0, 8.0], "spread_by": ["zone", "off"],
                "yes_at": "running", "young_limit": 3.0
            },
            "prices": { "fleet": 0.15, "moves": 0.07 },
            "report": { "names": [], "via": "off" },
            "rules": {
                "ask_every": 10000.0, "cold": 17000.0, "cold_from": 0.22, "drain_grace": 2000.0,
                "grace_to_answer": 8.0, "overload_factor": 4.0, "overload_for": 1000.0
            }
        }
    })
}

/// Long enough for what must not come: many times what it takes to come.
pub const QUIET: Duration = Duration::from_millis(400);

/// A program with up hosts `h0`, `h1` and so on, each with its connection.
pub fn start(hosts: usize) -> (Program, Feed, Vec<Host>, Vec<HostConn>) {
    let mut feed = Feed::new();
    let hosts: Vec<Host> = (0..hosts).map(|n| Host::new(&format!("h{n}"), "north")).collect();
    let program = Program::start(&config(&feed, hosts.iter().map(|h| h.entry("up", 0)).collect()));
    assert_eq!(feed.subscribed(), 1);
    feed.tell(&json!({ "n": 1 }));
    let conns = hosts.iter().map(Host::accept).collect();
    (program, feed, hosts, conns)
}

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
