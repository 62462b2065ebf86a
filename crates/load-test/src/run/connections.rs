//! The generator's connections to placers: which one a message goes out on, what waits to be written, and what an
//! end means for the set-ups on it.

use super::MILLI;
use super::generator::World;
use crate::clients::Event;
use crate::shape::Micros;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use emulator::Message;
use emulator::event_log::Event as LogEvent;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A set-up that crosses a placer's close within this goes out again, once.
const CROSSED: Micros = 50 * MILLI;
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);

/// A connection to a placer.
pub(super) struct Conn {
    placer: usize,
    /// Bytes that the socket has yet to take.
    queue: VecDeque<u8>,
    /// Bytes that were ever queued, and that were taken.
    queued: u64,
    taken: u64,
    /// Set-ups that are not written whole: their ids, and where their last byte is.
    writing: VecDeque<(u64, u64)>,
    /// Set-ups that wait for their answer, and when they were written.
    pub(super) open: BTreeMap<u64, Micros>,
    /// Tasks that stand and were set up or named on it: while there are any it is kept, since their ends are told
    /// on connections that carry tasks.
    pub(super) stands: BTreeSet<u64>,
    pub(super) used: Micros,
    wake: Sender<()>,
}

impl Conn {
    /// Whether it carries no task.
    fn idle(&self) -> bool {
        self.open.is_empty() && self.stands.is_empty() && self.queue.is_empty()
    }

    pub(super) fn push(&mut self, words: &[u8]) {
        self.queue.extend(words);
        self.queued += words.len() as u64;
        let _ = self.wake.try_send(());
    }
}

impl World {
    /// Writes to the placer that a set-up went to, on the connection where it is open.
    pub(super) fn say_where_sent(&self, id: u64, words: &[u8]) {
        let mut inner = self.inner.borrow_mut();
        if let Some(conn) = inner
            .conns
            .values_mut()
            .find(|conn| conn.open.contains_key(&id))
        {
            conn.open.remove(&id);
            conn.push(words);
        }
    }

    /// Queues bytes on a connection to a placer: the least busy one, or another where there may be more. Says which.
    pub(super) fn send(
        self: &Rc<Self>,
        now: Micros,
        placer: usize,
        id: Option<u64>,
        words: &[u8],
    ) -> u64 {
        let chosen = {
            let inner = self.inner.borrow();
            let mut theirs: Vec<(usize, u64)> = inner
                .conns
                .iter()
                .filter(|(_, conn)| conn.placer == placer)
                .map(|(n, conn)| (conn.open.len() + conn.writing.len(), *n))
                .collect();
            theirs.sort_unstable();
            let full = theirs.len() >= self.plan.clients.connections;
            theirs
                .first()
                .filter(|(busy, _)| full || *busy == 0)
                .map(|(_, n)| *n)
        };
        let n = chosen.unwrap_or_else(|| self.connect(now, placer));
        let mut inner = self.inner.borrow_mut();
        if let Some(conn) = inner.conns.get_mut(&n) {
            conn.used = now;
            conn.push(words);
            if let Some(id) = id {
                let end = conn.queued;
                conn.writing.push_back((id, end));
            }
        }
        n
    }

    /// Opens a connection; what is sent meanwhile waits for it.
    fn connect(self: &Rc<Self>, now: Micros, placer: usize) -> u64 {
        let (wake, woken) = async_channel::bounded(1);
        let n = {
            let mut inner = self.inner.borrow_mut();
            let n = inner.next_conn;
            inner.next_conn += 1;
            let conn = Conn {
                placer,
                queue: VecDeque::new(),
                queued: 0,
                taken: 0,
                writing: VecDeque::new(),
                open: BTreeMap::new(),
                stands: BTreeSet::new(),
                used: now,
                wake,
            };
            inner.conns.insert(n, conn);
            n
        };
        let world = self.clone();
        self.executor
            .spawn(async move { world.serve(n, placer, woken).await })
            .detach();
        n
    }

