//! What ends a request, a connection, a host, the subscription or the process: in each test the peers force the
//! bad order, and nothing owed is lost or begun too late.

#![recursion_limit = "256"]

use simd_json::json;
use simd_json::prelude::*;
use standin::*;
use std::fs::OpenOptions;
use std::io::Write;
use std::time::{Duration, Instant};

/// Ids of the request that comes last and shows that nothing else was under way.
const LAST: u64 = 0x7fff;

/// A set-up of a service of its own.
fn ask(id: u64) -> Ask<'static> {
    Ask { service: id + 100, ..QUICK }
}

/// A connection that has been read before: what is said on it next is read at once.
fn known(program: &Program) -> Owner {
    let mut owner = program.owner();
    assert!(owner.test());
    owner
}

/// The ids offered to these hosts, on these connections and on those that are made, until the last request is.
fn offered_until_last(program: &Program, hosts: &[Host], conns: &mut Vec<HostConn>) -> Vec<String> {
    let mut owner = known(program);
    owner.set_up(LAST, &ask(LAST));
    let mut ids = Vec::new();
    let end = Instant::now() + LIMIT;
    loop {
        assert!(Instant::now() < end, "the last request is not offered: {ids:?}");
        conns.extend(hosts.iter().filter_map(|host| host.accept_within(Duration::from_millis(2))));
        for conn in conns.iter_mut() {
            while let Some(message) = conn.read_within(Duration::from_millis(20)) {
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

// ---- A client that left ----

// While the program is stopped, all that a client does is there at once when it goes on.
#[test]
fn a_set_up_whose_client_has_closed_the_connection_is_not_offered() {
    let (program, _feed, hosts, mut conns) = start(1);
    for id in 1..=5 {
        let mut owner = known(&program);
        program.stopped(|| {
            owner.set_up(id, &ask(id));
            drop(owner);
        });
    }
    assert_eq!(offered_until_last(&program, &hosts, &mut conns), NONE);
}

#[test]
fn a_set_up_that_is_cancelled_in_the_same_read_is_not_offered() {
    let (program, _feed, hosts, mut conns) = start(1);
    let mut owner = known(&program);
    program.stopped(|| {
        for id in 1..=5 {
            owner.set_up(id, &ask(id));
            owner.release(id, 16);
        }
    });
    assert_eq!(offered_until_last(&program, &hosts, &mut conns), NONE);
    assert!(owner.test(), "and its connection goes on");
}

// Hundreds of set-ups, taken back at once: their cancels are several reads behind.
#[test]
fn set_ups_that_are_cancelled_some_reads_later_are_not_offered() {
    let (program, _feed, hosts, mut conns) = start(1);
    let mut owner = known(&program);
    program.stopped(|| {
        (1..=300).for_each(|id| owner.set_up(id, &ask(id)));
        (1..=300).for_each(|id| owner.release(id, 16));
    });
    assert_eq!(offered_until_last(&program, &hosts, &mut conns), NONE);
    assert!(owner.test());
}

// The host's refusal is heard before the client's close.
#[test]
fn no_further_attempt_begins_for_a_client_that_has_left() {
    for (kind, leaves) in [("close", true), ("cancel", false)] {
        let (program, _feed, hosts, mut conns) = start(2);
        let mut owner = known(&program);
        owner.set_up(1, &ask(1));
        let (at, id) = offered(&mut conns);
        let mut held = Some(owner);
        program.stopped(|| {
            conns[at].down(&id, 34, "nq");
            if leaves {
                held = None;
            } else {
                held.iter_mut().for_each(|owner| owner.release(1, 16));
            }
        });
        assert_eq!(offered_until_last(&program, &hosts, &mut conns), NONE, "{kind}");
    }
}

// The call to the first host has had its time when the program goes on, and the client has left.
#[test]
fn no_attempt_elsewhere_begins_for_a_client_that_left_while_a_host_was_called() {
    let mut feed = Feed::new();
    let hosts = [Host::new("h0", "north"), Host::new("h1", "north")];
    let mut config = config(&feed, hosts.iter().map(|host| host.entry("up", 0)).collect());
    config["settings"]["prices"] = json!({ "handshake": 0.05 });
    let held: Vec<OutOfReach> = hosts.iter().map(Host::vanish).collect();
    let program = Program::start(&config);
    feed.subscribed();
    let mut owner = known(&program);
    owner.set_up(1, &ask(1));
    assert!(owner.test(), "the set-up was taken in");
    program.stopped(|| {
        hosts.iter().zip(held).for_each(|(host, held)| host.come_back(held));
        drop(owner);
        std::thread::sleep(Duration::from_millis(300));
    });
    program.logged("connection ended peer=\"owner\"");
    assert_eq!(offered_until_last(&program, &hosts, &mut Vec::new()), NONE, "{}", program.log());
}

#[test]
fn a_client_that_left_while_it_waited_to_be_accepted_gets_no_attempt() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = config(&feed, vec![host.entry("up", 0)]);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": 36 });
    let program = Program::start_with(&config, 1_024);
    feed.subscribed();
    let mut conns = vec![host.accept()];
    // All that may be held are busy, so that the next connection waits.
    let mut busy: Vec<Owner> = Vec::new();
    while !program.log().contains("connection waits") {
        let id = busy.len() as u64 + 1;
        let mut owner = program.owner();
        owner.set_up(id, &ask(id));
        busy.push(owner);
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut late = program.owner();
    late.set_up(0x99, &ask(0x99));
    drop(late);
    busy.clear();
    let offered = offered_until_last(&program, &[host], &mut conns);
    assert!(!offered.contains(&hex(0x99)), "{offered:?}");
}

// What a host has not taken yet could not be taken back: its client's cancel went behind it.
#[test]
fn an_offer_that_a_slow_host_has_not_taken_is_not_sent_once_its_client_has_left() {
    let (program, _feed, hosts, mut conns) = start(1);
    let mut owner = known(&program);
    let wide = "w".repeat(15_000);
    // The host reads nothing, until more is queued for it than the system takes.
    for id in 1..=80 {
        owner.set_up_with(id, &ask(id), &wide);
        assert!(owner.test());
        owner.release(id, 16);
    }
    // One closes its connection and one cancels, before another connection to the host is tried.
    let mut closes = known(&program);
    closes.set_up(0x90, &ask(0x90));
    owner.set_up(0x91, &ask(0x91));
    assert!(closes.test() && owner.test(), "the set-ups were taken in");
    drop(closes);
    owner.release(0x91, 16);
    program.logged("reason=closed");
    let offered = offered_until_last(&program, &hosts, &mut conns);
    assert!(offered.contains(&hex(1)), "{offered:?}");
    assert!([0x90, 0x91].iter().all(|id| !offered.contains(&hex(*id))), "{offered:?}");
}

#[test]
fn an_offer_that_waits_for_its_connection_is_not_sent_once_its_client_has_left() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = config(&feed, vec![host.entry("up", 0)]);
    // As long as the system takes to try again.
    config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
    let held = host.vanish();
    let program = Program::start(&config);
    feed.subscribed();
    for leaves in [true, false] {
        let mut owner = known(&program);
        owner.set_up(1 + u64::from(leaves), &ask(1));
        assert!(owner.test());
        if !leaves {
            owner.release(1, 16);
            assert!(owner.test());
        }
    }
    host.come_back(held);
    assert_eq!(offered_until_last(&program, &[host], &mut Vec::new()), NONE);
}

// A client that goes on talking is still there: what it says later does not hold its offer up.
#[test]
fn a_client_that_says_more_at_once_gets_its_attempt() {
    let (program, _feed, _hosts, mut conns) = start(1);
    let mut owner = known(&program);
    program.stopped(|| {
        owner.set_up(1, &ask(1));
        (0..2_000).for_each(|_| owner.heard(77));
        owner.set_up(2, &ask(2));
        owner.say(&[0, 200, 1]);
    });
    let mut ids = [conns[0].offer(), conns[0].offer()];
    ids.sort();
    assert_eq!(ids, [hex(1), hex(2)]);
}

// ---- Hosts ----

// The list tells while the connection is being made; the address may be another host's by then.
#[test]
fn what_waits_for_a_host_is_not_sent_once_it_drains_or_another_is_there() {
    for change in ["draining", "gone", "born", "moved"] {
        let mut feed = Feed::new();
        let host = Host::new("h0", "north");
        let mut config = config(&feed, vec![host.entry("up", 0)]);
        config["settings"]["caps"]["connect_timeout"] = json!(3_000.0);
        // A process that has just started bears nothing.
        config["settings"]["family_info"]["young_limit"] = json!(0.0);
        let held = host.vanish();
        let program = Program::start(&config);
        feed.subscribed();
        let mut owner = known(&program);
        owner.set_up(1, &ask(1));
        assert!(owner.test(), "the offer waits");
        let mut entry = host.entry("up", 0);
        match change {
            "draining" => feed.event(2, &host, "draining"),
            "gone" => {
                let mut other = host.entry("draining", 0);
                other["host"] = json!("h1");
                entry["health"] = json!("removed");
                feed.tell(&event(2, false, vec![entry, other]));
            }
            "born" => feed.tell(&event(2, false, vec![host.entry("up", unix_ms())])),
            _ => {
                entry["dial"] = json!("127.0.0.1:9");
                feed.tell(&event(2, false, vec![entry]));
            }
        }
        feed.tell(&json!({ "n": 2 }));
        assert!(owner.test());
        host.come_back(held);
        if let Some(mut conn) = host.accept_within(Duration::from_millis(1_500)) {
            assert!(conn.read_within(QUIET).is_none(), "{change}");
        }
    }
}

// The host closes an idle connection just before an offer is decided for it.
#[test]
fn an_offer_is_not_written_to_a_connection_that_its_host_has_closed() {
    let (program, _feed, hosts, mut conns) = start(1);
    let mut owner = known(&program);
    program.stopped(|| {
        owner.set_up(1, &ONCE);
        conns.clear();
    });
    let mut conn = hosts[0].accept();
    assert_eq!(conn.offer(), hex(1));
    conn.up(&hex(1));
    assert_eq!(owner.read().kind, 9);
}

// ---- The subscription ----

#[test]
fn a_feed_that_leaves_a_gap_each_time_is_not_called_without_a_pause() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let program = Program::start(&config(&feed, vec![host.entry("up", 0)]));
    let mut calls = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_eq!(feed.subscribed(), 1);
        feed.event(9, &host, "draining");
        calls += 1;
    }
    assert!((2..=9).contains(&calls), "{calls} calls in a second");
    assert!(known(&program).test());
}

// Idle clients took the descriptors while few hosts were listed.
#[test]
fn idle_clients_at_the_limit_keep_neither_the_feed_nor_hosts_nor_others_out() {
    let sockets = 160;
    let address = free_address();
    let mut feed = Feed::at(address);
    let first = Host::new("h0", "north");
    let mut config = config(&feed, vec![first.entry("up", 0)]);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": sockets });
    let program = Program::start_with(&config, sockets);
    feed.subscribed();
    let mut conn = first.accept();
    drop(feed.stream_taken());
    // Discovery is away, and each that has said something once stays.
    drop(feed);
    let mut idle: Vec<Owner> = Vec::new();
    for _ in 0..sockets {
        let mut owner = program.owner();
        if owner.test() {
            idle.push(owner);
        }
    }
    assert!(program.descriptors() < sockets as usize, "{}", program.descriptors());
    let mut feed = Feed::at(address);
    feed.subscribed();
    let hosts: Vec<Host> = (1..40).map(|n| Host::new(&format!("h{n}"), "south")).collect();
    let mut entries: Vec<_> = hosts.iter().map(|host| host.entry("up", 0)).collect();
    entries.push(first.entry("draining", 0));
    feed.tell(&event(2, true, entries));
    let mut conns: Vec<HostConn> = hosts.iter().map(Host::accept).collect();
    assert!(program.descriptors() < sockets as usize, "{}", program.descriptors());
    assert!(!program.log().contains("no-descriptor"), "{}", program.log());
    let mut owner = known(&program);
    owner.set_up(1, &ask(1));
    let (at, id) = offered(&mut conns);
    conns[at].up(&id);
    assert_eq!(owner.read().kind, 9);
    assert!(conn.read_within(Duration::from_millis(20)).is_none());
}

// ---- The process ----

#[test]
fn a_set_up_that_is_half_read_when_the_process_is_to_end_is_answered() {
    let (mut program, _feed, _hosts, mut conns) = start(1);
    let mut owner = known(&program);
    let whole = set_up(1, &ask(1), "half");
    let (half, rest) = whole.split_at(whole.len() / 2);
    owner.say(half);
    assert!(known(&program).test());
    program.terminate();
    program.logged("closing");
    owner.say(rest);
    assert_eq!(conns[0].offer(), hex(1));
    conns[0].up(&hex(1));
    assert_eq!(owner.read().kind, 9);
    // Told a second time, and with a configuration that can't be read, it ends as it would have.
    program.terminate();
    program.reload("{");
    program.logged("configuration not read again");
    assert!(program.exit().success());
}

// The platform ends a process after the longest wait of a client and 0.7 s more.
#[test]
fn where_clients_wait_for_a_short_time_the_process_ends_soon() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = config(&feed, vec![host.entry("up", 0)]);
    for class in 0..2 {
        config["settings"]["services"][class]["hard_limit"] = json!(200.0);
        config["settings"]["services"][class]["aim"] = json!(100.0);
    }
    let mut program = Program::start(&config);
    feed.subscribed();
    let mut owner = known(&program);
    let told = Instant::now();
    program.terminate();
    program.logged("closing");
    owner.set_up(1, &Ask { wait_ms: 200, ..ask(1) });
    assert_eq!((owner.read().kind, owner.next_message()), (12, None));
    assert!(program.exit().success());
    assert!(told.elapsed() < Duration::from_millis(900), "{:?}", told.elapsed());
}

// The file is a pipe, so that the signal comes when the program has just begun to read it.
#[test]
fn a_signal_to_read_the_configuration_again_does_not_end_a_process_that_starts() {
    let feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = config(&feed, vec![host.entry("up", 0)]);
    let pipe = scratch("pipe");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("mkfifo runs").success());
    let mut program = Launch::new(&config).env("LB_CONFIG", &pipe.to_string_lossy()).start();
    let write = |file: std::io::Result<std::fs::File>| {
        file.and_then(|mut file| file.write_all(config.encode().as_bytes())).expect("it reads");
    };
    let open = || OpenOptions::new().write(true).open(&pipe);
    let file = open();
    program.signal("-HUP");
    write(file);
    // Once it listens it has read the file, and what it has to read again waits for a writer.
    let mut owner = program.owner();
    write(open());
    program.logged("configuration read again");
    assert!(owner.test() && program.runs());
    let _ = std::fs::remove_file(&pipe);
}
