//! What happens on connections from clients, for whoever decides what follows.

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
    /// It was accepted at once.
    None,
    /// The limit was reached, and no idle connection could be evicted for it.
    Waited,
}

/// Handles what happens on connections from clients. Each call is handled before it returns.
pub trait ClientEvents {
    /// Returns the time now.
    fn now(&self) -> Micros;

    /// Returns the connections.
    fn clients(&self) -> &Clients;

    /// Returns the connections, for changes.
    fn clients_mut(&mut self) -> &mut Clients;

    /// Whether this process accepts connections; another one does otherwise.
    fn accepts_connections(&self) -> bool;

    /// Whether another connection would exceed the limit.
    fn client_limit_reached(&self) -> bool;

    /// Whether the process must exit, whatever is left.
    fn exit_is_overdue(&self) -> bool;

    /// There is a free descriptor for a connection that is to be accepted.
    fn client_accepted(&mut self, now: Micros, wait: AcceptWait);

    /// A connection has been accepted. It and its first input may have been waiting since the time stated, if one is.
    fn client_opened(&mut self, conn: Rc<Connection>, waits_since: Option<Micros>) -> ClientId;

    /// A message has arrived.
    fn client_message(&mut self, client: ClientId, id: TaskId, message: ClientMessage);

    /// All messages of one read have been handed over.
    fn client_read(&mut self, client: ClientId, summary: ReadSummary);

    /// A connection has ended, and with it the requests whose response was pending on it.
    fn client_closed(&mut self, client: ClientId, reason: CloseReason);
}