    async fn serve(self: Rc<Self>, n: u64, placer: usize, woken: Receiver<()>) {
        let Some((address, _)) = self.placers.get(placer).copied() else {
            return;
        };
        let connecting = async { Async::<TcpStream>::connect(address).await.ok() };
        let limit = async {
            Timer::after(CONNECT).await;
            None
        };
        let mut polite = false;
        if let Some(stream) = connecting.or(limit).await {
            let _ = stream.get_ref().set_nodelay(true);
            polite = self
                .read(n, placer, &stream)
                .or(self.write(n, &stream, woken))
                .await;
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        self.ended(n, placer, polite);
    }

    /// Reads until the end; true where the placer closed without an error.
    async fn read(self: &Rc<Self>, n: u64, placer: usize, mut stream: &Async<TcpStream>) -> bool {
        let (mut inbox, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            match stream.read(&mut chunk).await {
                Ok(0) => return true,
                Ok(count) => inbox.extend_from_slice(chunk.get(..count).unwrap_or_default()),
                Err(_) => return false,
            }
            let mut read = 0;
            while let Some((message, length)) =
                Message::decode(inbox.get(read..).unwrap_or_default())
            {
                read += length;
                self.word(n, placer, &message);
            }
            inbox.drain(..read.min(inbox.len()));
        }
    }

    /// Writes what is queued, and log the set-ups that are written whole. Ends where nothing has happened
    /// for a while.
    async fn write(
        self: &Rc<Self>,
        n: u64,
        stream: &Async<TcpStream>,
        woken: Receiver<()>,
    ) -> bool {
        let idle = self.plan.clients.idle;
        loop {
            let chunk: Vec<u8> = {
                let inner = self.inner.borrow();
                let Some(conn) = inner.conns.get(&n) else {
                    return true;
                };
                let (front, _) = conn.queue.as_slices();
                front
                    .get(..front.len().min(16 * 1024))
                    .unwrap_or_default()
                    .to_vec()
            };
            if chunk.is_empty() {
                let wake = async { woken.recv().await.is_ok() };
                let rest = async {
                    Timer::after(idle).await;
                    false
                };
                if !wake.or(rest).await {
                    let inner = self.inner.borrow();
                    let quiet = inner.conns.get(&n).is_none_or(Conn::idle);
                    if quiet {
                        return true;
                    }
                }
                continue;
            }
            let mut out = stream;
            let Ok(count) = out.write(&chunk).await else {
                return false;
            };
            let now = self.log.now();
            let mut inner = self.inner.borrow_mut();
            let mut written = Vec::new();
            if let Some(conn) = inner.conns.get_mut(&n) {
                conn.queue.drain(..count.min(conn.queue.len()));
                conn.taken += count as u64;
                while let Some((id, _)) = conn
                    .writing
                    .front()
                    .copied()
                    .filter(|(_, end)| *end <= conn.taken)
                {
                    conn.writing.pop_front();
                    conn.open.insert(id, now);
                    written.push(id);
                }
            }
            for id in written {
                if let Some(sent) = inner.sent.get(&id) {
                    self.log.record_at(now, sent.note.clone());
                }
            }
        }
    }

    /// A connection has ended. What was written whole may have been taken; what was not has not.
    fn ended(self: &Rc<Self>, n: u64, placer: usize, polite: bool) {
        let now = self.log.now();
        let Some(conn) = self.inner.borrow_mut().conns.remove(&n) else {
            return;
        };
        if self.stop.get() {
            return;
        }
        for (id, _) in conn.writing {
            self.tell(now, Event::Unsent(id), None);
        }
        for (id, written) in conn.open {
            let crossed = polite && now - written <= CROSSED;
            let again = {
                let mut inner = self.inner.borrow_mut();
                inner
                    .sent
                    .get_mut(&id)
                    .filter(|sent| crossed && !sent.again)
                    .map(|sent| {
                        sent.again = true;
                        sent.bytes.clone()
                    })
            };
            match again {
                Some(words) => drop(self.send(now, placer, Some(id), &words)),
                None => {
                    self.log.record(LogEvent::ClientDisconnected { id });
                    self.tell(now, Event::Broken(id), None);
                }
            }
        }
    }
}
