//! One placer's fronts for balancers and operators, on real sockets, with peers that misbehave.

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

struct Fronts {
    program: Program,
    feed: Feed,
    hosts: Vec<Host>,
    connections: Vec<HostConnection>,
    agent: SocketAddr,
    http: SocketAddr,
    socket: PathBuf,
}

/// A placer with one scripted host and every front, its drain bounded as told.
fn start(drain: &str) -> Fronts {
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
    Fronts {
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

/// Sends bytes and reads to the end, or until nothing comes.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream
        .set_read_timeout(Some(5 * SECOND))
        .expect("a socket option");
    stream.write_all(bytes).expect("it reads");
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

// ---- Checks ----

#[test]
fn agent_and_http_checks_follow_the_state_from_start_to_drain_and_back() {
    let mut fronts = start("");
    wait_for("it is up", || {
        agent(fronts.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    assert!(get(fronts.http, "/readyz").starts_with("HTTP/1.1 200"));
    assert!(get(fronts.http, "/startupz").starts_with("HTTP/1.1 200"));
    let health = get(fronts.http, "/health");
    assert!(
        health.contains("\"status\":\"pass\"") && health.contains("application/health+json"),
        "{health}"
    );
    let mut client = fronts.program.client();
    assert!(client.health_check());
    let (done, said) = ctl(&fronts.socket, &["drain"]);
    assert!(done && said.starts_with("drain"), "{said}");
    assert_eq!(agent(fronts.agent), "up drain # finishing what was taken\n");
    let ready = get(fronts.http, "/readyz");
    assert!(
        ready.starts_with("HTTP/1.1 503")
            && ready.contains("x-envoy-immediate-health-check-fail: true")
    );
    assert!(
        get(fronts.http, "/livez").starts_with("HTTP/1.1 200"),
        "it lives, and must not be killed for draining"
    );
    assert!(!client.health_check(), "nor do clients' tests pass");
    // New work that still comes is placed.
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(fronts.connections[0].expect_offer(), hex(1));
    fronts.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    assert!(ctl(&fronts.socket, &["ready"]).0);
    assert!(
        agent(fronts.agent).starts_with("up ready "),
        "taken back by name"
    );
    assert!(client.health_check());
    assert!(ctl(&fronts.socket, &["maint"]).0);
    assert_eq!(agent(fronts.agent), "maint # by order\n");
    assert!(ctl(&fronts.socket, &["ready"]).0);
    let (done, state) = ctl(&fronts.socket, &["state", "--json"]);
    let value = simd_json::to_owned_value(&mut state.clone().into_bytes()).expect("JSON");
    assert!(done && value.get_u64("v") == Some(1), "{state}");
    let signals = value.get_array("signals").expect("signals");
    assert_eq!(signals.len(), 10);
    let history: Vec<&str> = value
        .get_array("history")
        .expect("a history")
        .iter()
        .filter_map(|t| t.get_str("reason"))
        .collect();
    assert!(
        history.ends_with(&["told-drain", "told-ready", "told-maint", "told-ready"]),
        "{history:?}"
    );
    assert!(fronts.program.is_running() && fronts.feed.address() != fronts.hosts[0].name);
}

#[test]
fn http_checks_support_keep_alive_and_pipelining_and_reject_ambiguous_requests() {
    let fronts = start("");
    let two = "GET /livez HTTP/1.1\r\nHost: t\r\n\r\nHEAD /nowhere HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let answers = exchange(fronts.http, two.as_bytes());
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "{answers}");
    assert!(
        answers.contains("HTTP/1.1 200")
            && answers.contains("HTTP/1.1 404")
            && answers.ends_with("\r\n\r\n")
    );
    for (bytes, status) in [
        (
            "GET /livez HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            501,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: t\r\nContent-Length: 44\r\n\r\nGET /readyz HTTP/1.1\r\nHost: t\r\n\r\n",
            413,
        ),
        ("GET /livez HTTP/1.1\nHost: t\n\n", 400),
        ("\x16\x03\x01\x00\u{1}", 400),
        ("DELETE /health HTTP/1.1\r\nHost: t\r\n\r\n", 405),
    ] {
        let answer = exchange(fronts.http, bytes.as_bytes());
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{bytes:?}: {answer}"
        );
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "the rest is not read as a request: {answer}"
        );
    }
    let endless = format!(
        "GET /livez HTTP/1.1\r\nHost: t\r\n{}",
        "X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n".repeat(400)
    );
    assert!(exchange(fronts.http, endless.as_bytes()).contains("431"));
    // A sender that never comes to an end is sent away.
    let mut slow = TcpStream::connect(fronts.http).expect("it listens");
    slow.write_all(b"GET /livez HT").expect("it reads");
    slow.set_read_timeout(Some(10 * SECOND))
        .expect("a socket option");
    assert_eq!(
        slow.read(&mut [0; 16]).unwrap_or(0),
        0,
        "closed with no answer"
    );
    fronts.program.wait_for_log("reason=timeout");
}

#[test]
fn agent_check_accepts_one_short_line_or_nothing() {
    let fronts = start("");
    for line in ["", "front/p1\n", "front/p1\r\n"] {
        let answer = query_agent(fronts.agent, line, 5 * SECOND).unwrap_or_default();
        assert!(answer.starts_with("up ready "), "{line:?}: {answer:?}");
    }
    for bad in [&[0xff, b'\n'][..], &[b'x'; 600]] {
        let mut stream = TcpStream::connect(fronts.agent).expect("it listens");
        stream
            .set_read_timeout(Some(5 * SECOND))
            .expect("a socket option");
        stream.write_all(bad).expect("it reads");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "{bad:?}");
    }
    fronts.program.wait_for_log("reason=malformed");
}

#[test]
fn silent_pollers_take_no_client_descriptors_and_delay_no_placement() {
    let mut fronts = start("");
    let before = fronts.program.descriptors();
    let silent: Vec<TcpStream> = (0..500)
        .map(|n| {
            TcpStream::connect(if n % 2 == 0 {
                fronts.agent
            } else {
                fronts.http
            })
            .expect("it listens")
        })
        .collect();
    // One that does ask is answered all the same, and a placing goes on.
    assert!(agent(fronts.agent).starts_with("up "));
    let held = fronts.program.descriptors();
    assert!(held <= before + 40, "{before} to {held}");
    let mut client = fronts.program.client();
    let begun = Instant::now();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(fronts.connections[0].expect_offer(), hex(1));
    fronts.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    assert!(begun.elapsed() < SECOND, "{:?}", begun.elapsed());
    fronts.program.wait_for_log("reason=evicted");
    drop(silent);
}

// ---- Start ----

#[test]
fn start_fails_naming_the_field_of_an_address_in_use_or_given_twice() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    let feed = Feed::new();
    let config = single_placer_config(&feed, vec![]);
    for (operator, says) in [
        (
            format!("[health]\nagent = [\"{address}\"]\n"),
            "health.agent: can't listen at",
        ),
        (
            format!("[health]\nhttp = [\"{address}\"]\n"),
            "health.http: can't listen at",
        ),
        (
            "[ctl]\nsocket = \"/nowhere/at/all.sock\"\n".to_string(),
            "ctl.socket: /nowhere/at/all.sock",
        ),
        (
            "[health]\nagents = 1\n".to_string(),
            "toml:2:1: health.agents: unknown, perhaps agent is meant",
        ),
        (
            format!(
                "[health]\nagent = [\"{}\"]\n",
                config.get_str("listen").expect("an address")
            ),
            "is where clients connect",
        ),
    ] {
        let out = Launch::new(&config).operator_file(&operator).output();
        let said = String::from_utf8(out.stderr).expect("text");
        assert!(
            !out.status.success() && said.contains(says),
            "{operator}: {said}"
        );
    }
}

