//! The position of one placer in its control feed: the last sequence number, and the changes it has not seen.
//!
//! Writes the lines of the feed, and never sends them. No history is kept: a placer that lost events gets the
//! present state under the next sequence numbers.

use super::worker_list::WorkerList;
use crate::identity::WorkerId;
use crate::settings::FeedRule;
use crate::traffic::FeedCounts;
use crate::wire::feed::{self, EventKind};

/// The largest number of entries in one event. Keeps its line far below the longest that placers read.
const MAX_ENTRIES: usize = 2_000;
/// The sequence number of the first event after a placer's start.
const FIRST_SEQUENCE_NUMBER: u64 = 1;

/// Lines to be sent to one placer, with counts of their content.
#[derive(Default)]
pub struct FeedBatch {
    /// Complete lines.
    pub bytes: Vec<u8>,
    /// The number of lines.
    pub messages: u64,
    /// The content of the lines.
    pub counts: FeedCounts,
}

/// The position of one placer in its feed.
#[derive(Default)]
pub struct FeedCursor {
    /// The sequence number of the last event.
    last_sequence_number: u64,
    /// The ports at which the placer reaches the workers, by zone.
    ports: Vec<u16>,
    /// The workers that have changed since the placer last saw them.
    changed: Vec<WorkerId>,
    /// The same as flags, by worker.
    is_changed: Vec<bool>,
}

impl FeedCursor {
    /// Sets the ports at which the placer reaches the workers, by zone.
    pub fn set_ports(&mut self, ports: Vec<u16>) {
        self.ports = ports;
    }

    /// Starts the feed anew for a placer that starts. Returns its first event, with all workers that are up, as the
    /// JSON that its configuration contains.
    pub fn start(&mut self, workers: &WorkerList) -> String {
        self.last_sequence_number = FIRST_SEQUENCE_NUMBER;
        self.clear_changes();
        let mut event = Vec::new();
        let entries = workers
            .ids()
            .filter(|worker| workers.is_up(*worker))
            .filter_map(|worker| workers.entry(worker, &self.ports));
        feed::write_event(
            &mut event,
            FIRST_SEQUENCE_NUMBER,
            EventKind::CompleteList,
            entries,
        );
        format!(
            r#"{{"n":{FIRST_SEQUENCE_NUMBER},"events":[{}]}}"#,
            String::from_utf8_lossy(&event)
        )
    }

    fn clear_changes(&mut self) {
        self.changed.clear();
        self.is_changed.clear();
    }

    /// Records that a worker has changed.
    pub fn mark_changed(&mut self, worker: WorkerId) {
        if self.is_changed.len() <= worker.index() {
            self.is_changed.resize(worker.index() + 1, false);
        }
        if let Some(is_changed) = self.is_changed.get_mut(worker.index())
            && !std::mem::replace(is_changed, true)
        {
            self.changed.push(worker);
        }
    }

    /// Returns whether a worker has changed since the placer last saw it.
    pub fn has_pending_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Handles a subscription from a sequence number on. Events after it were lost in transit, so their numbers
    /// are used again, and all workers count as changed.
    pub fn subscribe(&mut self, from: u64, workers: &WorkerList) {
        if from != self.last_sequence_number {
            self.last_sequence_number = from;
            workers.ids().for_each(|worker| self.mark_changed(worker));
        }
    }

    /// Writes all pending changes: one event for each, or as few events as possible.
    pub fn write_changes(&mut self, rule: FeedRule, workers: &WorkerList, batch: &mut FeedBatch) {
        let entries_per_event = match rule {
            FeedRule::EachChange => 1,
            FeedRule::Gathered => MAX_ENTRIES,
        };
        let changed = std::mem::take(&mut self.changed);
        changed
            .chunks(entries_per_event)
            .for_each(|part| self.write_event(workers, part, EventKind::Delta, batch));
        self.clear_changes();
    }

    /// Writes the entry of one worker, changed or not.
    pub fn write_repeat(&mut self, worker: WorkerId, workers: &WorkerList, batch: &mut FeedBatch) {
        self.write_event(workers, &[worker], EventKind::Delta, batch);
    }

    /// Writes the complete list of workers.
    pub fn write_complete_list(&mut self, workers: &WorkerList, batch: &mut FeedBatch) {
        self.clear_changes();
        let up: Vec<WorkerId> = workers
            .ids()
            .filter(|worker| workers.is_up(*worker))
            .collect();
        self.write_event(workers, &up, EventKind::CompleteList, batch);
    }

    /// Writes the sequence number of the last event.
    pub fn write_sequence_number(&self, batch: &mut FeedBatch) {
        feed::write_sequence_number(&mut batch.bytes, self.last_sequence_number);
        batch.bytes.push(b'\n');
        batch.messages += 1;
        batch.counts.number_lines += 1;
    }

    fn write_event(
        &mut self,
        workers: &WorkerList,
        listed: &[WorkerId],
        kind: EventKind,
        batch: &mut FeedBatch,
    ) {
        self.last_sequence_number += 1;
        let entries = listed
            .iter()
            .filter_map(|worker| workers.entry(*worker, &self.ports));
        feed::write_event(&mut batch.bytes, self.last_sequence_number, kind, entries);
        batch.bytes.push(b'\n');
        batch.messages += 1;
        let up = listed
            .iter()
            .filter(|worker| workers.is_up(**worker))
            .count() as u64;
        batch.counts.entries_up += up;
        batch.counts.entries_removed += listed.len() as u64 - up;
        match kind {
            EventKind::CompleteList => batch.counts.complete_list_events += 1,
            EventKind::Delta => batch.counts.change_events += 1,
        }
    }
}

#[cfg(test)]
mod tests;
