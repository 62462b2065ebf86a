//! Closes connections that this process no longer wants although their clients go on using them.
//!
//! A retired connection is closed at the first moment at which nothing is pending on it. A client that sends requests
//! without a pause leaves no such moment, so after a while its new requests are rejected, and after another while
//! unread input no longer keeps its connection open. A pending response always does.

use super::id::ClientId;
use super::table::{Client, Clients, MIN_CONNECTION_AGE};
use crate::net::conn::CloseReason;
use task_placer::Micros;

/// How long after its retirement the new requests of a connection are rejected.
const REJECT_AFTER: Micros = 500_000;
/// How long after its retirement a connection without a pending response is closed despite unread input.
const CLOSE_AFTER: Micros = 1_000_000;
/// How long after the begin of a drain a request shows that the connection stays in use. The platform allows a connection
/// with running tasks to stay open if its last request came within 2 s of the drain.
const IN_USE_AFTER: Micros = 1_000_000;

/// The retirement of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Retirement {
    pub(super) since: Micros,
    pub(super) reason: CloseReason,
}

impl Clients {
    /// Retires a connection. If it is retired already, the first retirement counts.
    pub fn retire(&mut self, now: Micros, id: ClientId, reason: CloseReason) {
        if let Some(client) = self.connections.get_mut(&id) {
            client
                .retirement
                .get_or_insert(Retirement { since: now, reason });
        }
    }

    /// Sets whether the placer drains, so that connections on which requests go on arriving are retired. At the end of the
    /// drain they are wanted again.
    pub fn set_draining(&mut self, now: Micros, is_draining: bool) {
        if is_draining {
            self.draining_since.get_or_insert(now);
            return;
        }
        self.draining_since = None;
        for client in self.connections.values_mut() {
            client
                .retirement
                .take_if(|retirement| retirement.reason == CloseReason::Draining);
        }
    }

    /// Retires the connections on which requests arrive although the placer has been draining for a while.
    pub fn retire_used(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let retirement = Retirement {
            since: since + IN_USE_AFTER,
            reason: CloseReason::Draining,
        };
        for client in self.connections.values_mut() {
            if client.last_request_at >= Some(retirement.since) {
                client.retirement.get_or_insert(retirement);
            }
        }
    }

    /// Returns the draining connections whose new requests are rejected, and on which responses are pending.
    pub fn draining_with_pending_responses(&self, now: Micros) -> Vec<ClientId> {
        let connections = self.connections.iter();
        connections
            .filter(|(_, client)| !client.pending_responses.is_empty())
            .filter_map(|(id, client)| Some((*id, client.retirement?)))
            .filter(|(_, retirement)| {
                retirement.reason == CloseReason::Draining && retirement.rejects_requests(now)
            })
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns whether new requests on a connection are to be rejected, so that it can be closed.
    pub fn rejects_requests(&self, now: Micros, id: ClientId) -> bool {
        let client = self.connections.get(&id);
        let retirement = client.and_then(|client| client.retirement);
        retirement.is_some_and(|retirement| retirement.rejects_requests(now))
    }

    /// Closes the retired connections on which nothing is pending.
    pub fn close_retired(&self, now: Micros) {
        let retired = self
            .connections
            .iter()
            .filter_map(|(id, client)| Some((id, client, client.retirement?)));
        let mut sent_lately = None;
        for (id, client, retirement) in retired {
            if client.conn.is_closing() {
                continue;
            }
            let sent_lately = sent_lately
                .get_or_insert_with(|| self.task_ends.sent_within(now, MIN_CONNECTION_AGE));
            let is_idle = !client.is_busy(now) && !sent_lately.contains(id);
            if is_idle || client.is_overdue(now, retirement) {
                client.conn.close(retirement.reason);
            }
        }
    }
}

impl Retirement {
    fn rejects_requests(self, now: Micros) -> bool {
        now - self.since >= REJECT_AFTER
    }
}

impl Client {
    /// Returns whether a retired connection is closed despite unread input.
    fn is_overdue(&self, now: Micros, retirement: Retirement) -> bool {
        now - retirement.since >= CLOSE_AFTER
            && self.pending_responses.is_empty()
            && self.conn.is_flushed()
    }
}
