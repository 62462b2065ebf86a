//! The table of client connections, with the responses that are pending on each and the task ends to be delivered.

use super::fair_share::PendingTotals;
use super::id::ClientId;
use super::pending_task_ends::PendingTaskEnds;
use super::read_summary::ReadSummary;
use super::retirement::Retirement;
use crate::net::conn::{CloseReason, Connection};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use task_placer::descriptors::DescriptorQuotas;
use task_placer::facade::Ticket;
use task_placer::operation::rate_limit::{AdmittedRequests, RateLimit};
use task_placer::{HostId, Micros};

/// Age below which a connection may still be waiting for its first message, and is not evicted for another connection.
pub(super) const MIN_CONNECTION_AGE: Micros = 100_000;

/// One connection from a client.
pub(super) struct Client {
    pub(super) conn: Rc<Connection>,
    /// Requests from this connection whose response is pending.
    pub(super) pending_responses: BTreeSet<Ticket>,
    /// Number of those whose request is not assigned to a host.
    pub(super) queued_requests: usize,
    /// The requests admitted by the rate limit.
    pub(super) admitted_requests: AdmittedRequests,
    /// When the last request to place or adopt a task arrived.
    pub(super) last_request_at: Option<Micros>,
    /// When the last message arrived, or when the connection was added if there was none.
    pub(super) last_message_at: Micros,
    /// Since when a whole message is awaited: since the connection was added, or since part of a message arrived.
    pub(super) message_awaited_since: Option<Micros>,
    /// Whether a whole message has arrived.
    pub(super) has_sent_message: bool,
    /// Whether a message has arrived that only clients send, which excludes load balancers that only check health.
    pub(super) is_client: bool,
    /// Whether a task that was requested or adopted on this connection has run.
    pub(super) has_run_task: bool,
    /// Whether the last task end sent on this connection was acknowledged in time; `None` if none was sent.
    pub(super) acknowledges_ends: Option<bool>,
    /// Number of running tasks that were requested or adopted on this connection.
    pub(super) running_tasks: usize,
    /// Since when the first input of the connection may have been waiting; `None` once that input has been read.
    pub(super) input_waits_since: Option<Micros>,
    /// Number of bytes read from this connection and processed.
    pub(super) bytes_read: u64,
    /// Whether the input of the last read is being processed.
    pub(super) is_processing: bool,
    /// Hosts whose attempts wait until the input of this connection has been processed.
    pub(super) waiting_hosts: BTreeSet<HostId>,
    /// Set once this process no longer wants the connection.
    pub(super) retirement: Option<Retirement>,
}

impl Client {
    fn new(now: Micros, conn: Rc<Connection>, waits_since: Option<Micros>) -> Client {
        let has_input = !conn.has_no_unread_input();
        Client {
            conn,
            pending_responses: BTreeSet::new(),
            queued_requests: 0,
            admitted_requests: AdmittedRequests::default(),
            last_request_at: None,
            last_message_at: now,
            message_awaited_since: Some(now),
            has_sent_message: false,
            is_client: false,
            has_run_task: false,
            acknowledges_ends: None,
            running_tasks: 0,
            input_waits_since: waits_since.filter(|_| has_input),
            bytes_read: 0,
            is_processing: false,
            waiting_hosts: BTreeSet::new(),
            retirement: None,
        }
    }

    /// Returns whether a response is pending on the connection, a message is partly read, data is unsent or unread, or
    /// the connection is so new that its first message may be about to arrive.
    pub(super) fn is_busy(&self, now: Micros) -> bool {
        let is_new = !self.has_sent_message && now - self.last_message_at < MIN_CONNECTION_AGE;
        let is_quiet = self.conn.is_flushed()
            && self.conn.has_no_unread_input()
            && !self.conn.has_partial_message();
        !self.pending_responses.is_empty() || is_new || !is_quiet
    }
}

