//! Limits how many connections one or several listeners hold, and for how long.
//!
//! When the limit is reached, the connection that has been inactive longest is evicted, so that idle connections can't
//! keep out an active poller and the number of descriptors in use never exceeds the limit. Deadlines are checked when
//! the timer wheel is swept, so they are coarse. The limiter closes no connection itself: it notifies the asynchronous
//! task that serves the connection.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use task_placer::Micros;

/// Why a connection must close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// The maximum number of connections was reached, and the descriptor is needed for another connection.
    LimitReached,
    /// The connection has passed its deadline.
    DeadlinePassed,
}

/// The state of an admitted connection.
struct Connection {
    /// The value of the activity counter at the latest activity on the connection. The connection with the lowest value
    /// has been inactive longest.
    last_activity: u64,
    deadline: Micros,
    evict: Sender<Eviction>,
}

/// Tracks the connections of one or several listeners.
pub struct ConnectionLimiter {
    max_connections: usize,
    connections: RefCell<BTreeMap<u64, Connection>>,
    activity_counter: Cell<u64>,
}

/// The permission for one connection to stay open until it is evicted.
pub struct ConnectionPermit {
    id: u64,
    evicted: Receiver<Eviction>,
}

impl ConnectionPermit {
    /// Waits until the connection must close, and returns why.
    pub async fn evicted(&self) -> Eviction {
        self.evicted.recv().await.unwrap_or(Eviction::LimitReached)
    }
}

impl ConnectionLimiter {
    /// Creates a limiter for `max_connections` connections, or for one if that is 0.
    pub fn new(max_connections: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            max_connections: max_connections.max(1),
            connections: RefCell::default(),
            activity_counter: Cell::new(0),
        }
    }

    fn next_activity(&self) -> u64 {
        let next = self.activity_counter.get() + 1;
        self.activity_counter.set(next);
        next
    }

    /// Admits a connection that may stay open until `deadline`. If the limit is reached, the connection that has been
    /// inactive longest is evicted.
    pub fn admit(&self, deadline: Micros) -> ConnectionPermit {
        let id = self.next_activity();
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= self.max_connections {
            let inactive_longest = connections
                .iter()
                .min_by_key(|(_, connection)| connection.last_activity)
                .map(|(id, _)| *id);
            if let Some(connection) = inactive_longest.and_then(|id| connections.remove(&id)) {
                let _ = connection.evict.try_send(Eviction::LimitReached);
            }
        }
        let (evict, evicted) = async_channel::bounded(1);
        let connection = Connection {
            last_activity: id,
            deadline,
            evict,
        };
        connections.insert(id, connection);
        ConnectionPermit { id, evicted }
    }

    /// Records activity on a connection, and replaces its deadline.
    pub fn extend(&self, permit: &ConnectionPermit, deadline: Micros) {
        let last_activity = self.next_activity();
        if let Some(connection) = self.connections.borrow_mut().get_mut(&permit.id) {
            connection.last_activity = last_activity;
            connection.deadline = deadline;
        }
    }

    /// Records that a connection has closed.
    pub fn release(&self, permit: &ConnectionPermit) {
        self.connections.borrow_mut().remove(&permit.id);
    }

    /// Evicts all connections that have passed their deadline.
    pub fn evict_overdue(&self, now: Micros) {
        self.connections.borrow_mut().retain(|_, connection| {
            let is_overdue = now > connection.deadline;
            if is_overdue {
                let _ = connection.evict.try_send(Eviction::DeadlinePassed);
            }
            !is_overdue
        });
    }
}

#[cfg(test)]
mod tests;
