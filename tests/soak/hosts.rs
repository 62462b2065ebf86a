//! Hosts whose answers and connections fail. As the protocol says, a running task belongs to no connection: its end is sent
//! on the connection of its request, else on any open one, and again on each connection that opens until it is acknowledged.

use crate::Dice;
use crate::registry::{HostEnd, Registry};
use emulator::Host;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const ACCEPT_INTERVAL: Duration = Duration::from_millis(20);
const TURN: Duration = Duration::from_millis(4);
/// The causes of a release: the task's own end, and lost or sent away.
const ENDED: u64 = 16;
const RESET: u64 = 41;

/// What becomes of an answer.
#[derive(Clone, Copy)]
enum Answer {
    Whole,
    Twice,
    Unreadable,
    StopsShort,
    NeverSent,
    /// The host sends the task away before the answer leaves.
    SentAway,
}

enum Task {
    Starting { connection: usize, at: Instant },
    Running { connection: usize, until: Instant },
}

struct Link {
    stream: TcpStream,
    is_open: bool,
    /// It stays open and carries nothing more.
    is_useless: bool,
}

struct State {
    dice: Dice,
    links: Vec<Link>,
    tasks: BTreeMap<u64, Task>,
    /// Releases that were not acknowledged.
    releases: BTreeMap<u64, OwnedValue>,
}

/// A host that runs by itself until it is dropped.
pub struct FaultyHost {
    entry: OwnedValue,
    stop: Arc<AtomicBool>,
}

/// One host, as its threads share it.
struct Shared {
    number: u64,
    state: Mutex<State>,
    registry: Arc<Registry>,
}

impl FaultyHost {
    pub fn start(number: u64, dice: Dice, registry: &Arc<Registry>) -> FaultyHost {
        let host = Host::new(&format!("h{number}"), "north");
        let entry = host.entry("up", 0);
        let stop = Arc::new(AtomicBool::new(false));
        let state = State {
            dice,
            links: Vec::new(),
            tasks: BTreeMap::new(),
            releases: BTreeMap::new(),
        };
        let shared = Arc::new(Shared {
            number,
            state: Mutex::new(state),
            registry: registry.clone(),
        });
        let (accepting, stopped) = (shared.clone(), stop.clone());
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Some(stream) = host.accept_stream_within(ACCEPT_INTERVAL) {
                    accepting.connected(stream);
                }
            }
        });
        let stopped = stop.clone();
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                shared.run_due();
                std::thread::sleep(TURN);
            }
        });
        FaultyHost { entry, stop }
    }

    pub fn entry(&self) -> OwnedValue {
        self.entry.clone()
    }
}

impl Drop for FaultyHost {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn id_of(message: &OwnedValue) -> u64 {
    let text = message.get_str("ref").unwrap_or_default();
    u64::from_str_radix(text, 16).unwrap_or(0)
}

fn release(id: u64, cause: u64, note: &str) -> OwnedValue {
    json!({ "t": "down", "ref": format!("{id:016x}"), "f": { "note": note }, "c": cause })
}

impl State {
    fn write(&mut self, at: usize, text: &str) -> bool {
        let link = &mut self.links[at];
        link.is_open && !link.is_useless && link.stream.write_all(text.as_bytes()).is_ok()
    }

    fn send(&mut self, at: usize, message: &OwnedValue) -> bool {
        self.write(at, &format!("{}\n", message.encode()))
    }

    /// Sends a release on the connection of its request, else on any open one. A useless one swallows it.
    fn send_release(&mut self, at: usize, id: u64, message: OwnedValue) -> bool {
        let open = |link: &Link| link.is_open;
        let at = if open(&self.links[at]) {
            Some(at)
        } else {
            self.links.iter().position(open)
        };
        let was_sent = at.is_some_and(|at| self.send(at, &message));
        self.releases.insert(id, message);
        was_sent
    }

    fn answer(&mut self) -> Answer {
        match self.dice.between(0, 100) {
            0..70 => Answer::Whole,
            70..76 => Answer::Twice,
            76..82 => Answer::Unreadable,
            82..88 => Answer::StopsShort,
            88..94 => Answer::NeverSent,
            _ => Answer::SentAway,
        }
    }

    /// Ends a connection: what has not started on it is given up.
    fn close(&mut self, at: usize) {
        self.links[at].is_open = false;
        self.tasks.retain(
            |_, task| !matches!(task, Task::Starting { connection, .. } if *connection == at),
        );
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of the host panicked")
    }

