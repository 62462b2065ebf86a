//! Sends the ends of running tasks to clients, and keeps each one until a client has acknowledged it.
//!
//! The end of a task is not tied to a connection: it is sent on the connection that is most likely to be read, and then
//! on others if it is not acknowledged soon or that connection closes first.

use super::id::ClientId;
use super::pending_task_ends::TaskEndCounters;
use super::table::{Client, Clients};
use crate::net::codec::peer::EndDelivery;
use crate::net::codec::{TaskEnd, TaskId, binary};
use std::cmp::Reverse;
use task_placer::Micros;
use tracing::info;

impl Clients {
    /// Returns the number of task ends that were never sent, or were sent so recently that the client may not have read
    /// them yet.
    pub fn unconfirmed_task_ends(&self, now: Micros) -> usize {
        self.task_ends.unconfirmed(now)
    }

    /// Returns the counts of task ends by outcome, for the metrics.
    pub fn task_end_counters(&self) -> TaskEndCounters {
        self.task_ends.counters()
    }

    /// Returns whether a task end is in transit to a client, or will soon be sent on another connection.
    pub fn is_delivering_task_ends(&self, now: Micros) -> bool {
        self.task_ends.is_delivering(now)
    }

    // ---- Task ends that the placer's processes take over from each other ----

    /// Returns whether the end of a task, which another process has announced, can be sent on a connection of this
    /// process on which it was not sent before.
    pub fn can_deliver_end_of(&self, task: TaskId) -> bool {
        self.connections.iter().any(|(id, client)| {
            client.is_client && !client.conn.is_closing() && self.task_ends.is_untried(task, *id)
        })
    }

    /// Removes a task end that waits for a client, because another process takes it over. Returns what the client is to
    /// be told, or `None` if no such end waits.
    pub fn hand_over_waiting_end(&mut self, task: TaskId) -> Option<TaskEnd> {
        self.task_ends.hand_over_waiting(task)
    }

    /// Forgets a task end that another process has taken over, since that process no longer needs it.
    pub fn forget_taken_over_end(&mut self, task: TaskId) {
        self.task_ends.forget_taken_over(task);
    }

    /// Discards a task end, because its client gets it from another process.
    pub fn discard_task_end(&mut self, task: TaskId) {
        self.task_ends.discard(task);
    }

    /// Returns whether the end of a task is pending.
    pub fn has_pending_end(&self, task: TaskId) -> bool {
        self.task_ends.get(task).is_some()
    }

    /// Returns all pending task ends, to be announced to another process.
    pub fn announce_all_task_ends(&mut self) -> Vec<(TaskId, TaskEnd, EndDelivery)> {
        self.task_ends.announce_all()
    }

    /// Returns the task ends whose delivery has changed since it was last announced to the other processes.
    pub fn announce_task_end_changes(&mut self) -> Vec<(TaskId, TaskEnd, EndDelivery)> {
        self.task_ends.announce_changes()
    }

    /// Returns the tasks whose ends have been acknowledged or discarded since the last call.
    pub fn drain_finished_task_ends(&mut self) -> Vec<TaskId> {
        self.task_ends.drain_finished()
    }

    // ---- Delivery ----

    /// Records that a client has acknowledged the end of this task on connection `id`.
    pub fn task_end_acknowledged(&mut self, id: ClientId, task: TaskId) {
        if !self.task_ends.acknowledge(task) {
            return;
        }
        info!(task = %task, connection = %id, "task end acknowledged");
        if let Some(client) = self.connections.get_mut(&id) {
            client.acknowledges_ends = Some(true);
        }
    }

    /// Records that a message that only clients send has arrived on this connection. On the first such message, the
    /// task ends that wait for a client are sent on it. Task ends are sent only on these connections because load
    /// balancers check health on connections of their own and read nothing but the result.
    pub fn client_traffic_seen(&mut self, now: Micros, id: ClientId) {
        let client = self.connections.get_mut(&id);
        let is_first = client.is_some_and(|client| !std::mem::replace(&mut client.is_client, true));
        if is_first {
            for task in self.task_ends.waiting() {
                self.deliver_task_end(now, task);
            }
        }
    }

    /// Sends the end of a task on the connection on which its response has just been sent.
    ///
    /// On another connection, the client could read the task end before the response, take it for the response, and
    /// take the response for a second one. If the connection has closed, the end is sent on another: the response is
    /// already in transit or lost.
    pub fn send_task_end_after_response(
        &mut self,
        now: Micros,
        id: ClientId,
        task: TaskId,
        end: TaskEnd,
    ) {
        let bytes = binary::task_end(task, end);
        let client = self.connections.get(&id);
        let is_sent =
            client.is_some_and(|client| !client.conn.is_closing() && client.conn.send(now, &bytes));
        if !is_sent {
            return self.send_task_end(now, task, end);
        }
        info!(task = %task, connection = %id, "task end sent after its response");
        self.task_ends.insert(task, end);
        self.task_ends.record_round(now, task, vec![id]);
    }

    /// Tells a client that has named a task that it is over, and keeps the end until it is acknowledged. An end that has
    /// already been sent on this connection is not sent again.
    pub fn send_task_end_to(&mut self, now: Micros, id: ClientId, task: TaskId, end: TaskEnd) {
        if self.has_pending_end(task) && !self.task_ends.is_untried(task, id) {
            return;
        }
        self.send_task_end_after_response(now, id, task, end);
    }

    /// Sends the end of a task on the most suitable connection. If there is none, the task end is sent to the next
    /// client that sends a message.
    pub fn send_task_end(&mut self, now: Micros, task: TaskId, end: TaskEnd) {
        self.task_ends.insert(task, end);
        self.deliver_task_end(now, task);
    }

    /// Resends the task ends that were not acknowledged in time on other connections.
    ///
    /// Writing succeeds even if the client has stopped reading with its connection open or never knew the task, so a
    /// missing acknowledgement is the only sign that the task end has not arrived.
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

    /// Sends a task end on the most suitable connections on which it has not been sent yet.
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
        let bytes = binary::task_end(task, end.end);
        // A connection that fails before anything is written does not count as tried.
        let sent_on: Vec<ClientId> = candidates
            .into_iter()
            .filter(|(_, client)| client.conn.send(now, &bytes))
            .map(|(id, _)| *id)
            .take(end.connections_per_round())
            .collect();
        log_delivery(task, end.is_resend(), &sent_on);
        self.task_ends.record_round(now, task, sent_on);
    }
}

/// Ranks connections by how likely a task end sent on them is read. A connection that acknowledged its last task end is
/// a client's and is being read; one that left its last task end unacknowledged ranks lowest. Among the others, a
/// connection on which a task was placed is not a load balancer's, and the one that sent a message last is the least
/// likely to be closing at the moment.
fn likelihood_of_delivery(client: &Client) -> impl Ord + use<> {
    (
        client.acknowledges_ends != Some(false),
        client.acknowledges_ends == Some(true),
        client.conn.is_flushed(),
        client.has_run_task,
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
