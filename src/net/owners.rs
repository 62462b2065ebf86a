//! Connections from owners: accepting, reading, and where a task's end is told.

use super::codec::binary;
use super::conn::{Conn, End};
use super::dispatch::Shared;
use anisehead::Micros;
use async_io::{Async, Timer};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// A silent connection that carries no open set-up is closed after this.
const IDLE: Micros = 60_000_000;
/// How long a peer may take nothing from its queue.
pub const STUCK: Micros = 5_000_000;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Numbers a connection for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerId(u64);

impl std::fmt::Display for OwnerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

struct Owner {
    conn: Rc<Conn>,
    /// Set-ups on it that wait for their answer.
    open: usize,
    heard: Micros,
}

/// All connections from owners.
#[derive(Default)]
pub struct Owners {
    all: BTreeMap<OwnerId, Owner>,
    next: u64,
    /// Words on tasks that stand, for the next connection to open.
    unsent: Vec<Vec<u8>>,
}

impl Owners {
    /// Takes in a connection, and tells it what found no other.
    pub fn opened(&mut self, now: Micros, conn: Rc<Conn>) -> OwnerId {
        let id = OwnerId(self.next);
        self.next += 1;
        self.unsent.retain(|bytes| !conn.send(now, bytes));
        self.all.insert(id, Owner { conn, open: 0, heard: now });
        id
    }

    /// Forgets a connection that has ended.
    pub fn ended(&mut self, id: OwnerId) {
        self.all.remove(&id);
    }

    /// Something came in on it.
    pub fn heard(&mut self, now: Micros, id: OwnerId) {
        if let Some(owner) = self.all.get_mut(&id) {
            owner.heard = now;
        }
    }

    /// A set-up on it waits for its answer, or no longer does.
    pub fn count(&mut self, id: OwnerId, waits: bool) {
        if let Some(owner) = self.all.get_mut(&id) {
            owner.open = if waits { owner.open + 1 } else { owner.open.saturating_sub(1) };
        }
    }

    /// Writes to one connection, if it is still there.
    pub fn send(&self, now: Micros, id: OwnerId, bytes: &[u8]) {
        if let Some(owner) = self.all.get(&id) {
            owner.conn.send(now, bytes);
        }
    }

    /// Writes what concerns a task that stands. It belongs to no connection: the one heard last is the
    /// least likely to be closing under our hands; with none open the next to open is told.
    pub fn send_any(&mut self, now: Micros, bytes: Vec<u8>) {
        loop {
            let live = self.all.values().filter(|o| !o.conn.stopping());
            match live.max_by_key(|o| (o.open > 0, o.heard)) {
                None => return self.unsent.push(bytes),
                Some(owner) if owner.conn.send(now, &bytes) => return,
                // It has ended under the write, and no byte has left.
                Some(_) => {}
            }
        }
    }

    /// Closes what is stuck or long idle.
    pub fn sweep(&self, now: Micros) {
        for owner in self.all.values() {
            owner.conn.end_if_stuck(now, STUCK);
            if owner.open == 0 && now - owner.heard > IDLE {
                owner.conn.stop(End::Idle);
            }
        }
    }

    /// Makes room for another connection: the longest idle one that carries no open set-up goes.
    fn shed(&self) {
        let idle = self.all.values().filter(|o| o.open == 0 && !o.conn.stopping());
        if let Some(owner) = idle.min_by_key(|o| o.heard) {
            owner.conn.stop(End::Idle);
        }
    }

    /// Whether all that was sent is on its way.
    pub fn flushed(&self) -> bool {
        self.all.values().all(|o| o.conn.flushed())
    }
}

/// Accepts for the life of the process. Guards against a process out of descriptors: an idle
/// connection is given up for the next, and the loop goes on.
pub async fn accept(listener: Async<TcpListener>, shared: Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let conn = Rc::new(Conn::new(stream));
                let spawned = shared.clone();
                shared.borrow().tasks.spawn(serve(conn, spawned));
            }
            Err(e) => {
                shared.borrow().note(format_args!("accept failed: {}", e.kind()));
                shared.borrow().owners.shed();
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(conn: Rc<Conn>, shared: Shared) {
    let id = shared.borrow_mut().owner_opened(conn.clone());
    let end = conn
        .run(|inbox| {
            let mut taken = 0;
            while let Some((task, word, length)) =
                binary::read(inbox.get(taken..).unwrap_or_default()).map_err(End::Malformed)?
            {
                taken += length;
                shared.borrow_mut().owner_word(id, task, word);
            }
            inbox.drain(..taken.min(inbox.len()));
            Ok(())
        })
        .await;
    // No word is to be queued on it from here on.
    conn.stop(end);
    shared.borrow_mut().owner_ended(id, end);
}
