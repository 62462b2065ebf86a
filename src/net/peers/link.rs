//! Runs the connection to one other process of the placer: reads its messages, and writes through a bounded queue.

use super::{PeerEvents, PeerId};
use crate::net::codec::peer::{self, MAX_LINE_BYTES};
use crate::net::codec::{Malformed, next_line};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::rc::Rc;
use task_placer::operation::process_group::PeerAge;
use tracing::warn;

/// Limit of bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Limit of bytes queued for a process that does not read. It has room for the announcement of all tasks that the other
/// process keeps (`remote_tasks::MAX_TASKS`).
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;

/// A connection to another process of the placer.
pub struct PeerLink {
    stream: Async<UnixStream>,
    /// Bytes that the socket has not taken yet.
    queue: RefCell<Vec<u8>>,
    /// Whether messages were dropped since the queue was last empty.
    has_dropped: Cell<bool>,
    /// Whether writing has failed. What the other process sent before can still be read.
    has_failed: Cell<bool>,
    /// Wakes the asynchronous task that writes the queue.
    wake: (Sender<()>, Receiver<()>),
}

impl PeerLink {
    fn new(stream: Async<UnixStream>) -> PeerLink {
        PeerLink {
            stream,
            queue: RefCell::default(),
            has_dropped: Cell::new(false),
            has_failed: Cell::new(false),
            wake: async_channel::bounded(1),
        }
    }

    /// Writes as much as the socket takes at once, and queues the rest. Once the queue is full, messages are dropped until
    /// the other process has read all of it; [`PeerEvents::peer_caught_up`] is called then.
    pub fn send(&self, bytes: &[u8]) {
        if self.has_failed.get() || self.has_dropped.get() {
            return;
        }
        let mut queue = self.queue.borrow_mut();
        if queue.len() + bytes.len() > MAX_QUEUED_BYTES {
            return self.has_dropped.set(true);
        }
        let was_empty = queue.is_empty();
        queue.extend_from_slice(bytes);
        if was_empty && self.write_queue(&mut queue).is_err() {
            self.has_failed.set(true);
        }
        if !queue.is_empty() {
            let _ = self.wake.0.try_send(());
        }
    }

    /// Whether all that was sent has been handed to the kernel, or can't be any more.
    pub fn is_flushed(&self) -> bool {
        self.has_failed.get() || self.queue.borrow().is_empty()
    }

    fn write_queue(&self, queue: &mut Vec<u8>) -> io::Result<()> {
        let mut written = 0;
        let result = loop {
            let rest = queue.get(written..).unwrap_or_default();
            if rest.is_empty() {
                break Ok(());
            }
            match self.stream.get_ref().write(rest) {
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        queue.drain(..written.min(queue.len()));
        result
    }

    /// Writes what is queued, for as long as the connection lasts.
    async fn write<H: PeerEvents>(&self, peer: PeerId, handler: &Rc<RefCell<H>>) {
        while self.wake.1.recv().await.is_ok() {
            while !self.is_flushed() {
                let written = match self.stream.writable().await {
                    Ok(()) => self.write_queue(&mut self.queue.borrow_mut()),
                    Err(error) => Err(error),
                };
                self.has_failed.set(written.is_err());
            }
            if self.has_dropped.take() {
                handler.borrow_mut().peer_caught_up(peer);
            }
        }
    }

    /// Reads messages until the other process has exited. A malformed line ends the exchange of messages, but not the
    /// connection, which still shows when that process exits.
    async fn read<H: PeerEvents>(&self, peer: PeerId, handler: &Rc<RefCell<H>>) {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut inbox = Vec::new();
        let mut is_malformed = false;
        loop {
            let count = match self
                .stream
                .read_with(|mut stream| stream.read(&mut chunk))
                .await
            {
                Ok(0) => return,
                Ok(count) => count,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            if is_malformed {
                continue;
            }
            inbox.extend_from_slice(chunk.get(..count).unwrap_or_default());
            if let Err(reason) = handle_lines(&mut inbox, peer, handler) {
                warn!(peer = %peer, %reason, "cannot read another process of this placer");
                is_malformed = true;
                inbox = Vec::new();
            }
            // Yields so that a process that sends without pause does not monopolize the thread.
            future::yield_now().await;
        }
    }
}

fn handle_lines<H: PeerEvents>(
    inbox: &mut Vec<u8>,
    peer: PeerId,
    handler: &Rc<RefCell<H>>,
) -> Result<(), Malformed> {
    while let Some(mut line) = next_line(inbox, MAX_LINE_BYTES)? {
        let message = peer::read(&mut line)?;
        handler.borrow_mut().peer_message(peer, message);
    }
    Ok(())
}

/// Serves a connection to another process until that process exits.
pub(super) async fn serve<H: PeerEvents>(
    stream: Async<UnixStream>,
    age: PeerAge,
    handler: &Rc<RefCell<H>>,
) {
    let link = Rc::new(PeerLink::new(stream));
    let peer = handler.borrow_mut().peer_joined(age, link.clone());
    // A failed write does not end the connection: what the other process sent before it exited is read to the end.
    let writing = async {
        link.write(peer, handler).await;
        future::pending().await
    };
    future::or(link.read(peer, handler), writing).await;
    handler.borrow_mut().peer_exited(peer);
}
