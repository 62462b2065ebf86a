//! Owns one TCP connection: reads it in chunks, and writes to it through a bounded queue. It never waits for a peer, and
//! knows nothing of what is sent on it.

mod close_reason;

pub use close_reason::CloseReason;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use task_placer::Micros;

/// Bytes that may be queued for a peer that reads slowly.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Bytes that one read takes at most.
const CHUNK_BYTES: usize = 16 * 1024;
/// How long a peer may take nothing from its write queue.
pub const MAX_WRITE_STALL: Micros = 5_000_000;
/// Bytes that are read at most from a connection that has failed.
const MAX_BYTES_AFTER_FAILURE: usize = 64 * CHUNK_BYTES;
/// Bytes that are read at most from a connection after our end of it.
const MAX_SHUTDOWN_READ_BYTES: usize = 128 * 1024 * 1024;
/// How long a connection is read after our end of it.
const SHUTDOWN_READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How often a connection that is not read any more is looked at for the peer's close.
const UNREAD_CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

thread_local! {
    /// Where all connections read to. One for each would be the largest part of what an idle connection holds.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK_BYTES]);
    /// Bytes queued on all connections.
    static TOTAL_QUEUED_BYTES: Cell<usize> = const { Cell::new(0) };
    /// Bytes that may be queued on all connections.
    static MAX_TOTAL_QUEUED_BYTES: Cell<usize> = const { Cell::new(8 * 1024 * 1024) };
}

/// Sets how many bytes may be queued on all connections together.
pub fn set_max_queued_bytes(bytes: usize) {
    MAX_TOTAL_QUEUED_BYTES.set(bytes);
}

/// Returns the bytes queued on all connections as a fraction of how many may be.
pub fn queued_fraction() -> f64 {
    TOTAL_QUEUED_BYTES.get() as f64 / MAX_TOTAL_QUEUED_BYTES.get().max(1) as f64
}

/// What has arrived on a connection and was not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// So many bytes, or more where it is as many as one read takes.
    Bytes(usize),
    /// The peer's end of the connection, and nothing before it.
    EndOfStream,
}

