//! One TCP connection: reads by chunks, and writes through a bounded queue.

use super::codec::Malformed;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};
use task_placer::Micros;

/// Bytes that may wait for a peer that reads slowly.
const MOST_QUEUED: usize = 256 * 1024;
const CHUNK: usize = 16 * 1024;
/// How long a peer may take nothing from its queue.
pub const STUCK: Micros = 5_000_000;
/// What is read at the most of a connection that has failed.
const MOST_LEFT: usize = 64 * CHUNK;
/// What is read off a connection after our end of it, and for how long.
const MOST_LINGER: usize = 128 * 1024 * 1024;
const LINGER: Duration = Duration::from_millis(1_000);

thread_local! {
    /// Where all connections read to. One for each would be the most of what an idle connection holds.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK]);
    /// Bytes queued on all connections, and how many may be.
    static QUEUED: Cell<usize> = const { Cell::new(0) };
    static MOST_QUEUED_IN_ALL: Cell<usize> = const { Cell::new(8 * 1024 * 1024) };
}

/// Sets how many bytes may be queued on all connections together.
pub fn bound_queues(bytes: usize) {
    MOST_QUEUED_IN_ALL.set(bytes);
}

/// Bytes queued on all connections over how many may be.
pub fn queued_share() -> f64 {
    QUEUED.get() as f64 / MOST_QUEUED_IN_ALL.get().max(1) as f64
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it.
    Closed,
    /// The peer or its machine reset it.
    Reset,
    /// Another failure of the socket.
    Failed(ErrorKind),
    /// The peer reads too slowly: its queue is full.
    QueueFull,
    /// The peer takes nothing from its queue.
    WriteStalled,
    /// The peer sent what is no message.
    Malformed(Malformed),
    /// Nothing happened on it.
    Idle,
    /// The host is gone or has another address.
    HostRemoved,
    /// The peer told nothing for too long.
    Silent,
    /// Another connection to the same host has taken its place.
    Replaced,
    /// The feed's numbers leave a gap.
    SequenceGap,
    /// The peer never said a whole message, or left one unfinished.
    HandshakeTimeout,
    /// Its descriptor is needed for another.
    Evicted,
    /// It carries no task, and the process is taken out of service.
    Draining,
    /// A set-up under the id of another that is open.
    IdInUse,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Closed => write!(f, "closed"),
            CloseReason::Reset => write!(f, "reset"),
            CloseReason::Failed(kind) => write!(f, "failed:{kind}"),
            CloseReason::QueueFull => write!(f, "queue-full"),
            CloseReason::WriteStalled => write!(f, "stalled"),
            CloseReason::Malformed(what) => write!(f, "malformed:{what}"),
            CloseReason::Idle => write!(f, "idle"),
            CloseReason::HostRemoved => write!(f, "host-gone"),
            CloseReason::Replaced => write!(f, "replaced"),
            CloseReason::Silent => write!(f, "silent"),
            CloseReason::SequenceGap => write!(f, "gap"),
            CloseReason::HandshakeTimeout => write!(f, "unspoken"),
            CloseReason::Evicted => write!(f, "shed"),
            CloseReason::Draining => write!(f, "draining"),
            CloseReason::IdInUse => write!(f, "id-in-use"),
        }
    }
}

impl From<io::Error> for CloseReason {
    fn from(e: io::Error) -> CloseReason {
        match e.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted => {
                CloseReason::Reset
            }
            kind => CloseReason::Failed(kind),
        }
    }
}

/// What has come in on a connection and was not read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing.
    Nothing,
    /// So many bytes, or more where it is as many as one read takes.
    Bytes(usize),
    /// The peer's end of the connection, and nothing before it.
    EndOfStream,
}

impl Unread {
    /// Whether all of it is within the next read.
    pub fn whole(self) -> bool {
        !matches!(self, Unread::Bytes(CHUNK..))
    }
}

