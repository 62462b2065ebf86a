//! Closes client connections that are stalled, idle or silent, or whose descriptors are needed for other connections.

use super::table::{Client, Clients, MIN_CONNECTION_AGE};
use crate::net::conn::{CloseReason, MAX_WRITE_STALL};
use task_placer::Micros;

/// Time without a message after which a connection without a pending response is closed.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// Time within which a whole message must arrive, counted from the opening of the connection or from the arrival of
/// part of a message.
const HANDSHAKE_TIMEOUT: Micros = 2_200_000;

impl Clients {
    /// Sets whether connections without running tasks are closed.
    pub fn set_close_idle(&mut self, closes_idle: bool) {
        self.closes_idle = closes_idle;
    }

    /// Closes idle connections if `set_close_idle` has enabled that: connections without running tasks, on which
    /// neither a response nor the end of a task is pending.
    ///
    /// No message may be lost by the close. A connection is therefore kept while a message is partly read, unsent or
    /// unread, and while it is so new that its first message may still be on its way. The end of a task that was sent
    /// shortly before also keeps its connection open; if it is not acknowledged, it is sent again on another
    /// connection.
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

    /// Closes all connections on which no response is pending and nothing is partly read, unsent or unread, even if
    /// tasks that were placed on them are running.
    pub fn close_quiescent(&self, now: Micros) {
        for client in self.connections.values() {
            if !client.conn.is_closing() && !client.is_busy(now) {
                client.conn.close(CloseReason::Draining);
            }
        }
    }

    /// Closes connections that are stalled, have been idle for too long, or did not send a whole message in time, and
    /// discards task ends that were not acknowledged in time.
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

    /// Evicts up to `max` idle connections, and returns how many were evicted. Connections that have sent nothing are
    /// evicted first, then those without a task that has run, and within each group those idle for longest. Connections
    /// with a pending response or unread input are never evicted.
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
                client.has_run_task,
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
