//! A non-blocking TCP connection to a placer, with its buffers and traffic counts.

use crate::traffic::{Direction, PlacerCounters, TrafficKind, Volume};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// The capacity above which an empty buffer is freed. Thousands of connections are idle at a time, and their buffers
/// would otherwise keep memory.
const MAX_IDLE_CAPACITY_BYTES: usize = 1_024;
/// The maximum number of bytes queued for a placer that reads slowly. The queue is longest when a client reports its
/// running tasks to a placer that has started.
const MAX_QUEUED_BYTES: usize = 64 * 1024 * 1024;

/// Whether a connection is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The connection is open.
    Open,
    /// The placer or the system has closed the connection, or too many bytes are queued.
    Ended,
}

/// The traffic of a connection whose kind is not known yet, which is not yet in the counters.
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
    /// The number of bytes at the start of the outbox that have been written to the stream.
    written: usize,
    counters: Arc<PlacerCounters>,
    kind: Option<TrafficKind>,
    uncounted: Uncounted,
    ended: bool,
}

impl Connection {
    /// Creates a connection from a stream. Without a kind, its traffic is counted only once a kind is assigned; a
    /// connection that is dropped without a kind counts as one to an idle worker.
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
            connection.apply_kind(kind);
        }
        Ok(connection)
    }

    /// Counts the connection, and sets its socket options for its kind.
    fn apply_kind(&self, kind: TrafficKind) {
        self.counters.add_connection(kind);
        // Without this option, small messages wait for the peer's TCP acknowledgements. A failure only delays messages.
        if kind != TrafficKind::IdleWorker {
            let _ = self.stream.set_nodelay(true);
        }
    }

    /// Returns the kind of the connection, if it is known.
    pub fn kind(&self) -> Option<TrafficKind> {
        self.kind
    }

    /// Assigns a kind and counts the traffic so far under it. Does nothing if the connection already has a kind.
    pub fn assign_kind(&mut self, kind: TrafficKind) {
        if self.kind.is_some() {
            return;
        }
        self.kind = Some(kind);
        self.apply_kind(kind);
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

    /// Counts complete messages that were read from the placer.
    pub fn count_read(&mut self, messages: u64) {
        self.count(Direction::FromPlacer, Volume { bytes: 0, messages });
    }

    /// Reads all available bytes into the inbox.
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

    /// Returns the bytes that were read and not consumed yet.
    pub fn inbox(&self) -> &[u8] {
        &self.inbox
    }

    /// Removes this number of bytes from the start of the inbox.
    pub fn consume(&mut self, bytes: usize) {
        self.inbox.drain(..bytes.min(self.inbox.len()));
        if self.inbox.is_empty() && self.inbox.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.inbox = Vec::new();
        }
    }

    /// Queues the bytes of complete messages, and writes as much as the system accepts.
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

    /// Writes as many of the queued bytes as the system accepts.
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

    /// Makes a later drop reset the connection instead of closing it regularly, like the crash of a machine.
    pub fn reset(&self) {
        // If this fails, dropping the connection closes it regularly.
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

/// Returns whether an operation must wait for the next readiness event. A write fails with `NotConnected` while the
/// connection is not established yet.
fn would_block(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}
