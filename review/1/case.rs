//! Case 1: an owner ends tasks while the program is upgraded; its releases are heard, and the tasks run on. Where the owner
//! then asks for such a task anew, two copies run.

#[path = "../common.rs"]
mod common;

use common::*;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// Tasks that their owner ends while both processes run.
const ENDED_BY_OWNER: std::ops::RangeInclusive<u64> = 1..=10;
/// Tasks that stand through the upgrade.
const STAND_ON: std::ops::RangeInclusive<u64> = 11..=12;
/// Added to the id of a task when its owner asks for it anew, under the same name.
const ANEW: u64 = 0x100;
/// From the new process's yes to the old one's SIGTERM.
const BOTH_RUN: Duration = Duration::from_secs(2);
/// How long after its owner's release a task may still run at its host before it counts as running on.
const CUT_LIMIT: Duration = Duration::from_millis(8_050);

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

    let inbox = Inbox::default();
    let Some(first) = Owner::connect(&rec, &listen, &inbox) else {
        cannot_run("no connection")
    };
    for id in ENDED_BY_OWNER.chain(STAND_ON) {
        first.ask(&set_up(id, None, "start=80;run=600000"));
    }
    for id in ENDED_BY_OWNER.chain(STAND_ON) {
        if inbox.wait(id, 9, ms(5_000)).is_none() {
            cannot_run("a task was not placed");
        }
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
    let mut released = Vec::new();
    for id in ENDED_BY_OWNER {
        // What ends a task may be sent on any connection from owners; this owner opens one each time.
        let Some(owner) = Owner::connect(&rec, &listen, &inbox) else {
            cannot_run("no further connection")
        };
        owner.release(id, 31);
        released.push((id, Instant::now(), owner.clone()));
        // Once its release is heard, the owner starts the task anew: a new id, the same name.
        if inbox.wait(id, 16, ms(1_000)).is_some() {
            owner.ask(&SetUp {
                id: id + ANEW,
                ..set_up(id, None, "start=80;run=600000")
            });
        }
        thread::sleep(ms(150));
    }
    thread::sleep(BOTH_RUN.saturating_sub(yes_at.elapsed()));
    if new.is_some() {
        old.signal(&rec, "TERM");
        // SIGKILL comes after the longest deadline (at most 5 s) and 0.7 s.
        if !old.wait_exit(&rec, ms(5_700)) {
            old.kill(&rec);
        }
        // What still stands for its owner passes to the new process.
        let Some(owner) = Owner::connect(&rec, &listen, &inbox) else {
            cannot_run("no connection")
        };
        for id in STAND_ON {
            match hosts.iter().find(|host| host.runs(id)) {
                Some(host) => owner.ask(&set_up(id, Some(&host.name), "")),
                None => cannot_run("a task does not run"),
            };
        }
        thread::sleep(ms(500));
    }
    let last = released.last().map_or(yes_at, |(_, at, _)| *at);
    thread::sleep(CUT_LIMIT.saturating_sub(last.elapsed()));

    let (mut run_on, mut twice) = (0, 0);
    for (id, at, _) in &released {
        let heard = inbox.first(*id, 16).is_some();
        match hosts.iter().find(|host| host.runs(*id)) {
            Some(host) => {
                run_on += 1;
                rec.add(format!(
                    "result: {id:016x} still runs at {} {:?} after its owner's release; release heard: {heard}",
                    host.name,
                    at.elapsed()
                ));
            }
            None => rec.add(format!("result: {id:016x} was cut; release heard: {heard}")),
        }
        let copies: usize = hosts.iter().map(|host| host.runs_named(0xabc0 + id)).sum();
        if copies > 1 {
            twice += 1;
            rec.add(format!(
                "result: {copies} copies of the task named {:016x} run at once",
                0xabc0 + id
            ));
        }
    }
    rec.add(format!("result: {twice} vote totals run twice"));
    rec.add(format!(
        "result: {run_on} of {} tasks that their owner ended run on",
        released.len()
    ));
    rec.add(if run_on > 0 {
        "verdict: the rule was broken"
    } else {
        "verdict: the rule held"
    });
    old.kill(&rec);
    if let Some(mut process) = new {
        process.kill(&rec);
    }
    kill_all();
    std::process::exit(i32::from(run_on > 0));
}

fn set_up<'a>(id: u64, at: Option<&'a str>, description: &'a str) -> SetUp<'a> {
    SetUp {
        id,
        class: "totalizador",
        left_ms: 6_000,
        key: 0xabc0 + id,
        service: 0x5000 + id,
        at,
        description,
    }
}
