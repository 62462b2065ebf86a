//! The log of a run: every party records what it sent and received, on one clock.
//!
//! The log also knows where each task runs and how hosts are named, so that clients can reconnect to a running
//! task. It draws no conclusions: that is the rule checker's part.

mod event;

use crate::host_model::Micros;
pub use event::{ClientNotice, Event, HostReport, ListedState, Peer, ProcessChange, TimedEvent};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A task that runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTask {
    /// The id of the request that started it there.
    pub id: u64,
    /// The number of the host.
    pub host: usize,
}

#[derive(Debug, Default)]
struct LogState {
    events: Vec<TimedEvent>,
    /// By the key of the task.
    running: HashMap<u64, RunningTask>,
    host_names: Vec<String>,
}

/// The events of one run and its clock, shared by all parties.
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
    /// Returns the time since the log began.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.started_at.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Converts a time of the run to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(u64::try_from(at).unwrap_or(0))
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event of now.
    pub fn record(&self, event: Event) {
        let now = self.now();
        self.state().events.push((now, event));
    }

    /// Records an event of another time.
    pub fn record_at(&self, at: Micros, event: Event) {
        self.state().events.push((at, event));
    }

    /// Returns all events so far, in the order of recording.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.state().events.clone()
    }

    /// Registers the next host under its name, and returns its number.
    pub fn register_host(&self, name: &str) -> usize {
        let mut state = self.state();
        state.host_names.push(name.to_string());
        state.host_names.len() - 1
    }

    /// Returns the name of a host.
    pub fn host_name(&self, host: usize) -> Option<String> {
        self.state().host_names.get(host).cloned()
    }

    /// Remembers that a task runs.
    pub fn task_started(&self, key: u64, task: RunningTask) {
        self.state().running.insert(key, task);
    }

    /// Forgets a task that ran on this host; one that runs elsewhere by now stays.
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

    /// Records that a host's process died, and forgets its tasks.
    pub fn host_died(&self, host: usize) {
        self.record(Event::HostDied { host });
        self.state().running.retain(|_, task| task.host != host);
    }

    /// Returns where a task runs.
    pub fn running_task(&self, key: u64) -> Option<RunningTask> {
        self.state().running.get(&key).copied()
    }
}

/// Returns a fingerprint of a text that is the same in every process (FNV-1a, 64 bits).
pub fn fingerprint(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
