//! Case 3: the control feed is down for some seconds, and the placer tells an owner that a task is over which runs.

#[path = "../common.rs"]
mod common;

use common::*;
use std::thread;
use std::time::{Duration, Instant};

const TASK: u64 = 0x7f3a;
/// How long the control feed is down: under the 4 s after which its events count as told in any case.
const OUTAGE: Duration = Duration::from_millis(3_900);
/// When the new host appears in the control feed, and when the owner names the task, from the start of the outage.
const HOST_LISTED: Duration = Duration::from_millis(200);
const TASK_NAMED: Duration = Duration::from_millis(500);
/// When the task comes to its end at its host.
const TASK_ENDS: Duration = Duration::from_millis(9_000);
const RELEASE_LIMIT: Duration = Duration::from_millis(1_050);

fn main() {
    let rec = Record::new();
    let feed = Feed::start(&rec);
    let hosts: Vec<Host> = (0..6).map(|n| Host::start(&rec, &format!("s-{n}"))).collect();
    let zones = ["sala-a", "sala-b", "sala-c"];
    let entries: Vec<String> = (0..6)
        .map(|n| entry(&hosts[n].name, &hosts[n].address, zones[n % 3], n as u64 / 2, "up", 0))
        .collect();
    feed.event(true, &entries);
    let (known_n, known_events) = feed.known();
    let told = Told {
        name: "n2".into(),
        listen: format!("127.0.0.1:{}", free_port()),
        admin: format!("127.0.0.1:{}", free_port()),
        feed: feed.address.clone(),
        known_n,
        known_events,
        memory_mb: 64,
        sockets: 256,
        instances: 3,
    };
    let mut placer = Placer::start(&rec, "n2", &told, None);
    placer.wait_ready(&rec, Duration::from_secs(30));
    let inbox = Inbox::default();
    let Some(owner) = Owner::connect(&rec, &told.listen, &inbox) else { cannot_run("no connection") };
    owner.ask(&set_up(1, "pagina", None, "start=80;run=600000"));
    if inbox.wait(1, 9, ms(5_000)).is_none() {
        cannot_run("a task was not placed");
    }
    thread::sleep(ms(1_000));

    let start = Instant::now();
    let until = |at: Duration| thread::sleep(at.saturating_sub(start.elapsed()));
    if trouble() {
        feed.set_down(true);
    }
    // A new host comes up, and another placer has started the task there.
    let host = Host::start(&rec, "s-new");
    host.holds(TASK);
    until(HOST_LISTED);
    feed.event(false, &[entry(&host.name, &host.address, "sala-a", 9, "up", unix_ms())]);
    // The task is handed to this placer.
    until(TASK_NAMED);
    owner.ask(&set_up(TASK, "totalizador", Some(&host.name), ""));
    until(OUTAGE);
    if trouble() {
        feed.set_down(false);
    }
    // Other set-ups go on.
    for n in 0..4 {
        until(OUTAGE + ms(1_000 * n));
        owner.ask(&set_up(100 + n, "pagina", None, "start=80;run=400"));
    }
    until(TASK_ENDS);
    let early = inbox.release(TASK);
    let ran = host.runs(TASK);
    if !ran && early.is_none() {
        cannot_run("the task has ended early");
    }
    host.end(TASK);
    thread::sleep(RELEASE_LIMIT + ms(500));

    let broken = match early {
        Some(release) => {
            let at = release.at.saturating_duration_since(start);
            rec.add(format!(
                "result: the owner was told at {at:?} that the task is over (cause {}); {}",
                release.cause.unwrap_or(0),
                if ran { "it ran on at its host until 9 s" } else { "the placer had released it at its host" }
            ));
            ran
        }
        None => {
            let in_time = inbox.release(TASK).is_some();
            rec.add(format!("result: the owner was told nothing before the end of the task; told in time: {in_time}"));
            !in_time
        }
    };
    rec.add(if broken { "verdict: the rule was broken" } else { "verdict: the rule held" });
    placer.kill(&rec);
    kill_all();
    std::process::exit(i32::from(broken));
}

fn set_up<'a>(id: u64, class: &'a str, at: Option<&'a str>, description: &'a str) -> SetUp<'a> {
    SetUp { id, class, left_ms: 6_000, key: 0xabc0 + id, service: 0x5000 + id, at, description }
}
