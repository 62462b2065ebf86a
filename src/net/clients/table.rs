//! The table of connections from clients, and what is pending on each.

use super::id::ClientId;
use super::pending_task_ends::PendingTaskEnds;
use super::read_summary::ReadSummary;
use crate::net::conn::{CloseReason, Connection};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use task_placer::descriptors::DescriptorQuotas;
use task_placer::facade::Ticket;
use task_placer::{HostId, Micros};

/// A connection this young may still be waiting for its first message: it is not closed for another.
pub(super) const MIN_CONNECTION_AGE: Micros = 100_000;

/// One connection from a client.
pub(super) struct Client {
    pub(super) conn: Rc<Connection>,
    /// Requests on it whose response is pending.
    pub(super) pending_responses: BTreeSet<Ticket>,
    /// When the last message arrived, or the connection.
    pub(super) last_message_at: Micros,
    /// Since when a whole message is awaited: from the start, or since part of one arrived.
    pub(super) message_awaited_since: Option<Micros>,
    /// A whole message has arrived.
    pub(super) has_sent_message: bool,
    /// A message has arrived that only clients send: it is no load balancer's that only checks health.
    pub(super) is_client: bool,
    /// A task has run that was requested or adopted on it.
    pub(super) is_proven: bool,
    /// Whether the last end of a task that was sent on it was acknowledged in time, if any was sent.
    pub(super) acknowledges_ends: Option<bool>,
    /// Running tasks that were requested or adopted on it.
    pub(super) running_tasks: usize,
    /// Since when its first input may have been waiting, until that is read.
    pub(super) input_waits_since: Option<Micros>,
    /// Bytes that were read from it.
    pub(super) bytes_read: u64,
    /// What arrived with the last read is being processed.
    pub(super) is_processing: bool,
    /// Hosts where attempts wait until its input has been processed.
    pub(super) waiting_hosts: BTreeSet<HostId>,
}

impl Client {
    fn new(now: Micros, conn: Rc<Connection>, waits_since: Option<Micros>) -> Client {
        let has_input = !conn.has_no_unread_input();
        Client {
            conn,
            pending_responses: BTreeSet::new(),
            last_message_at: now,
            message_awaited_since: Some(now),
            has_sent_message: false,
            is_client: false,
            is_proven: false,
            acknowledges_ends: None,
            running_tasks: 0,
            input_waits_since: waits_since.filter(|_| has_input),
            bytes_read: 0,
            is_processing: false,
            waiting_hosts: BTreeSet::new(),
        }
    }

    /// Whether a response is pending on it, part of a message is read, something is unsent or unread, or may arrive
    /// just now.
    pub(super) fn is_busy(&self, now: Micros) -> bool {
        let is_new = !self.has_sent_message && now - self.last_message_at < MIN_CONNECTION_AGE;
        let is_quiet = self.conn.is_flushed()
            && self.conn.has_no_unread_input()
            && !self.conn.has_partial_message();
        !self.pending_responses.is_empty() || is_new || !is_quiet
    }
}

/// All connections from clients.
pub struct Clients {
    pub(super) connections: BTreeMap<ClientId, Client>,
    next_id: u64,
    /// Ends of tasks that no client has acknowledged.
    pub(super) task_ends: PendingTaskEnds,
    /// Descriptors of the whole process.
    max_descriptors: usize,
    /// Connections that still read what arrives after their shutdown.
    pub(super) shutting_down: usize,
    /// Descriptors set apart for load balancers and operators.
    reserved_descriptors: usize,
    /// Connections without a task are closed.
    pub(super) closes_idle: bool,
}

impl Clients {
    /// Creates an empty table of connections within the descriptors of the whole process, less the reserved ones.
    pub fn new(max_descriptors: usize, reserved_descriptors: usize) -> Clients {
        Clients {
            connections: BTreeMap::new(),
            next_id: 0,
            task_ends: PendingTaskEnds::default(),
            max_descriptors,
            shutting_down: 0,
            reserved_descriptors,
            closes_idle: false,
        }
    }

    /// Adds a connection. It and its first input may have been waiting since the time stated, if one is.
    pub fn insert(
        &mut self,
        now: Micros,
        conn: Rc<Connection>,
        waits_since: Option<Micros>,
    ) -> ClientId {
        let id = ClientId(self.next_id);
        self.next_id += 1;
        self.connections
            .insert(id, Client::new(now, conn, waits_since));
        id
    }

    /// Removes a closed connection, and returns the requests whose response was pending on it. Guards against the end of
    /// a task that was written to it and not acknowledged: it is sent again on another.
    pub fn remove(&mut self, now: Micros, id: ClientId) -> BTreeSet<Ticket> {
        let client = self.connections.remove(&id);
        let pending_responses = client.map(|client| client.pending_responses);
        for task in self.task_ends.last_sent_on(id) {
            self.deliver_task_end(now, task);
        }
        pending_responses.unwrap_or_default()
    }

    // ---- What arrives ----

