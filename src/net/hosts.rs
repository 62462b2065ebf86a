//! Connections to hosts: one for each, kept open, made again when lost.

use super::clients::ReadMark;
use super::codec::feed::DiscoveredEndpoint;
use super::codec::{MAX_MESSAGE_BYTES, lines, next_line};
use super::conn::{CloseReason, Conn};
use super::dispatch::Shared;
use async_channel::Sender;
use async_io::Async;
use futures_lite::future;
use rustix::io::Errno;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use task_placer::facade::Ticket;
use task_placer::{CellId, EndpointState, HostId, Micros, Resources, ZoneId};

/// Pauses between attempts to connect: the first, doubled to the last.
const FIRST_PAUSE: Micros = 50_000;
const LAST_PAUSE: Micros = 800_000;

/// What the system says where the process or the machine has no descriptor left.
const NO_DESCRIPTOR: [i32; 2] = [Errno::MFILE.raw_os_error(), Errno::NFILE.raw_os_error()];

/// Numbers the connections to one host.
pub type ConnectionId = u64;

/// How far the connection is.
pub enum ConnectionState {
    /// There is none.
    Disconnected,
    /// It is being made; what ends the attempt.
    Connecting(Sender<()>),
    /// It is there.
    Connected(Rc<Conn>),
}

/// An offer of which nothing has left.
#[derive(Debug, Clone, Copy)]
pub struct PendingAttempt {
    /// The request.
    pub ticket: Ticket,
    /// The attempt.
    pub attempt: u32,
    /// How far its client must have been read first, once that was looked at.
    pub mark: Option<ReadMark>,
}

/// One host.
pub struct HostLink {
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// As the list tells.
    pub state: EndpointState,
    /// Its cell: machines of a cell fail together.
    pub cell: CellId,
    /// Its zone, and the cores and memory that nobody asks for, as the list tells.
    pub zone: ZoneId,
    pub free_resources: Resources,
    /// When it last said that it is full, if it has not started a task since.
    pub rejected_full_at: Option<Micros>,
    /// When its process started, or 0.
    pub started_at: Micros,
    /// How far the connection is.
    pub connection: ConnectionState,
    /// The latest connection.
    pub connection_id: ConnectionId,
    /// Connections that were replaced because they fell silent; offers may still be out on them.
    pub replaced: Vec<(ConnectionId, Rc<Conn>)>,
    /// When the host was last heard, and last called.
    pub last_message_at: Micros,
    pub last_connect_at: Micros,
    /// When the latest connection ended.
    pub last_closed_at: Micros,
    /// Another connection is to be made beside the one that is up.
    pub is_suspect: bool,
    /// Offers of which nothing has left: they wait for the connection, for what is queued on it, or for what
    /// their clients say.
    pub pending_attempts: Vec<PendingAttempt>,
    /// Releases of tasks that stand there, for the next connection.
    pub unsent_releases: Vec<Vec<u8>>,
    /// Attempts to connect that have failed in a row, and since when.
    pub connect_failures: u32,
    /// When the first of them failed.
    pub unreachable_since: Option<Micros>,
    /// When what stands there counts as lost, unless the host is reached before.
    pub tasks_lost_at: Option<Micros>,
    /// Whether the latest was refused.
    pub was_refused: bool,
}

impl HostLink {
    /// A host that was just listed.
    pub fn new(listed: &DiscoveredEndpoint) -> HostLink {
        HostLink {
            address: listed.dial,
            state: listed.entry.state,
            cell: listed.entry.cell,
            zone: listed.entry.zone,
            free_resources: listed.entry.free(),
            started_at: listed.entry.started_at,
            rejected_full_at: None,
            connection: ConnectionState::Disconnected,
            connection_id: 0,
            replaced: Vec::new(),
            last_message_at: 0,
            last_connect_at: 0,
            last_closed_at: 0,
            is_suspect: false,
            pending_attempts: Vec::new(),
            unsent_releases: Vec::new(),
            connect_failures: 0,
            unreachable_since: None,
            tasks_lost_at: None,
            was_refused: false,
        }
    }

