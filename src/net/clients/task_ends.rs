//! Sends the ends of running tasks to clients, and keeps each until a client has acknowledged it.
//!
//! The end of a task belongs to no connection: it goes out on the one that is the most likely to be read, and on others if
//! it is not acknowledged soon, or if that connection closes first.

use super::id::ClientId;
use super::pending_task_ends::TaskEndCounters;
use super::table::{Client, Clients};
use crate::net::codec::TaskId;
use std::cmp::Reverse;
use task_placer::Micros;
use tracing::info;

impl Clients {
    /// Returns the number of ends of tasks that no client has taken, or may not have read yet.
    pub fn unconfirmed_task_ends(&self, now: Micros) -> usize {
        self.task_ends.unconfirmed(now)
    }

    /// Returns what became of the ends of tasks, for the metrics.
    pub fn task_end_counters(&self) -> TaskEndCounters {
        self.task_ends.counters()
    }

    /// Whether the end of a task is on its way to a client, or will be sent on another connection soon.
    pub fn is_delivering_task_ends(&self, now: Micros) -> bool {
        self.task_ends.is_delivering(now)
    }

    /// Records that a client has acknowledged the end of this task.
    pub fn task_end_acknowledged(&mut self, id: ClientId, task: TaskId) {
        if !self.task_ends.acknowledge(task) {
            return;
        }
        info!(task = %task, connection = %id, "task end acknowledged");
        if let Some(client) = self.connections.get_mut(&id) {
            client.acknowledges_ends = Some(true);
        }
    }

    /// Records a message that only clients send: the connection is sent what found no other. Guards the ends of tasks
    /// against load balancers, which check health on connections of their own and read nothing but the result.
    pub fn client_traffic_seen(&mut self, now: Micros, id: ClientId) {
        let client = self.connections.get_mut(&id);
        let is_first = client.is_some_and(|client| !std::mem::replace(&mut client.is_client, true));
        if is_first {
            for task in self.task_ends.waiting() {
                self.deliver_task_end(now, task);
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
        if !is_sent {
            return self.send_task_end(now, task, bytes);
        }
        info!(task = %task, connection = %id, "task end sent after its response");
        self.task_ends.insert(task, bytes);
        self.task_ends.record_round(now, task, vec![id]);
    }

    /// Sends the end of a task. It belongs to no connection; with none open, the next client that sends a message gets
    /// it.
    pub fn send_task_end(&mut self, now: Micros, task: TaskId, bytes: Vec<u8>) {
        self.task_ends.insert(task, bytes);
        self.deliver_task_end(now, task);
    }

    /// Sends the ends again that were not acknowledged in time.
    ///
    /// Guards against clients that have fallen silent with their connections open, and against those that never knew the
    /// task: writing to either succeeds, and nothing else would ever show that the end has not arrived.
    pub fn resend_task_ends(&mut self, now: Micros) {
        for (task, connections) in self.task_ends.overdue(now) {
            for id in connections {
                if let Some(client) = self.connections.get_mut(&id) {
                    client.acknowledges_ends = Some(false);
                }
            }
            self.deliver_task_end(now, task);
        }
    }

    /// Sends an end on the best connections that have not had it yet.
    pub(super) fn deliver_task_end(&mut self, now: Micros, task: TaskId) {
        let Some(end) = self.task_ends.get(task) else {
            return;
        };
        let mut candidates: Vec<(&ClientId, &Client)> = self
            .connections
            .iter()
            .filter(|(id, client)| {
                client.is_client && !client.conn.is_closing() && !end.was_sent_on(**id)
            })
            .collect();
        candidates.sort_by_key(|(id, client)| Reverse((likelihood_of_delivery(client), **id)));
        // One that has closed under the write has been sent nothing.
        let sent_on: Vec<ClientId> = candidates
            .into_iter()
            .filter(|(_, client)| client.conn.send(now, &end.bytes))
            .map(|(id, _)| *id)
            .take(end.connections_per_round())
            .collect();
        log_delivery(task, end.is_resend(), &sent_on);
        self.task_ends.record_round(now, task, sent_on);
    }
}

/// Orders connections by how likely an end is read there. One that has acknowledged ends is a client's and is read; one
/// that has left an end unacknowledged comes last. Of the others, one on which a task was placed is no load balancer's,
/// and the one that sent last is the least likely to be closing under our hands.
fn likelihood_of_delivery(client: &Client) -> impl Ord + use<> {
    (
        client.acknowledges_ends != Some(false),
        client.acknowledges_ends == Some(true),
        client.conn.is_flushed(),
        client.is_proven,
        !client.pending_responses.is_empty(),
        client.last_message_at,
    )
}

fn log_delivery(task: TaskId, is_resend: bool, sent_on: &[ClientId]) {
    let Some(first) = sent_on.first() else {
        return info!(task = %task, resent = is_resend, "task end waits for a client");
    };
    info!(task = %task, connection = %first, connections = sent_on.len(), resent = is_resend, "task end sent");
}
