//! Reading: in chunks, until the peer or this process ends the connection, and what is read after that.

use super::{CloseReason, Connection, TEMPORARY_FAULT_PAUSE};
use crate::net::system_error::is_short_of_memory;
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read};
use std::time::{Duration, Instant};

/// Bytes that one read takes at most.
pub(super) const CHUNK_BYTES: usize = 16 * 1024;
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

impl Connection {
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
                // A fault that passes is no reason to end the connection.
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_short_of_memory(&e) => {
                    return Unread::Nothing;
                }
                Err(e) => {
                    self.close(e.into());
                    return Unread::EndOfStream;
                }
            }
        }
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
                Ok(count) => return Ok(count),
                Err(error) => self.wait_to_read_again(error).await?,
            }
        }
    }

    /// Appends what has arrived, at most a chunk; waits until there is something.
    async fn read_some(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        loop {
            match self.read_now(inbox) {
                Ok(count) => return Ok(count),
                Err(error) => self.wait_to_read_again(error).await?,
            }
        }
    }

    /// Waits until a read that has failed may succeed.
    ///
    /// # Errors
    ///
    /// Returns the error if the connection has failed.
    async fn wait_to_read_again(&self, error: io::Error) -> io::Result<()> {
        match error.kind() {
            ErrorKind::Interrupted => Ok(()),
            ErrorKind::WouldBlock => self.stream.readable().await,
            _ if is_short_of_memory(&error) => {
                Timer::after(TEMPORARY_FAULT_PAUSE).await;
                Ok(())
            }
            _ => Err(error),
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

    /// Closes our side without what is still queued, and discards what arrives until the peer closes, for a bounded time.
    pub async fn discard_until_closed(&self) {
        self.shutdown_write();
        let limit = async {
            Timer::after(SHUTDOWN_READ_TIMEOUT).await;
        };
        future::or(self.read_to_end(), limit).await;
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
            match writable.and_then(|()| self.flush()) {
                Err(e) if is_short_of_memory(&e) => drop(Timer::after(TEMPORARY_FAULT_PAUSE).await),
                Err(_) => return,
                Ok(()) => {}
            }
        }
        self.shutdown_write();
        self.read_to_end().await;
    }

    async fn read_to_end(&self) {
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
}
