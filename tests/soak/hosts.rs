//! Hosts whose answers and connections fail. As the protocol requires, the end of a running task is not tied to a
//! connection: it is sent on the connection of its request, or on any open one if that is closed, and again on each new
//! connection until it is acknowledged.

use crate::SeededRng;
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
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Causes of a release: the task ended by itself, or it was lost or removed from the host.
const TASK_ENDED: u64 = 16;
const TASK_RESET: u64 = 41;

/// How a host's answer is sent or lost.
#[derive(Clone, Copy)]
enum Answer {
    SentOnce,
    SentTwice,
    Malformed,
    Truncated,
    NeverSent,
    /// The host releases the task before the answer is sent.
    ReleasedEarly,
}

enum Task {
    Starting { connection: usize, at: Instant },
    Running { connection: usize, until: Instant },
}

struct Link {
    stream: TcpStream,
    is_open: bool,
    /// Whether the connection stays open but carries no more data.
    is_black_holed: bool,
}

struct State {
    rng: SeededRng,
    links: Vec<Link>,
    tasks: BTreeMap<u64, Task>,
    /// Releases that have not been acknowledged yet.
    releases: BTreeMap<u64, OwnedValue>,
}

/// A host that runs on its own threads until it is dropped.
pub struct FaultyHost {
    entry: OwnedValue,
    stop: Arc<AtomicBool>,
}

/// State of one host, shared by its threads.
struct Shared {
    number: u64,
    state: Mutex<State>,
    registry: Arc<Registry>,
}

impl FaultyHost {
    pub fn start(number: u64, rng: SeededRng, registry: &Arc<Registry>) -> FaultyHost {
        let host = Host::new(&format!("h{number}"), "north");
        let entry = host.entry("up", 0);
        let stop = Arc::new(AtomicBool::new(false));
        let state = State {
            rng,
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
                std::thread::sleep(POLL_INTERVAL);
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
        link.is_open && !link.is_black_holed && link.stream.write_all(text.as_bytes()).is_ok()
    }

    fn send(&mut self, at: usize, message: &OwnedValue) -> bool {
        self.write(at, &format!("{}\n", message.encode()))
    }

    /// Sends a release on the connection of its request, or on any open connection if that is closed. Returns false if
    /// it was not written; a black-holed connection loses it.
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
        match self.rng.between(0, 100) {
            0..70 => Answer::SentOnce,
            70..76 => Answer::SentTwice,
            76..82 => Answer::Malformed,
            82..88 => Answer::Truncated,
            88..94 => Answer::NeverSent,
            _ => Answer::ReleasedEarly,
        }
    }

    /// Marks a connection as closed, and drops the tasks that have not started on it.
    fn close(&mut self, at: usize) {
        self.links[at].is_open = false;
        self.tasks.retain(
            |_, task| !matches!(task, Task::Starting { connection, .. } if *connection == at),
        );
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a thread of the host panicked")
    }

    /// Serves a connection in a thread of its own, after sending the unacknowledged releases on it.
    fn connected(self: &Arc<Shared>, stream: TcpStream) {
        let _ = stream.set_read_timeout(None);
        let reader = BufReader::new(stream.try_clone().expect("failed to clone the socket"));
        let at = {
            let mut state = self.lock();
            state.links.push(Link {
                stream,
                is_open: true,
                is_black_holed: false,
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
        if state.links[at].is_black_holed {
            return;
        }
        let id = id_of(message);
        match message.get_str("t") {
            Some("new") => {
                let left = message.get("f").and_then(|fields| fields.get_str("left"));
                let left = left.and_then(|left| left.parse().ok()).unwrap_or(0);
                self.registry.offered(id, Duration::from_millis(left));
                let start = Instant::now() + state.rng.millis(2, 40);
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
                    self.end_task(&mut state, id, connection, TASK_ENDED, "")
                }
                None => {}
            }
        }
        if state.rng.between(0, 1_000) < 5 && !state.links.is_empty() {
            let count = state.links.len() as u64;
            let at = state.rng.between(0, count) as usize;
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
            Answer::SentOnce | Answer::SentTwice => {
                // Recorded before the answer is sent, since the client may be faster than this thread.
                self.registry.answered(id, self.number);
                state.write(at, &text);
                if let Answer::SentTwice = answer {
                    state.write(at, &text);
                }
            }
            Answer::Malformed => {
                state.write(at, "{ not a message }\n");
            }
            Answer::Truncated => {
                state.write(at, &text[..text.len() / 2]);
            }
            Answer::NeverSent => {}
            Answer::ReleasedEarly => return self.end_task(state, id, at, TASK_RESET, "dr"),
        }
        if let Answer::Malformed | Answer::Truncated | Answer::NeverSent = answer {
            state.links[at].is_black_holed = true;
        }
        let until = Instant::now() + state.rng.millis(100, 1_500);
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
