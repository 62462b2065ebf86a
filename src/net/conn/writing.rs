//! Writes to a connection through a bounded queue, with a limit for the queues of all connections together.

use super::{CloseReason, Connection, TEMPORARY_FAULT_PAUSE};
use crate::net::system_error::is_short_of_memory;
use async_io::Timer;
use futures_lite::future;
use std::cell::Cell;
use std::io::{self, ErrorKind, Write};
use task_placer::Micros;

/// Limit of bytes queued for one peer that reads slowly.
pub(super) const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Time in microseconds without progress of the write queue after which a connection is closed.
pub const MAX_WRITE_STALL: Micros = 5_000_000;

thread_local! {
    /// Number of bytes queued on all connections together.
    static TOTAL_QUEUED_BYTES: Cell<usize> = const { Cell::new(0) };
    /// Limit of bytes queued on all connections together.
    static MAX_TOTAL_QUEUED_BYTES: Cell<usize> = const { Cell::new(8 * 1024 * 1024) };
}

/// Sets the limit of bytes queued on all connections together.
pub fn set_max_queued_bytes(bytes: usize) {
    MAX_TOTAL_QUEUED_BYTES.set(bytes);
}

/// Returns the number of bytes queued on all connections as a fraction of the limit.
pub fn queued_fraction() -> f64 {
    TOTAL_QUEUED_BYTES.get() as f64 / MAX_TOTAL_QUEUED_BYTES.get().max(1) as f64
}

impl Connection {
    /// Writes as much as the socket takes at once, and queues the rest. It never blocks: a connection whose peer does
    /// not read is closed with a reason, without stalling other connections. If it returns false, not a single byte has
    /// been sent.
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
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_short_of_memory(&e) => break,
                Err(e) => {
                    self.close(e.into());
                    return rest.len() < bytes.len();
                }
            }
        }
        if rest.is_empty() {
            return true;
        }
        // The limit for all connections guards against many slow readers that each stay within the limit of one
        // connection.
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

    /// Returns whether all sent data has been handed to the kernel, or the connection is closing.
    pub fn is_flushed(&self) -> bool {
        self.queue.borrow().is_empty() || self.is_closing()
    }

    /// Closes the connection if the peer has taken nothing from the write queue for longer than `max_stall`.
    pub fn close_if_write_stalled(&self, now: Micros, max_stall: Micros) {
        if self.has_progressed.take() {
            self.stalled_since.set(now);
        }
        if !self.is_flushed() && now - self.stalled_since.get() > max_stall {
            self.close(CloseReason::WriteStalled);
        }
    }

    /// Writes the queued data until the connection closes, and returns the reason.
    pub(super) async fn write(&self) -> CloseReason {
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
            match ready.and_then(|()| self.flush()) {
                // The kernel is temporarily short of memory; the queued data is written later.
                Err(e) if is_short_of_memory(&e) => drop(Timer::after(TEMPORARY_FAULT_PAUSE).await),
                Err(e) => return e.into(),
                Ok(()) => {}
            }
        }
    }

    /// Writes as much of the queue as the socket takes at once.
    pub(super) fn flush(&self) -> io::Result<()> {
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