    /// Serves a connection in a thread of its own; what was not acknowledged is sent on it first.
    fn connected(self: &Arc<Shared>, stream: TcpStream) {
        let _ = stream.set_read_timeout(None);
        let reader = BufReader::new(stream.try_clone().expect("a socket"));
        let at = {
            let mut state = self.lock();
            state.links.push(Link {
                stream,
                is_open: true,
                is_useless: false,
            });
            let at = state.links.len() - 1;
            let releases: Vec<OwnedValue> = state.releases.values().cloned().collect();
            for message in releases {
                state.send(at, &message);
            }
            at
        };
        let shared = self.clone();
        std::thread::spawn(move || {
            for line in reader.split(b'\n') {
                let Ok(mut line) = line else { break };
                if let Ok(message) = simd_json::to_owned_value(&mut line) {
                    shared.received(at, &message);
                }
            }
            shared.lock().close(at);
        });
    }

    fn received(&self, at: usize, message: &OwnedValue) {
        let mut state = self.lock();
        if state.links[at].is_useless {
            return;
        }
        let id = id_of(message);
        match message.get_str("t") {
            Some("new") => {
                let left = message.get("f").and_then(|fields| fields.get_str("left"));
                let left = left.and_then(|left| left.parse().ok()).unwrap_or(0);
                self.registry.offered(id, Duration::from_millis(left));
                let start = Instant::now() + state.dice.millis(2, 40);
                let task = Task::Starting {
                    connection: at,
                    at: start,
                };
                state.tasks.insert(id, task);
            }
            Some("down") => {
                if let Some(Task::Running { .. }) = state.tasks.remove(&id) {
                    state.send(at, &release(id, 31, ""));
                }
            }
            Some("ack") => {
                state.releases.remove(&id);
            }
            Some("hb") => {
                state.send(
                    at,
                    &json!({ "t": "hb_ok", "ref": format!("{id:016x}"), "f": {}, "c": 1 }),
                );
            }
            _ => {}
        }
    }

    fn run_due(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let due: Vec<u64> = state
            .tasks
            .iter()
            .filter(|(_, task)| match task {
                Task::Starting { at, .. } => *at <= now,
                Task::Running { until, .. } => *until <= now,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            match state.tasks.remove(&id) {
                Some(Task::Starting { connection, .. }) => {
                    self.start_task(&mut state, id, connection)
                }
                Some(Task::Running { connection, .. }) => {
                    self.end_task(&mut state, id, connection, ENDED, "")
                }
                None => {}
            }
        }
        if state.dice.between(0, 1_000) < 5 && !state.links.is_empty() {
            let count = state.links.len() as u64;
            let at = state.dice.between(0, count) as usize;
            let _ = rustix::net::sockopt::set_socket_linger(
                &state.links[at].stream,
                Some(Duration::ZERO),
            );
            let _ = state.links[at].stream.shutdown(Shutdown::Both);
            state.close(at);
        }
    }

    fn start_task(&self, state: &mut State, id: u64, at: usize) {
        self.registry.started(id);
        let text = format!("{{\"t\":\"up\",\"ref\":\"{id:016x}\",\"f\":{{}},\"d\":\"runs\"}}\n");
        let answer = state.answer();
        match answer {
            Answer::Whole | Answer::Twice => {
                // Before it is sent: the client may be faster than this thread.
                self.registry.answered(id, self.number);
                state.write(at, &text);
                if let Answer::Twice = answer {
                    state.write(at, &text);
                }
            }
            Answer::Unreadable => {
                state.write(at, "{ not a message }\n");
            }
            Answer::StopsShort => {
                state.write(at, &text[..text.len() / 2]);
            }
            Answer::NeverSent => {}
            Answer::SentAway => return self.end_task(state, id, at, RESET, "dr"),
        }
        if let Answer::Unreadable | Answer::StopsShort | Answer::NeverSent = answer {
            state.links[at].is_useless = true;
        }
        let until = Instant::now() + state.dice.millis(100, 1_500);
        let task = Task::Running {
            connection: at,
            until,
        };
        state.tasks.insert(id, task);
    }

    fn end_task(&self, state: &mut State, id: u64, connection: usize, cause: u64, note: &str) {
        let at = Instant::now();
        let was_sent = state.send_release(connection, id, release(id, cause, note));
        self.registry
            .ended(id, self.number, HostEnd { at, was_sent });
    }
}
