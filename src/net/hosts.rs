//! Owns the connections to hosts: one for each, kept open, made again when lost. It knows nothing of dispatch: what
//! happens on a connection goes to whoever implements [`HostEvents`], and so does every decision on it.

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
use task_placer::{CellId, EndpointState, HostId, Micros, Resources, ZoneId};

/// The backoff after the first failure to connect.
const BASE_RECONNECT_BACKOFF: Micros = 50_000;
/// The backoff doubles with each failure, up to this.
const MAX_RECONNECT_BACKOFF: Micros = 800_000;
/// The backoff is not computed for more doublings than these.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// How long a host may take to see that its connection was closed, before another is made.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(50);

/// Identifies a connection among those to one host.
pub type ConnectionId = u64;

/// Whether a connection that came up is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// It is used.
    InUse,
    /// It is not wanted any more, and is closed.
    NotWanted,
}

/// Handles what happens on connections to hosts. Each call is handled before it returns.
pub trait HostEvents {
    /// A connection has come up.
    fn host_connected(
        &mut self,
        host: &HostId,
        id: ConnectionId,
        conn: Rc<Connection>,
    ) -> ConnectOutcome;

    /// A connection was not made.
    fn host_connect_failed(&mut self, host: &HostId, id: ConnectionId, error: ConnectError);

    /// A message has arrived.
    fn host_message(&mut self, host: &HostId, task: TaskId, message: HostMessage);

    /// A connection that was in use has ended.
    fn host_closed(&mut self, host: &HostId, id: ConnectionId, reason: CloseReason);

    /// A connection that this process closed for unreadable input has ended at the host, too, some time after
    /// [`HostEvents::host_closed`]: what the host sent until then is lost.
    fn host_stopped_sending(&mut self, host: &HostId);

    /// The descriptor of a connection, or of the attempt to make one, has been given back.
    fn host_descriptor_released(&mut self, host: &HostId, id: ConnectionId);
}

/// The state of the current connection to a host.
pub enum ConnectionState {
    /// There is none.
    Disconnected,
    /// It is being made; a message on the channel aborts that.
    Connecting(Sender<()>),
    /// It is up.
    Connected(Rc<Connection>),
}

/// An attempt of which nothing has been sent.
#[derive(Debug, Clone, Copy)]
pub struct PendingAttempt {
    /// The request.
    pub ticket: Ticket,
    /// The attempt's number within the request.
    pub attempt: u32,
    /// How far its client must be read first, once that was looked at.
    pub read_mark: Option<ReadMark>,
}

/// One host: its entry in the endpoint list, the connections to it, and what waits for them.
pub struct HostLink {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its state in the endpoint list.
    pub state: EndpointState,
    /// Its cell: machines of a cell fail together.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Resources that no task has requested, by the endpoint list.
    pub free_resources: Resources,
    /// When it last rejected an attempt because it is full, if it has not started a task since.
    pub rejected_full_at: Option<Micros>,
    /// When its process started, by this process's clock, or 0.
    pub started_at: Micros,
    /// The same as the endpoint list states it, in Unix time.
    pub listed_start: Micros,
    /// The current connection.
    pub connection: ConnectionState,
    /// The id of the latest connection.
    pub connection_id: ConnectionId,
    /// Why the latest connection was made.
    pub connect_reason: ConnectReason,
    /// Connections that were replaced because they fell silent; attempts may still be in flight on them.
    pub replaced: Vec<(ConnectionId, Rc<Connection>)>,
    /// When the last message arrived from it.
    pub last_message_at: Micros,
    /// When the last connect began.
    pub last_connect_at: Micros,
    /// When the last connection ended.
    pub last_closed_at: Micros,
    /// Another connection is to be made beside the one that is up, unless the host is heard before.
    pub is_suspect: bool,
    /// Another connection is to be made in any case: a host repeats the ends of tasks on the next one that opens, and some
    /// may have been lost.
    pub needs_repeated_ends: bool,
    /// Attempts of which nothing has been sent: they wait for the connection, for what is queued on it, or for unread
    /// input of their clients.
    pub pending_attempts: Vec<PendingAttempt>,
    /// Connects that have failed in a row.
    pub connect_failures: u32,
    /// When the first of them failed.
    pub unreachable_since: Option<Micros>,
    /// When the tasks there count as lost, unless the host is reached before.
    pub tasks_lost_at: Option<Micros>,
    /// Whether the last failed connect was refused.
    pub was_refused: bool,
}

