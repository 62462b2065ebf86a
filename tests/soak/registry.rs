//! Records of what happened to each request, made by clients and hosts, and the checks of the rules on these records.

use crate::{CLIENT_WAIT, MAX_END_TIME};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Limit of the delay of a final response; after that, the request counts as lost.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// Time before the close of a connection within which a written request may go unread, so that its client sends it
/// elsewhere.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Limit of the time in which a task end that its host was able to send reaches the client.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);
/// Tolerance added to each limit for delays of the test's threads on a busy machine.
const MACHINE_SLACK: Duration = Duration::from_millis(500);
/// Time after the client's cancellation within which an attempt may still begin.
const CANCEL_SLACK: Duration = Duration::from_millis(100);
/// Tolerance by which the time stated to a host may exceed the time that the client has left.
const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// Tolerance for delays of a host's reading thread on a busy machine.
const READER_SLACK: Duration = Duration::from_millis(150);

/// When a task ended at its host, and whether its release was sent.
#[derive(Debug, Clone, Copy)]
pub struct HostEnd {
    pub at: Instant,
    /// Whether the release was written to a connection that works.
    pub was_sent: bool,
}

#[derive(Debug, Default, Clone)]
struct Record {
    written_at: Option<Instant>,
    non_idempotent: bool,
    cancelled_at: Option<Instant>,
    /// Whether the client no longer reads the connection of this request.
    client_stopped_reading: bool,
    final_responses: Vec<Instant>,
    placed: bool,
    notified_at: Option<Instant>,
    closed_at: Option<Instant>,
    starts: u32,
    /// The host whose answer was sent completely.
    answered_by: Option<u64>,
    /// How the task ended at that host.
    host_end: Option<HostEnd>,
}

impl Record {
    /// Returns whether the client has to be notified of the task end. A client that cancelled while the answer was in
    /// transit has ended the task itself.
    fn expects_task_end(&self) -> bool {
        self.placed && !self.client_stopped_reading && self.cancelled_at.is_none()
    }
}

/// The records of one seed, by request, and the violations found while it runs.
#[derive(Default)]
pub struct Registry {
    records: Mutex<BTreeMap<u64, Record>>,
    violations: Mutex<Vec<String>>,
}