    /// Records that a whole message arrived.
    pub fn message_received(&mut self, now: Micros, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.last_message_at = now;
            client.has_sent_message = true;
            client.message_awaited_since = None;
        }
    }

    /// Returns since when the input of a connection may have been waiting that is read now, where that is known.
    pub fn input_waits_since(&self, id: ClientId) -> Option<Micros> {
        self.connections.get(&id)?.input_waits_since
    }

    /// Records what one read brought, once all its messages have been processed.
    pub fn input_read(&mut self, now: Micros, id: ClientId, summary: ReadSummary) {
        let Some(client) = self.connections.get_mut(&id) else {
            return;
        };
        if summary.has_message {
            client.last_message_at = now;
            client.has_sent_message = true;
            client.input_waits_since = None;
        }
        client.message_awaited_since = match client.message_awaited_since {
            Some(since) if summary.has_partial_message && !summary.has_message => Some(since),
            _ => summary.has_partial_message.then_some(now),
        };
    }

    /// Records that a message is being processed, and others that arrived with it may follow.
    pub fn input_processing_started(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.is_processing = true;
        }
    }

    /// Records that all that arrived with the last read has been processed, and returns the hosts where attempts waited
    /// for that.
    pub fn input_processed(&mut self, id: ClientId, bytes: usize) -> BTreeSet<HostId> {
        let Some(client) = self.connections.get_mut(&id) else {
            return BTreeSet::new();
        };
        client.is_processing = false;
        client.bytes_read = client.bytes_read.saturating_add(bytes as u64);
        std::mem::take(&mut client.waiting_hosts)
    }

    /// Records that an attempt for this client waits at a host until its input has been processed.
    pub fn wait_for_input(&mut self, id: ClientId, host: &HostId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.waiting_hosts.insert(host.clone());
        }
    }

    // ---- What is pending ----

    /// Records that a response is pending on a connection.
    pub fn response_pending(&mut self, id: ClientId, ticket: Ticket) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.pending_responses.insert(ticket);
        }
    }

    /// Records that a response is no longer pending on a connection.
    pub fn response_sent(&mut self, id: ClientId, ticket: Ticket) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.pending_responses.remove(&ticket);
        }
    }

    /// Records that a task has run which was requested or adopted on a connection.
    pub fn record_task_run(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.is_proven = true;
        }
    }

    /// Records that a task runs which was requested or adopted on a connection.
    pub fn running_task_started(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.running_tasks += 1;
        }
    }

    /// Records that such a task no longer runs.
    pub fn running_task_ended(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.running_tasks = client.running_tasks.saturating_sub(1);
        }
    }

    // ---- Writing and closing ----

    /// Writes to a connection, if it is still there.
    pub fn send(&self, now: Micros, id: ClientId, bytes: &[u8]) {
        if let Some(client) = self.connections.get(&id) {
            client.conn.send(now, bytes);
        }
    }

    /// Closes a connection.
    pub fn close(&self, id: ClientId, reason: CloseReason) {
        if let Some(client) = self.connections.get(&id) {
            client.conn.close(reason);
        }
    }

    /// Returns the number of connections whose write queue is not empty.
    pub fn unflushed_connections(&self) -> usize {
        let clients = self.connections.values();
        clients.filter(|client| !client.conn.is_flushed()).count()
    }

    /// Whether all that was sent has been handed to the system.
    pub fn is_flushed(&self) -> bool {
        let mut clients = self.connections.values();
        clients.all(|client| client.conn.is_flushed())
    }

    /// Whether no connection is busy.
    pub fn is_quiescent(&self, now: Micros) -> bool {
        let mut clients = self.connections.values();
        clients.all(|client| client.conn.is_closing() || !client.is_busy(now))
    }

    /// Whether nothing waits to be read on any connection.
    pub(super) fn has_no_unread_input(&self) -> bool {
        let mut clients = self.connections.values();
        clients.all(|client| client.conn.is_closing() || client.conn.has_no_unread_input())
    }

    /// Closes all connections for writing, and reads nothing more from them.
    pub(super) fn shutdown_unread(&self) {
        let clients = self.connections.values();
        clients.for_each(|client| client.conn.shutdown_unread());
    }

    // ---- Limits ----

    /// Sets the descriptors of the whole process.
    pub fn set_descriptor_limit(&mut self, max_descriptors: usize) {
        self.max_descriptors = max_descriptors;
    }

    /// Returns how the descriptors are split with this number of hosts.
    pub fn descriptor_quotas(&self, hosts: usize) -> DescriptorQuotas {
        DescriptorQuotas::split(self.max_descriptors, self.reserved_descriptors, hosts)
    }

    /// Returns how many connections there may be with this number of hosts.
    pub fn connection_limit(&self, hosts: usize) -> usize {
        self.descriptor_quotas(hosts).clients
    }

    /// Returns how many connections there are, with those that are shutting down.
    pub fn live_connections(&self) -> usize {
        let clients = self.connections.values();
        let open = clients.filter(|client| !client.conn.is_closing()).count();
        open + self.shutting_down
    }

    /// Whether another connection would exceed the limit.
    pub fn is_full(&self, hosts: usize) -> bool {
        self.live_connections() >= self.connection_limit(hosts)
    }
}
