//! One TCP connection: reads by chunks, and writes through a bounded queue.

use super::codec::Malformed;
use anisehead::Micros;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;

/// Bytes that may wait for a peer that reads slowly.
const MOST_QUEUED: usize = 256 * 1024;
const CHUNK: usize = 16 * 1024;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The peer closed it.
    Closed,
    /// The peer or its machine reset it.
    Reset,
    /// Another failure of the socket.
    Failed(ErrorKind),
    /// The peer reads too slowly: its queue is full.
    QueueFull,
    /// The peer takes nothing from its queue.
    Stalled,
    /// The peer sent what is no message.
    Malformed(Malformed),
    /// Nothing happened on it.
    Idle,
    /// The host is gone or has another address.
    HostGone,
    /// The peer told nothing for too long.
    Silent,
    /// Another connection to the same host has taken its place.
    Replaced,
    /// The feed's numbers leave a gap.
    Gap,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Closed => write!(f, "closed"),
            End::Reset => write!(f, "reset"),
            End::Failed(kind) => write!(f, "failed:{kind}"),
            End::QueueFull => write!(f, "queue-full"),
            End::Stalled => write!(f, "stalled"),
            End::Malformed(what) => write!(f, "malformed:{what}"),
            End::Idle => write!(f, "idle"),
            End::HostGone => write!(f, "host-gone"),
            End::Replaced => write!(f, "replaced"),
            End::Silent => write!(f, "silent"),
            End::Gap => write!(f, "gap"),
        }
    }
}

impl From<io::Error> for End {
    fn from(e: io::Error) -> End {
        match e.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted => End::Reset,
            kind => End::Failed(kind),
        }
    }
}

/// A connection that is shared by the task that runs it and by those who write to it.
pub struct Conn {
    stream: Async<TcpStream>,
    queue: RefCell<Vec<u8>>,
    /// Since when the queue has made no progress, and whether it has made some since that was noted.
    stuck_since: Cell<Micros>,
    progress: Cell<bool>,
    end: Cell<Option<End>>,
    wake: (Sender<()>, Receiver<()>),
}

impl Conn {
    /// Takes over a connected stream.
    pub fn new(stream: Async<TcpStream>) -> Conn {
        // Without it small messages wait for the peer's acknowledgements.
        let _ = stream.get_ref().set_nodelay(true);
        Conn {
            stream,
            queue: RefCell::default(),
            stuck_since: Cell::new(0),
            progress: Cell::new(false),
            end: Cell::new(None),
            wake: async_channel::bounded(1),
        }
    }

    /// Writes at once what the socket takes; the rest is queued. Never waits: a peer that does not read
    /// is ended with a reason and stalls nobody else. False proves that not one byte has left.
    pub fn send(&self, now: Micros, bytes: &[u8]) -> bool {
        if self.end.get().is_some() {
            return false;
        }
        let mut queue = self.queue.borrow_mut();
        let mut rest = bytes;
        while queue.is_empty() && !rest.is_empty() {
            match self.stream.get_ref().write(rest) {
                Ok(n) => rest = rest.get(n..).unwrap_or_default(),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    self.stop(e.into());
                    return rest.len() < bytes.len();
                }
            }
        }
        if rest.is_empty() {
            return true;
        }
        if queue.len() + rest.len() > MOST_QUEUED {
            self.stop(End::QueueFull);
            return rest.len() < bytes.len();
        }
        if queue.is_empty() {
            self.stuck_since.set(now);
        }
        queue.extend_from_slice(rest);
        let _ = self.wake.0.try_send(());
        true
    }

    /// Ends the connection.
    pub fn stop(&self, end: End) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
        }
        let _ = self.wake.0.try_send(());
    }

    /// Whether it was told to end.
    pub fn stopping(&self) -> bool {
        self.end.get().is_some()
    }

    /// Whether all that was sent has been handed to the system.
    pub fn flushed(&self) -> bool {
        self.queue.borrow().is_empty() || self.stopping()
    }

    /// Ends a connection whose peer has taken nothing for so long.
    pub fn end_if_stuck(&self, now: Micros, patience: Micros) {
        if self.progress.take() {
            self.stuck_since.set(now);
        }
        if !self.flushed() && now - self.stuck_since.get() > patience {
            self.stop(End::Stalled);
        }
    }

    /// Reads and writes until it ends. `take` removes whole messages from what has come in.
    pub async fn run(&self, take: impl FnMut(&mut Vec<u8>) -> Result<(), End>) -> End {
        future::or(self.read(take), self.write()).await
    }

    async fn read(&self, mut take: impl FnMut(&mut Vec<u8>) -> Result<(), End>) -> End {
        let mut inbox = Vec::new();
        let mut chunk = vec![0; CHUNK];
        loop {
            let count = match (&self.stream).read(&mut chunk).await {
                Ok(0) => return self.end.get().unwrap_or(End::Closed),
                Ok(count) => count,
                Err(e) => return self.end.get().unwrap_or(e.into()),
            };
            inbox.extend_from_slice(chunk.get(..count).unwrap_or_default());
            if let Err(end) = take(&mut inbox) {
                return end;
            }
            // A peer that sends without pause does not keep the thread to itself.
            future::yield_now().await;
        }
    }

    async fn write(&self) -> End {
        loop {
            if let Some(end) = self.end.get() {
                return end;
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
            if let Err(e) = ready.and_then(|()| self.flush()) {
                return e.into();
            }
        }
    }

    fn flush(&self) -> io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        while !queue.is_empty() {
            match self.stream.get_ref().write(&queue) {
                Ok(n) => {
                    let taken = n.min(queue.len());
                    queue.drain(..taken);
                    self.progress.set(true);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// A connection, and the peer's end of it, which reads nothing.
    fn pair() -> (Conn, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let (peer, _) = listener.accept().expect("a connection");
        (Conn::new(Async::new(stream).expect("a socket")), peer)
    }

    #[test]
    fn a_peer_that_never_reads_is_ended_with_a_reason_and_its_queue_is_bounded() {
        let (conn, _peer) = pair();
        let mut sent = 0;
        while !conn.stopping() {
            conn.send(0, &[0; 8192]);
            sent += 8192;
            assert!(sent < 1 << 30, "no end");
        }
        assert_eq!(conn.end.get(), Some(End::QueueFull));
        assert!(conn.queue.borrow().len() <= MOST_QUEUED);
    }

    #[test]
    fn a_peer_that_takes_nothing_for_too_long_is_ended() {
        let (conn, _peer) = pair();
        while conn.flushed() {
            conn.send(1_000, &[0; 8192]);
        }
        conn.end_if_stuck(6_000, 5_000);
        assert!(!conn.stopping());
        conn.end_if_stuck(6_001, 5_000);
        assert_eq!(conn.end.get(), Some(End::Stalled));
    }
}
