//! A queue of commands to a thread that runs an event loop. Sending a command wakes the thread.

use mio::{Registry, Token, Waker};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

struct Shared<T> {
    queue: Mutex<Vec<T>>,
    waker: Waker,
}

/// The sending end of a mailbox.
pub struct Sender<T>(Arc<Shared<T>>);

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Queues a command, and wakes the receiving thread.
    pub fn send(&self, command: T) {
        let mut queue = self.0.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let was_empty = queue.is_empty();
        queue.push(command);
        drop(queue);
        if was_empty {
            // Waking fails only if the thread has ended. Its owner learns that by joining it.
            let _ = self.0.waker.wake();
        }
    }
}

/// The receiving end of a mailbox.
pub struct Receiver<T>(Arc<Shared<T>>);

impl<T> Receiver<T> {
    /// Removes and returns all queued commands, in the order of their arrival.
    pub fn take_all(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Creates a mailbox. A command that arrives wakes the poll of `registry` with an event that has this token.
///
/// # Errors
///
/// Returns an error if the waker cannot be registered.
pub fn mailbox<T>(registry: &Registry, token: Token) -> io::Result<(Sender<T>, Receiver<T>)> {
    let shared = Arc::new(Shared {
        queue: Mutex::default(),
        waker: Waker::new(registry, token)?,
    });
    Ok((Sender(shared.clone()), Receiver(shared)))
}
