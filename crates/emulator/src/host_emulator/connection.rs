//! One connection of a placer to an emulated host, with its offers, its running tasks and their due actions.

use super::HostBehavior;
use super::records::{HostRecords, TaskStart};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How long the connection waits for a message if no action is due earlier.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// The constants of the linear congruential generator that varies how long tasks run.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const RANDOM_FACTOR: u64 = 0x5851_f42d_4c95_7f2d;

/// An action that the host performs at a later time.
enum DueAction {
    /// Starts a task and reports it as running.
    Start {
        id: String,
        key: String,
        class: String,
    },
    /// Ends a task and reports its end.
    End { id: String },
}

/// What a connection does after it has handled a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Performs the actions that are due.
    DueActions,
    /// Handles the next message first, as after a rejection.
    Message,
}

/// The state of a connection.
struct Connection<'a> {
    stream: TcpStream,
    behavior: &'a HostBehavior,
    records: &'a Mutex<HostRecords>,
    /// The number of further tasks that the host accepts, over all its connections.
    free_capacity: &'a AtomicU64,
    /// The due actions, by time. The random number keeps actions of the same time apart.
    due: BTreeMap<(Instant, u64), DueAction>,
    running: BTreeSet<String>,
    random: u64,
}

/// Serves a connection until it ends. The seed makes the run times of its tasks differ from those of other connections.
pub(super) fn serve(
    stream: TcpStream,
    behavior: &HostBehavior,
    records: &Mutex<HostRecords>,
    free_capacity: &AtomicU64,
    seed: u64,
) {
    stream
        .set_read_timeout(None)
        .expect("cannot set a socket option");
    stream
        .set_nodelay(true)
        .expect("cannot set a socket option");
    let (sender, receiver) = channel::<OwnedValue>();
    let reader = stream.try_clone().expect("cannot duplicate the socket");
    std::thread::spawn(move || read_messages(reader, &sender));
    let mut connection = Connection {
        stream,
        behavior,
        records,
        free_capacity,
        due: BTreeMap::new(),
        running: BTreeSet::new(),
        random: seed.wrapping_mul(SEED_FACTOR),
    };
    loop {
        let message = match receiver.recv_timeout(connection.time_until_due()) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        connection.random = connection
            .random
            .wrapping_mul(RANDOM_FACTOR)
            .wrapping_add(1);
        let next = message.map_or(Next::DueActions, |message| {
            connection.handle_message(&message)
        });
        if next == Next::DueActions {
            connection.run_due_actions();
        }
    }
    connection.release_all();
}

fn read_messages(stream: TcpStream, sender: &Sender<OwnedValue>) {
    for line in BufReader::new(stream).split(b'\n') {
        let Ok(mut line) = line else { return };
        let Ok(message) = simd_json::to_owned_value(&mut line) else {
            return;
        };
        if sender.send(message).is_err() {
            return;
        }
    }
}

impl Connection<'_> {
    fn records(&self) -> MutexGuard<'_, HostRecords> {
        self.records
            .lock()
            .expect("the lock of the host records is poisoned")
    }

    fn send(&mut self, message: &OwnedValue) {
        let _ = self
            .stream
            .write_all(format!("{}\n", message.encode()).as_bytes());
    }

    fn time_until_due(&self) -> Duration {
        self.due
            .first_key_value()
            .map_or(IDLE_WAIT, |((at, _), _)| {
                at.saturating_duration_since(Instant::now())
            })
    }

    fn handle_message(&mut self, message: &OwnedValue) -> Next {
        let id = message.get_str("ref").unwrap_or_default().to_string();
        match message.get_str("t") {
            Some("new") => return self.handle_offer(id, message),
            Some("down") => self.handle_stop(&id),
            Some("hb") => self.send(&json!({ "t": "hb_ok", "ref": id, "f": {}, "c": 1 })),
            _ => {}
        }
        Next::DueActions
    }

    fn handle_offer(&mut self, id: String, message: &OwnedValue) -> Next {
        let field = |name| {
            message
                .get("f")
                .and_then(|fields| fields.get_str(name))
                .unwrap_or_default()
                .to_string()
        };
        self.records().offers += 1;
        let reserved =
            self.free_capacity
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
                    free.checked_sub(1)
                });
        if reserved.is_err() {
            self.records().rejected += 1;
            self.send(&json!({ "t": "down", "ref": id, "f": { "note": "nc" }, "c": 34 }));
            return Next::Message;
        }
        let start = DueAction::Start {
            id,
            key: field("key"),
            class: field("class"),
        };
        let at = Instant::now() + self.behavior.start_time;
        self.due.insert((at, self.random), start);
        Next::DueActions
    }

    /// Withdraws an offer that has not started, or stops a running task. Either way its capacity becomes free.
    fn handle_stop(&mut self, stopped: &str) {
        let offer = self.due.iter().find_map(|(at, action)| match action {
            DueAction::Start { id, .. } if id == stopped => Some(*at),
            _ => None,
        });
        if let Some(at) = offer {
            self.due.remove(&at);
            self.free_capacity.fetch_add(1, Ordering::Relaxed);
        } else if self.running.remove(stopped) {
            self.due
                .retain(|_, action| !matches!(action, DueAction::End { id } if id == stopped));
            self.free_capacity.fetch_add(1, Ordering::Relaxed);
            self.records().stopped += 1;
            self.send(&json!({ "t": "down", "ref": stopped, "f": {}, "c": 31 }));
        }
    }

    fn run_due_actions(&mut self) {
        while self
            .due
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= Instant::now())
        {
            let Some(((at, _), action)) = self.due.pop_first() else {
                return;
            };
            match action {
                DueAction::Start { id, key, class } => self.start_task(at, id, key, class),
                DueAction::End { id } => {
                    self.running.remove(&id);
                    self.free_capacity.fetch_add(1, Ordering::Relaxed);
                    self.send(&json!({ "t": "down", "ref": id, "f": {}, "c": 16 }));
                }
            }
        }
    }

    fn start_task(&mut self, at: Instant, id: String, key: String, class: String) {
        let start = TaskStart {
            key,
            class,
            id: id.clone(),
            at: Instant::now(),
        };
        self.records().starts.push(start);
        let description = format!("stands {id}\r\n");
        self.send(&json!({ "t": "up", "ref": id.as_str(), "f": {}, "d": description }));
        self.running.insert(id.clone());
        // The run time is between half and one and a half times the configured one; the high bits of the generator are
        // used.
        let fraction = (self.random >> 40) as f64 / (1u64 << 24) as f64;
        let run_time = self.behavior.run_time.mul_f64(0.5 + fraction);
        self.due
            .insert((at + run_time, self.random), DueAction::End { id });
    }

    /// Frees the capacity of all offers and tasks of the connection.
    fn release_all(&self) {
        let offers = self
            .due
            .values()
            .filter(|action| matches!(action, DueAction::Start { .. }))
            .count();
        let released = self.running.len() + offers;
        self.free_capacity
            .fetch_add(released as u64, Ordering::Relaxed);
    }
}