#[test]
fn check_prints_effective_settings_with_their_source_or_all_errors() {
    let feed = Feed::new();
    let good = single_placer_config(&feed, vec![]);
    let out = Launch::new(&good)
        .operator_file("[drain]\nenabled = true\nnotice = \"3s\"\n")
        .args(&["check"])
        .output();
    let said = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success(), "{said}");
    for line in [
        "limits.sockets = 1024  # ",
        "drain.settle = \"500ms\"  # default",
    ] {
        assert!(said.contains(line), "{line}: {said}");
    }
    assert!(
        said.lines()
            .any(|l| l.starts_with("drain.notice = \"3s\"  # ") && l.ends_with("toml:3")),
        "{said}"
    );
    let bad = "[drain]\nnotice = 5\nsettel = \"1s\"\n[log]\nlevel = \"loud\"\n";
    let out = Launch::from_text("{}")
        .operator_file(bad)
        .args(&["check"])
        .output();
    let said = String::from_utf8(out.stderr).expect("text");
    assert_eq!(out.status.code(), Some(2));
    assert_eq!(said.lines().count(), 4, "{said}");
    for words in [
        "settings: missing",
        "toml:2:10: drain.notice: expected a duration",
        "toml:3:1: drain.settel",
        "toml:5:9",
    ] {
        assert!(said.contains(words), "{words}: {said}");
    }
}

