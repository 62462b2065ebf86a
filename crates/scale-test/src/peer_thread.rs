//! A thread of hollow peers that ends only when it is told to, or on an error.

use std::io;
use std::thread::{Builder, JoinHandle};

/// A thread that gives a value when it is told to end.
pub struct PeerThread<T>(Option<JoinHandle<io::Result<T>>>);

impl<T: Send + 'static> PeerThread<T> {
    /// Starts it.
    pub fn spawn(
        name: &str,
        run: impl FnOnce() -> io::Result<T> + Send + 'static,
    ) -> io::Result<PeerThread<T>> {
        let handle = Builder::new().name(name.to_string()).spawn(run)?;
        Ok(PeerThread(Some(handle)))
    }

    /// The error on which it has ended, if it has.
    pub fn failure(&mut self) -> Option<io::Error> {
        let finished = self.0.as_ref().is_some_and(JoinHandle::is_finished);
        finished.then(|| {
            self.join()
                .err()
                .unwrap_or_else(|| io::Error::other("it ended too early"))
        })
    }

    /// Waits for its end; its value.
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
