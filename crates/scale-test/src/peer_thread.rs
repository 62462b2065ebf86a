//! A thread that plays hollow peers until it is commanded to stop, or fails.

use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// A thread that returns a value when it stops.
pub struct PeerThread<T>(Option<JoinHandle<io::Result<T>>>);

impl<T: Send + 'static> PeerThread<T> {
    /// Starts a thread.
    pub fn spawn(
        name: &str,
        run: impl FnOnce() -> io::Result<T> + Send + 'static,
    ) -> io::Result<PeerThread<T>> {
        let handle = Builder::new().name(name.to_string()).spawn(run)?;
        Ok(PeerThread(Some(handle)))
    }

    /// Returns the error on which the thread has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        let is_finished = self.0.as_ref().is_some_and(JoinHandle::is_finished);
        is_finished.then(|| {
            self.join()
                .err()
                .unwrap_or_else(|| io::Error::other("it ended too early"))
        })
    }

    /// Waits for the end of the thread, and returns its value.
    pub fn join(&mut self) -> io::Result<T> {
        let handle = self
            .0
            .take()
            .ok_or_else(|| io::Error::other("it has ended before"))?;
        handle
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("it panicked")))
    }
}

/// Waits for events, at most so long. A signal ends the wait early, with no events.
pub fn wait_for_events(poll: &mut Poll, events: &mut Events, wait: Duration) -> io::Result<()> {
    match poll.poll(events, Some(wait)) {
        Err(error) if error.kind() != ErrorKind::Interrupted => Err(error),
        _ => Ok(()),
    }
}