    /// The connection of this connection_id, if it is open.
    pub fn open_connection(&self, connection_id: ConnectionId) -> Option<&Rc<Conn>> {
        match &self.connection {
            ConnectionState::Connected(conn) if self.connection_id == connection_id => Some(conn),
            _ => self
                .replaced
                .iter()
                .find(|(r, _)| *r == connection_id)
                .map(|(_, conn)| conn),
        }
    }

    /// All open connections.
    pub fn connections(&self) -> impl Iterator<Item = &Rc<Conn>> {
        let current = match &self.connection {
            ConnectionState::Connected(conn) => Some(conn),
            ConnectionState::Disconnected | ConnectionState::Connecting(_) => None,
        };
        current
            .into_iter()
            .chain(self.replaced.iter().map(|(_, conn)| conn))
    }

    /// Gives up a connection that is being made: whether there was one.
    pub fn abort_connect(&mut self) -> bool {
        let ConnectionState::Connecting(stop) = &self.connection else {
            return false;
        };
        let _ = stop.try_send(());
        self.connection = ConnectionState::Disconnected;
        true
    }

    /// Whether the host is gone and nothing of it is left: a new one under its name inherits nothing.
    pub fn can_be_forgotten(&self) -> bool {
        let quiet = matches!(self.connection, ConnectionState::Disconnected)
            && self.replaced.is_empty()
            && self.pending_attempts.is_empty();
        self.state == EndpointState::Removed && quiet
    }

    /// Pause before the next attempt.
    pub fn reconnect_backoff(&self) -> Micros {
        (FIRST_PAUSE << self.connect_failures.min(8)).min(LAST_PAUSE)
    }
}

/// Why a connection was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// Nothing listens there: proof that nothing ran, and that the process is gone.
    Refused,
    /// It never came up.
    TimedOut,
    /// This process has no descriptor left for it: nothing is known of the host.
    NoDescriptor,
    /// Something here or on the way failed.
    Failed(ErrorKind),
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConnectError::Refused => f.write_str("dial-failed:refused"),
            ConnectError::TimedOut => f.write_str("dial-failed:timed-out"),
            ConnectError::NoDescriptor => f.write_str("dial-failed:no-descriptor"),
            ConnectError::Failed(kind) => write!(f, "dial-failed:{kind}"),
        }
    }
}

/// Connects to a host and serves the connection until it ends and its descriptor is given back.
pub async fn serve(
    host: HostId,
    connection_id: ConnectionId,
    address: SocketAddr,
    stop: async_channel::Receiver<()>,
    shared: Shared,
) {
    connected(&host, connection_id, address, stop, &shared).await;
    shared.borrow_mut().host_slot_freed(&host, connection_id);
}

async fn connected(
    host: &HostId,
    connection_id: ConnectionId,
    address: SocketAddr,
    stop: async_channel::Receiver<()>,
    shared: &Shared,
) {
    let connect = async { Some(Async::<TcpStream>::connect(address).await) };
    let given_up = async {
        let _ = stop.recv().await;
        None
    };
    let stream = match future::or(connect, given_up).await {
        Some(Ok(stream)) => stream,
        Some(Err(e)) => {
            let why = match e.kind() {
                _ if e.raw_os_error().is_some_and(|e| NO_DESCRIPTOR.contains(&e)) => {
                    ConnectError::NoDescriptor
                }
                ErrorKind::ConnectionRefused => ConnectError::Refused,
                ErrorKind::TimedOut | ErrorKind::HostUnreachable => ConnectError::TimedOut,
                kind => ConnectError::Failed(kind),
            };
            return shared
                .borrow_mut()
                .host_connect_failed(host, connection_id, why);
        }
        None => return,
    };
    let conn = Rc::new(Conn::new(stream));
    conn.queue_little();
    if !shared
        .borrow_mut()
        .host_connected(host, connection_id, conn.clone())
    {
        return;
    }
    let end = conn
        .run(|inbox| {
            while let Some(mut line) =
                next_line(inbox, MAX_MESSAGE_BYTES).map_err(CloseReason::Malformed)?
            {
                let (task, word) = lines::read(&mut line).map_err(CloseReason::Malformed)?;
                shared.borrow_mut().host_message(host, task, word);
            }
            Ok(())
        })
        .await;
    conn.stop(end);
    shared.borrow_mut().host_closed(host, connection_id, end);
}

#[cfg(test)]
mod tests;
