//! The position of one placer in its control feed: the last sequence number, and the changes not sent to it yet.
//!
//! Formats the lines of the feed but does not send them. No history of events is kept: a placer that lost events gets
//! the current state of all workers under the next sequence numbers.

use super::worker_list::WorkerList;
use crate::identity::WorkerId;
use crate::settings::FeedRule;
use crate::traffic::FeedCounts;
use crate::wire::feed::{self, EventKind};

/// The maximum number of entries in an event of changes. It keeps the event's line far below the maximum length that
/// placers read.
const MAX_ENTRIES: usize = 2_000;
/// The sequence number of the first event after a placer's start.
const FIRST_SEQUENCE_NUMBER: u64 = 1;

/// Lines to send to one placer, with counts of their content.
#[derive(Default)]
pub struct FeedBatch {
    /// The bytes of complete lines.
    pub bytes: Vec<u8>,
    /// The number of lines.
    pub messages: u64,
    /// Counts of the events and entries in the lines.
    pub counts: FeedCounts,
}

/// The position of one placer in its feed.
#[derive(Default)]
pub struct FeedCursor {
    /// The sequence number of the last event.
    last_sequence_number: u64,
    /// The ports at which the placer reaches the workers, by zone.
    ports: Vec<u16>,
    /// The workers that have changed since the last event with their entries, in the order of their first change.
    changed: Vec<WorkerId>,
    /// Whether each worker is in `changed`, by worker index. May be shorter than the list of workers.
    is_changed: Vec<bool>,
}

impl FeedCursor {
    /// Sets the ports at which the placer reaches the workers, by zone.
    pub fn set_ports(&mut self, ports: Vec<u16>) {
        self.ports = ports;
    }

    /// Restarts the feed for a placer that starts. Returns the JSON for the placer's configuration, which holds the
    /// feed's first event with all workers that are up.
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

    /// Returns whether there are changes that have not been written yet.
    pub fn has_pending_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Handles a subscription that names the last sequence number that the placer has received. If events were written
    /// after that number, they were lost in transit, so their numbers are used again and all workers count as changed.
    pub fn subscribe(&mut self, from: u64, workers: &WorkerList) {
        if from != self.last_sequence_number {
            self.last_sequence_number = from;
            workers.ids().for_each(|worker| self.mark_changed(worker));
        }
    }

    /// Appends all pending changes to `batch`: one event for each change, or as few events as possible, as the rule
    /// says.
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

    /// Appends an event with the entry of one worker, even if the entry has not changed.
    pub fn write_repeat(&mut self, worker: WorkerId, workers: &WorkerList, batch: &mut FeedBatch) {
        self.write_event(workers, &[worker], EventKind::Delta, batch);
    }

    /// Appends an event with the complete list of workers, after which no changes are pending.
    pub fn write_complete_list(&mut self, workers: &WorkerList, batch: &mut FeedBatch) {
        self.clear_changes();
        let up: Vec<WorkerId> = workers
            .ids()
            .filter(|worker| workers.is_up(*worker))
            .collect();
        self.write_event(workers, &up, EventKind::CompleteList, batch);
    }

    /// Appends a line that holds only the sequence number of the last event.
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