impl Unread {
    /// Whether the next read takes all of it.
    pub fn fits_next_read(self) -> bool {
        !matches!(self, Unread::Bytes(CHUNK_BYTES..))
    }
}

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

    /// Writes at once what the socket takes, and queues the rest. Never waits: a connection whose peer does not read is
    /// closed with a reason, and stalls nobody else. False proves that not one byte has been sent.
    pub fn send(&self, now: Micros, bytes: &[u8]) -> bool {
        if self.close_reason.get().is_some() {
            return false;
        }
        let mut queue = self.queue.borrow_mut();
        let mut rest = bytes;
        while queue.is_empty() && !rest.is_empty() {
            match self.stream.get_ref().write(rest) {
                Ok(count) => rest = rest.get(count..).unwrap_or_default(),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    self.close(e.into());
                    return rest.len() < bytes.len();
                }
            }
        }
        if rest.is_empty() {
            return true;
        }
        // The second limit guards against many slow readers that each stay within the first.
        let total = TOTAL_QUEUED_BYTES.get() + rest.len();
        if queue.len() + rest.len() > MAX_QUEUED_BYTES || total > MAX_TOTAL_QUEUED_BYTES.get() {
            self.close(CloseReason::QueueFull);
            return rest.len() < bytes.len();
        }
        if queue.is_empty() {
            self.stalled_since.set(now);
        }
        queue.extend_from_slice(rest);
        TOTAL_QUEUED_BYTES.set(total);
        let _ = self.wake.0.try_send(());
        true
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

    /// Whether nothing waits to be read. Guards a request that has arrived and was not read yet against a close of what
    /// looks idle.
    pub fn has_no_unread_input(&self) -> bool {
        loop {
            match self.stream.get_ref().peek(&mut [0]) {
                Ok(count) => return count == 0,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }

    /// Returns what waits to be read. A peer that has closed or reset the connection may be gone for long before that is
    /// read: others are read first, and the process may have been stopped.
    pub fn unread(&self) -> Unread {
        loop {
            match READ_BUFFER.with_borrow_mut(|buffer| self.stream.get_ref().peek(buffer)) {
                Ok(0) => return Unread::EndOfStream,
                Ok(count) => return Unread::Bytes(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Unread::Nothing,
                Err(e) => {
                    self.close(e.into());
                    return Unread::EndOfStream;
                }
            }
        }
    }

    /// Keeps what the system queues of our writes small. Guards against attempts that can't be taken back: what a peer
    /// that reads slowly has not taken waits here.
    pub fn limit_send_buffer(&self) {
        let _ = rustix::net::sockopt::set_socket_send_buffer_size(&self.stream, CHUNK_BYTES);
    }

    /// Whether all that was sent has been handed to the system.
    pub fn is_flushed(&self) -> bool {
        self.queue.borrow().is_empty() || self.is_closing()
    }

    /// Closes a connection whose peer has taken nothing from the write queue for longer than `max_stall`.
    pub fn close_if_write_stalled(&self, now: Micros, max_stall: Micros) {
        if self.has_progressed.take() {
            self.stalled_since.set(now);
        }
        if !self.is_flushed() && now - self.stalled_since.get() > max_stall {
            self.close(CloseReason::WriteStalled);
        }
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

    /// Reads and writes until it ends. `consume` removes whole messages from what has arrived. Guards what a peer sent
    /// before it closed against a write that fails first: an answer may be among it.
    pub async fn run(
        &self,
        mut consume: impl FnMut(&mut Vec<u8>) -> Result<(), CloseReason>,
    ) -> CloseReason {
        let mut inbox = Vec::new();
        let reason = future::or(self.read(&mut inbox, &mut consume), self.write()).await;
        if let CloseReason::Reset | CloseReason::Failed(_) = reason {
            self.close(reason);
            let (before, mut count) = (inbox.len(), 1);
            while count > 0 && inbox.len() - before < MAX_BYTES_AFTER_FAILURE {
                count = self.read_now(&mut inbox).unwrap_or(0);
            }
            let _ = consume(&mut inbox);
        }
        reason
    }

    async fn read(
        &self,
        inbox: &mut Vec<u8>,
        consume: &mut impl FnMut(&mut Vec<u8>) -> Result<(), CloseReason>,
    ) -> CloseReason {
        loop {
            match self.read_while_open(inbox).await {
                Ok(0) => return self.close_reason.get().unwrap_or(CloseReason::Closed),
                Ok(_) => {}
                Err(e) => return self.close_reason.get().unwrap_or(e.into()),
            };
            let before = inbox.len();
            if let Err(reason) = consume(inbox) {
                return reason;
            }
            let since = self.partial_since.get().filter(|_| inbox.len() == before);
            self.partial_since
                .set((!inbox.is_empty()).then(|| since.unwrap_or_else(Instant::now)));
            if inbox.is_empty() {
                *inbox = Vec::new();
            }
            // A peer that sends without pause does not keep the thread to itself.
            future::yield_now().await;
        }
    }

    /// Appends what has arrived, at most a chunk; waits until there is something. Returns zero once the connection is to be
    /// closed: a request that is read has been taken, so nothing is read from then on.
    async fn read_while_open(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        loop {
            self.may_read().await;
            if self.is_closed_deliberately() {
                return Ok(0);
            }
            match self.read_now(inbox) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.stream.readable().await?,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Appends what has arrived, at most a chunk; waits until there is something.
    async fn read_some(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        loop {
            match self.read_now(inbox) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.stream.readable().await?,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Waits for ever, but for the end of the connection, once nothing more is to be read.
    async fn may_read(&self) {
        while self.stops_reading.get() && self.unread() != Unread::EndOfStream {
            Timer::after(UNREAD_CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Appends what has arrived, at most a chunk, without waiting for it.
    fn read_now(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let count = self.stream.get_ref().read(buffer)?;
            self.last_received_at.set(Instant::now());
            self.check_sent_at.set(None);
            inbox.extend_from_slice(buffer.get(..count).unwrap_or_default());
            Ok(count)
        })
    }

    /// Closes our side after the last message and reads what still arrives, for a bounded time. Guards against the reset
    /// that closing with unread input would send: it can take the message along.
    pub async fn shutdown_gracefully(&self) {
        let limit = async {
            Timer::after(SHUTDOWN_READ_TIMEOUT).await;
        };
        future::or(self.flush_and_read_to_end(), limit).await;
    }

    /// Closes our side and waits for the peer to close, for a bounded time, without reading what it still sends. Guards
    /// against the reset that closing at once could send: it can take a message along that the peer has not read yet.
    pub async fn close_unread(&self) {
        self.shutdown_unread();
        let limit = async {
            Timer::after(SHUTDOWN_READ_TIMEOUT).await;
        };
        future::or(self.may_read(), limit).await;
    }

    async fn flush_and_read_to_end(&self) {
        while !self.queue.borrow().is_empty() {
            let writable = self.stream.writable().await;
            if writable.and_then(|()| self.flush()).is_err() {
                return;
            }
        }
        self.shutdown_write();
        let (mut inbox, mut total) = (Vec::new(), 0);
        while let Ok(count) = self.read_some(&mut inbox).await {
            total += count;
            if count == 0 || total > MAX_SHUTDOWN_READ_BYTES {
                return;
            }
            inbox.clear();
            future::yield_now().await;
        }
    }

    /// Writes what is queued until the connection closes.
    async fn write(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.close_reason.get() {
                return reason;
            }
            let woken = async {
                let _ = self.wake.1.recv().await;
                Ok(())
            };
            let ready = if self.queue.borrow().is_empty() {
                woken.await
            } else {
                future::or(woken, self.stream.writable()).await
            };
            if let Err(e) = ready.and_then(|()| self.flush()) {
                return e.into();
            }
        }
    }

    /// Writes what the socket takes at once of the queue.
    fn flush(&self) -> io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        while !queue.is_empty() {
            match self.stream.get_ref().write(&queue) {
                Ok(count) => {
                    let written = count.min(queue.len());
                    queue.drain(..written);
                    TOTAL_QUEUED_BYTES.set(TOTAL_QUEUED_BYTES.get().saturating_sub(written));
                    self.has_progressed.set(true);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let queued = self.queue.borrow().len();
        TOTAL_QUEUED_BYTES.set(TOTAL_QUEUED_BYTES.get().saturating_sub(queued));
    }
}

#[cfg(test)]
mod tests;
