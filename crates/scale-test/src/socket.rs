//! One non-blocking TCP connection to a placer, with its buffers and its traffic counts.

use crate::traffic::{Direction, PlacerCounters, TrafficKind, Volume};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::Arc;
use std::time::Duration;

/// The largest number of bytes read at a time.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// An empty buffer above this capacity is freed, because thousands of connections are idle at a time.
const MAX_IDLE_CAPACITY_BYTES: usize = 1_024;
/// The largest number of bytes that may wait for a placer that reads slowly. The announcement of running tasks
/// needs most.
const MAX_QUEUED_BYTES: usize = 64 * 1024 * 1024;

/// Whether a connection is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The connection is open.
    Open,
    /// The placer or the system has closed it, or too many bytes are queued.
    Ended,
}

/// The traffic of a connection whose kind is not known yet.
#[derive(Default)]
struct Uncounted {
    to_placer: Volume,
    from_placer: Volume,
}

/// A connection to a placer.
pub struct Connection {
    stream: TcpStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    /// The number of bytes of the outbox that have been written.
    written: usize,
    counters: Arc<PlacerCounters>,
    kind: Option<TrafficKind>,
    uncounted: Uncounted,
    ended: bool,
}

impl Connection {
    /// Takes over a stream. Without a kind the connection counts as one to an idle worker until a kind is assigned.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot be registered with the event loop.
    pub fn new(
        mut stream: TcpStream,
        token: Token,
        registry: &Registry,
        counters: Arc<PlacerCounters>,
        kind: Option<TrafficKind>,
    ) -> io::Result<Connection> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let connection = Connection {
            stream,
            inbox: Vec::new(),
            outbox: Vec::new(),
            written: 0,
            counters,
            kind,
            uncounted: Uncounted::default(),
            ended: false,
        };
        if let Some(kind) = kind {
            connection.start_using_as(kind);
        }
        Ok(connection)
    }

    /// Counts the connection, and prepares it for its kind.
    fn start_using_as(&self, kind: TrafficKind) {
        self.counters.add_connection(kind);
        // Without this option small messages wait for the peer's acknowledgements. A failure does no harm.
        if kind != TrafficKind::IdleWorker {
            let _ = self.stream.set_nodelay(true);
        }
    }

    /// Returns the kind, if it is known.
    pub fn kind(&self) -> Option<TrafficKind> {
        self.kind
    }

    /// Assigns a kind, if the connection has none.
    pub fn assign_kind(&mut self, kind: TrafficKind) {
        if self.kind.is_some() {
            return;
        }
        self.kind = Some(kind);
        self.start_using_as(kind);
        let Uncounted {
            to_placer,
            from_placer,
        } = std::mem::take(&mut self.uncounted);
        self.counters.add(kind, Direction::ToPlacer, to_placer);
        self.counters.add(kind, Direction::FromPlacer, from_placer);
    }

    fn count(&mut self, direction: Direction, volume: Volume) {
        match (self.kind, direction) {
            (Some(kind), _) => self.counters.add(kind, direction, volume),
            (None, Direction::ToPlacer) => self.uncounted.to_placer += volume,
            (None, Direction::FromPlacer) => self.uncounted.from_placer += volume,
        }
    }

    fn count_bytes(&mut self, direction: Direction, bytes: usize) {
        let bytes = bytes as u64;
        self.counters.add_raw(direction, bytes);
        self.count(direction, Volume { bytes, messages: 0 });
    }

    /// Counts messages that were read.
    pub fn count_read(&mut self, messages: u64) {
        self.count(Direction::FromPlacer, Volume { bytes: 0, messages });
    }

    /// Reads all available bytes.
    pub fn fill(&mut self) -> Liveness {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while !self.ended {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(count) => {
                    self.count_bytes(Direction::FromPlacer, count);
                    self.inbox
                        .extend_from_slice(chunk.get(..count).unwrap_or_default());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if would_block(&error) => break,
                Err(_) => self.ended = true,
            }
        }
        self.liveness()
    }

    /// Returns the bytes that were read and not consumed.
    pub fn inbox(&self) -> &[u8] {
        &self.inbox
    }

    /// Removes so many bytes from the inbox.
    pub fn consume(&mut self, bytes: usize) {
        self.inbox.drain(..bytes.min(self.inbox.len()));
        if self.inbox.is_empty() && self.inbox.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.inbox = Vec::new();
        }
    }

    /// Queues complete messages, and writes what the system accepts.
    pub fn send(&mut self, bytes: &[u8], messages: u64) -> Liveness {
        if self.ended || bytes.is_empty() {
            return self.liveness();
        }
        self.count(Direction::ToPlacer, Volume { bytes: 0, messages });
        self.outbox.extend_from_slice(bytes);
        if self.queued() > MAX_QUEUED_BYTES {
            self.ended = true;
        }
        self.flush()
    }

    /// Writes what the system accepts of the queued bytes.
    pub fn flush(&mut self) -> Liveness {
        while !self.ended && self.written < self.outbox.len() {
            match self
                .stream
                .write(self.outbox.get(self.written..).unwrap_or_default())
            {
                Ok(count) => {
                    self.written += count;
                    self.count_bytes(Direction::ToPlacer, count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if would_block(&error) => return Liveness::Open,
                Err(_) => self.ended = true,
            }
        }
        self.written = 0;
        self.outbox.clear();
        if self.outbox.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.outbox = Vec::new();
        }
        self.liveness()
    }

    /// Returns the number of bytes that wait to be written.
    pub fn queued(&self) -> usize {
        self.outbox.len().saturating_sub(self.written)
    }

    /// Makes dropping the connection reset it, as a crashed machine does.
    pub fn reset(&self) {
        // If this fails the connection is closed in the usual way.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    fn liveness(&self) -> Liveness {
        if self.ended {
            Liveness::Ended
        } else {
            Liveness::Open
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.assign_kind(TrafficKind::IdleWorker);
    }
}

/// Returns whether an operation must wait for the next event. A connection that is not established yet cannot be
/// written to.
fn would_block(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}
