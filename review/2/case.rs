//! Case 2: tasks end while the program is upgraded, and their owner never hears of it.

#[path = "../common.rs"]
mod common;

use common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Tasks that end while both processes run.
const END_DURING_UPGRADE: [u64; 4] = [1, 2, 3, 4];
/// Tasks that stand through the upgrade and end later.
const END_LATER: [u64; 2] = [5, 6];
/// The owner keeps its connection for good. The placer closes it after a quiet time, which must end within this limit.
const PLACER_CLOSES_IDLE: Duration = Duration::from_secs(70);
/// From the new process's yes to the old one's SIGTERM.
const BOTH_RUN: Duration = Duration::from_secs(2);
/// Within this time of its end a task must be released towards its owner, with the 50 ms of the sockets.
const RELEASE_LIMIT: Duration = Duration::from_millis(8_050);

fn main() {
    let rec = Record::new();
    let feed = Feed::start(&rec);
    let hosts: Vec<Host> = (0..6)
        .map(|n| Host::start(&rec, &format!("s-{n}")))
        .collect();
    let zones = ["sala-a", "sala-b", "sala-c"];
    let entries: Vec<String> = (0..6)
        .map(|n| {
            entry(
                &hosts[n].name,
                &hosts[n].address,
                zones[n % 3],
                n as u64 / 2,
                "up",
                0,
            )
        })
        .collect();
    feed.event(true, &entries);

    // The platform holds the clients' listening socket, and every process inherits it.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = listener.local_addr().unwrap().to_string();
    let told = || {
        let (known_n, known_events) = feed.known();
        Told {
            name: "n1".into(),
            listen: listen.clone(),
            admin: format!("127.0.0.1:{}", free_port()),
            feed: feed.address.clone(),
            known_n,
            known_events,
            memory_mb: 64,
            sockets: 256,
            instances: 1,
        }
    };
    let mut old = Placer::start(&rec, "old", &told(), Some(&listener));
    old.wait_ready(&rec, Duration::from_secs(30));
    let over = Arc::new(AtomicBool::new(false));
    let front = {
        let (rec, listen, over) = (rec.clone(), listen.clone(), over.clone());
        thread::spawn(move || front(&rec, &listen, &over))
    };

    // One owner asks for six tasks, and all are answered.
    let inbox = Inbox::default();
    let tasks: Vec<u64> = END_DURING_UPGRADE
        .iter()
        .chain(&END_LATER)
        .copied()
        .collect();
    let Some(owner) = Owner::connect(&rec, &listen, &inbox) else {
        cannot_run("no connection")
    };
    for &id in &tasks {
        owner.ask(&set_up(id, None, "start=80;run=600000"));
    }
    for &id in &tasks {
        if inbox.wait(id, 9, ms(5_000)).is_none() {
            cannot_run("a task was not placed");
        }
    }
    // Nothing happens for a while. The owner keeps its connection, until the placer closes it.
    let quiet_since = Instant::now();
    while !owner.is_closed() {
        if quiet_since.elapsed() > PLACER_CLOSES_IDLE {
            cannot_run("the placer has kept the idle connection");
        }
        thread::sleep(ms(50));
    }
    thread::sleep(ms(1_000));

    // The upgrade, or as much time without it.
    let mut new = None;
    if trouble() {
        rec.add("trouble: the platform starts the program again beside the old process");
        let process = Placer::start(&rec, "new", &told(), Some(&listener));
        process.wait_ready(&rec, Duration::from_secs(6));
        new = Some(process);
    }
    let yes_at = Instant::now();
    let holder = |id: u64| hosts.iter().find(|host| host.runs(id));
    for (n, &id) in END_DURING_UPGRADE.iter().enumerate() {
        thread::sleep(BOTH_RUN.saturating_sub(yes_at.elapsed()) / (5 - n as u32));
        match holder(id) {
            Some(host) => host.end(id),
            None => cannot_run("a task does not run"),
        }
    }
    thread::sleep(BOTH_RUN.saturating_sub(yes_at.elapsed()));
    if new.is_some() {
        old.signal(&rec, "TERM");
        // SIGKILL comes after the longest deadline (at most 5 s) and 0.7 s.
        if !old.wait_exit(&rec, ms(5_700)) {
            old.kill(&rec);
        }
    }

    // The owner comes back with new set-ups on a new connection. What still stands passes to the new process with `at`.
    let Some(owner) = Owner::connect(&rec, &listen, &inbox) else {
        cannot_run("no second connection")
    };
    owner.test();
    if new.is_some() {
        for &id in &tasks {
            if let Some(host) = holder(id) {
                owner.ask(&set_up(id, Some(&host.name), ""));
            }
        }
    }
    let back_at = Instant::now();
    let mut next = 100;
    let mut later = END_LATER.to_vec();
    while back_at.elapsed() < RELEASE_LIMIT + ms(1_500) {
        next += 1;
        owner.ask(&set_up(next, None, "start=80;run=400"));
        thread::sleep(ms(1_000));
        if let Some(id) = later.pop() {
            holder(id).map(|host| host.end(id));
        }
    }
    over.store(true, Ordering::Relaxed);

    let mut lost = 0;
    for &id in &tasks {
        let ended = hosts.iter().find_map(|host| host.ended_at(id));
        let Some(ended) = ended else {
            cannot_run("a task has not ended")
        };
        match inbox.release(id) {
            Some(release) if release.at.saturating_duration_since(ended) <= RELEASE_LIMIT => {
                let took = release.at.saturating_duration_since(ended);
                rec.add(format!(
                    "result: {id:016x} was released towards its owner {took:?} after its end"
                ));
            }
            Some(release) => {
                lost += 1;
                let took = release.at.saturating_duration_since(ended);
                rec.add(format!("result: {id:016x} was released towards its owner too late, {took:?} after its end"));
            }
            None => {
                lost += 1;
                let since = ended.elapsed();
                rec.add(format!("result: {id:016x} ended {since:?} ago, and its owner was never told: left standing"));
            }
        }
    }
    let served = (101..=next)
        .filter(|id| inbox.first(*id, 9).is_some())
        .count();
    rec.add(format!(
        "result: of {} new set-ups since the owner came back {served} were placed",
        next - 100
    ));
    rec.add(format!("result: {lost} of {} ends were lost", tasks.len()));
    rec.add(if lost > 0 {
        "verdict: the rule was broken"
    } else {
        "verdict: the rule held"
    });
    let _ = front.join();
    old.kill(&rec);
    if let Some(mut process) = new {
        process.kill(&rec);
    }
    kill_all();
    std::process::exit(i32::from(lost > 0));
}

fn set_up<'a>(id: u64, at: Option<&'a str>, description: &'a str) -> SetUp<'a> {
    let class = if id < 100 { "totalizador" } else { "pagina" };
    SetUp {
        id,
        class,
        left_ms: 6_000,
        key: 0xabc0 + id,
        service: 0x5000 + id,
        at,
        description,
    }
}

/// The front asks every 0.1 s whether the placer is ready, on connections of its own.
fn front(rec: &Record, listen: &str, over: &AtomicBool) {
    let mut tests = 0;
    while !over.load(Ordering::Relaxed) {
        if let Some(conn) = Owner::connect_with(rec, listen, &Inbox::default(), true) {
            tests += u64::from(conn.test());
            thread::sleep(ms(100));
            conn.close();
        }
    }
    rec.add(format!(
        "front: has sent {tests} tests, each on a connection of its own"
    ));
}
