//! One non-blocking TCP connection to a placer, with what waits to be read and to be written.

use crate::traffic::{Direction, PlacerCounters, TrafficKind, Volume};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::Arc;
use std::time::Duration;

/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;
/// An empty buffer above this is given back: thousands of connections are idle at a time.
const MAX_IDLE_CAPACITY: usize = 1_024;
/// Bytes that may wait for a placer that reads slowly. The standing tasks of a start are the most.
const MAX_QUEUED_BYTES: usize = 64 * 1024 * 1024;

/// Whether a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It does.
    Open,
    /// The placer or the system has ended it, or too much waits on it.
    Ended,
}

/// Counts of a connection whose kind is not known yet.
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
    /// Bytes of the outbox that were written.
    written: usize,
    counters: Arc<PlacerCounters>,
    kind: Option<TrafficKind>,
    uncounted: Uncounted,
    ended: bool,
}

impl Connection {
    /// Takes over a stream. Without a kind it counts as a call to an idle worker until it is given one.
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
        let (inbox, outbox, uncounted) = (Vec::new(), Vec::new(), Uncounted::default());
        let connection = Connection {
            stream,
            inbox,
            outbox,
            written: 0,
            counters,
            kind,
            uncounted,
            ended: false,
        };
        if let Some(kind) = kind {
            connection.start_using_as(kind);
        }
        Ok(connection)
    }

    /// It is of this kind, and about to be written to.
    fn start_using_as(&self, kind: TrafficKind) {
        self.counters.add_connection(kind);
        // Without it small messages wait for the peer's acknowledgements. It is no harm where it fails.
        if kind != TrafficKind::IdleWorker {
            let _ = self.stream.set_nodelay(true);
        }
    }

    /// What is known of its use, if anything.
    pub fn kind(&self) -> Option<TrafficKind> {
        self.kind
    }

    /// From now on it is of this kind, if it was of none.
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

    /// Reads all that has come.
    pub fn fill(&mut self) -> Liveness {
        let mut chunk = [0; CHUNK];
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

    /// What has come and was not taken.
    pub fn inbox(&self) -> &[u8] {
        &self.inbox
    }

    /// Takes so many bytes off what has come.
    pub fn consume(&mut self, bytes: usize) {
        self.inbox.drain(..bytes.min(self.inbox.len()));
        if self.inbox.is_empty() && self.inbox.capacity() > MAX_IDLE_CAPACITY {
            self.inbox = Vec::new();
        }
    }

    /// Queues whole messages, so many, and writes what the system takes.
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

    /// Writes what the system takes of what is queued.
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
        if self.outbox.capacity() > MAX_IDLE_CAPACITY {
            self.outbox = Vec::new();
        }
        self.liveness()
    }

    /// Bytes that wait to be written.
    pub fn queued(&self) -> usize {
        self.outbox.len().saturating_sub(self.written)
    }

    /// Resets the connection when it is dropped, as a machine does that has lost its state.
    pub fn reset(&self) {
        // Where it fails the connection is closed in the usual way.
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

/// Whether an operation is to be tried again when the system says so. A connection that is still being
/// made can't be written to yet.
fn would_block(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}
