//! The connections of placers to workers, and which of them reach a worker.

use crate::identity::{PlacerId, SetupId, WorkerId};
use crate::socket::Connection;
use slab::Slab;
use std::collections::HashMap;

/// A connection, told apart from another that takes its place in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId {
    /// Its place in the table.
    pub place: usize,
    serial: u64,
}

/// One connection of a placer to a worker.
pub struct WorkerConnection {
    /// The connection itself.
    pub connection: Connection,
    /// Who was called.
    pub worker: WorkerId,
    /// Who called.
    pub placer: PlacerId,
    /// Offers on it that were not answered yet.
    pub open: Vec<SetupId>,
    /// Bytes that are no message were sent on it.
    pub garbage: bool,
    serial: u64,
}

/// All connections.
#[derive(Default)]
pub struct Connections {
    table: Slab<WorkerConnection>,
    by_pair: HashMap<(WorkerId, PlacerId), Vec<usize>>,
    next: u64,
}

impl Connections {
    /// The place that the next connection gets.
    pub fn next_place(&self) -> usize {
        self.table.vacant_key()
    }

    /// Adds a connection.
    pub fn add(
        &mut self,
        connection: Connection,
        worker: WorkerId,
        placer: PlacerId,
    ) -> ConnectionId {
        let serial = self.next;
        self.next += 1;
        let (open, garbage) = (Vec::new(), false);
        let place = self.table.insert(WorkerConnection {
            connection,
            worker,
            placer,
            open,
            garbage,
            serial,
        });
        self.by_pair
            .entry((worker, placer))
            .or_default()
            .push(place);
        ConnectionId { place, serial }
    }

    /// Takes a connection out.
    pub fn remove(&mut self, place: usize) -> Option<WorkerConnection> {
        let removed = self.table.try_remove(place)?;
        let pair = (removed.worker, removed.placer);
        if let Some(places) = self.by_pair.get_mut(&pair) {
            places.retain(|other| *other != place);
            if places.is_empty() {
                self.by_pair.remove(&pair);
            }
        }
        Some(removed)
    }

    /// A connection by its place.
    pub fn get_mut(&mut self, place: usize) -> Option<&mut WorkerConnection> {
        self.table.get_mut(place)
    }

    /// The identity of the connection at a place.
    pub fn id(&self, place: usize) -> Option<ConnectionId> {
        self.table.get(place).map(|connection| ConnectionId {
            place,
            serial: connection.serial,
        })
    }

    /// Where a worker reaches a placer: on this connection, else on the latest that is open.
    pub fn reach(
        &self,
        worker: WorkerId,
        placer: PlacerId,
        preferred: Option<ConnectionId>,
    ) -> Option<usize> {
        if let Some(id) = preferred
            && self.id(id.place) == Some(id)
        {
            return Some(id.place);
        }
        self.by_pair
            .get(&(worker, placer))
            .and_then(|places| places.last().copied())
    }

    /// The places of all connections for which this holds.
    pub fn places(&self, wanted: impl Fn(&WorkerConnection) -> bool) -> Vec<usize> {
        self.table
            .iter()
            .filter(|(_, found)| wanted(found))
            .map(|(place, _)| place)
            .collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}
