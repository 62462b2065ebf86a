//! Runs the connections to hosts: one connection per host, kept open and made again when lost. This module does not
//! depend on dispatch: events and decisions about a connection are delegated to the implementation of [`HostEvents`].

mod connect_reason;

pub use connect_reason::{ConnectCounters, ConnectReason};

use super::clients::ReadMark;
use super::clock::Clock;
use super::codec::feed::DiscoveredEndpoint;
use super::codec::lines::HostMessage;
use super::codec::{MAX_MESSAGE_BYTES, TaskId, lines, next_line};
use super::conn::{CloseReason, Connection};
use super::system_error::{is_local_fault, is_out_of_descriptors};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use task_placer::facade::Ticket;
use task_placer::{CellId, EndpointState, HostId, KindId, Micros, Resources, ZoneId};

/// The reconnect backoff after the first failed connect. It doubles with each further failure in a row.
const BASE_RECONNECT_BACKOFF: Micros = 50_000;
/// The maximum reconnect backoff.
const MAX_RECONNECT_BACKOFF: Micros = 800_000;
/// The maximum number of times that the base backoff is doubled, which bounds the shift that computes it.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// How long to wait for a host to detect that its connection was closed, before another connection is made.
const CLOSE_DETECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// Identifies a connection among the connections to one host.
pub type ConnectionId = u64;

/// Whether an established connection is to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection is kept and becomes the current connection to its host.
    InUse,
    /// The connection is no longer wanted, and is closed.
    NotWanted,
}

/// Handles the events of connections to hosts. Each event is handled completely before the call returns.
pub trait HostEvents {
    /// A connection has been established. Returns whether it is to be used.
    fn host_connected(
        &mut self,
        host: &HostId,
        id: ConnectionId,
        conn: Rc<Connection>,
    ) -> ConnectOutcome;

    /// A connection could not be established.
    fn host_connect_failed(&mut self, host: &HostId, id: ConnectionId, error: ConnectError);

    /// A message has arrived from a host.
    fn host_message(&mut self, host: &HostId, task: TaskId, message: HostMessage);

    /// A connection that was in use has closed.
    fn host_closed(&mut self, host: &HostId, id: ConnectionId, reason: CloseReason);

    /// The host has closed a connection that this process had closed because of unreadable input, some time after the
    /// call of [`HostEvents::host_closed`]. Messages that the host sent in between are lost.
    fn host_stopped_sending(&mut self, host: &HostId);

    /// The descriptor of a connection, or of a connect that did not succeed, has been closed.
    fn host_descriptor_released(&mut self, host: &HostId, id: ConnectionId);
}

/// The state of the current connection to a host.
pub enum ConnectionState {
    /// There is no connection.
    Disconnected,
    /// A connection is being made; a message on the channel aborts the connect.
    Connecting(Sender<()>),
    /// The connection is established.
    Connected(Rc<Connection>),
}

/// An attempt of which no byte has been sent.
#[derive(Debug, Clone, Copy)]
pub struct PendingAttempt {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The attempt's number within the request.
    pub attempt: u32,
    /// How much of the client's input must be read before the attempt is sent, if that has been determined.
    pub read_mark: Option<ReadMark>,
}

/// One host: its entry in the endpoint list, the connections to it, and the attempts waiting to be sent on them.
pub struct HostLink {
    /// The address at which the host listens, if known.
    pub address: Option<SocketAddr>,
    /// Whether another host has its address now, so that its process has exited.
    pub was_replaced: bool,
    /// The kind of the host.
    pub kind: KindId,
    /// The host's state in the endpoint list.
    pub state: EndpointState,
    /// The host's cell; machines of a cell may fail together.
    pub cell: CellId,
    /// The host's zone.
    pub zone: ZoneId,
    /// Resources that no task has requested, according to the endpoint list.
    pub free_resources: Resources,
    /// When the host last rejected an attempt for lack of capacity, if it has not started a task since.
    pub rejected_full_at: Option<Micros>,
    /// When the host's process started, on the clock of this process, or 0 if unknown.
    pub started_at: Micros,
    /// When the host's process started according to the endpoint list, in Unix time, or 0 if unknown.
    pub listed_start: Micros,
    /// The state of the current connection.
    pub connection: ConnectionState,
    /// The id of the latest connection or connect.
    pub connection_id: ConnectionId,
    /// The reason for the latest connection or connect.
    pub connect_reason: ConnectReason,
    /// Open connections that are no longer the current one, because a second one was made after they fell silent or
    /// messages were lost, or because they were evicted. Attempts may still be in flight on them.
    pub replaced: Vec<(ConnectionId, Rc<Connection>)>,
    /// When the last message arrived from the host, or the last connection was established.
    pub last_message_at: Micros,
    /// When the last connect began.
    pub last_connect_at: Micros,
    /// When a current connection last ended or was evicted.
    pub last_closed_at: Micros,
    /// Whether a second connection is to be made beside the established one, unless a message arrives from the host
    /// before.
    pub is_suspect: bool,
    /// Whether a second connection is to be made even if a message arrives before. Ends of tasks may have been lost,
    /// and a host repeats them on the next connection that opens.
    pub needs_repeated_ends: bool,
    /// Attempts of which no byte has been sent: they wait for the connection, for its write queue to be empty, or for
    /// unread input of their clients.
    pub pending_attempts: Vec<PendingAttempt>,
    /// The number of successive failed connects. It is reset to 0 when a connect succeeds, when a connect is
    /// aborted because the host's address has changed, and when no connection to the host is needed any more.
    pub connect_failures: u32,
    /// When the first of the connects counted in `connect_failures` failed, if any failed.
    pub unreachable_since: Option<Micros>,
    /// When the tasks at the host count as lost, unless the host is reached before.
    pub tasks_lost_at: Option<Micros>,
    /// Whether the last failed connect was refused by the host's machine.
    pub was_refused: bool,
}