/// All connections from clients, with the task ends that are to be delivered to them.
pub struct Clients {
    pub(super) connections: BTreeMap<ClientId, Client>,
    next_id: u64,
    /// The requests whose responses are pending on all connections.
    pub(super) pending: PendingTotals,
    /// Limits the rate of requests.
    rate_limit: RateLimit,
    /// Task ends that no client has acknowledged.
    pub(super) task_ends: PendingTaskEnds,
    /// Limit of descriptors of the whole process.
    max_descriptors: usize,
    /// Number of connections that have been removed from the table but keep their descriptors until their shutdown
    /// completes.
    pub(super) shutting_down: usize,
    /// Number of descriptors reserved for load balancers and operators.
    reserved_descriptors: usize,
    /// Whether connections without running tasks are closed.
    pub(super) closes_idle: bool,
    /// Since when the placer drains, so that connections which are still used are retired.
    pub(super) draining_since: Option<Micros>,
}

impl Clients {
    /// Creates an empty table. Connections may use the process's descriptors, except for the reserved ones.
    pub fn new(max_descriptors: usize, reserved_descriptors: usize) -> Clients {
        Clients {
            connections: BTreeMap::new(),
            next_id: 0,
            pending: PendingTotals::default(),
            rate_limit: RateLimit::default(),
            task_ends: PendingTaskEnds::default(),
            max_descriptors,
            shutting_down: 0,
            reserved_descriptors,
            closes_idle: false,
            draining_since: None,
        }
    }

    /// Adds a connection, and returns its id. The connection and its first input may have been waiting since
    /// `waits_since`, if that is known.
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

    /// Removes a closed connection, and returns the requests whose response was pending on it. Task ends that were sent
    /// on it and not acknowledged are sent again on another connection, so that they are not lost with it.
    pub fn remove(&mut self, now: Micros, id: ClientId) -> BTreeSet<Ticket> {
        let client = self.connections.remove(&id);
        if let Some(client) = &client {
            let responses = client.pending_responses.len();
            let connections = usize::from(responses > 0);
            self.pending
                .remove(responses, connections, client.queued_requests);
        }
        let pending_responses = client.map(|client| client.pending_responses);
        for task in self.task_ends.last_sent_on(id) {
            self.deliver_task_end(now, task);
        }
        pending_responses.unwrap_or_default()
    }

    // ---- Reading and processing of input ----

