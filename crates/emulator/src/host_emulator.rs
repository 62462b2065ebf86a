//! Hosts and feeds that run by themselves, for tests that play a whole installation.
//!
//! A host answers offers after a start time, releases tasks after their life, refuses what is beyond its
//! room, and keeps the books that a test checks the placers' words against: which task started when, and
//! whether one that must not start twice did.

use crate::{Feed, Host, event};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a live host acts.
#[derive(Debug, Clone)]
pub struct Habits {
    /// Time from an offer to its answer.
    pub start: Duration,
    /// Time from the answer to the end of the task; each task's own differs by up to half of it.
    pub life: Duration,
    /// Tasks that it holds at a time; beyond them it refuses.
    pub room: usize,
}

/// A start at a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The name of the task.
    pub key: String,
    /// Its class.
    pub class: String,
    /// The id of the set-up.
    pub id: String,
    /// When.
    pub at: Instant,
}

/// The books of all hosts of a test.
#[derive(Debug, Default)]
pub struct Books {
    /// Every start, in order.
    pub starts: Vec<Start>,
    /// Offers refused for want of room.
    pub refused: usize,
    /// Offers that came.
    pub offers: usize,
    /// Tasks that were cut by a placer, or ended by their client.
    pub cut: usize,
}

impl Books {
    /// Tasks of this class that started more than once.
    pub fn twice(&self, class: &str) -> Vec<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for start in self.starts.iter().filter(|start| start.class == class) {
            *counts.entry(&start.key).or_default() += 1;
        }
        counts
            .into_iter()
            .filter(|(_, n)| *n > 1)
            .map(|(key, _)| key.to_string())
            .collect()
    }
}

/// A host that runs by itself, until it is dropped.
pub struct LiveHost {
    host: Host,
    stop: Arc<AtomicBool>,
    room: Arc<AtomicU64>,
}

impl LiveHost {
    /// Starts one.
    pub fn start(
        name: &str,
        zone: &'static str,
        habits: Habits,
        books: Arc<Mutex<Books>>,
    ) -> LiveHost {
        let host = Host::new(name, zone);
        let stop = Arc::new(AtomicBool::new(false));
        let room = Arc::new(AtomicU64::new(habits.room as u64));
        let listener = host.listener();
        let (stopped, left) = (stop.clone(), room.clone());
        std::thread::spawn(move || {
            let seed = AtomicU64::new(1);
            while !stopped.load(Ordering::Relaxed) {
                let Some(stream) = crate::accept(&listener, Duration::from_millis(200)) else {
                    continue;
                };
                let (habits, books, left) = (habits.clone(), books.clone(), left.clone());
                let salt = seed.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || serve(stream, &habits, &books, &left, salt));
            }
        });
        LiveHost { host, stop, room }
    }

    /// Its entry in the list.
    pub fn entry(&self, state: &str) -> OwnedValue {
        self.host.entry(state, 0)
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.host.name
    }

    /// Sets how many more tasks it takes.
    pub fn set_room(&self, room: usize) {
        self.room.store(room as u64, Ordering::Relaxed);
    }
}

