//! The state of all workers as the feeds tell it, and how far one placer has been told. Without I/O.

use super::FreeResources;
use crate::identity::{WorkerId, ZoneId};
use crate::settings::FeedRule;
use crate::traffic::FeedCounts;
use crate::wire::feed::{self, Entry, ListedWorker};

/// Entries of one event at the most, so that its line stays far below the longest that placers take.
const MAX_ENTRIES: usize = 2_000;

/// All workers, as the feeds tell them.
pub struct ListedWorkers {
    workers: Vec<ListedWorker>,
    zone_names: Vec<String>,
}

impl ListedWorkers {
    /// Workers that are up and hold nothing.
    pub fn new(
        workers: u32,
        zone_names: Vec<String>,
        free_cores: f64,
        free_memory: f64,
    ) -> ListedWorkers {
        let listed = ListedWorker {
            up: true,
            born_ms: 0,
            free_cores,
            free_memory,
        };
        ListedWorkers {
            workers: vec![listed; workers as usize],
            zone_names,
        }
    }

    fn zones(&self) -> u32 {
        u32::try_from(self.zone_names.len())
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// All workers.
    pub fn ids(&self) -> impl Iterator<Item = WorkerId> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(WorkerId)
    }

    /// The workers of a zone.
    pub fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = WorkerId> + use<> {
        let zones = self.zones();
        self.ids().filter(move |worker| worker.zone(zones) == zone)
    }

    /// Takes over the room of a worker.
    pub fn set_free_resources(&mut self, room: FreeResources) {
        if let Some(listed) = self.workers.get_mut(room.worker.index()) {
            (listed.free_cores, listed.free_memory) = (room.free_cores, room.free_memory);
        }
    }

    /// Takes over whether a worker is there.
    pub fn set_up(&mut self, worker: WorkerId, up: bool, born_ms: u64) {
        if let Some(listed) = self.workers.get_mut(worker.index()) {
            (listed.up, listed.born_ms) = (up, born_ms);
        }
    }

    fn is_up(&self, worker: WorkerId) -> bool {
        self.workers
            .get(worker.index())
            .is_some_and(|listed| listed.up)
    }

    fn entry(&self, worker: WorkerId, ports: &[u16]) -> Option<Entry<'_>> {
        let zone = worker.zone(self.zones()).0 as usize;
        Some(Entry {
            worker,
            port: ports.get(zone).copied()?,
            zone: self.zone_names.get(zone)?,
            listed: *self.workers.get(worker.index())?,
        })
    }
}

/// Lines to be sent to one placer, with counts of their content.
#[derive(Default)]
pub struct FeedBatch {
    /// Whole lines.
    pub bytes: Vec<u8>,
    /// How many.
    pub messages: u64,
    /// What they hold.
    pub counts: FeedCounts,
}

/// How far one placer has been told.
#[derive(Default)]
pub struct FeedCursor {
    /// The number of the last event.
    last_number: u64,
    /// At which port the placer reaches the workers of each zone.
    ports: Vec<u16>,
    /// The workers of which it has yet to be told.
    stale: Vec<WorkerId>,
    /// The same, by worker.
    is_stale: Vec<bool>,
}

impl FeedCursor {
    /// The placer reaches the workers of each zone at these ports.
    pub fn set_ports(&mut self, ports: Vec<u16>) {
        self.ports = ports;
    }

    /// The placer starts: its first event holds all workers that are up.
    pub fn start(&mut self, workers: &ListedWorkers) -> String {
        self.last_number = 1;
        self.clear();
        let mut event = Vec::new();
        let up = workers.ids().filter(|worker| workers.is_up(*worker));
        feed::event(
            &mut event,
            1,
            true,
            up.filter_map(|worker| workers.entry(worker, &self.ports)),
        );
        format!(
            r#"{{"n":1,"events":[{}]}}"#,
            String::from_utf8_lossy(&event)
        )
    }

    fn clear(&mut self) {
        self.stale.clear();
        self.is_stale.clear();
    }

    /// A worker has changed.
    pub fn mark(&mut self, worker: WorkerId) {
        if self.is_stale.len() <= worker.index() {
            self.is_stale.resize(worker.index() + 1, false);
        }
        if let Some(stale) = self.is_stale.get_mut(worker.index())
            && !std::mem::replace(stale, true)
        {
            self.stale.push(worker);
        }
    }

    /// Whether there is something to tell.
    pub fn has_pending_changes(&self) -> bool {
        !self.stale.is_empty()
    }

    /// The placer subscribes from an event on. What it was told after that has been lost on its way, and it
    /// knows none of the later numbers: they are used again.
    pub fn subscribe(&mut self, from: u64, workers: &ListedWorkers) {
        if from != self.last_number {
            self.last_number = from;
            workers.ids().for_each(|worker| self.mark(worker));
        }
    }

    /// Tells all changes: each in an event of its own, or in as few events as may be.
    pub fn write_changes(
        &mut self,
        rule: FeedRule,
        workers: &ListedWorkers,
        lines: &mut FeedBatch,
    ) {
        let in_one = match rule {
            FeedRule::EachChange => 1,
            FeedRule::Gathered => MAX_ENTRIES,
        };
        let stale = std::mem::take(&mut self.stale);
        stale
            .chunks(in_one)
            .for_each(|part| self.event(workers, part, false, lines));
        self.clear();
    }

    /// Tells the entry of one worker again.
    pub fn write_repeat(
        &mut self,
        worker: WorkerId,
        workers: &ListedWorkers,
        lines: &mut FeedBatch,
    ) {
        self.event(workers, &[worker], false, lines);
    }

    /// Tells the whole list.
    pub fn write_complete_list(&mut self, workers: &ListedWorkers, lines: &mut FeedBatch) {
        self.clear();
        let up: Vec<WorkerId> = workers
            .ids()
            .filter(|worker| workers.is_up(*worker))
            .collect();
        self.event(workers, &up, true, lines);
    }

    /// Tells the number of the last event.
    pub fn write_sequence_number(&self, lines: &mut FeedBatch) {
        feed::number(&mut lines.bytes, self.last_number);
        lines.bytes.push(b'\n');
        lines.messages += 1;
        lines.counts.number_lines += 1;
    }

    fn event(
        &mut self,
        workers: &ListedWorkers,
        changed: &[WorkerId],
        whole: bool,
        lines: &mut FeedBatch,
    ) {
        self.last_number += 1;
        let entries = changed
            .iter()
            .filter_map(|worker| workers.entry(*worker, &self.ports));
        feed::event(&mut lines.bytes, self.last_number, whole, entries);
        lines.bytes.push(b'\n');
        lines.messages += 1;
        let up = changed
            .iter()
            .filter(|worker| workers.is_up(**worker))
            .count() as u64;
        lines.counts.entries_up += up;
        lines.counts.entries_removed += changed.len() as u64 - up;
        if whole {
            lines.counts.whole_events += 1;
        } else {
            lines.counts.change_events += 1;
        }
    }
}

#[cfg(test)]
mod tests;