impl HostLink {
    /// Creates the link to a host that has just been listed, without a connection.
    pub fn new(discovered: &DiscoveredEndpoint) -> HostLink {
        let endpoint = &discovered.endpoint;
        HostLink {
            address: discovered.address,
            was_replaced: false,
            kind: endpoint.kind,
            state: endpoint.state,
            cell: endpoint.cell,
            zone: endpoint.zone,
            free_resources: endpoint.free(),
            started_at: 0,
            listed_start: 0,
            rejected_full_at: None,
            connection: ConnectionState::Disconnected,
            connection_id: 0,
            connect_reason: ConnectReason::default(),
            replaced: Vec::new(),
            last_message_at: 0,
            last_connect_at: 0,
            last_closed_at: 0,
            is_suspect: false,
            needs_repeated_ends: false,
            pending_attempts: Vec::new(),
            connect_failures: 0,
            unreachable_since: None,
            tasks_lost_at: None,
            was_refused: false,
        }
    }

    /// Returns when the host's process started, on the clock of this process. Each start time in the endpoint list is
    /// converted only once, so that a later step of the system clock does not make the process look like a new one.
    pub fn local_start(&mut self, listed_start: Micros, clock: &Clock) -> Micros {
        if self.listed_start == listed_start {
            return self.started_at;
        }
        self.listed_start = listed_start;
        if listed_start == 0 {
            return 0;
        }
        clock.convert_unix(listed_start)
    }

    /// Returns the start of the host's process as the endpoint list states it.
    pub fn listed_start(&self) -> Micros {
        self.listed_start
    }

    /// Whether an entry of the endpoint list states the same process as the last one: the same address and start.
    pub fn is_listed_as(&self, discovered: &DiscoveredEndpoint) -> bool {
        let has_address = discovered.address.is_none() || discovered.address == self.address;
        has_address && discovered.endpoint.started_at == self.listed_start
    }

    /// Whether the connection with this id is being made.
    pub fn is_connecting(&self, id: ConnectionId) -> bool {
        self.connection_id == id && matches!(self.connection, ConnectionState::Connecting(_))
    }

    /// Returns the current connection, if it is established.
    pub fn current_connection(&self) -> Option<&Rc<Connection>> {
        match &self.connection {
            ConnectionState::Connected(conn) => Some(conn),
            ConnectionState::Disconnected | ConnectionState::Connecting(_) => None,
        }
    }

    /// Returns the connection with this id, if it is open.
    pub fn open_connection(&self, id: ConnectionId) -> Option<&Rc<Connection>> {
        match &self.connection {
            ConnectionState::Connected(conn) if self.connection_id == id => Some(conn),
            _ => {
                let replaced = self.replaced.iter().find(|(replaced, _)| *replaced == id);
                replaced.map(|(_, conn)| conn)
            }
        }
    }

    /// Whether a second connection is wanted beside the established one.
    pub fn wants_second_connection(&self) -> bool {
        self.is_suspect || self.needs_repeated_ends
    }

    /// Returns all open connections with their ids.
    pub fn numbered_connections(&self) -> impl Iterator<Item = (ConnectionId, &Rc<Connection>)> {
        let current = self.current_connection();
        let current = current.map(|conn| (self.connection_id, conn));
        let replaced = self.replaced.iter().map(|(id, conn)| (*id, conn));
        current.into_iter().chain(replaced)
    }

    /// Returns all open connections.
    pub fn connections(&self) -> impl Iterator<Item = &Rc<Connection>> {
        self.numbered_connections().map(|(_, conn)| conn)
    }

    /// Closes all open connections.
    pub fn close_connections(&self, reason: CloseReason) {
        self.connections().for_each(|conn| conn.close(reason));
    }

