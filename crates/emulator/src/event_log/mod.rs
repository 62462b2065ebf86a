//! The event log of a run: each party records what it sends and receives, with times of one common clock.
//!
//! The log also keeps track of which host runs each task and of the names of hosts, so that clients can reconnect to a
//! running task. It does not evaluate the events: the rule checker does.

mod event;

use crate::host_model::Micros;
pub use event::{ClientNotice, Event, HostReport, ListedState, Peer, ProcessChange, TimedEvent};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A task that is running on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTask {
    /// The id of the request that started the task there.
    pub id: u64,
    /// The number of the host in the log.
    pub host: usize,
}

#[derive(Debug, Default)]
struct LogState {
    events: Vec<TimedEvent>,
    /// The running tasks, by idempotency key.
    running: HashMap<u64, RunningTask>,
    host_names: Vec<String>,
}

/// The events and the clock of a run. Clones share the same log.
#[derive(Debug, Clone)]
pub struct EventLog {
    started_at: Instant,
    state: Arc<Mutex<LogState>>,
}

impl Default for EventLog {
    fn default() -> EventLog {
        EventLog {
            started_at: Instant::now(),
            state: Arc::default(),
        }
    }
}

impl EventLog {
    /// Returns the time since the start of the log.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.started_at.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Converts a time since the start of the log to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(u64::try_from(at).unwrap_or(0))
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the current time.
    pub fn record(&self, event: Event) {
        let now = self.now();
        self.state().events.push((now, event));
    }

    /// Records an event with the given time.
    pub fn record_at(&self, at: Micros, event: Event) {
        self.state().events.push((at, event));
    }

    /// Returns all events so far, in the order in which they were recorded.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.state().events.clone()
    }

    /// Registers a host under its name, and returns the number assigned to it.
    pub fn register_host(&self, name: &str) -> usize {
        let mut state = self.state();
        state.host_names.push(name.to_string());
        state.host_names.len() - 1
    }

    /// Returns the name of the host with this number.
    pub fn host_name(&self, host: usize) -> Option<String> {
        self.state().host_names.get(host).cloned()
    }

    /// Stores that the task with this idempotency key is running.
    pub fn task_started(&self, key: u64, task: RunningTask) {
        self.state().running.insert(key, task);
    }

    /// Removes a task that ran on this host from the running tasks. If the task is running on another host by now, it
    /// stays.
    pub fn task_ended(&self, key: u64, host: usize) {
        let mut state = self.state();
        if state
            .running
            .get(&key)
            .is_some_and(|task| task.host == host)
        {
            state.running.remove(&key);
        }
    }

    /// Records that a host's process has died, and removes its tasks from the running tasks.
    pub fn host_died(&self, host: usize) {
        self.record(Event::HostDied { host });
        self.state().running.retain(|_, task| task.host != host);
    }

    /// Returns the running task with this idempotency key.
    pub fn running_task(&self, key: u64) -> Option<RunningTask> {
        self.state().running.get(&key).copied()
    }
}

/// Returns a hash of a text that is the same in every process (FNV-1a, 64 bits).
pub fn fingerprint(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