impl Drop for LiveHost {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// What a host does at a time.
enum Due {
    Answer {
        id: String,
        key: String,
        class: String,
    },
    End {
        id: String,
    },
}

/// One connection of a placer.
fn serve(stream: TcpStream, habits: &Habits, books: &Mutex<Books>, room: &AtomicU64, salt: u64) {
    stream.set_read_timeout(None).expect("a socket option");
    stream.set_nodelay(true).expect("a socket option");
    let (sender, receiver) = channel::<OwnedValue>();
    let reading = stream.try_clone().expect("a socket");
    std::thread::spawn(move || read(reading, &sender));
    let mut out = stream;
    let mut due: BTreeMap<(Instant, u64), Due> = BTreeMap::new();
    let mut standing: BTreeMap<String, ()> = BTreeMap::new();
    let mut count = salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    loop {
        let wait = due
            .first_key_value()
            .map_or(Duration::from_secs(60), |((at, _), _)| {
                at.saturating_duration_since(Instant::now())
            });
        let message = match receiver.recv_timeout(wait) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        count = count.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        let mut say = |line: OwnedValue| {
            let _ = out.write_all(format!("{}\n", line.encode()).as_bytes());
        };
        if let Some(message) = message {
            let id = message.get_str("ref").unwrap_or_default().to_string();
            match message.get_str("t") {
                Some("new") => {
                    let field = |name| {
                        message
                            .get("f")
                            .and_then(|f| f.get_str(name))
                            .unwrap_or_default()
                            .to_string()
                    };
                    let mut books = books.lock().expect("books");
                    books.offers += 1;
                    let taken = room.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                        left.checked_sub(1)
                    });
                    if taken.is_err() {
                        books.refused += 1;
                        say(json!({ "t": "down", "ref": id, "f": { "note": "nc" }, "c": 34 }));
                        continue;
                    }
                    let answer = Due::Answer {
                        id,
                        key: field("key"),
                        class: field("class"),
                    };
                    due.insert((Instant::now() + habits.start, count), answer);
                }
                Some("down") => {
                    // Given up before its start, or cut: either way it is over and its room is free.
                    let waiting = due
                        .iter()
                        .find(|(_, d)| matches!(d, Due::Answer { id: i, .. } if *i == id));
                    if let Some(at) = waiting.map(|(at, _)| *at) {
                        due.remove(&at);
                        room.fetch_add(1, Ordering::Relaxed);
                    } else if standing.remove(&id).is_some() {
                        due.retain(|_, d| !matches!(d, Due::End { id: i } if *i == id));
                        room.fetch_add(1, Ordering::Relaxed);
                        books.lock().expect("books").cut += 1;
                        say(json!({ "t": "down", "ref": id, "f": {}, "c": 31 }));
                    }
                }
                Some("hb") => say(json!({ "t": "hb_ok", "ref": id, "f": {}, "c": 1 })),
                _ => {}
            }
        }
        while due
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= Instant::now())
        {
            let Some(((now, _), next)) = due.pop_first() else {
                break;
            };
            match next {
                Due::Answer { id, key, class } => {
                    let start = Start {
                        key,
                        class,
                        id: id.clone(),
                        at: Instant::now(),
                    };
                    books.lock().expect("books").starts.push(start);
                    say(
                        json!({ "t": "up", "ref": id.as_str(), "f": {}, "d": format!("stands {id}\r\n") }),
                    );
                    standing.insert(id.clone(), ());
                    let spread = habits
                        .life
                        .mul_f64(0.5 + (count >> 40) as f64 / (1u64 << 24) as f64);
                    due.insert((now + spread, count), Due::End { id });
                }
                Due::End { id } => {
                    standing.remove(&id);
                    room.fetch_add(1, Ordering::Relaxed);
                    say(json!({ "t": "down", "ref": id, "f": {}, "c": 16 }));
                }
            }
        }
    }
    // What it still held is free again.
    let held = standing.len()
        + due
            .values()
            .filter(|d| matches!(d, Due::Answer { .. }))
            .count();
    room.fetch_add(held as u64, Ordering::Relaxed);
}

fn read(stream: TcpStream, to: &Sender<OwnedValue>) {
    for line in BufReader::new(stream).split(b'\n') {
        let Ok(mut line) = line else { return };
        let Ok(message) = simd_json::to_owned_value(&mut line) else {
            return;
        };
        if to.send(message).is_err() {
            return;
        }
    }
}

/// A feed that runs by itself: it speaks each second unless it is told to be silent.
pub struct LiveFeed {
    address: String,
    silent: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<OwnedValue>>>,
}

impl Default for LiveFeed {
    fn default() -> LiveFeed {
        LiveFeed::start()
    }
}

impl LiveFeed {
    /// Starts one whose first event the configuration holds.
    pub fn start() -> LiveFeed {
        let feed = Feed::new();
        let (address, listener) = (feed.address(), feed.into_listener());
        let (silent, stop) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let events = Arc::new(Mutex::new(Vec::new()));
        let (quiet, stopped, told) = (silent.clone(), stop.clone(), events.clone());
        std::thread::spawn(move || run(&listener, &quiet, &stopped, &told));
        LiveFeed {
            address,
            silent,
            stop,
            events,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        self.address.clone()
    }

    /// Says nothing more, or speaks again.
    pub fn silence(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Adds an event: these hosts are in this state.
    pub fn tell(&self, hosts: Vec<OwnedValue>) {
        let mut events = self.events.lock().expect("events");
        let n = events.len() as u64 + 2;
        events.push(event(n, false, hosts));
    }
}

impl Drop for LiveFeed {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn run(
    listener: &TcpListener,
    silent: &Arc<AtomicBool>,
    stop: &Arc<AtomicBool>,
    events: &Arc<Mutex<Vec<OwnedValue>>>,
) {
    while !stop.load(Ordering::Relaxed) {
        let Some(stream) = crate::accept(listener, Duration::from_millis(200)) else {
            continue;
        };
        let (silent, stop, events) = (silent.clone(), stop.clone(), events.clone());
        std::thread::spawn(move || {
            let mut line = String::new();
            if BufReader::new(&stream).read_line(&mut line).is_err() {
                return;
            }
            let from = line
                .strip_prefix("SUB ")
                .and_then(|n| n.trim_end().parse::<u64>().ok())
                .unwrap_or(1);
            let (mut told, mut spoke) = (from.saturating_sub(1) as usize, None::<Instant>);
            let mut out = stream;
            while !stop.load(Ordering::Relaxed) {
                if !silent.load(Ordering::Relaxed) {
                    let events = events.lock().expect("events").clone();
                    let mut text = String::new();
                    for event in events.iter().skip(told) {
                        text.push_str(&format!("{}\n", event.encode()));
                    }
                    told = told.max(events.len());
                    if spoke.is_none_or(|at| at.elapsed() >= Duration::from_secs(1)) {
                        text.push_str(&format!("{{\"n\":{}}}\n", told + 1));
                        spoke = Some(Instant::now());
                    }
                    if !text.is_empty() && out.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }
}