    /// Aborts the connect in progress, and returns whether there was one.
    pub fn abort_connect(&mut self) -> bool {
        let ConnectionState::Connecting(stop) = &self.connection else {
            return false;
        };
        let _ = stop.try_send(());
        self.connection = ConnectionState::Disconnected;
        true
    }

    /// Whether the host was removed and has no connection and no pending attempt. A new host of the same name then
    /// starts with fresh state.
    pub fn can_be_forgotten(&self) -> bool {
        let is_unused = matches!(self.connection, ConnectionState::Disconnected)
            && self.replaced.is_empty()
            && self.pending_attempts.is_empty();
        self.state == EndpointState::Removed && is_unused
    }

    /// Returns the backoff before the next connect.
    pub fn reconnect_backoff(&self) -> Micros {
        let doublings = self.connect_failures.min(MAX_BACKOFF_DOUBLINGS);
        (BASE_RECONNECT_BACKOFF << doublings).min(MAX_RECONNECT_BACKOFF)
    }
}

/// Why a connection could not be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// Nothing listens at the address, which proves that the host's process has exited and that no attempt ran.
    #[error("connect-failed:refused")]
    Refused,
    /// The connection was not established within the connect timeout.
    #[error("connect-failed:timed-out")]
    TimedOut,
    /// This process has no descriptor left; the failure says nothing about the host.
    #[error("connect-failed:no-descriptor")]
    NoDescriptor,
    /// A temporary failure of this machine, such as no free port; it says nothing about the host.
    #[error("connect-failed:local:{0}")]
    LocalFault(ErrorKind),
    /// The host cannot be reached at the moment.
    #[error("connect-failed:{0}")]
    Unreachable(ErrorKind),
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> ConnectError {
        if is_out_of_descriptors(&error) {
            return ConnectError::NoDescriptor;
        }
        if is_local_fault(&error) {
            return ConnectError::LocalFault(error.kind());
        }
        match error.kind() {
            ErrorKind::ConnectionRefused => ConnectError::Refused,
            kind => ConnectError::Unreachable(kind),
        }
    }
}

/// Connects to a host and serves the connection until it has ended and its descriptor is closed. A message on `stop`
/// aborts the connect.
pub async fn serve<H: HostEvents>(
    host: HostId,
    id: ConnectionId,
    address: SocketAddr,
    stop: Receiver<()>,
    handler: Rc<RefCell<H>>,
) {
    connect_and_run(&host, id, address, stop, &handler).await;
    handler.borrow_mut().host_descriptor_released(&host, id);
}

async fn connect_and_run<H: HostEvents>(
    host: &HostId,
    id: ConnectionId,
    address: SocketAddr,
    stop: Receiver<()>,
    handler: &Rc<RefCell<H>>,
) {
    let connect = async { Some(Async::<TcpStream>::connect(address).await) };
    let aborted = async {
        let _ = stop.recv().await;
        None
    };
    let stream = match future::or(connect, aborted).await {
        Some(Ok(stream)) => stream,
        Some(Err(error)) => {
            let mut handler = handler.borrow_mut();
            return handler.host_connect_failed(host, id, error.into());
        }
        None => return,
    };
    let conn = Rc::new(Connection::new(stream));
    conn.limit_send_buffer();
    let outcome = handler.borrow_mut().host_connected(host, id, conn.clone());
    if outcome == ConnectOutcome::NotWanted {
        return;
    }
    let reason = conn
        .run(|inbox| {
            while let Some(mut line) =
                next_line(inbox, MAX_MESSAGE_BYTES).map_err(CloseReason::Malformed)?
            {
                let (task, message) = lines::read(&mut line).map_err(CloseReason::Malformed)?;
                handler.borrow_mut().host_message(host, task, message);
            }
            Ok(())
        })
        .await;
    conn.close(reason);
    if !reason.is_unreadable_input() {
        return handler.borrow_mut().host_closed(host, id, reason);
    }
    // A host repeats the ends of tasks on the next connection that opens. That connection must not open before the host
    // has detected the close, or the ends that the host writes to the old connection until then are lost.
    let mut peer_close = pin!(conn.discard_until_closed());
    let is_closed = closes_within(peer_close.as_mut(), CLOSE_DETECTION_TIMEOUT).await;
    handler.borrow_mut().host_closed(host, id, reason);
    if !is_closed {
        peer_close.await;
        handler.borrow_mut().host_stopped_sending(host);
    }
}

/// Waits for the peer to close a connection, for `limit` at most, and returns whether it has.
async fn closes_within(peer_close: Pin<&mut impl Future<Output = ()>>, limit: Duration) -> bool {
    let closed = async {
        peer_close.await;
        true
    };
    let timeout = async {
        Timer::after(limit).await;
        false
    };
    future::or(closed, timeout).await
}

#[cfg(test)]
mod tests;
