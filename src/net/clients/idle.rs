//! Closes connections of clients that are stalled, idle, silent, or in the way of others.

use super::table::{Client, Clients, MIN_CONNECTION_AGE};
use crate::net::conn::{CloseReason, MAX_WRITE_STALL};
use task_placer::Micros;

/// A silent connection without a pending response is closed after this.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// How long a connection may go without a whole message, from its start or from part of one on.
const HANDSHAKE_TIMEOUT: Micros = 2_200_000;

impl Clients {
    /// Sets whether connections that carry no task are closed.
    pub fn set_close_idle(&mut self, closes_idle: bool) {
        self.closes_idle = closes_idle;
    }

    /// Closes the connections that carry no task, where that is required: neither a response nor the end of a task is
    /// pending on them.
    ///
    /// Guards against a close that takes a message along: nothing may be partly read, unsent or unread, a connection
    /// that has just opened has its first message still before it, and the end of a task that was sent just now is sent
    /// again elsewhere if it is not acknowledged.
    pub fn close_idle_connections(&self, now: Micros) {
        if !self.closes_idle {
            return;
        }
        let sent_lately = self.task_ends.sent_within(now, MIN_CONNECTION_AGE);
        for (id, client) in &self.connections {
            if client.running_tasks > 0 || client.conn.is_closing() {
                continue;
            }
            if !sent_lately.contains(id) && !client.is_busy(now) {
                client.conn.close(CloseReason::Draining);
            }
        }
    }

    /// Closes the connections on which no response is pending and nothing is partly read, unsent or unread, whatever tasks
    /// were placed on them.
    pub fn close_quiescent(&self, now: Micros) {
        for client in self.connections.values() {
            if !client.conn.is_closing() && !client.is_busy(now) {
                client.conn.close(CloseReason::Draining);
            }
        }
    }

    /// Closes connections that are stalled, long idle, or never send a whole message.
    pub fn sweep(&mut self, now: Micros) {
        for client in self.connections.values() {
            client.conn.close_if_write_stalled(now, MAX_WRITE_STALL);
            if !client.pending_responses.is_empty() {
                continue;
            }
            if now - client.last_message_at > IDLE_TIMEOUT {
                client.conn.close(CloseReason::Idle);
            }
            let awaited_since = client.message_awaited_since;
            if awaited_since.is_some_and(|since| now - since > HANDSHAKE_TIMEOUT) {
                client.conn.close(CloseReason::HandshakeTimeout);
            }
        }
        self.close_idle_connections(now);
        self.task_ends.forget_old(now);
    }

    /// Evicts up to `max` idle connections, and returns how many. One that has sent nothing goes before the one idle for
    /// longest; none with a pending response goes, nor one on which something waits to be read.
    pub fn evict_idle(&self, now: Micros, max: usize) -> usize {
        let clients = self.connections.values();
        let mut idle: Vec<&Client> = clients
            .filter(|client| client.pending_responses.is_empty() && !client.conn.is_closing())
            .filter(|client| {
                client.has_sent_message || now - client.last_message_at >= MIN_CONNECTION_AGE
            })
            .collect();
        idle.sort_by_key(|client| {
            (
                client.has_sent_message,
                client.is_proven,
                client.last_message_at,
            )
        });
        let evicted = idle
            .into_iter()
            .filter(|client| client.conn.has_no_unread_input())
            .take(max);
        evicted
            .map(|client| client.conn.close(CloseReason::Evicted))
            .count()
    }
}
