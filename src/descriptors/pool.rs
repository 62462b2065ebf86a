//! Which hosts have a connection, where there may be fewer connections than hosts. Without I/O.
//!
//! A connection holds a slot from the call on until its descriptor is given back. While slots are left,
//! every call gets one. With none left a call that is needed closes the connection that is needed least
//! and waits for its slot:
//!
//! ```text
//!               needed least                                                    never closed
//! connections   Spare (replaced, nothing out) < Idle < Stands (tasks stand)   < Busy (an offer is out)
//!               and of the same rank the one that was used least recently
//!
//!               waits last                                                      served first
//! calls         Warm (it may be of use)       < Visit  < Release (to be told) < Offer
//!               and of the same want the one that has waited longest
//! ```
//!
//! A warm call closes nothing and does not wait. A visit is for a host where tasks stand, whose ends are
//! told on a connection only: it closes another such host's connection only after [`DWELL`], so that all
//! of them get their turn.

use crate::placement::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// How long a connection where tasks stand is left to its host, which has ends to tell on it, before
/// another host's visit may take its slot.
pub const DWELL: Micros = 250_000;
/// Of the slots, one in so many is left for calls that are needed: a warm one does not take it.
const KEPT: usize = 8;

/// What a connection is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Another has taken its place, and nothing is out on it.
    Spare,
    /// Nothing stands at its host.
    Idle,
    /// Tasks stand at its host.
    Stands,
    /// An offer is out on it.
    Busy,
}

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Want {
    /// The host may be of use.
    Warm,
    /// Tasks stand there.
    Visit,
    /// The end of a task is to be told there.
    Release,
    /// An offer waits.
    Offer,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It has a slot: call.
    Call,
    /// It waits; [`Pool::make_way`] tells what to close for it.
    Wait,
    /// It was not worth waiting for.
    No,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    rank: Rank,
    used: Micros,
    /// It was told to close, and is no longer in the order.
    closing: bool,
}

/// The slots, and the calls that wait for one. `H` names a host, `C` one connection to it.
#[derive(Debug)]
pub struct Pool<H, C> {
    most: usize,
    slots: BTreeMap<C, Slot>,
    /// Connections that may be closed, the one needed least in front.
    order: BTreeSet<(Rank, Micros, C)>,
    closing: usize,
    waiting: BTreeMap<H, (Want, Micros)>,
    /// The same, the one served next in front.
    queue: BTreeSet<(Reverse<Want>, Micros, H)>,
}

impl<H: Ord + Clone, C: Ord + Clone> Pool<H, C> {
    /// With so many slots.
    pub fn new(most: usize) -> Pool<H, C> {
        let (slots, order) = (BTreeMap::new(), BTreeSet::new());
        Pool {
            most,
            slots,
            order,
            closing: 0,
            waiting: BTreeMap::new(),
            queue: BTreeSet::new(),
        }
    }

    /// Sets the number of slots. What is held beyond it is closed as [`Pool::make_way`] tells.
    pub fn resize(&mut self, most: usize) {
        self.most = most;
    }

    /// Slots held, with those that are being given back.
    pub fn held(&self) -> usize {
        self.slots.len()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a warm call would get a slot.
    pub fn spacious(&self) -> bool {
        self.waiting.is_empty() && self.slots.len() < self.most - self.most / KEPT
    }

    /// A call to a host is wanted. One that waits already keeps its place, and goes up with its want.
    pub fn ask(&mut self, now: Micros, host: H, want: Want) -> Answer {
        if want == Want::Warm {
            return if self.spacious() {
                Answer::Call
            } else {
                Answer::No
            };
        }
        if self.waiting.is_empty() && self.slots.len() < self.most {
            return Answer::Call;
        }
        let (before, since) = self.waiting.get(&host).copied().unwrap_or((want, now));
        self.forget(&host);
        let want = want.max(before);
        self.waiting.insert(host.clone(), (want, since));
        self.queue.insert((Reverse(want), since, host));
        Answer::Wait
    }

    /// A connection to close: for a call that waits and has no slot coming, or because more are held than
    /// there are slots. To be asked again until it tells of none, whenever a call waits or a rank falls.
    pub fn make_way(&mut self, now: Micros) -> Option<C> {
        let open = self.slots.len().saturating_sub(self.closing);
        // The first calls that wait have slots that are free or coming.
        let want = match self.most.checked_sub(open) {
            Some(coming) => self.queue.iter().nth(coming)?.0.0,
            None => Want::Offer,
        };
        let (rank, used, conn) = self.order.first().cloned()?;
        let yields = match rank {
            Rank::Spare | Rank::Idle => true,
            Rank::Stands => want > Want::Visit || now - used >= DWELL,
            Rank::Busy => false,
        };
        yields.then(|| {
            self.close(&conn);
            conn
        })
    }

    /// The call is not wanted any more.
    pub fn forget(&mut self, host: &H) {
        if let Some((want, since)) = self.waiting.remove(host) {
            self.queue.remove(&(Reverse(want), since, host.clone()));
        }
    }

    /// The host to call next, if a slot is there for it.
    pub fn call_next(&mut self) -> Option<H> {
        if self.slots.len() >= self.most {
            return None;
        }
        let (_, _, host) = self.queue.first().cloned()?;
        self.forget(&host);
        Some(host)
    }

    /// A connection holds a slot from now on. Until it is up it is as busy as one with an offer out.
    pub fn taken(&mut self, now: Micros, conn: C) {
        self.order.insert((Rank::Busy, now, conn.clone()));
        self.slots.insert(
            conn,
            Slot {
                rank: Rank::Busy,
                used: now,
                closing: false,
            },
        );
    }

    /// What a connection is needed for now; `used` where it was just used for that.
    pub fn rank(&mut self, conn: &C, rank: Rank, used: Option<Micros>) {
        let Some(slot) = self.slots.get_mut(conn) else {
            return;
        };
        let at = used.unwrap_or(slot.used);
        if slot.closing || (slot.rank, slot.used) == (rank, at) {
            return;
        }
        self.order.remove(&(slot.rank, slot.used, conn.clone()));
        (slot.rank, slot.used) = (rank, at);
        self.order.insert((rank, at, conn.clone()));
    }

    /// A connection was told to close; its slot is given back later.
    pub fn close(&mut self, conn: &C) {
        if let Some(slot) = self.slots.get_mut(conn).filter(|slot| !slot.closing) {
            slot.closing = true;
            self.closing += 1;
            self.order.remove(&(slot.rank, slot.used, conn.clone()));
        }
    }

    /// A connection's descriptor has been given back.
    pub fn freed(&mut self, conn: &C) {
        if let Some(slot) = self.slots.remove(conn) {
            if slot.closing {
                self.closing -= 1;
            } else {
                self.order.remove(&(slot.rank, slot.used, conn.clone()));
            }
        }
    }
}

#[cfg(test)]
mod tests;
