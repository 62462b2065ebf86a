//! The connections from placers to simulated workers, and the choice of the one on which a worker sends.

use crate::identity::{PlacerId, RequestId, WorkerId};
use crate::socket::Connection;
use slab::Slab;
use std::collections::HashMap;

/// Identifies a connection. The serial number tells it from later connections in the same slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId {
    /// The slot in the table of connections.
    pub slot: usize,
    serial: u64,
}

/// One connection from a placer to a worker.
pub struct WorkerConnection {
    /// The socket with its buffers.
    pub connection: Connection,
    /// The worker that accepted the connection.
    pub worker: WorkerId,
    /// The placer that opened the connection.
    pub placer: PlacerId,
    /// Offers received on the connection that are not answered yet.
    pub pending_offers: Vec<RequestId>,
    /// Whether invalid bytes were sent on the connection.
    pub garbage_sent: bool,
    serial: u64,
}

/// All connections, indexed by slot and by the pair of worker and placer.
#[derive(Default)]
pub struct Connections {
    table: Slab<WorkerConnection>,
    by_pair: HashMap<(WorkerId, PlacerId), Vec<usize>>,
    next_serial: u64,
}

impl Connections {
    /// Returns the slot that the next added connection will have.
    pub fn next_slot(&self) -> usize {
        self.table.vacant_key()
    }

    /// Adds a connection and returns its id.
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

    /// Removes and returns the connection in a slot.
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

    /// Returns the id of the connection in a slot.
    pub fn id(&self, slot: usize) -> Option<ConnectionId> {
        self.table.get(slot).map(|connection| ConnectionId {
            slot,
            serial: connection.serial,
        })
    }

    /// Returns the slot of the connection on which a worker sends to a placer: the preferred connection if it is still
    /// open, otherwise the latest one between the two.
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

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}
