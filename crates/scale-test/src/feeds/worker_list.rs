//! The list of all workers as the control feeds report it.
//!
//! Holds the reported state of each worker. It does not depend on the placers and performs no I/O.

use super::FreeResources;
use crate::identity::{WorkerId, ZoneId};
use crate::wire::feed::{Entry, ListedWorker};

/// All workers with their reported state.
pub struct WorkerList {
    workers: Vec<ListedWorker>,
    zone_names: Vec<String>,
}

impl WorkerList {
    /// Returns a list of workers that are all up, with these free resources.
    pub fn new(
        workers: u32,
        zone_names: Vec<String>,
        free_cores: f64,
        free_memory: f64,
    ) -> WorkerList {
        let listed = ListedWorker {
            is_up: true,
            started_at_unix_ms: 0,
            free_cores,
            free_memory,
        };
        WorkerList {
            workers: vec![listed; workers as usize],
            zone_names,
        }
    }

    fn zones(&self) -> u32 {
        u32::try_from(self.zone_names.len())
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// Returns the ids of all workers.
    pub fn ids(&self) -> impl Iterator<Item = WorkerId> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(WorkerId)
    }

    /// Returns the workers of a zone.
    pub fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = WorkerId> + use<> {
        let zones = self.zones();
        self.ids().filter(move |worker| worker.zone(zones) == zone)
    }

    /// Sets the free resources of a worker.
    pub fn set_free_resources(&mut self, resources: FreeResources) {
        if let Some(listed) = self.workers.get_mut(resources.worker.index()) {
            listed.free_cores = resources.free_cores;
            listed.free_memory = resources.free_memory;
        }
    }

    /// Marks a worker as removed.
    pub fn mark_removed(&mut self, worker: WorkerId) {
        if let Some(listed) = self.workers.get_mut(worker.index()) {
            (listed.is_up, listed.started_at_unix_ms) = (false, 0);
        }
    }

    /// Marks a worker as up, with the Unix time in milliseconds at which its process started.
    pub fn mark_up(&mut self, worker: WorkerId, started_at_unix_ms: u64) {
        if let Some(listed) = self.workers.get_mut(worker.index()) {
            (listed.is_up, listed.started_at_unix_ms) = (true, started_at_unix_ms);
        }
    }

    /// Returns whether a worker exists and is up.
    pub fn is_up(&self, worker: WorkerId) -> bool {
        self.workers
            .get(worker.index())
            .is_some_and(|listed| listed.is_up)
    }

    /// Returns the feed entry of a worker for a placer that reaches the zones at these ports, by zone index. Returns
    /// `None` if the worker or the port of its zone does not exist.
    pub fn entry(&self, worker: WorkerId, ports: &[u16]) -> Option<Entry<'_>> {
        let zone = worker.zone(self.zones()).0 as usize;
        Some(Entry {
            worker,
            port: ports.get(zone).copied()?,
            zone: self.zone_names.get(zone)?,
            listed: *self.workers.get(worker.index())?,
        })
    }
}
