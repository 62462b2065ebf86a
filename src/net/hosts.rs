//! Connections to hosts: one for each, kept open, made again when lost.

use super::clients::Mark;
use super::codec::feed::Listed;
use super::codec::{MOST_BYTES, lines, next_line};
use super::conn::{Conn, End};
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
pub type Round = u64;

/// How far the connection is.
pub enum Phase {
    /// There is none.
    Down,
    /// It is being made; what ends the attempt.
    Connecting(Sender<()>),
    /// It is there.
    Up(Rc<Conn>),
}

/// An offer of which nothing has left.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The request.
    pub ticket: Ticket,
    /// The attempt.
    pub attempt: u32,
    /// How far its client must have been read first, once that was looked at.
    pub mark: Option<Mark>,
}

/// One host.
pub struct Link {
    /// Where it listens.
    pub dial: Option<SocketAddr>,
    /// As the list tells.
    pub state: EndpointState,
    /// Its cell: machines of a cell fail together.
    pub cell: CellId,
    /// Its zone, and the cores and memory that nobody asks for, as the list tells.
    pub zone: ZoneId,
    pub free: Resources,
    /// When it last said that it is full, if it has not started a task since.
    pub full_at: Option<Micros>,
    /// When its process started, or 0.
    pub born: Micros,
    /// How far the connection is.
    pub phase: Phase,
    /// The latest connection.
    pub round: Round,
    /// Connections that were replaced because they fell silent; offers may still be out on them.
    pub doubted: Vec<(Round, Rc<Conn>)>,
    /// When the host was last heard, and last called.
    pub heard: Micros,
    pub dialled: Micros,
    /// When the latest connection ended.
    pub closed: Micros,
    /// Another connection is to be made beside the one that is up.
    pub doubt: bool,
    /// Offers of which nothing has left: they wait for the connection, for what is queued on it, or for what
    /// their clients say.
    pub waiting: Vec<Waiting>,
    /// Releases of tasks that stand there, for the next connection.
    pub unsent: Vec<Vec<u8>>,
    /// Attempts to connect that have failed in a row, and since when.
    pub failures: u32,
    /// When the first of them failed.
    pub down_since: Option<Micros>,
    /// When what stands there counts as lost, unless the host is reached before.
    pub lost_at: Option<Micros>,
    /// Whether the latest was refused.
    pub refused: bool,
}

impl Link {
    /// A host that was just listed.
    pub fn new(listed: &Listed) -> Link {
        Link {
            dial: listed.dial,
            state: listed.entry.state,
            cell: listed.entry.cell,
            zone: listed.entry.zone,
            free: listed.entry.free(),
            born: listed.entry.started_at,
            full_at: None,
            phase: Phase::Down,
            round: 0,
            doubted: Vec::new(),
            heard: 0,
            dialled: 0,
            closed: 0,
            doubt: false,
            waiting: Vec::new(),
            unsent: Vec::new(),
            failures: 0,
            down_since: None,
            lost_at: None,
            refused: false,
        }
    }

    /// The connection of this round, if it is open.
    pub fn open(&self, round: Round) -> Option<&Rc<Conn>> {
        match &self.phase {
            Phase::Up(conn) if self.round == round => Some(conn),
            _ => self
                .doubted
                .iter()
                .find(|(r, _)| *r == round)
                .map(|(_, conn)| conn),
        }
    }

    /// All open connections.
    pub fn conns(&self) -> impl Iterator<Item = &Rc<Conn>> {
        let current = match &self.phase {
            Phase::Up(conn) => Some(conn),
            Phase::Down | Phase::Connecting(_) => None,
        };
        current
            .into_iter()
            .chain(self.doubted.iter().map(|(_, conn)| conn))
    }

    /// Gives up a connection that is being made: whether there was one.
    pub fn hang_up(&mut self) -> bool {
        let Phase::Connecting(stop) = &self.phase else {
            return false;
        };
        let _ = stop.try_send(());
        self.phase = Phase::Down;
        true
    }

    /// Whether the host is gone and nothing of it is left: a new one under its name inherits nothing.
    pub fn over(&self) -> bool {
        let quiet =
            matches!(self.phase, Phase::Down) && self.doubted.is_empty() && self.waiting.is_empty();
        self.state == EndpointState::Removed && quiet
    }

    /// Pause before the next attempt.
    pub fn pause(&self) -> Micros {
        (FIRST_PAUSE << self.failures.min(8)).min(LAST_PAUSE)
    }
}

/// Why a connection was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialError {
    /// Nothing listens there: proof that nothing ran, and that the process is gone.
    Refused,
    /// It never came up.
    TimedOut,
    /// This process has no descriptor left for it: nothing is known of the host.
    NoDescriptor,
    /// Something here or on the way failed.
    Failed(ErrorKind),
}

impl std::fmt::Display for DialError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DialError::Refused => f.write_str("dial-failed:refused"),
            DialError::TimedOut => f.write_str("dial-failed:timed-out"),
            DialError::NoDescriptor => f.write_str("dial-failed:no-descriptor"),
            DialError::Failed(kind) => write!(f, "dial-failed:{kind}"),
        }
    }
}

/// Connects to a host and serves the connection until it ends and its descriptor is given back.
pub async fn serve(
    host: HostId,
    round: Round,
    address: SocketAddr,
    stop: async_channel::Receiver<()>,
    shared: Shared,
) {
    connected(&host, round, address, stop, &shared).await;
    shared.borrow_mut().slot_freed(&host, round);
}

async fn connected(
    host: &HostId,
    round: Round,
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
                    DialError::NoDescriptor
                }
                ErrorKind::ConnectionRefused => DialError::Refused,
                ErrorKind::TimedOut | ErrorKind::HostUnreachable => DialError::TimedOut,
                kind => DialError::Failed(kind),
            };
            return shared.borrow_mut().dial_failed(host, round, why);
        }
        None => return,
    };
    let conn = Rc::new(Conn::new(stream));
    conn.queue_little();
    if !shared.borrow_mut().host_up(host, round, conn.clone()) {
        return;
    }
    let end = conn
        .run(|inbox| {
            while let Some(mut line) = next_line(inbox, MOST_BYTES).map_err(End::Malformed)? {
                let (task, word) = lines::read(&mut line).map_err(End::Malformed)?;
                shared.borrow_mut().host_word(host, task, word);
            }
            Ok(())
        })
        .await;
    conn.stop(end);
    shared.borrow_mut().host_ended(host, round, end);
}

#[cfg(test)]
mod tests;
