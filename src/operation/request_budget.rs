//! Bounds the memory that requests may use while their responses are pending.
//!
//! Each request is charged to the connection that it came on. While there is room, every request is admitted. Beyond
//! that, room is made at the expense of the connections that hold most: a request from a connection that holds less
//! displaces one of theirs, and a request from a connection that holds as much is refused. So a client that sends
//! hundreds of requests at once, alone or beside hundreds of others, does not take the room of clients that hold few.
//! Only requests of which no attempt was made can be displaced, since they never ran.
//!
//! The module is deterministic, and there is no I/O.

use std::collections::{BTreeMap, BTreeSet};

/// What the requests of one connection hold, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Held {
    total: usize,
    /// The part that is held by requests that can be displaced.
    displaceable: usize,
}

/// The memory held by requests, by connection.
#[derive(Debug, Clone)]
pub struct RequestBudget<C> {
    limit: usize,
    used: usize,
    held: BTreeMap<C, Held>,
    /// The connections with requests that can be displaced, in the order of what they hold in total.
    displaceable: BTreeSet<(usize, C)>,
}

impl<C: Copy + Ord> RequestBudget<C> {
    /// Creates an empty budget with a limit in bytes.
    pub fn new(limit: usize) -> RequestBudget<C> {
        RequestBudget {
            limit,
            used: 0,
            held: BTreeMap::new(),
            displaceable: BTreeSet::new(),
        }
    }

    /// Sets the limit. More may be in use until requests are displaced ([`RequestBudget::excess`]) or are over.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Charges a request of `bytes` to a connection, and returns whether there was room for it. The request can be
    /// displaced until [`RequestBudget::pin`].
    pub fn reserve(&mut self, connection: C, bytes: usize) -> bool {
        let used = self.used.saturating_add(bytes);
        if used > self.limit {
            return false;
        }
        self.used = used;
        self.change(connection, |held| {
            held.total += bytes;
            held.displaceable += bytes;
        });
        true
    }

    /// Records that a request can no longer be displaced.
    pub fn pin(&mut self, connection: C, bytes: usize) {
        self.change(connection, |held| {
            held.displaceable = held.displaceable.saturating_sub(bytes);
        });
    }

    /// Gives back what was charged to a connection for a request. `is_pinned` tells whether the request was pinned.
    pub fn release(&mut self, connection: C, bytes: usize, is_pinned: bool) {
        self.used = self.used.saturating_sub(bytes);
        self.change(connection, |held| {
            held.total = held.total.saturating_sub(bytes);
            if !is_pinned {
                held.displaceable = held.displaceable.saturating_sub(bytes);
            }
        });
    }

    /// Returns the connection of which a request is to be displaced for one of `bytes` from this connection, or `None` if
    /// no other connection holds more than this one would.
    pub fn displaceable(&self, connection: C, bytes: usize) -> Option<C> {
        let own = self.held.get(&connection).map_or(0, |held| held.total);
        let own = own.saturating_add(bytes);
        let (largest, holder) = self.displaceable.last()?;
        (*largest > own).then_some(*holder)
    }

    /// Returns the connection of which a request is to be displaced because more is in use than the limit allows.
    pub fn excess(&self) -> Option<C> {
        let largest = self.displaceable.last().map(|(_, holder)| *holder);
        largest.filter(|_| self.used > self.limit)
    }

    fn change(&mut self, connection: C, update: impl FnOnce(&mut Held)) {
        let mut held = self.held.remove(&connection).unwrap_or_default();
        self.displaceable.remove(&(held.total, connection));
        update(&mut held);
        if held.total > 0 {
            self.held.insert(connection, held);
        }
        if held.displaceable > 0 {
            self.displaceable.insert((held.total, connection));
        }
    }
}

#[cfg(test)]
mod tests;
