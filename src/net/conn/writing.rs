//! Writing: a bounded queue for each connection, and a limit for all of them.

use super::{CloseReason, Connection, TEMPORARY_FAULT_PAUSE};
use crate::net::system_error::is_short_of_memory;
use async_io::Timer;
use futures_lite::future;
use std::cell::Cell;
use std::io::{self, ErrorKind, Write};
use task_placer::Micros;

/// Bytes that may be queued for a peer that reads slowly.
pub(super) const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// How long a peer may take nothing from its write queue.
pub const MAX_WRITE_STALL: Micros = 5_000_000;

thread_local! {
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

impl Connection {
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

    /// Writes what is queued until the connection closes.
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
                // The system is short of memory for a moment, and what is queued waits for it.
                Err(e) if is_short_of_memory(&e) => drop(Timer::after(TEMPORARY_FAULT_PAUSE).await),
                Err(e) => return e.into(),
                Ok(()) => {}
            }
        }
    }

    /// Writes what the socket takes at once of the queue.
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
