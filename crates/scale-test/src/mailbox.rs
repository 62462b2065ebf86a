//! Orders to a thread that waits for events: they are queued, and the thread is woken.

use mio::{Registry, Token, Waker};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

struct Shared<T> {
    queue: Mutex<Vec<T>>,
    waker: Waker,
}

/// Where orders are sent from.
pub struct Sender<T>(Arc<Shared<T>>);

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Queues an order.
    pub fn send(&self, order: T) {
        let mut queue = self.0.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let first = queue.is_empty();
        queue.push(order);
        drop(queue);
        if first {
            // It fails only where the thread has ended, which its owner learns from the thread.
            let _ = self.0.waker.wake();
        }
    }
}

/// Where a thread takes its orders.
pub struct Receiver<T>(Arc<Shared<T>>);

impl<T> Receiver<T> {
    /// All orders that have come, in order.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A mailbox that wakes the poll of this registry with a token.
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
