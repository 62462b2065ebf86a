//! Owns one TCP connection: reads it in chunks, and writes to it through a bounded queue. It never waits for a peer, and
//! knows nothing of what is sent on it.

mod close_reason;
mod reading;
mod writing;

pub use close_reason::CloseReason;
pub use reading::Unread;
pub use writing::{MAX_WRITE_STALL, queued_fraction, set_max_queued_bytes};

use async_channel::{Receiver, Sender};
use async_io::Async;
use reading::CHUNK_BYTES;
use std::cell::{Cell, RefCell};

use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use task_placer::Micros;

/// The pause after a call of the system that failed for a moment.
const TEMPORARY_FAULT_PAUSE: Duration = Duration::from_millis(1);

/// A connection that is shared by the task that runs it and by those who write to it.
pub struct Connection {
    stream: Async<TcpStream>,
    /// What the socket has not taken yet.
    queue: RefCell<Vec<u8>>,
    /// Since when the queue has made no progress, and whether it has made some since that was recorded.
    stalled_since: Cell<Micros>,
    has_progressed: Cell<bool>,
    /// Since when part of a message waits for its rest.
    partial_since: Cell<Option<Instant>>,
    /// When something last arrived, or the connection came up.
    last_received_at: Cell<Instant>,
    /// Since when the answer to a check of the connection is awaited.
    check_sent_at: Cell<Option<Instant>>,
    /// Why it is closing, if it is.
    close_reason: Cell<Option<CloseReason>>,
    /// Nothing more is read from it.
    stops_reading: Cell<bool>,
    /// Wakes the task that runs it.
    wake: (Sender<()>, Receiver<()>),
}

impl Connection {
    /// Takes over a connected stream.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        // Without it small messages wait for the peer's acknowledgements.
        let _ = stream.get_ref().set_nodelay(true);
        Connection {
            stream,
            queue: RefCell::default(),
            stalled_since: Cell::new(0),
            has_progressed: Cell::new(false),
            partial_since: Cell::new(None),
            last_received_at: Cell::new(Instant::now()),
            check_sent_at: Cell::new(None),
            close_reason: Cell::new(None),
            stops_reading: Cell::new(false),
            wake: async_channel::bounded(1),
        }
    }

    /// Closes the connection; the first reason counts.
    pub fn close(&self, reason: CloseReason) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
        }
        let _ = self.wake.0.try_send(());
    }

    /// Closes our side, after what was handed to the system; the peer's is still read.
    pub fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Closes our side, and reads nothing more. Guards against requests that cross the close: one that is read has been
    /// taken, and one that is left unread is sent again by its client elsewhere.
    pub fn shutdown_unread(&self) {
        self.stops_reading.set(true);
        self.shutdown_write();
    }

    /// Whether it is closing or has failed.
    pub fn is_closing(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Whether it is closing for what the peer did on it or for another's need, and not because it failed.
    pub fn is_closed_deliberately(&self) -> bool {
        self.close_reason
            .get()
            .is_some_and(|reason| !matches!(reason, CloseReason::Reset | CloseReason::Failed(_)))
    }

    /// Keeps what the system queues of our writes small. Guards against attempts that can't be taken back: what a peer
    /// that reads slowly has not taken waits here.
    pub fn limit_send_buffer(&self) {
        let _ = rustix::net::sockopt::set_socket_send_buffer_size(&self.stream, CHUNK_BYTES);
    }

    /// Whether part of a message has arrived.
    pub fn has_partial_message(&self) -> bool {
        self.partial_since.get().is_some()
    }

    /// Closes a connection on which part of a message has waited for its rest for longer than `timeout`.
    pub fn close_if_partial(&self, timeout: Duration) {
        let since = self.partial_since.get();
        if since.is_some_and(|since| since.elapsed() > timeout) {
            self.close(CloseReason::HandshakeTimeout);
        }
    }

    /// Returns for how long nothing has arrived.
    pub fn silent_for(&self) -> Duration {
        self.last_received_at.get().elapsed()
    }

    /// Sends a message that the peer answers at once, unless the answer to an earlier one is awaited.
    pub fn send_check(&self, now: Micros, message: &[u8]) {
        if self.check_sent_at.get().is_none() && self.send(now, message) {
            self.check_sent_at.set(Some(Instant::now()));
        }
    }

    /// Whether a check was sent longer ago than `timeout`, and nothing has arrived since.
    pub fn check_failed(&self, timeout: Duration) -> bool {
        let sent_at = self.check_sent_at.get();
        sent_at.is_some_and(|at| at.elapsed() > timeout)
    }
}

#[cfg(test)]
mod tests;