/// A connection that is shared by the task that runs it and by those who write to it.
pub struct Conn {
    stream: Async<TcpStream>,
    queue: RefCell<Vec<u8>>,
    /// Since when the queue has made no progress, and whether it has made some since that was noted.
    stuck_since: Cell<Micros>,
    progress: Cell<bool>,
    /// Since when half a message waits for its rest.
    half_since: Cell<Option<Instant>>,
    end: Cell<Option<CloseReason>>,
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
            half_since: Cell::new(None),
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
        // Guards against many slow readers that each stay within their own bound.
        let all = QUEUED.get() + rest.len();
        if queue.len() + rest.len() > MOST_QUEUED || all > MOST_QUEUED_IN_ALL.get() {
            self.stop(CloseReason::QueueFull);
            return rest.len() < bytes.len();
        }
        if queue.is_empty() {
            self.stuck_since.set(now);
        }
        queue.extend_from_slice(rest);
        QUEUED.set(all);
        let _ = self.wake.0.try_send(());
        true
    }

    /// Ends the connection.
    pub fn stop(&self, end: CloseReason) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
        }
        let _ = self.wake.0.try_send(());
    }

    /// Ends our side, after what was handed to the system; the peer's is still read.
    pub fn finish(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }

    /// Whether it was told to end.
    pub fn stopping(&self) -> bool {
        self.end.get().is_some()
    }

    /// Whether it was told to end for what the peer did on it, and not because it failed.
    pub fn dismissed(&self) -> bool {
        self.end
            .get()
            .is_some_and(|end| !matches!(end, CloseReason::Reset | CloseReason::Failed(_)))
    }

    /// Whether nothing waits to be read. Guards a set-up that has come in and was not read yet against a
    /// close of what looks idle.
    pub fn quiet(&self) -> bool {
        !matches!(self.stream.get_ref().peek(&mut [0]), Ok(1..))
    }

    /// What waits to be read. A peer that has closed or reset the connection may be gone for long before
    /// that is read: others are read first, and the process may have been stopped.
    pub fn unread(&self) -> Unread {
        match SCRATCH.with_borrow_mut(|chunk| self.stream.get_ref().peek(chunk)) {
            Ok(0) => Unread::EndOfStream,
            Ok(count) => Unread::Bytes(count),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                Unread::Nothing
            }
            Err(e) => {
                self.stop(e.into());
                Unread::EndOfStream
            }
        }
    }

    /// Keeps what the system queues of our writes small. Guards against offers that can't be taken back: what
    /// a peer that reads slowly has not taken waits here.
    pub fn queue_little(&self) {
        let _ = rustix::net::sockopt::set_socket_send_buffer_size(&self.stream, CHUNK);
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
            self.stop(CloseReason::WriteStalled);
        }
    }

    /// Whether half a message has come.
    pub fn half_said(&self) -> bool {
        self.half_since.get().is_some()
    }

    /// Ends a connection on which half a message has waited so long for its rest.
    pub fn end_if_half(&self, patience: Duration) {
        if self
            .half_since
            .get()
            .is_some_and(|since| since.elapsed() > patience)
        {
            self.stop(CloseReason::HandshakeTimeout);
        }
    }

    /// Reads and writes until it ends. `take` removes whole messages from what has come in. Guards what a peer
    /// said before it closed against a write that fails first: an answer may be among it.
    pub async fn run(
        &self,
        mut take: impl FnMut(&mut Vec<u8>) -> Result<(), CloseReason>,
    ) -> CloseReason {
        let mut inbox = Vec::new();
        let end = future::or(self.read(&mut inbox, &mut take), self.write()).await;
        if let CloseReason::Reset | CloseReason::Failed(_) = end {
            self.stop(end);
            let (before, mut count) = (inbox.len(), 1);
            while count > 0 && inbox.len() - before < MOST_LEFT {
                count = self.read_now(&mut inbox).unwrap_or(0);
            }
            let _ = take(&mut inbox);
        }
        end
    }

    async fn read(
        &self,
        inbox: &mut Vec<u8>,
        take: &mut impl FnMut(&mut Vec<u8>) -> Result<(), CloseReason>,
    ) -> CloseReason {
        loop {
            match self.read_some(inbox).await {
                Ok(0) => return self.end.get().unwrap_or(CloseReason::Closed),
                Ok(_) => {}
                Err(e) => return self.end.get().unwrap_or(e.into()),
            };
            let before = inbox.len();
            if let Err(end) = take(inbox) {
                return end;
            }
            let since = self.half_since.get().filter(|_| inbox.len() == before);
            self.half_since
                .set((!inbox.is_empty()).then(|| since.unwrap_or_else(Instant::now)));
            if inbox.is_empty() {
                *inbox = Vec::new();
            }
            // A peer that sends without pause does not keep the thread to itself.
            future::yield_now().await;
        }
    }

    /// Appends what has come in, at most a chunk.
    async fn read_some(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        loop {
            match self.read_now(inbox) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.stream.readable().await?,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    /// The same, without waiting for it.
    fn read_now(&self, inbox: &mut Vec<u8>) -> io::Result<usize> {
        SCRATCH.with_borrow_mut(|chunk| {
            let count = self.stream.get_ref().read(chunk)?;
            inbox.extend_from_slice(chunk.get(..count).unwrap_or_default());
            Ok(count)
        })
    }

    /// Ends our side after the last word and reads off what still comes, for a bounded time. Guards
    /// against the reset that closing with unread input would send: it can take the word along.
    pub async fn linger(&self) {
        let read_off = async {
            while !self.queue.borrow().is_empty() {
                if self
                    .stream
                    .writable()
                    .await
                    .and_then(|()| self.flush())
                    .is_err()
                {
                    return;
                }
            }
            let _ = self.stream.get_ref().shutdown(Shutdown::Write);
            let (mut inbox, mut count) = (Vec::new(), 0);
            while let Ok(n) = self.read_some(&mut inbox).await {
                count += n;
                if n == 0 || count > MOST_LINGER {
                    return;
                }
                inbox.clear();
                future::yield_now().await;
            }
        };
        let limit = async {
            Timer::after(LINGER).await;
        };
        future::or(read_off, limit).await;
    }

    async fn write(&self) -> CloseReason {
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
                    QUEUED.set(QUEUED.get().saturating_sub(taken));
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

impl Drop for Conn {
    fn drop(&mut self) {
        QUEUED.set(QUEUED.get().saturating_sub(self.queue.borrow().len()));
    }
}

#[cfg(test)]
mod tests;
