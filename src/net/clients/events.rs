//! Events on connections from clients, for the code that decides how to react to them.

use super::id::ClientId;
use super::read_summary::ReadSummary;
use super::table::Clients;
use crate::net::codec::TaskId;
use crate::net::codec::binary::ClientMessage;
use crate::net::conn::{CloseReason, Connection};
use std::rc::Rc;
use task_placer::Micros;

/// Whether a connection waited for a free descriptor before it was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptWait {
    /// The connection was accepted at once.
    None,
    /// The connection limit was reached, and no idle connection could be evicted.
    Waited,
}

/// Handles events on connections from clients. Each event is handled completely before the call returns.
pub trait ClientEvents {
    /// Returns the current time.
    fn now(&self) -> Micros;

    /// Returns the table of client connections.
    fn clients(&self) -> &Clients;

    /// Returns the table of client connections for modification.
    fn clients_mut(&mut self) -> &mut Clients;

    /// Returns whether this process accepts connections; if not, another process does.
    fn accepts_connections(&self) -> bool;

    /// Returns whether another connection would exceed the connection limit.
    fn client_limit_reached(&self) -> bool;

    /// Returns whether the process must exit now, even with work left to do.
    fn exit_is_overdue(&self) -> bool;

    /// Called when a descriptor is free for a connection that is about to be accepted. `wait` states whether the
    /// connection had to wait for it.
    fn client_accepted(&mut self, now: Micros, wait: AcceptWait);

    /// Called when a connection has been accepted; returns the id assigned to it. The connection and its first input
    /// may have been waiting since `waits_since`, if that is known.
    fn client_opened(&mut self, conn: Rc<Connection>, waits_since: Option<Micros>) -> ClientId;

    /// Called for each message that arrives from a client.
    fn client_message(&mut self, client: ClientId, id: TaskId, message: ClientMessage);

    /// Called after all messages of one read have been passed to `client_message`.
    fn client_read(&mut self, client: ClientId, summary: ReadSummary);

    /// Called when a connection has ended, which also ends the requests whose response was pending on it.
    fn client_closed(&mut self, client: ClientId, reason: CloseReason);
}
