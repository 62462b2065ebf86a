//! Owns one TCP connection: reads it in chunks, and writes to it through a bounded queue. It never blocks on a peer,
//! and does not know the messages that are sent.

mod close_reason;
mod large_input;
mod reading;
mod writing;

pub use close_reason::CloseReason;
pub use large_input::set_max_unfinished_input;
pub use reading::Unread;
pub use writing::{MAX_WRITE_STALL, queued_fraction, set_max_queued_bytes};

use async_channel::{Receiver, Sender};
use async_io::Async;
use reading::CHUNK_BYTES;
use std::cell::{Cell, RefCell};

use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use task_placer::Micros;

/// Pause after a system call that failed temporarily.
const TEMPORARY_FAULT_PAUSE: Duration = Duration::from_millis(1);

/// A TCP connection, shared by the async task that runs it and the code that writes to it.
pub struct Connection {
    stream: Async<TcpStream>,
    /// Bytes that the socket has not taken yet.
    queue: RefCell<Vec<u8>>,
    /// Since when the queue has made no progress.
    stalled_since: Cell<Micros>,
    /// Whether the queue has made progress since `stalled_since` was last updated.
    has_progressed: Cell<bool>,
    /// Since when an incomplete message has been waiting for its remainder.
    partial_since: Cell<Option<Instant>>,
    /// When data last arrived, or when the connection was created if none has.
    last_received_at: Cell<Instant>,
    /// When the unanswered connection check was sent; `None` if no answer is awaited.
    check_sent_at: Cell<Option<Instant>>,
    /// Why the connection is closing; `None` while it is open.
    close_reason: Cell<Option<CloseReason>>,
    /// Whether the memory of unfinished messages from this peer is limited.
    limits_input: Cell<bool>,
    /// Whether reading from the connection has stopped.
    stops_reading: Cell<bool>,
    /// Wakes the async task that runs the connection.
    wake: (Sender<()>, Receiver<()>),
}

impl Connection {
    /// Creates a connection from a connected stream, and sets `TCP_NODELAY` on it.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        // Without `TCP_NODELAY`, small messages wait for the peer's acknowledgements.
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
            limits_input: Cell::new(false),
            stops_reading: Cell::new(false),
            wake: async_channel::bounded(1),
        }
    }

    /// Closes the connection. If it is closed more than once, the first reason is kept.
    pub fn close(&self, reason: CloseReason) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
        }
        let _ = self.wake.0.try_send(());
    }

    /// Shuts down the write side of the socket, after the data that was handed to the kernel. Data from the peer is
    /// still read.
    pub fn shutdown_write(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Shuts down the write side of the socket, and stops reading. A request that arrives at the same time as the close
    /// must stay unread: a request that is read counts as taken, and one that is left unread is sent elsewhere by its
    /// client.
    pub fn shutdown_unread(&self) {
        self.stops_reading.set(true);
        self.shutdown_write();
    }

    /// Returns whether the connection is closing or has failed.
    pub fn is_closing(&self) -> bool {
        self.close_reason.get().is_some()
    }

    /// Returns whether the connection is being closed by choice, because of the peer's behaviour or because its
    /// descriptor is needed elsewhere, and not because it failed.
    pub fn is_closed_deliberately(&self) -> bool {
        self.close_reason
            .get()
            .is_some_and(|reason| !matches!(reason, CloseReason::Reset | CloseReason::Failed(_)))
    }

    /// Limits the size of the kernel's send buffer. An attempt in the kernel's buffer cannot be withdrawn, whereas data
    /// that a slow peer has not taken yet stays in the queue of this process.
    pub fn limit_send_buffer(&self) {
        let _ = rustix::net::sockopt::set_socket_send_buffer_size(&self.stream, CHUNK_BYTES);
    }

    /// Limits the memory of unfinished messages from this peer, together with those of all other connections for which
    /// this is called.
    pub fn limit_unfinished_input(&self) {
        self.limits_input.set(true);
    }

    /// Returns whether an incomplete message has arrived.
    pub fn has_partial_message(&self) -> bool {
        self.partial_since.get().is_some()
    }

    /// Closes the connection if an incomplete message has waited for its remainder for longer than `timeout`.
    pub fn close_if_partial(&self, timeout: Duration) {
        let since = self.partial_since.get();
        if since.is_some_and(|since| since.elapsed() > timeout) {
            self.close(CloseReason::HandshakeTimeout);
        }
    }

    /// Returns the time since data last arrived.
    pub fn silent_for(&self) -> Duration {
        self.last_received_at.get().elapsed()
    }

    /// Sends a check message, which the peer answers at once, unless the answer to an earlier check is still awaited.
    pub fn send_check(&self, now: Micros, message: &[u8]) {
        if self.check_sent_at.get().is_none() && self.send(now, message) {
            self.check_sent_at.set(Some(Instant::now()));
        }
    }

    /// Returns whether a check was sent longer than `timeout` ago and nothing has arrived since.
    pub fn check_failed(&self, timeout: Duration) -> bool {
        let sent_at = self.check_sent_at.get();
        sent_at.is_some_and(|at| at.elapsed() > timeout)
    }
}

#[cfg(test)]
mod tests;
