//! A thread that simulates peers until it receives a stop command or fails.

use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// The handle of a thread that returns a value when it stops. Holds `None` once the thread has been joined.
pub struct PeerThread<T>(Option<JoinHandle<io::Result<T>>>);

impl<T: Send + 'static> PeerThread<T> {
    /// Starts a thread with this name.
    pub fn spawn(
        name: &str,
        run: impl FnOnce() -> io::Result<T> + Send + 'static,
    ) -> io::Result<PeerThread<T>> {
        let handle = Builder::new().name(name.to_string()).spawn(run)?;
        Ok(PeerThread(Some(handle)))
    }

    /// Returns the error with which the thread ended, or `None` if it still runs or was joined. A thread that ended
    /// without an error counts as failed too, because nobody stopped it.
    pub fn failure(&mut self) -> Option<io::Error> {
        let is_finished = self.0.as_ref().is_some_and(JoinHandle::is_finished);
        is_finished.then(|| {
            self.join()
                .err()
                .unwrap_or_else(|| io::Error::other("thread ended before it was stopped"))
        })
    }

    /// Waits for the end of the thread, and returns its value.
    pub fn join(&mut self) -> io::Result<T> {
        let handle = self
            .0
            .take()
            .ok_or_else(|| io::Error::other("thread has already been joined"))?;
        handle
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("thread panicked")))
    }
}

/// Waits for events for at most `wait`. If a signal interrupts the wait, it returns early without events.
pub fn wait_for_events(poll: &mut Poll, events: &mut Events, wait: Duration) -> io::Result<()> {
    match poll.poll(events, Some(wait)) {
        Err(error) if error.kind() != ErrorKind::Interrupted => Err(error),
        _ => Ok(()),
    }
}