impl Registry {
    fn update<T>(&self, id: u64, act: impl FnOnce(&mut Record) -> T) -> T {
        act(self.lock().entry(id).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Record>> {
        self.records.lock().expect("a thread of the test panicked")
    }

    /// Records the violation of a rule.
    pub fn record_violation(&self, violation: String) {
        self.violations
            .lock()
            .expect("a thread of the test panicked")
            .push(violation);
    }

    // ---- Records made by clients ----

    pub fn written(&self, id: u64, non_idempotent: bool) {
        self.update(id, |record| {
            record.written_at = Some(Instant::now());
            record.non_idempotent = non_idempotent;
        });
    }

    pub fn cancelled(&self, id: u64) {
        self.update(id, |record| record.cancelled_at = Some(Instant::now()));
    }

    /// Records that the client of these requests no longer reads their connection.
    pub fn client_stopped_reading(&self, ids: &[u64]) {
        for id in ids {
            self.update(*id, |record| record.client_stopped_reading = true);
        }
    }

    /// Records that the client has seen the connection of these requests close.
    pub fn closed(&self, ids: &[u64]) {
        for id in ids {
            self.update(*id, |record| {
                record.closed_at.get_or_insert_with(Instant::now);
            });
        }
    }

    pub fn placed(&self, id: u64) {
        self.update(id, |record| {
            record.final_responses.push(Instant::now());
            record.placed = true;
        });
    }

    /// Records that a release has arrived, which is either the final response or the end of a placed task.
    pub fn released(&self, id: u64) {
        self.update(id, |record| {
            if record.placed {
                record.notified_at.get_or_insert_with(Instant::now);
            } else {
                record.final_responses.push(Instant::now());
            }
        });
    }

    // ---- Records made by hosts ----

    pub fn offered(&self, id: u64, left: Duration) {
        let now = Instant::now();
        let record = self.update(id, |record| record.clone());
        if let Some(cancelled_at) = record.cancelled_at
            && now > cancelled_at + CANCEL_SLACK + READER_SLACK
        {
            let late = now - cancelled_at;
            self.record_violation(format!(
                "{id:x}: attempt {late:?} after the request was cancelled"
            ));
        }
        if let Some(written_at) = record.written_at {
            let client_left = CLIENT_WAIT.saturating_sub(now - written_at);
            if left > client_left + BUDGET_SLACK + READER_SLACK {
                self.record_violation(format!(
                    "{id:x}: the host was told {left:?}, but the client had {client_left:?} left"
                ));
            }
        }
    }

    pub fn started(&self, id: u64) {
        self.update(id, |record| record.starts += 1);
    }

    pub fn answered(&self, id: u64, host: u64) {
        self.update(id, |record| {
            // The client does not know the run at an earlier host whose answer was lost, nor the end of that run.
            if record.answered_by.replace(host) != Some(host) {
                record.host_end = None;
            }
        });
    }

    pub fn ended(&self, id: u64, host: u64, end: HostEnd) {
        self.update(id, |record| {
            if record.answered_by == Some(host) {
                record.host_end = Some(end);
            }
        });
    }

    // ---- Checks of the rules ----

    /// Waits until all placed tasks have ended and their clients know of it, or until `limit` has passed.
    pub fn wait_until_ends_arrived(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let is_open =
                |record: &Record| record.expects_task_end() && record.notified_at.is_none();
            if !self.lock().values().any(is_open) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the violated rules. The process had ended at `exited_at`.
    pub fn check(&self, exited_at: Instant) -> Vec<String> {
        let mut violations = std::mem::take(
            &mut *self
                .violations
                .lock()
                .expect("a thread of the test panicked"),
        );
        for (id, record) in self.lock().iter() {
            violations.extend(check_response(*id, record));
            violations.extend(check_end(*id, record, exited_at));
            if record.non_idempotent && record.starts > 1 {
                violations.push(format!(
                    "{id:x}: non-idempotent task started {} times",
                    record.starts
                ));
            }
        }
        violations
    }
}

fn check_response(id: u64, record: &Record) -> Option<String> {
    let written_at = record.written_at?;
    if record.cancelled_at.is_some() || record.client_stopped_reading {
        return None;
    }
    match record.final_responses.as_slice() {
        [] => {
            let crosses_close = |closed_at: Instant| written_at + CROSSING_TIME >= closed_at;
            let is_excused = record.closed_at.is_some_and(crosses_close);
            let age = record
                .closed_at
                .map(|at| at.saturating_duration_since(written_at));
            (!is_excused).then(|| {
                format!("{id:x}: no final response; connection closed {age:?} after the request")
            })
        }
        [at] => {
            let late = at.saturating_duration_since(written_at + CLIENT_WAIT + LATE_RESPONSE);
            (late > MACHINE_SLACK).then(|| format!("{id:x}: final response {late:?} too late"))
        }
        more => Some(format!("{id:x}: {} final responses", more.len())),
    }
}

fn check_end(id: u64, record: &Record, exited_at: Instant) -> Option<String> {
    let end = record.host_end.filter(|_| record.expects_task_end())?;
    let limit = if end.was_sent {
        MAX_DELIVERY_TIME
    } else {
        MAX_END_TIME
    };
    // A task end that is not due before the exit is delivered by the next process.
    if end.at + limit > exited_at {
        return None;
    }
    let Some(notified_at) = record.notified_at else {
        return Some(format!(
            "{id:x}: the task end never reached a client; sent by its host: {}",
            end.was_sent
        ));
    };
    let took = notified_at.saturating_duration_since(end.at);
    let sent = end.was_sent;
    (took > limit + MACHINE_SLACK).then(|| {
        format!("{id:x}: the task end took {took:?} to reach a client; sent by its host: {sent}")
    })
}
