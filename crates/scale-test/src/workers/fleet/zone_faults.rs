//! Crashes and restores all workers of a zone.

use super::{ActiveTaskId, Fleet, TaskPhase, Worker};
use crate::identity::{WorkerId, ZoneId};

impl Fleet {
    /// Crashes all workers of a zone. Their tasks and the ends that are not acknowledged are lost.
    pub fn crash_zone(&mut self, zone: ZoneId) {
        let zones = self.setup.zones;
        let is_lost = |id: &ActiveTaskId| id.0.zone(zones) == zone;
        let ids: Vec<ActiveTaskId> = self.active_tasks.keys().copied().filter(is_lost).collect();
        for id in ids {
            let Some(active_task) = self.active_tasks.remove(&id) else {
                continue;
            };
            if !matches!(active_task.phase, TaskPhase::Ended(_)) {
                self.audit.update(active_task.task, |record| {
                    record.lost_with_worker = record.lost_with_worker.saturating_add(1)
                });
                self.release_capacity(id.0, &active_task);
            }
        }
        self.unacknowledged.retain(|(worker, _), ids| {
            let keep = worker.zone(zones) != zone;
            self.unacknowledged_count -= if keep { 0 } else { ids.len() };
            keep
        });
        self.for_each_in_zone(zone, |worker| worker.is_down = true);
        // A crashed worker cannot report that its capacity became free.
        self.changed.retain(|worker| worker.zone(zones) != zone);
    }

    /// Restores all workers of a zone, with no tasks and full capacity.
    pub fn restore_zone(&mut self, zone: ZoneId) {
        let restored = Worker {
            free_cores: self.setup.cores,
            free_memory: self.setup.memory,
            is_down: false,
            is_restored: true,
        };
        self.for_each_in_zone(zone, |worker| *worker = restored);
        let zones = self.setup.zones;
        let in_zone = (0..self.setup.workers)
            .map(WorkerId)
            .filter(|worker| worker.zone(zones) == zone);
        self.changed.extend(in_zone);
    }

    /// Applies a change to each worker of a zone. Workers are assigned to zones in turn, by index.
    fn for_each_in_zone(&mut self, zone: ZoneId, change: impl Fn(&mut Worker)) {
        let step = self.setup.zones.max(1) as usize;
        self.workers
            .iter_mut()
            .skip(zone.0 as usize)
            .step_by(step)
            .for_each(change);
    }
}
