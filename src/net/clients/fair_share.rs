//! Keeps one connection from using up what all requests share: the queue of the decision module and the attempts that
//! hosts accept at a time.
//!
//! Requests of all connections wait in one queue, so a connection that sends without a pause would make all others wait
//! behind it. While requests of other connections wait, a connection may therefore have no more pending responses than
//! a multiple of what those have in the mean. A single connection has no such limit, and neither have many that are in
//! similar use.

use super::id::ClientId;
use super::table::{Client, Clients};

/// The number of pending responses that a connection may always have.
const MIN_SHARE: usize = 8;
/// The multiple of the mean number of pending responses on the other connections that one connection may have.
const SHARE_FACTOR: usize = 4;

/// The requests whose responses are pending, on all connections together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PendingTotals {
    /// The number of pending responses.
    pub(super) responses: usize,
    /// The number of connections with a pending response.
    pub(super) connections: usize,
    /// The number of requests that are not assigned to a host.
    pub(super) queued: usize,
}

impl PendingTotals {
    /// Subtracts what is no longer pending.
    pub(super) fn remove(&mut self, responses: usize, connections: usize, queued: usize) {
        self.responses = self.responses.saturating_sub(responses);
        self.connections = self.connections.saturating_sub(connections);
        self.queued = self.queued.saturating_sub(queued);
    }

    /// Returns how many responses may be pending on a connection on which `own` are, `own_queued` of them for requests
    /// that are not assigned to a host.
    fn limit(self, own: usize, own_queued: usize) -> usize {
        let others_wait = self.queued > own_queued;
        let other_connections = self.connections.saturating_sub(usize::from(own > 0));
        if !others_wait || other_connections == 0 {
            return usize::MAX;
        }
        let mean = self
            .responses
            .saturating_sub(own)
            .div_ceil(other_connections);
        MIN_SHARE.max(SHARE_FACTOR * mean)
    }
}

impl Clients {
    /// Returns whether another pending response on a connection would exceed its share.
    pub fn has_used_its_share(&self, id: ClientId) -> bool {
        let client = self.connections.get(&id);
        client.is_some_and(|client| client.pending_responses.len() >= self.share_of(client))
    }

    /// Returns the connection that exceeds its share by most, if any does.
    pub fn most_over_its_share(&self) -> Option<ClientId> {
        if self.pending.queued == 0 || self.pending.connections < 2 {
            return None;
        }
        let connections = self.connections.iter();
        let (id, _) = connections.max_by_key(|(_, client)| client.pending_responses.len())?;
        self.exceeds_its_share(*id).then_some(*id)
    }

    /// Returns whether a connection exceeds its share.
    pub fn exceeds_its_share(&self, id: ClientId) -> bool {
        let client = self.connections.get(&id);
        client.is_some_and(|client| client.pending_responses.len() > self.share_of(client))
    }

    fn share_of(&self, client: &Client) -> usize {
        self.pending
            .limit(client.pending_responses.len(), client.queued_requests)
    }

    /// Records that a request from this connection is not assigned to a host.
    pub fn request_queued(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.queued_requests += 1;
            self.pending.queued += 1;
        }
    }

    /// Records that a request from this connection is assigned to a host, or is over.
    pub fn request_unqueued(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id)
            && client.queued_requests > 0
        {
            client.queued_requests -= 1;
            self.pending.remove(0, 0, 1);
        }
    }
}

#[cfg(test)]
mod tests;