impl HostLink {
    /// Creates the link to a host that was just listed, without a connection.
    pub fn new(discovered: &DiscoveredEndpoint) -> HostLink {
        let endpoint = &discovered.endpoint;
        HostLink {
            address: discovered.address,
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

    /// Returns the start of its process by this process's clock. It is converted once for each start that the endpoint list
    /// states: a step of the system's clock later on makes no other process of it.
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

    /// Whether the connection of this id is being made.
    pub fn is_connecting(&self, id: ConnectionId) -> bool {
        self.connection_id == id && matches!(self.connection, ConnectionState::Connecting(_))
    }

    /// Returns the current connection, if it is up.
    pub fn current_connection(&self) -> Option<&Rc<Connection>> {
        match &self.connection {
            ConnectionState::Connected(conn) => Some(conn),
            ConnectionState::Disconnected | ConnectionState::Connecting(_) => None,
        }
    }

    /// Returns the connection of this id, if it is open.
    pub fn open_connection(&self, id: ConnectionId) -> Option<&Rc<Connection>> {
        match &self.connection {
            ConnectionState::Connected(conn) if self.connection_id == id => Some(conn),
            _ => {
                let replaced = self.replaced.iter().find(|(replaced, _)| *replaced == id);
                replaced.map(|(_, conn)| conn)
            }
        }
    }

    /// Whether a connection beside the one that is up is wanted.
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

    /// Aborts a connect, and returns whether there was one.
    pub fn abort_connect(&mut self) -> bool {
        let ConnectionState::Connecting(stop) = &self.connection else {
            return false;
        };
        let _ = stop.try_send(());
        self.connection = ConnectionState::Disconnected;
        true
    }

    /// Whether the host was removed and nothing of it is left: a new one under its name inherits nothing.
    pub fn can_be_forgotten(&self) -> bool {
        let is_unused = matches!(self.connection, ConnectionState::Disconnected)
            && self.replaced.is_empty()
            && self.pending_attempts.is_empty();
        self.state == EndpointState::Removed && is_unused
    }

    /// Returns the pause before the next connect.
    pub fn reconnect_backoff(&self) -> Micros {
        let doublings = self.connect_failures.min(MAX_BACKOFF_DOUBLINGS);
        (BASE_RECONNECT_BACKOFF << doublings).min(MAX_RECONNECT_BACKOFF)
    }
}

/// Why a connection was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// Nothing listens there: proof that nothing ran, and that the process has ended.
    #[error("connect-failed:refused")]
    Refused,
    /// It never came up.
    #[error("connect-failed:timed-out")]
    TimedOut,
    /// This process has no descriptor left for it: nothing is known of the host.
    #[error("connect-failed:no-descriptor")]
    NoDescriptor,
    /// This machine could not make it for a moment, as without a free port: nothing is known of the host.
    #[error("connect-failed:local:{0}")]
    LocalFault(ErrorKind),
    /// There is no way to the host at the moment.
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

/// Connects to a host and serves the connection until it ends and its descriptor is given back. A message on `stop`
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
    // A host repeats the ends of tasks on the next connection that opens. It must not open before the host has seen the
    // close, or what the host writes until then is lost.
    let mut shutdown = pin!(conn.discard_until_closed());
    let is_seen = closes_within(shutdown.as_mut(), CLOSE_NOTICE_TIME).await;
    handler.borrow_mut().host_closed(host, id, reason);
    if !is_seen {
        shutdown.await;
        handler.borrow_mut().host_stopped_sending(host);
    }
}

/// Waits for the end of a connection for this long, and returns whether it has come.
async fn closes_within(shutdown: Pin<&mut impl Future<Output = ()>>, limit: Duration) -> bool {
    let closed = async {
        shutdown.await;
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
