//! Reads a connection in chunks until the peer or this process ends it, and reads the remaining input after that.

use super::large_input::{LargeInputPermit, SMALL_INPUT_BYTES};
use super::{CloseReason, Connection, TEMPORARY_FAULT_PAUSE};
use crate::net::system_error::is_short_of_memory;
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read};
use std::time::{Duration, Instant};

/// Limit of bytes per read.
pub(super) const CHUNK_BYTES: usize = 16 * 1024;
/// Limit of bytes read from a connection after it has failed.
const MAX_BYTES_AFTER_FAILURE: usize = 64 * CHUNK_BYTES;
/// Limit of bytes read from a connection after this process has shut down its write side.
const MAX_SHUTDOWN_READ_BYTES: usize = 128 * 1024 * 1024;
/// Time for which a connection is kept open for the peer after this process has shut down its write side.
const SHUTDOWN_READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between checks for the peer's close on a connection that is no longer read.
const UNREAD_CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between checks whether a connection may hold more of an unfinished message.
const LARGE_INPUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

thread_local! {
    /// Read buffer shared by all connections. A buffer for each would be the largest part of an idle connection's
    /// memory.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK_BYTES]);
}

/// Input that has arrived on a connection and has not been read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// No input is waiting.
    Nothing,
    /// At least this many bytes are waiting; the number is exact if it is below the limit of one read.
    Bytes(usize),
    /// The peer has ended the connection, and no input is left before its end.
    EndOfStream,
}

impl Unread {
    /// Returns whether the next read takes all of the input.
    pub fn fits_next_read(self) -> bool {
        !matches!(self, Unread::Bytes(CHUNK_BYTES..))
    }
}

impl Connection {
    /// Returns whether no input is waiting to be read. Checked before a connection that seems idle is closed, since a
    /// request may have arrived that has not been read yet.
    pub fn has_no_unread_input(&self) -> bool {
        loop {
            match self.stream.get_ref().peek(&mut [0]) {
                Ok(count) => return count == 0,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }

    /// Returns the input that is waiting to be read. The end of a connection may be read long after the peer has closed
    /// or reset it, since other connections are read first and the process may have been stopped; this check detects it
    /// earlier.
    pub fn unread(&self) -> Unread {
        loop {
            match READ_BUFFER.with_borrow_mut(|buffer| self.stream.get_ref().peek(buffer)) {
                Ok(0) => return Unread::EndOfStream,
                Ok(count) => return Unread::Bytes(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // A temporary failure is no reason to end the connection.
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

    /// Reads and writes until the connection ends, and returns the reason. `consume` removes whole messages from the
    /// received data. If a write fails, the data that the peer sent before it closed is still read, since it may
    /// contain an answer.
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
                count = self.read_now(&mut inbox, CHUNK_BYTES).unwrap_or(0);
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
        let mut permit = None;
        loop {
            match self.read_while_open(inbox, &mut permit).await {
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
            inbox.shrink_to_fit();
            if inbox.len() <= SMALL_INPUT_BYTES {
                permit = None;
            }
            // Yields so that a peer that sends without pause does not monopolize the thread.
            future::yield_now().await;
        }
    }

    /// Appends received data to `inbox`, at most one chunk, and waits until there is some. Returns zero once the
    /// connection is to be closed: a request that is read counts as taken, so nothing is read from then on.
    async fn read_while_open(
        &self,
        inbox: &mut Vec<u8>,
        permit: &mut Option<LargeInputPermit>,
    ) -> io::Result<usize> {
        loop {
            self.wait_until_reading_allowed().await;
            if self.is_closed_deliberately() {
                return Ok(0);
            }
            let Some(max_bytes) = self.max_read_bytes(inbox.len(), permit) else {
                Timer::after(LARGE_INPUT_CHECK_INTERVAL).await;
                continue;
            };
            match self.read_now(inbox, max_bytes) {
                Ok(count) => return Ok(count),
                Err(error) => {
                    *permit = permit.take().filter(|_| inbox.len() > SMALL_INPUT_BYTES);
                    self.wait_to_read_again(error).await?;
                }
            }
        }
    }

    /// Returns how much may be read at once, or `None` if this connection holds a large part of a message, and may not
    /// hold more of it until a permit is free.
    fn max_read_bytes(&self, held: usize, permit: &mut Option<LargeInputPermit>) -> Option<usize> {
        if !self.limits_input.get() {
            return Some(CHUNK_BYTES);
        }
        if permit.is_none() {
            *permit = LargeInputPermit::acquire();
        }
        match permit {
            Some(_) => Some(CHUNK_BYTES),
            None if held <= SMALL_INPUT_BYTES => Some(SMALL_INPUT_BYTES),
            None => None,
        }
    }

    /// Appends received data to `inbox`, at most one chunk, and waits until there is some.
    async fn read_some(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        loop {
            match self.read_now(inbox, CHUNK_BYTES) {
                Ok(count) => return Ok(count),
                Err(error) => self.wait_to_read_again(error).await?,
            }
        }
    }

    /// Waits until a failed read may succeed.
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

    /// Returns at once while reading is allowed. Once reading has stopped, waits until the peer ends the connection.
    async fn wait_until_reading_allowed(&self) {
        while self.stops_reading.get() && self.unread() != Unread::EndOfStream {
            Timer::after(UNREAD_CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Appends received data to `inbox`, at most `max_bytes` and one chunk, without waiting for it.
    fn read_now(&self, inbox: &mut Vec<u8>, max_bytes: usize) -> io::Result<usize> {
        READ_BUFFER.with_borrow_mut(|buffer| {
            let max_bytes = max_bytes.min(buffer.len());
            let target = buffer.get_mut(..max_bytes).unwrap_or_default();
            let count = self.stream.get_ref().read(target)?;
            self.last_received_at.set(Instant::now());
            self.check_sent_at.set(None);
            inbox.extend_from_slice(buffer.get(..count).unwrap_or_default());
            Ok(count)
        })
    }

    /// Flushes the write queue, shuts down the write side, and reads the peer's remaining input for a bounded time.
    /// Closing with unread input would send a reset, which can destroy the last message.
    pub async fn shutdown_gracefully(&self) {
        let limit = async {
            Timer::after(SHUTDOWN_READ_TIMEOUT).await;
        };
        future::or(self.flush_and_read_to_end(), limit).await;
    }

    /// Shuts down the write side without flushing the write queue, and discards input until the peer closes, for a
    /// bounded time.
    pub async fn discard_until_closed(&self) {
        self.shutdown_write();
        let limit = async {
            Timer::after(SHUTDOWN_READ_TIMEOUT).await;
        };
        future::or(self.read_to_end(), limit).await;
    }

    /// Shuts down the write side and waits for the peer to close, for a bounded time, without reading what it still
    /// sends. Closing at once could send a reset, which can destroy a message that the peer has not read yet.
    pub async fn close_unread(&self) {
        self.shutdown_unread();
        let limit = async {
            Timer::after(SHUTDOWN_READ_TIMEOUT).await;
        };
        future::or(self.wait_until_reading_allowed(), limit).await;
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
