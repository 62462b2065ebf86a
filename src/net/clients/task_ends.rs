//! Sends the ends of running tasks to clients, and keeps each until a client has acknowledged it.
//!
//! The end of a task belongs to no connection: it goes out on the one that is the most likely to be read, and again on
//! another if that one closes first.

use super::{ClientId, Clients};
use crate::net::codec::TaskId;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::Micros;

/// How long the end of a task is kept for the case that its connection closes unread.
const MAX_UNACKNOWLEDGED: Micros = 10_000_000;
/// How long the end of a task may be on its way to its client.
const DELIVERY_TIME: Micros = 1_000_000;

/// The end of a task as it was sent, until its client acknowledges it.
pub(super) struct SentTaskEnd {
    client: ClientId,
    bytes: Vec<u8>,
    sent_at: Micros,
}

/// The ends of tasks that no client has acknowledged.
#[derive(Default)]
pub(super) struct PendingTaskEnds {
    /// For the next connection of a client.
    unsent: Vec<(TaskId, Vec<u8>)>,
    /// Sent, and not acknowledged yet.
    sent: BTreeMap<TaskId, SentTaskEnd>,
}

impl PendingTaskEnds {
    /// Removes and returns what was sent on a connection.
    pub(super) fn take_sent_to(&mut self, id: ClientId) -> Vec<(TaskId, Vec<u8>)> {
        let sent = self.sent.iter();
        let tasks: Vec<TaskId> = sent
            .filter(|(_, end)| end.client == id)
            .map(|(task, _)| *task)
            .collect();
        let ends = tasks.into_iter();
        ends.filter_map(|task| Some((task, self.sent.remove(&task)?.bytes)))
            .collect()
    }

    /// Returns the connections on which the end of a task was sent within this time.
    pub(super) fn sent_within(&self, now: Micros, time: Micros) -> BTreeSet<ClientId> {
        let sent = self.sent.values();
        sent.filter(|end| now - end.sent_at < time)
            .map(|end| end.client)
            .collect()
    }

    /// Forgets what has waited for its acknowledgement for too long.
    pub(super) fn forget_old(&mut self, now: Micros) {
        self.sent
            .retain(|_, end| now - end.sent_at < MAX_UNACKNOWLEDGED);
    }
}

impl Clients {
    /// Returns the number of ends of tasks that no client has taken, or may not have read yet.
    pub fn unconfirmed_task_ends(&self, now: Micros) -> usize {
        let sent = self.task_ends.sent.values();
        let under_way = sent.filter(|end| now - end.sent_at < DELIVERY_TIME).count();
        self.task_ends.unsent.len() + under_way
    }

    /// Records that a client has acknowledged the end of this task.
    pub fn task_end_acknowledged(&mut self, task: TaskId) {
        self.task_ends.sent.remove(&task);
    }

    /// Records a message that only clients send: the connection is sent what found no other. Guards the ends of tasks
    /// against load balancers, which check health on connections of their own and read nothing but the result.
    pub fn client_traffic_seen(&mut self, now: Micros, id: ClientId) {
        let client = self.connections.get_mut(&id);
        let is_first = client.is_some_and(|client| !std::mem::replace(&mut client.is_client, true));
        if is_first {
            for (task, bytes) in std::mem::take(&mut self.task_ends.unsent) {
                self.send_task_end(now, task, bytes);
            }
        }
    }

    /// Sends the end of a task whose response went out on this connection just now.
    ///
    /// Guards against an end on another connection that its client reads before the response: it would be taken for the
    /// response, and the response for a second one. Where the connection has closed, the response is on its way or lost
    /// already.
    pub fn send_task_end_after_response(
        &mut self,
        now: Micros,
        id: ClientId,
        task: TaskId,
        bytes: Vec<u8>,
    ) {
        let client = self.connections.get(&id);
        let is_sent =
            client.is_some_and(|client| !client.conn.is_closing() && client.conn.send(now, &bytes));
        if is_sent {
            self.record_sent_task_end(now, id, task, bytes);
        } else {
            self.send_task_end(now, task, bytes);
        }
    }

    /// Sends the end of a task. It belongs to no connection: of those on which tasks were placed, the one that sent
    /// last is the least likely to be closing under our hands, or to be no client at all. With none open, the next
    /// client that sends a message gets it.
    pub fn send_task_end(&mut self, now: Micros, task: TaskId, bytes: Vec<u8>) {
        loop {
            let candidates = self
                .connections
                .iter()
                .filter(|(_, client)| !client.conn.is_closing() && client.is_client);
            let best = candidates.max_by_key(|(_, client)| {
                let has_pending_responses = !client.pending_responses.is_empty();
                (
                    client.is_proven,
                    has_pending_responses,
                    client.last_message_at,
                )
            });
            match best {
                None => return self.task_ends.unsent.push((task, bytes)),
                Some((id, client)) if client.conn.send(now, &bytes) => {
                    let id = *id;
                    return self.record_sent_task_end(now, id, task, bytes);
                }
                // It has closed under the write, and no byte has been sent.
                Some(_) => {}
            }
        }
    }

    fn record_sent_task_end(&mut self, now: Micros, id: ClientId, task: TaskId, bytes: Vec<u8>) {
        let end = SentTaskEnd {
            client: id,
            bytes,
            sent_at: now,
        };
        self.task_ends.sent.insert(task, end);
    }
}
