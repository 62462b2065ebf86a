//! The process of an emulated host: its model, its connections, and the reports that it sends on them.

use super::HostFault;
use crate::event_log::{Event, EventLog, HostReport, ListedState, RunningTask, fingerprint};
use crate::hex;
use crate::host_model::{EndReason, HostModel, Resources, TaskUpdate, TaskUpdates};
use async_channel::Sender;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::collections::{BTreeMap, HashMap};

/// How a connection is closed: by a regular shutdown or by a reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Close {
    Graceful,
    Reset,
}

/// A host's connection from a placer.
pub(super) struct PlacerConnection {
    /// The placer that connected. It is `None` if all placers share one listener, which does not tell them apart.
    pub(super) placer: Option<usize>,
    pub(super) output: Sender<Vec<u8>>,
    pub(super) close: Sender<Close>,
}

/// A task that was offered to the host, and has not ended.
pub(super) struct OfferedTask {
    pub(super) connection: u64,
    /// The idempotency key of the task.
    pub(super) key: u64,
}

/// The report of a task's end that the placer has not acknowledged yet.
pub(super) struct UnacknowledgedEnd {
    pub(super) placer: Option<usize>,
    pub(super) line: Vec<u8>,
}

/// The state of the process in a slot.
pub(super) struct HostProcess {
    /// The number of the host in the event log.
    pub(super) number: usize,
    pub(super) name: String,
    pub(super) model: HostModel,
    pub(super) connections: BTreeMap<u64, PlacerConnection>,
    pub(super) next_connection: u64,
    /// The offered and running tasks, by the id of the offer.
    pub(super) tasks: HashMap<u64, OfferedTask>,
    /// The placer of each connection since the start of the process, if it is known.
    pub(super) placer_of_connection: HashMap<u64, usize>,
    /// The unacknowledged task ends, by the id of the offer.
    pub(super) unacknowledged: BTreeMap<u64, UnacknowledgedEnd>,
    pub(super) fault: HostFault,
    pub(super) state: ListedState,
    pub(super) born_ms: u64,
    /// The updates withheld during [`HostFault::Silent`], which are reported when the fault ends.
    pub(super) suppressed: TaskUpdates,
    /// Wakes the asynchronous task that ticks the model.
    pub(super) wake: Sender<()>,
    /// Ends the listeners of the host.
    pub(super) stop: Sender<()>,
    /// The free resources that the feeds last reported.
    pub(super) reported_free: Resources,
}

/// Encodes a message as one line of JSON.
fn line(message: &OwnedValue) -> Vec<u8> {
    let mut bytes = message.encode().into_bytes();
    bytes.push(b'\n');
    bytes
}

impl HostProcess {
    /// Registers a connection, sends it the task ends that its placer has not acknowledged, and returns its id.
    pub(super) fn add_connection(&mut self, connection: PlacerConnection) -> u64 {
        let id = self.next_connection;
        self.next_connection += 1;
        let placer = connection.placer;
        for end in self.unacknowledged.values() {
            if end.placer == placer {
                let _ = connection.output.try_send(end.line.clone());
            }
        }
        if let Some(placer) = placer {
            self.placer_of_connection.insert(id, placer);
        }
        self.connections.insert(id, connection);
        id
    }

    /// Sends a message on a connection. If that connection has ended, the message is sent on all connections of the
    /// same placer.
    pub(super) fn send(&self, connection: u64, message: &OwnedValue) {
        self.send_bytes(connection, &line(message));
    }

    fn send_bytes(&self, connection: u64, bytes: &[u8]) {
        if let Some(connection) = self.connections.get(&connection) {
            let _ = connection.output.try_send(bytes.to_vec());
            return;
        }
        for connection in self.connections_of_same_placer(connection) {
            let _ = connection.output.try_send(bytes.to_vec());
        }
    }

    fn connections_of_same_placer(
        &self,
        connection: u64,
    ) -> impl Iterator<Item = &PlacerConnection> {
        let placer = self.placer_of_connection.get(&connection).copied();
        self.connections
            .values()
            .filter(move |other| other.placer == placer)
    }

    /// Reports an update to the placer of the task, and records the report in the event log.
    pub(super) fn report(&mut self, log: &EventLog, id: u64, update: TaskUpdate) {
        let Some(&OfferedTask { connection, key }) = self.tasks.get(&id) else {
            return;
        };
        match update {
            TaskUpdate::Running => self.report_running(log, id, connection, key),
            TaskUpdate::Ended(reason) => self.report_ended(log, id, connection, key, reason),
        }
    }

    fn record(&self, log: &EventLog, id: u64, report: HostReport) {
        let host = self.number;
        log.record(Event::HostReported { id, host, report });
    }

    fn report_running(&self, log: &EventLog, id: u64, connection: u64, key: u64) {
        let description = format!("stands {} at {}\r\n", hex(id), self.name);
        let host = self.number;
        log.task_started(key, RunningTask { id, host });
        if self.fault == HostFault::MalformedReports {
            self.record(log, id, HostReport::ConnectionReset);
            let truncated = format!("{{\"t\":\"up\",\"ref\":\"{}\n", hex(id));
            return self.send_bytes(connection, truncated.as_bytes());
        }
        self.record(log, id, HostReport::Running(fingerprint(&description)));
        // If the connection of the offer has ended, nobody is notified of the start; the placer may find the task
        // later.
        if self.connections.contains_key(&connection) {
            self.send(
                connection,
                &json!({ "t": "up", "ref": hex(id), "f": {}, "d": description }),
            );
        }
    }

    fn report_ended(
        &mut self,
        log: &EventLog,
        id: u64,
        connection: u64,
        key: u64,
        reason: EndReason,
    ) {
        log.task_ended(key, self.number);
        let cause = reason.cause();
        let delivered = self.connections_of_same_placer(connection).next().is_some();
        let report = if delivered {
            HostReport::Ended(cause)
        } else {
            HostReport::EndedUndelivered(cause)
        };
        self.record(log, id, report);
        let message =
            json!({ "t": "down", "ref": hex(id), "f": { "note": reason.note() }, "c": cause });
        let rejected = matches!(cause, 34 | 102);
        if !rejected {
            let end = UnacknowledgedEnd {
                placer: self.placer_of_connection.get(&connection).copied(),
                line: line(&message),
            };
            self.unacknowledged.insert(id, end);
        }
        self.send(connection, &message);
        self.tasks.remove(&id);
    }
}