    /// Records that a whole message arrived.
    pub fn message_received(&mut self, now: Micros, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.last_message_at = now;
            client.has_sent_message = true;
            client.message_awaited_since = None;
        }
    }

    /// Records that a request to place or adopt a task arrived.
    pub fn request_received(&mut self, now: Micros, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.last_request_at = Some(now);
        }
    }

    /// Returns whether a request is within the limits on the rate of requests, and counts it if it is.
    pub fn is_within_rate_limit(&mut self, now: Micros, id: ClientId) -> bool {
        let client = self.connections.get_mut(&id);
        client.is_none_or(|client| self.rate_limit.admit(now, &mut client.admitted_requests))
    }

    /// Returns since when the input that is now being read from a connection may have been waiting, if that is known.
    pub fn input_waits_since(&self, id: ClientId) -> Option<Micros> {
        self.connections.get(&id)?.input_waits_since
    }

    /// Records the result of one read, after all its messages have been processed.
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

    /// Records that a message is being processed, and that other messages of the same read may follow.
    pub fn input_processing_started(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.is_processing = true;
        }
    }

    /// Records that all input of the last read, `bytes` long, has been processed, and returns the hosts whose attempts
    /// waited for that.
    pub fn input_processed(&mut self, id: ClientId, bytes: usize) -> BTreeSet<HostId> {
        let Some(client) = self.connections.get_mut(&id) else {
            return BTreeSet::new();
        };
        client.is_processing = false;
        client.bytes_read = client.bytes_read.saturating_add(bytes as u64);
        std::mem::take(&mut client.waiting_hosts)
    }

    /// Records that an attempt for this client waits at `host` until the client's input has been processed.
    pub fn wait_for_input(&mut self, id: ClientId, host: &HostId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.waiting_hosts.insert(host.clone());
        }
    }

    // ---- Pending responses and running tasks ----

    /// Records that a response is pending on a connection.
    pub fn response_pending(&mut self, id: ClientId, ticket: Ticket) {
        if let Some(client) = self.connections.get_mut(&id) {
            let is_first = client.pending_responses.is_empty();
            if client.pending_responses.insert(ticket) {
                self.pending.responses += 1;
                self.pending.connections += usize::from(is_first);
            }
        }
    }

    /// Records that a response is no longer pending on a connection.
    pub fn response_sent(&mut self, id: ClientId, ticket: Ticket) {
        if let Some(client) = self.connections.get_mut(&id)
            && client.pending_responses.remove(&ticket)
        {
            let is_last = client.pending_responses.is_empty();
            self.pending.remove(1, usize::from(is_last), 0);
        }
    }

    /// Returns the latest request with a pending response on a connection that meets the condition.
    pub fn latest_pending(
        &self,
        id: ClientId,
        condition: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        let pending = &self.connections.get(&id)?.pending_responses;
        pending
            .iter()
            .rev()
            .copied()
            .find(|ticket| condition(ticket))
    }

    /// Records that a task which was requested or adopted on this connection has run.
    pub fn record_task_run(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.has_run_task = true;
        }
    }

    /// Records that a task which was requested or adopted on this connection is running.
    pub fn running_task_started(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.running_tasks += 1;
        }
    }

    /// Records that a task which was requested or adopted on this connection has ended.
    pub fn running_task_ended(&mut self, id: ClientId) {
        if let Some(client) = self.connections.get_mut(&id) {
            client.running_tasks = client.running_tasks.saturating_sub(1);
        }
    }

    // ---- Writing and closing ----

    /// Writes to a connection, if it still exists.
    pub fn send(&self, now: Micros, id: ClientId, bytes: &[u8]) {
        if let Some(client) = self.connections.get(&id) {
            client.conn.send(now, bytes);
        }
    }

    /// Closes a connection for the given reason, if it still exists.
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

    /// Returns whether all data sent to clients has been handed to the kernel.
    pub fn is_flushed(&self) -> bool {
        let mut clients = self.connections.values();
        clients.all(|client| client.conn.is_flushed())
    }

    /// Returns whether every connection is closing or idle: no response is pending and no data is unsent, unread or
    /// expected.
    pub fn is_quiescent(&self, now: Micros) -> bool {
        let mut clients = self.connections.values();
        clients.all(|client| client.conn.is_closing() || !client.is_busy(now))
    }

    /// Returns whether no open connection has unread input.
    pub(super) fn has_no_unread_input(&self) -> bool {
        let mut clients = self.connections.values();
        clients.all(|client| client.conn.is_closing() || client.conn.has_no_unread_input())
    }

    /// Shuts down the write side of all connections, and stops reading from them.
    pub(super) fn shutdown_unread(&self) {
        let clients = self.connections.values();
        clients.for_each(|client| client.conn.shutdown_unread());
    }

    // ---- Limits on descriptors and connections ----

    /// Sets the limit of descriptors of the whole process.
    pub fn set_descriptor_limit(&mut self, max_descriptors: usize) {
        self.max_descriptors = max_descriptors;
    }

    /// Returns how the descriptors are divided between clients and other uses with this number of hosts.
    pub fn descriptor_quotas(&self, hosts: usize) -> DescriptorQuotas {
        DescriptorQuotas::split(self.max_descriptors, self.reserved_descriptors, hosts)
    }

    /// Returns the limit of client connections with this number of hosts.
    pub fn connection_limit(&self, hosts: usize) -> usize {
        self.descriptor_quotas(hosts).clients
    }

    /// Returns the number of open connections, including those that are shutting down.
    pub fn live_connections(&self) -> usize {
        let clients = self.connections.values();
        let open = clients.filter(|client| !client.conn.is_closing()).count();
        open + self.shutting_down
    }

    /// Returns whether another connection would exceed the limit with this number of hosts.
    pub fn is_full(&self, hosts: usize) -> bool {
        self.live_connections() >= self.connection_limit(hosts)
    }
}
