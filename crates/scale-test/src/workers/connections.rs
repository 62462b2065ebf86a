//! The connections of placers to hollow workers, and which of them reaches a worker.

use crate::identity::{PlacerId, RequestId, WorkerId};
use crate::socket::Connection;
use slab::Slab;
use std::collections::HashMap;

/// Identifies a connection, also after its slot is used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId {
    /// The slot in the table.
    pub slot: usize,
    serial: u64,
}

/// One connection of a placer to a worker.
pub struct WorkerConnection {
    /// The socket.
    pub connection: Connection,
    /// The worker that was called.
    pub worker: WorkerId,
    /// The placer that called.
    pub placer: PlacerId,
    /// Offers received on it that are not answered yet.
    pub pending_offers: Vec<RequestId>,
    /// Whether invalid bytes were sent on it.
    pub garbage_sent: bool,
    serial: u64,
}

/// All connections, by slot and by worker and placer.
#[derive(Default)]
pub struct Connections {
    table: Slab<WorkerConnection>,
    by_pair: HashMap<(WorkerId, PlacerId), Vec<usize>>,
    next_serial: u64,
}

impl Connections {
    /// Returns the slot that the next connection gets.
    pub fn next_slot(&self) -> usize {
        self.table.vacant_key()
    }

    /// Adds a connection.
    pub fn add(
        &mut self,
        connection: Connection,
        worker: WorkerId,
        placer: PlacerId,
    ) -> ConnectionId {
        let serial = self.next_serial;
        self.next_serial += 1;
        let slot = self.table.insert(WorkerConnection {
            connection,
            worker,
            placer,
            pending_offers: Vec::new(),
            garbage_sent: false,
            serial,
        });
        self.by_pair.entry((worker, placer)).or_default().push(slot);
        ConnectionId { slot, serial }
    }

    /// Removes and returns a connection.
    pub fn remove(&mut self, slot: usize) -> Option<WorkerConnection> {
        let removed = self.table.try_remove(slot)?;
        let pair = (removed.worker, removed.placer);
        if let Some(slots) = self.by_pair.get_mut(&pair) {
            slots.retain(|other| *other != slot);
            if slots.is_empty() {
                self.by_pair.remove(&pair);
            }
        }
        Some(removed)
    }

    /// Returns the connection in a slot.
    pub fn get_mut(&mut self, slot: usize) -> Option<&mut WorkerConnection> {
        self.table.get_mut(slot)
    }

    /// Returns the identity of the connection in a slot.
    pub fn id(&self, slot: usize) -> Option<ConnectionId> {
        self.table.get(slot).map(|connection| ConnectionId {
            slot,
            serial: connection.serial,
        })
    }

    /// Returns the slot through which a worker reaches a placer: the preferred connection while it is open,
    /// else the latest one.
    pub fn route(
        &self,
        worker: WorkerId,
        placer: PlacerId,
        preferred: Option<ConnectionId>,
    ) -> Option<usize> {
        if let Some(id) = preferred
            && self.id(id.slot) == Some(id)
        {
            return Some(id.slot);
        }
        self.by_pair
            .get(&(worker, placer))
            .and_then(|slots| slots.last().copied())
    }

    /// Returns the slots of all connections that match.
    pub fn slots_where(&self, matches: impl Fn(&WorkerConnection) -> bool) -> Vec<usize> {
        self.table
            .iter()
            .filter(|(_, connection)| matches(connection))
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}
