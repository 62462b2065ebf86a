//! Sends the ends of running tasks to clients, and keeps each until a client has acknowledged it.
//!
//! The end of a task belongs to no connection: it goes out on the one that is the most likely to be read, and again on
//! another if that one closes first.

use super::id::ClientId;
use super::table::Clients;
use crate::net::codec::TaskId;
use task_placer::Micros;
use tracing::info;

impl Clients {
    /// Returns the number of ends of tasks that no client has taken, or may not have read yet.
    pub fn unconfirmed_task_ends(&self, now: Micros) -> usize {
        self.task_ends.unconfirmed(now)
    }

    /// Records that a client has acknowledged the end of this task.
    pub fn task_end_acknowledged(&mut self, task: TaskId) {
        let acknowledged = self.task_ends.acknowledge(task);
        info!(task = %task, acknowledged, "task end acknowledged");
    }

    /// Records a message that only clients send: the connection is sent what found no other. Guards the ends of tasks
    /// against load balancers, which check health on connections of their own and read nothing but the result.
    pub fn client_traffic_seen(&mut self, now: Micros, id: ClientId) {
        let client = self.connections.get_mut(&id);
        let is_first = client.is_some_and(|client| !std::mem::replace(&mut client.is_client, true));
        if is_first {
            for (task, bytes) in self.task_ends.take_unsent() {
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
            info!(task = %task, connection = %id, "task end sent after its response");
            self.task_ends.record_sent(now, id, task, bytes);
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
                None => {
                    info!(task = %task, "task end waits for a client");
                    return self.task_ends.keep_unsent(task, bytes);
                }
                Some((id, client)) if client.conn.send(now, &bytes) => {
                    let id = *id;
                    info!(task = %task, connection = %id, proven = client.is_proven, "task end sent");
                    return self.task_ends.record_sent(now, id, task, bytes);
                }
                // It has closed under the write, and no byte has been sent.
                Some(_) => {}
            }
        }
    }
}
