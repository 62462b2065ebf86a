//! Decides which hosts have a connection when there are fewer descriptors than hosts.
//!
//! A connection holds a slot from its first connect call until its descriptor is closed. While slots are free,
//! every request for a connection gets one. When none is free, a request (other than a prewarm) evicts the connection
//! with the lowest priority and waits for its slot:
//!
//! ```text
//!              evicted first                                                        never evicted
//! connections  Replaced (nothing in flight) < Idle < HasRunningTasks              < Busy (attempt in flight)
//!              and within a priority the least recently used
//!
//!              served last                                                          served first
//! requests     Prewarm < ReadTaskEnds < ReportRelease                             < SendAttempt
//!              and within a purpose the one that has waited longest
//! ```
//!
//! A prewarm evicts nothing and does not wait. `ReadTaskEnds` is for a host with running tasks, which can report their
//! ends only over a connection. It evicts the connection of another such host only once that has not been used for
//! [`MIN_RESIDENCE`], so that all of them get a connection in turn.
//!
//! The pool opens and closes no connections itself: its caller does, and reports it to the pool.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// How long a host with running tasks keeps its connection, to report their ends, before a request to read
/// task ends from another host may evict it.
pub const MIN_RESIDENCE: Micros = 250_000;
/// One in this many slots is kept free for other requests: a prewarm can't take it.
const SPARE_FRACTION_DIVISOR: usize = 8;

/// How much a connection is needed. Connections of the lowest priority are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPriority {
    /// Another connection to the same host has replaced it, and nothing is in flight on it.
    Replaced,
    /// The host has no running tasks.
    Idle,
    /// The host has running tasks.
    HasRunningTasks,
    /// An attempt is in flight on it.
    Busy,
}

/// What a new connection is needed for. Requests of the highest purpose are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectPurpose {
    /// The host may be needed soon.
    Prewarm,
    /// The host has running tasks, and may have to report that some have ended.
    ReadTaskEnds,
    /// The host must be notified that a task was released.
    ReportRelease,
    /// An attempt is waiting to be sent to the host.
    SendAttempt,
}

/// The pool's decision about a request for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// A slot is free: the caller connects now.
    Connect,
    /// The request waits for a slot; [`ConnectionPool::evict`] returns the connection to close for it.
    Wait,
    /// No spare slot is free for a prewarm, and the request is dropped.
    Skip,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    priority: ConnectionPriority,
    last_used: Micros,
    /// Whether the connection is being closed, and thus no longer an eviction candidate.
    closing: bool,
}

/// The slots, and the requests that wait for one. `H` identifies a host, `C` a connection to a host.
#[derive(Debug)]
pub struct ConnectionPool<H, C> {
    capacity: usize,
    slots: BTreeMap<C, Slot>,
    /// The connections that are not being closed yet, in the order in which they are evicted.
    eviction_candidates: BTreeSet<(ConnectionPriority, Micros, C)>,
    closing_slots: usize,
    /// The purpose of each waiting request, and since when it waits.
    waiting: BTreeMap<H, (ConnectPurpose, Micros)>,
    /// The waiting requests in the order in which they are served.
    queue: BTreeSet<(Reverse<ConnectPurpose>, Micros, H)>,
}

impl<H: Ord + Clone, C: Ord + Clone> ConnectionPool<H, C> {
    /// Creates a pool of `capacity` slots.
    pub fn new(capacity: usize) -> ConnectionPool<H, C> {
        ConnectionPool {
            capacity,
            slots: BTreeMap::new(),
            eviction_candidates: BTreeSet::new(),
            closing_slots: 0,
            waiting: BTreeMap::new(),
            queue: BTreeSet::new(),
        }
    }

