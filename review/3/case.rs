//! Case 3: some clients send hundreds of large requests at once, and the placer exceeds its memory limit.

#[path = "../common.rs"]
mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 64;
const BAD_CLIENTS: u64 = 8;
/// "Hundreds of requests at once": what each bad client sends.
const REQUESTS_AT_ONCE: u64 = 600;
/// A whole set-up stays under the 16 KiB that a message may hold.
const DESCRIPTION_BYTES: usize = 16_000;
const USUAL_PER_SECOND: u64 = 8;
const TROUBLE_AT: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(16);
const GROWTH_SHOWN: Duration = Duration::from_millis(300);
/// How long the owner waits, and how much later an answer still counts.
const OWNER_WAITS: Duration = Duration::from_millis(6_000);
const SLACK: Duration = Duration::from_millis(550);

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
    let (known_n, known_events) = feed.known();
    let told = Told {
        name: "n1".into(),
        listen: format!("127.0.0.1:{}", free_port()),
        admin: format!("127.0.0.1:{}", free_port()),
        feed: feed.address.clone(),
        known_n,
        known_events,
        memory_mb: MEMORY_MB,
        sockets: 256,
        instances: 1,
    };
    let mut placer = Placer::start(&rec, "n1", &told, None);
    placer.wait_ready(&rec, Duration::from_secs(30));

    let start = Instant::now();
    let inbox = Inbox::default();
    let sent: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let usual = {
        let (rec, inbox, sent, listen) = (
            rec.clone(),
            inbox.clone(),
            sent.clone(),
            told.listen.clone(),
        );
        thread::spawn(move || usual_owner(&rec, &listen, &inbox, &sent, start))
    };

    let mut bad_begun = false;
    let mut over_limit = None;
    let mut exited = false;
    let mut most_kb = 0;
    let mut next_line = Duration::ZERO;
    while start.elapsed() < END {
        if trouble() && !bad_begun && start.elapsed() >= TROUBLE_AT {
            bad_begun = true;
            rec.add(format!(
                "trouble: {BAD_CLIENTS} clients send {REQUESTS_AT_ONCE} requests at once each"
            ));
            for client in 0..BAD_CLIENTS {
                bad_client(&rec, &told.listen, client);
            }
        }
        if placer.has_exited() {
            exited = true;
            rec.add("platform: the process has ended by itself");
            break;
        }
        // Only the memory that no file backs is counted, the least that a limit on memory counts.
        let anonymous = placer.memory_kb("RssAnon").unwrap_or(0);
        let resident = placer.memory_kb("VmRSS").unwrap_or(0);
        most_kb = most_kb.max(anonymous);
        if start.elapsed() >= next_line || anonymous > MEMORY_MB * 1024 {
            rec.add(format!(
                "platform: memory of the process: {anonymous} kB anonymous, {resident} kB resident"
            ));
            next_line = start.elapsed() + ms(500);
        }
        if anonymous > MEMORY_MB * 1024 {
            over_limit = Some(anonymous);
            rec.add(format!(
                "platform: over the limit of {} kB",
                MEMORY_MB * 1024
            ));
            // A limit kills at once; here it waits for a moment, so that the record shows how far the memory grows.
            thread::sleep(GROWTH_SHOWN);
            most_kb = most_kb.max(placer.memory_kb("RssAnon").unwrap_or(0));
            rec.add(format!(
                "platform: {most_kb} kB anonymous; the placer is killed"
            ));
            placer.kill(&rec);
            break;
        }
        thread::sleep(ms(20));
    }
    thread::sleep(ms(300));
    let taken = sent.lock().unwrap().clone();
    let unanswered: Vec<u64> = taken
        .iter()
        .filter(|(id, at)| match inbox.answer(*id) {
            Some(answer) => answer.at - *at > OWNER_WAITS + SLACK,
            None => over_limit.is_some() || exited || at.elapsed() > OWNER_WAITS + SLACK,
        })
        .map(|(id, _)| *id)
        .collect();
    let answered = taken
        .iter()
        .filter(|(id, _)| inbox.answer(*id).is_some())
        .count();
    rec.add(format!(
        "result: usual set-ups sent {}, answered {answered}, without an answer {}; most memory {most_kb} kB of {} kB",
        taken.len(),
        unanswered.len(),
        MEMORY_MB * 1024
    ));
    let broken = over_limit.is_some() || exited || !unanswered.is_empty();
    rec.add(if broken {
        "verdict: the rule was broken"
    } else {
        "verdict: the rule held"
    });
    if over_limit.is_none() && !exited {
        placer.kill(&rec);
    }
    drop(usual);
    kill_all();
    std::process::exit(i32::from(broken));
}

/// Asks for small tasks on one connection, and hears their ends.
fn usual_owner(
    rec: &Record,
    listen: &str,
    inbox: &Inbox,
    sent: &Mutex<Vec<(u64, Instant)>>,
    start: Instant,
) {
    let Some(owner) = Owner::connect(rec, listen, inbox) else {
        return;
    };
    let mut n = 0;
    while start.elapsed() + OWNER_WAITS + SLACK < END && !owner.is_closed() {
        n += 1;
        let id = 0x1000 + n;
        let setup = SetUp {
            id,
            class: "pagina",
            left_ms: 6_000,
            key: id,
            service: id,
            at: None,
            description: "start=150;run=3000",
        };
        if owner.ask(&setup) {
            sent.lock().unwrap().push((id, Instant::now()));
        }
        thread::sleep(ms(1_000 / USUAL_PER_SECOND));
    }
}

/// Sends hundreds of requests at once on one connection, and reads what it is sent.
fn bad_client(rec: &Record, listen: &str, client: u64) {
    let Some(conn) = Owner::connect(rec, listen, &Inbox::default()) else {
        rec.add(format!("bad client {client}: cannot connect"));
        return;
    };
    let rec = rec.clone();
    thread::spawn(move || {
        let description = format!("start=150;run=3000;{}", "x".repeat(DESCRIPTION_BYTES - 20));
        let mut written = 0;
        for n in 0..REQUESTS_AT_ONCE {
            let id = 0xbad0_0000 + client * 0x1000 + n;
            let setup = SetUp {
                id,
                class: "pagina",
                left_ms: 6_000,
                key: id,
                service: 0xbad0 + client,
                at: None,
                description: &description,
            };
            let bytes = setup.bytes();
            assert!(bytes.len() <= 16 * 1024);
            if !conn.send(&bytes) {
                break;
            }
            written += 1;
        }
        let first = 0xbad0_0000 + client * 0x1000;
        rec.add(format!(
            "bad client {client} (owner connection {}): has written {written} set-ups, ids from {first:016x} on",
            conn.conn
        ));
    });
}