#[test]
fn control_socket_is_private_and_a_stale_one_is_replaced() {
    use std::os::unix::fs::PermissionsExt;
    let socket = temp_path("sock");
    // What a killed process leaves.
    drop(std::os::unix::net::UnixListener::bind(&socket).expect("a socket"));
    let feed = Feed::new();
    let operator = format!("[ctl]\nsocket = \"{}\"\n", socket.display());
    let mut program = Launch::new(&single_placer_config(&feed, vec![]))
        .operator_file(&operator)
        .start();
    drop(program.client());
    let mode = std::fs::metadata(&socket)
        .expect("a socket")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    // A second placer does not take it away.
    let out = Launch::new(&single_placer_config(&feed, vec![]))
        .operator_file(&operator)
        .output();
    assert!(String::from_utf8_lossy(&out.stderr).contains("another process answers there"));
    assert!(ctl(&socket, &["state"]).0);
    // What is no order is answered with what is wrong, and the connection goes on.
    let mut stream = UnixStream::connect(&socket).expect("it listens");
    stream
        .write_all(b"{\"v\":9}\nnonsense\n{\"v\":1,\"do\":\"state\"}\n")
        .expect("it reads");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("a socket");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("text");
    let lines: Vec<&str> = answers.lines().collect();
    assert_eq!(lines.len(), 3, "{answers}");
    assert!(
        lines[0].contains("version 9")
            && lines[1].contains("not JSON")
            && lines[2].contains("\"ok\":true")
    );
    let mut stream = UnixStream::connect(&socket).expect("it listens");
    let _ = stream.write_all(&vec![b'x'; 10_000]);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(
        answer.contains("longer than any order") || answer.is_empty(),
        "{answer}"
    );
    // Without [drain] SIGTERM ends it as without a file, and the socket goes with it.
    program.terminate();
    assert_eq!(program.wait_exit().code(), Some(0));
    assert!(!socket.exists());
}

// ---- Drains ----