    /// Sets the number of slots. [`ConnectionPool::evict`] then returns the connections that exceed it.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of slots in use, including those of connections that are closing.
    pub fn slots_in_use(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a prewarm would get a slot.
    pub fn has_spare_capacity(&self) -> bool {
        let spare = self.capacity / SPARE_FRACTION_DIVISOR;
        self.waiting.is_empty() && self.slots.len() < self.capacity - spare
    }

    /// Requests a connection to a host. If a request for this host already waits, it keeps its waiting time and takes
    /// the higher of both purposes.
    pub fn request_slot(&mut self, now: Micros, host: H, purpose: ConnectPurpose) -> SlotDecision {
        if purpose == ConnectPurpose::Prewarm {
            return if self.has_spare_capacity() {
                SlotDecision::Connect
            } else {
                SlotDecision::Skip
            };
        }
        if self.waiting.is_empty() && self.slots.len() < self.capacity {
            return SlotDecision::Connect;
        }
        let (earlier_purpose, since) = self.waiting.get(&host).copied().unwrap_or((purpose, now));
        self.cancel_request(&host);
        let purpose = purpose.max(earlier_purpose);
        self.waiting.insert(host.clone(), (purpose, since));
        self.queue.insert((Reverse(purpose), since, host));
        SlotDecision::Wait
    }

    /// Returns a connection to close, if the capacity is exceeded or a waiting request has neither a free slot nor one
    /// that is being released.
    ///
    /// The caller repeats the call until it returns `None`, whenever a request begins to wait or a priority is lowered.
    pub fn evict(&mut self, now: Micros) -> Option<C> {
        let open = self.slots.len().saturating_sub(self.closing_slots);
        // The first `available` requests of the queue get the slots that are free or being released.
        let purpose = match self.capacity.checked_sub(open) {
            Some(available) => self.queue.iter().nth(available)?.0.0,
            None => ConnectPurpose::SendAttempt,
        };
        let (priority, last_used, conn) = self.eviction_candidates.first().cloned()?;
        let may_evict = match priority {
            ConnectionPriority::Replaced | ConnectionPriority::Idle => true,
            ConnectionPriority::HasRunningTasks => {
                purpose > ConnectPurpose::ReadTaskEnds || now - last_used >= MIN_RESIDENCE
            }
            ConnectionPriority::Busy => false,
        };
        may_evict.then(|| {
            self.mark_closing(&conn);
            conn
        })
    }

    /// Withdraws the waiting request for a host, if there is one.
    pub fn cancel_request(&mut self, host: &H) {
        if let Some((purpose, since)) = self.waiting.remove(host) {
            self.queue.remove(&(Reverse(purpose), since, host.clone()));
        }
    }

    /// Removes the next waiting request if a slot is free, and returns the host to connect to.
    pub fn next_to_connect(&mut self) -> Option<H> {
        if self.slots.len() >= self.capacity {
            return None;
        }
        let (_, _, host) = self.queue.first().cloned()?;
        self.cancel_request(&host);
        Some(host)
    }

    /// Records that a connection holds a slot. It counts as busy until its priority is set.
    pub fn occupy(&mut self, now: Micros, conn: C) {
        let slot = Slot {
            priority: ConnectionPriority::Busy,
            last_used: now,
            closing: false,
        };
        self.eviction_candidates
            .insert((slot.priority, slot.last_used, conn.clone()));
        self.slots.insert(conn, slot);
    }

    /// Sets the priority of a connection, and the time of its last use if `used_at` is given.
    pub fn set_priority(
        &mut self,
        conn: &C,
        priority: ConnectionPriority,
        used_at: Option<Micros>,
    ) {
        let Some(slot) = self.slots.get_mut(conn) else {
            return;
        };
        let last_used = used_at.unwrap_or(slot.last_used);
        if slot.closing || (slot.priority, slot.last_used) == (priority, last_used) {
            return;
        }
        self.eviction_candidates
            .remove(&(slot.priority, slot.last_used, conn.clone()));
        (slot.priority, slot.last_used) = (priority, last_used);
        self.eviction_candidates
            .insert((priority, last_used, conn.clone()));
    }

    /// Records that a connection is being closed. It holds its slot until [`ConnectionPool::release`].
    pub fn mark_closing(&mut self, conn: &C) {
        if let Some(slot) = self.slots.get_mut(conn).filter(|slot| !slot.closing) {
            slot.closing = true;
            self.closing_slots += 1;
            self.eviction_candidates
                .remove(&(slot.priority, slot.last_used, conn.clone()));
        }
    }

    /// Records that the descriptor of a connection was closed, and frees its slot.
    pub fn release(&mut self, conn: &C) {
        if let Some(slot) = self.slots.remove(conn) {
            if slot.closing {
                self.closing_slots -= 1;
            } else {
                self.eviction_candidates
                    .remove(&(slot.priority, slot.last_used, conn.clone()));
            }
        }
    }
}

#[cfg(test)]
mod tests;
