//! What happened to each request, by everybody's records, and the check of the rules on it.

use crate::{CLIENT_WAIT, MAX_END_TIME};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A final response may be so late; later, the request is lost.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// A request that is written so shortly before its connection is seen to close goes out again elsewhere.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// An end that its host could send reaches its client within 1 s.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);
/// What the threads of the test may take on a busy machine, added to each limit.
const MACHINE_SLACK: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has cancelled.
const CANCEL_SLACK: Duration = Duration::from_millis(100);
/// The time passed to a host may exceed what the client has left by this.
const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// What a reading thread of a host may take on a busy machine.
const READER_SLACK: Duration = Duration::from_millis(150);

/// How a task ended at its host.
#[derive(Debug, Clone, Copy)]
pub struct HostEnd {
    pub at: Instant,
    /// It was written to a connection that carried it.
    pub was_sent: bool,
}

#[derive(Debug, Default, Clone)]
struct Record {
    written_at: Option<Instant>,
    once: bool,
    cancelled_at: Option<Instant>,
    /// Its client does not read any more.
    unheard: bool,
    finals: Vec<Instant>,
    placed: bool,
    notified_at: Option<Instant>,
    closed_at: Option<Instant>,
    starts: u32,
    /// The host whose answer was sent whole, and how the task ended there.
    answered_by: Option<u64>,
    host_end: Option<HostEnd>,
}

impl Record {
    /// Whether its client is to be notified of the end. One that cancelled while the answer was under way has ended the
    /// task itself.
    fn is_owed_an_end(&self) -> bool {
        self.placed && !self.unheard && self.cancelled_at.is_none()
    }
}

/// The records of one seed.
#[derive(Default)]
pub struct Registry {
    records: Mutex<BTreeMap<u64, Record>>,
    violations: Mutex<Vec<String>>,
}

impl Registry {
    fn with<T>(&self, id: u64, act: impl FnOnce(&mut Record) -> T) -> T {
        act(self.lock().entry(id).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Record>> {
        self.records.lock().expect("no party panicked")
    }

    /// Records a broken rule.
    pub fn violation(&self, what: String) {
        self.violations
            .lock()
            .expect("no party panicked")
            .push(what);
    }

    // ---- What clients record ----

    pub fn written(&self, id: u64, once: bool) {
        self.with(id, |record| {
            record.written_at = Some(Instant::now());
            record.once = once;
        });
    }

    pub fn cancelled(&self, id: u64) {
        self.with(id, |record| record.cancelled_at = Some(Instant::now()));
    }

    /// The client of these requests reads nothing more.
    pub fn unheard(&self, ids: &[u64]) {
        for id in ids {
            self.with(*id, |record| record.unheard = true);
        }
    }

    /// The connection of these requests was seen to close.
    pub fn closed(&self, ids: &[u64]) {
        for id in ids {
            self.with(*id, |record| {
                record.closed_at.get_or_insert_with(Instant::now);
            });
        }
    }

    pub fn placed(&self, id: u64) {
        self.with(id, |record| {
            record.finals.push(Instant::now());
            record.placed = true;
        });
    }

    /// A release has arrived: the final response, or the end of a task that was placed.
    pub fn released(&self, id: u64) {
        self.with(id, |record| {
            if record.placed {
                record.notified_at.get_or_insert_with(Instant::now);
            } else {
                record.finals.push(Instant::now());
            }
        });
    }

    // ---- What hosts record ----

    pub fn offered(&self, id: u64, left: Duration) {
        let now = Instant::now();
        let record = self.with(id, |record| record.clone());
        if let Some(cancelled_at) = record.cancelled_at
            && now > cancelled_at + CANCEL_SLACK + READER_SLACK
        {
            let late = now - cancelled_at;
            self.violation(format!("{id:x}: attempt {late:?} after it was cancelled"));
        }
        if let Some(written_at) = record.written_at {
            let client_left = CLIENT_WAIT.saturating_sub(now - written_at);
            if left > client_left + BUDGET_SLACK + READER_SLACK {
                self.violation(format!("{id:x}: {left:?} passed on, {client_left:?} left"));
            }
        }
    }

    pub fn started(&self, id: u64) {
        self.with(id, |record| record.starts += 1);
    }

    pub fn answered(&self, id: u64, host: u64) {
        self.with(id, |record| {
            // The run at another host, whose answer was lost, is none that the client knows; nor is its end.
            if record.answered_by.replace(host) != Some(host) {
                record.host_end = None;
            }
        });
    }

    pub fn ended(&self, id: u64, host: u64, end: HostEnd) {
        self.with(id, |record| {
            if record.answered_by == Some(host) {
                record.host_end = Some(end);
            }
        });
    }

    // ---- The check ----

    /// Waits until all placed tasks have ended and their clients know, at most so long.
    pub fn wait_until_ends_arrived(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let is_open = |record: &Record| record.is_owed_an_end() && record.notified_at.is_none();
            if !self.lock().values().any(is_open) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the rules that were broken. The process had ended at `exited_at`.
    pub fn check(&self, exited_at: Instant) -> Vec<String> {
        let mut violations = std::mem::take(&mut *self.violations.lock().expect("no panic"));
        for (id, record) in self.lock().iter() {
            violations.extend(check_response(*id, record));
            violations.extend(check_end(*id, record, exited_at));
            if record.once && record.starts > 1 {
                violations.push(format!("{id:x}: started {} times", record.starts));
            }
        }
        violations
    }
}

fn check_response(id: u64, record: &Record) -> Option<String> {
    let written_at = record.written_at?;
    if record.cancelled_at.is_some() || record.unheard {
        return None;
    }
    match record.finals.as_slice() {
        [] => {
            let crossed = |closed_at: Instant| written_at + CROSSING_TIME >= closed_at;
            let is_free = record.closed_at.is_some_and(crossed);
            let age = record
                .closed_at
                .map(|at| at.saturating_duration_since(written_at));
            (!is_free).then(|| format!("{id:x}: no final response; closed {age:?} after it"))
        }
        [at] => {
            let late = at.saturating_duration_since(written_at + CLIENT_WAIT + LATE_RESPONSE);
            (late > MACHINE_SLACK).then(|| format!("{id:x}: final response {late:?} too late"))
        }
        more => Some(format!("{id:x}: {} final responses", more.len())),
    }
}

fn check_end(id: u64, record: &Record, exited_at: Instant) -> Option<String> {
    let end = record.host_end.filter(|_| record.is_owed_an_end())?;
    let limit = if end.was_sent {
        MAX_DELIVERY_TIME
    } else {
        MAX_END_TIME
    };
    // What is not due before the exit passes to the next process.
    if end.at + limit > exited_at {
        return None;
    }
    let Some(notified_at) = record.notified_at else {
        return Some(format!(
            "{id:x}: its end never reached a client; sent: {}",
            end.was_sent
        ));
    };
    let took = notified_at.saturating_duration_since(end.at);
    let sent = end.was_sent;
    (took > limit + MACHINE_SLACK).then(|| format!("{id:x}: its end took {took:?}; sent: {sent}"))
}
