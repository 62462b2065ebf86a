//! Bounds the memory that adopted tasks may use: tasks that a client has named as already running, which only their
//! hosts can confirm.
//!
//! Each adopted task is charged to the connection that named it, until its host confirms it or it is removed. Beyond the
//! limit, the latest task whose connection has closed makes room for the next one, then the latest task of the open
//! connection that holds most, if that holds more than the connection of the new task would. Otherwise the new task is
//! refused. So clients that name ever new tasks, on one connection or on many, displace each other's tasks first, and
//! the tasks of connections that hold few are kept.
//!
//! The module is deterministic, and there is no I/O.

use std::collections::{BTreeMap, BTreeSet};

/// The tasks of one open connection.
#[derive(Debug, Clone)]
struct Holder<T> {
    bytes: usize,
    tasks: BTreeMap<T, usize>,
}

impl<T> Default for Holder<T> {
    fn default() -> Holder<T> {
        Holder {
            bytes: 0,
            tasks: BTreeMap::new(),
        }
    }
}

/// The memory held by adopted tasks, by the connection `C` that named them. Later tasks have a greater `T`.
#[derive(Debug, Clone)]
pub struct AdoptionBudget<C, T> {
    limit: usize,
    used: usize,
    /// The tasks of open connections.
    open: BTreeMap<C, Holder<T>>,
    /// The open connections, in the order of what they hold.
    by_size: BTreeSet<(usize, C)>,
    /// The tasks whose connections have closed.
    of_closed: BTreeMap<T, usize>,
}

impl<C: Copy + Ord, T: Copy + Ord> AdoptionBudget<C, T> {
    /// Creates an empty budget with a limit in bytes.
    pub fn new(limit: usize) -> AdoptionBudget<C, T> {
        AdoptionBudget {
            limit,
            used: 0,
            open: BTreeMap::new(),
            by_size: BTreeSet::new(),
            of_closed: BTreeMap::new(),
        }
    }

    /// Sets the limit. More may be in use until tasks are removed ([`AdoptionBudget::excess`]).
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

    /// Returns whether a task of `bytes` fits within the limit.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.used.saturating_add(bytes) <= self.limit
    }

    /// Charges a task of `bytes` to an open connection, also beyond the limit.
    pub fn add(&mut self, connection: C, task: T, bytes: usize) {
        self.used = self.used.saturating_add(bytes);
        self.change(connection, |holder| {
            holder.bytes += bytes;
            holder.tasks.insert(task, bytes);
        });
    }

    /// Gives back what was charged for a task, and returns whether it was charged.
    pub fn remove(&mut self, connection: C, task: T) -> bool {
        let held = self
            .open
            .get(&connection)
            .and_then(|holder| holder.tasks.get(&task));
        let bytes = if let Some(bytes) = held.copied() {
            self.change(connection, |holder| {
                holder.bytes = holder.bytes.saturating_sub(bytes);
                holder.tasks.remove(&task);
            });
            bytes
        } else if let Some(bytes) = self.of_closed.remove(&task) {
            bytes
        } else {
            return false;
        };
        self.used = self.used.saturating_sub(bytes);
        true
    }

    /// Records that a connection has closed. Its tasks stay charged.
    pub fn connection_closed(&mut self, connection: C) {
        if let Some(holder) = self.open.remove(&connection) {
            self.by_size.remove(&(holder.bytes, connection));
            self.of_closed.extend(holder.tasks);
        }
    }

    /// Returns the task that is to be removed for one of `bytes` from this connection, or `None` if no other
    /// connection holds more than this one would.
    pub fn displaceable(&self, connection: C, bytes: usize) -> Option<T> {
        if let Some((task, _)) = self.of_closed.last_key_value() {
            return Some(*task);
        }
        let own = self.open.get(&connection).map_or(0, |holder| holder.bytes);
        let own = own.saturating_add(bytes);
        let (largest, holder) = self.by_size.last()?;
        if *largest <= own {
            return None;
        }
        self.latest_task(*holder)
    }

    /// Returns the task that is to be removed because more is in use than the limit allows.
    pub fn excess(&self) -> Option<T> {
        if self.used <= self.limit {
            return None;
        }
        let of_closed = self.of_closed.last_key_value().map(|(task, _)| *task);
        of_closed.or_else(|| self.latest_task(self.by_size.last()?.1))
    }

    fn latest_task(&self, connection: C) -> Option<T> {
        let holder = self.open.get(&connection)?;
        holder.tasks.last_key_value().map(|(task, _)| *task)
    }

    fn change(&mut self, connection: C, update: impl FnOnce(&mut Holder<T>)) {
        let mut holder = self.open.remove(&connection).unwrap_or_default();
        self.by_size.remove(&(holder.bytes, connection));
        update(&mut holder);
        if !holder.tasks.is_empty() {
            self.by_size.insert((holder.bytes, connection));
            self.open.insert(connection, holder);
        }
    }
}

#[cfg(test)]
mod tests;