#[test]
fn second_signal_ends_a_drain_like_a_plain_sigterm() {
    let mut fronts = start("notice = \"60s\"\nsettle = \"1s\"");
    wait_for("polled", || {
        agent(fronts.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    let mut client = fronts.program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = fronts.connections[0].expect_offer();
    fronts.program.terminate();
    wait_for("draining", || {
        agent(fronts.agent).starts_with("up drain").then_some(())
    });
    fronts.program.terminate();
    // The host never answers: the module gives the ask up in time for the end.
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id, answer.cause()), (12, 1, 42));
    assert_eq!(
        fronts.connections[0].expect("down").get_str("ref"),
        Some(id.as_str())
    );
    assert_eq!(fronts.program.wait_exit_within(8 * SECOND).code(), Some(0));
    assert!(fronts.program.log().contains("reason=\"second-signal\""));
}

#[test]
fn ready_cancels_a_drain_even_after_sigterm() {
    let mut fronts = start("notice = \"60s\"\nsettle = \"30s\"");
    wait_for("polled", || {
        agent(fronts.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    fronts.program.terminate();
    wait_for("draining", || {
        agent(fronts.agent).starts_with("up drain").then_some(())
    });
    assert!(ctl(&fronts.socket, &["ready"]).0);
    assert!(agent(fronts.agent).starts_with("up ready"));
    // Well beyond where a drain with nobody polling would have ended.
    std::thread::sleep(3 * SECOND);
    assert!(fronts.program.is_running());
    let mut client = fronts.program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(fronts.connections[0].expect_offer(), hex(1));
    fronts.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
}

#[test]
fn drain_completes_during_the_start_and_with_the_feed_down() {
    let mut fronts = start("settle = \"100ms\"\nquiet = \"300ms\"");
    drop(fronts.feed.take_subscription());
    drop(fronts.feed);
    fronts.program.terminate();
    assert_eq!(fronts.program.wait_exit().code(), Some(0));
    let log = fronts.program.log();
    assert!(
        log.contains("from=starting to=drain") && log.contains("from=drain to=stopped"),
        "{log}"
    );
}

#[test]
fn drain_closes_idle_connections_and_names_running_tasks_at_its_limit() {
    let mut fronts = start("settle = \"100ms\"\nquiet = \"300ms\"\nstanding = \"2s\"");
    let (mut idle, mut busy, mut standing) = (
        fronts.program.client(),
        fronts.program.client(),
        fronts.program.client(),
    );
    assert!(idle.health_check());
    for (client, id) in [(&mut standing, 1), (&mut busy, 2)] {
        client.request_task(id, &IDEMPOTENT_TASK);
        assert_eq!(fronts.connections[0].expect_offer(), hex(id));
    }
    fronts.connections[0].report_running(&hex(1));
    assert_eq!(standing.expect_message().kind, 9);
    fronts.program.terminate();
    assert_eq!(idle.next_message(), None, "closed politely");
    // What was taken is still answered, and its end told on the connection that is kept for it.
    fronts.connections[0].report_running(&hex(2));
    assert_eq!(busy.expect_message().kind, 9);
    // Two that came later are closed before it: sweeps have passed that left it.
    for _ in 0..2 {
        let mut later = fronts.program.client();
        assert!(!later.health_check(), "a placer that drains passes no test");
        assert_eq!(later.next_message(), None);
    }
    fronts.connections[0].report_ended(&hex(2), 16, "");
    let end = busy.expect_message();
    assert_eq!((end.id, end.cause()), (2, 16));
    busy.acknowledge_end(2);
    assert_eq!(fronts.program.wait_exit().code(), Some(0));
    let log = fronts.program.log();
    assert!(
        log.contains(&format!("left standing task={}", hex(1)))
            && log.contains("reason=\"standing-bound\""),
        "{log}"
    );
    assert!(log.contains("reason=draining"), "{log}");
}

#[test]
fn client_that_never_reads_does_not_delay_a_drain() {
    let mut fronts = start("settle = \"100ms\"\nquiet = \"300ms\"\nstanding = \"3s\"");
    let mut deaf = fronts.program.client();
    // Answers to tests fill its connection until nothing more goes.
    let test = emulator::encode_message(52, 0xfe, &[(171, &[0])]);
    deaf.0.set_nonblocking(true).expect("a socket option");
    let begun = Instant::now();
    while begun.elapsed() < 2 * SECOND {
        if deaf.0.write(&test).is_err() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    fronts.program.terminate();
    assert_eq!(
        fronts.program.wait_exit_within(20 * SECOND).code(),
        Some(0),
        "{}",
        fronts.program.log()
    );
}

// ---- The log ----

/// Makes connections that each leave a line.
fn chatter(program: &Program, lines: usize) {
    for _ in 0..lines {
        let mut client = Client::connect(program.address).expect("it listens");
        client.send(&[0, 1, 0]);
        let _ = client.next_message();
    }
}

#[test]
fn blocked_or_closed_log_stops_nothing() {
    for closed in [false, true] {
        let books: Arc<Mutex<HostRecords>> = Arc::default();
        let habits = HostBehavior {
            start_time: Duration::from_millis(5),
            run_time: SECOND,
            capacity: 100,
        };
        let host = EmulatedHost::start("h0", "north", habits, books);
        let feed = EmulatedFeed::start();
        let config = emulator::placer_config("n0", 0, 1, &feed.address(), vec![host.entry("up")]);
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let reader = if closed {
            drop(reader);
            None
        } else {
            Some(reader)
        };
        let mut program = Launch::new(&config)
            .operator_file("[log]\nqueue-bytes = 4096\n")
            .log_to(Stdio::from(writer))
            .start();
        drop(program.client());
        // More than the pipe and the queue hold.
        chatter(&program, 1_500);
        let mut client = program.client();
        client.request_task(1, &IDEMPOTENT_TASK);
        assert_eq!(client.expect_message().kind, 9);
        assert!(client.health_check());
        if let Some(mut reader) = reader {
            // Once it is read again, what was dropped is told.
            let told = std::thread::spawn(move || {
                let (mut text, mut chunk) = (String::new(), [0; 4096]);
                while !text.contains("log lines dropped dropped=") {
                    let n = reader.read(&mut chunk).expect("a pipe");
                    assert!(n > 0, "ended: {text}");
                    text.push_str(&String::from_utf8_lossy(&chunk[..n]));
                }
                text
            });
            let text = told.join().expect("a reader");
            assert!(
                text.contains("connection ended peer=\"client\"")
                    && text.contains("reason=malformed:"),
                "{text}"
            );
        }
        program.terminate();
        assert_eq!(program.wait_exit().code(), Some(0));
    }
}

#[test]
fn log_lines_can_be_json() {
    let feed = Feed::new();
    let mut program = Launch::new(&single_placer_config(&feed, vec![]))
        .args(&["serve", "--log-format", "json"])
        .start();
    chatter(program_ready(&program), 1);
    program.terminate();
    assert_eq!(program.wait_exit().code(), Some(0));
    let log = program.log();
    let lines: Vec<simd_json::OwnedValue> = log
        .lines()
        .map(|line| simd_json::to_owned_value(&mut line.as_bytes().to_vec()).expect(line))
        .collect();
    let ended = lines.iter().find(|line| {
        line.get_str("reason")
            .is_some_and(|r| r.starts_with("malformed:"))
    });
    assert_eq!(
        ended.and_then(|line| line.get_str("peer")),
        Some("client"),
        "{log}"
    );
}

fn program_ready(program: &Program) -> &Program {
    drop(program.client());
    program
}
