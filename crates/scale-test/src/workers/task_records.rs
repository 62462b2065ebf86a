//! The records that the simulated workers keep of each task, for the audit at the end of a run.

use crate::identity::TaskIndex;
use std::time::Instant;

/// Counts of the events of one task, over all workers. The counters saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerTaskRecord {
    /// Number of completed starts.
    pub starts: u8,
    /// Number of offers that a worker refused for lack of capacity.
    pub refusals: u8,
    /// Number of times that a copy of the task ended because its lifetime was over.
    pub ended: u8,
    /// Number of cancellations by a placer.
    pub cancelled: u8,
    /// Number of copies lost in a crash of their worker.
    pub lost_with_worker: u8,
    /// Number of copies that currently start or run.
    pub active_copies: u8,
    /// When a placer last acknowledged the end of the task.
    pub end_acknowledged_at: Option<Instant>,
}

/// The records of the workers: one record for each task, and totals over all tasks and connections.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerAudit {
    tasks: Vec<WorkerTaskRecord>,
    /// Offers that cannot be parsed, that no client has requested (their key belongs to no task), or of a task that
    /// the worker already has.
    pub bad_offers: u64,
    /// Task ends that placers had not acknowledged when the workers stopped.
    pub unacknowledged: u64,
    /// Connections on which invalid bytes were sent.
    pub garbage_sent: u64,
    /// Connections on which invalid bytes were sent and which have closed since.
    pub garbage_dropped: u64,
    /// Messages from placers that cannot be parsed.
    pub bad_messages: u64,
    /// Starts at workers that were restored after a crash.
    pub starts_after_return: u64,
}

impl WorkerAudit {
    /// Returns the record of a task, which is empty if nothing was recorded.
    pub fn task(&self, task: TaskIndex) -> WorkerTaskRecord {
        self.tasks.get(task.index()).copied().unwrap_or_default()
    }

    /// Applies a change to the record of a task, creating the record if there is none.
    pub fn update(&mut self, task: TaskIndex, change: impl FnOnce(&mut WorkerTaskRecord)) {
        if self.tasks.len() <= task.index() {
            self.tasks
                .resize(task.index() + 1, WorkerTaskRecord::default());
        }
        if let Some(record) = self.tasks.get_mut(task.index()) {
            change(record);
        }
    }

    /// Adds the records of other workers to these.
    pub fn merge(&mut self, others: &WorkerAudit) {
        for (task, other) in (0..).map(TaskIndex).zip(&others.tasks) {
            if *other != WorkerTaskRecord::default() {
                self.update(task, |record| record.merge(other));
            }
        }
        self.bad_offers += others.bad_offers;
        self.unacknowledged += others.unacknowledged;
        self.garbage_sent += others.garbage_sent;
        self.garbage_dropped += others.garbage_dropped;
        self.bad_messages += others.bad_messages;
        self.starts_after_return += others.starts_after_return;
    }
}

impl WorkerTaskRecord {
    fn merge(&mut self, other: &WorkerTaskRecord) {
        self.starts = self.starts.saturating_add(other.starts);
        self.refusals = self.refusals.saturating_add(other.refusals);
        self.ended = self.ended.saturating_add(other.ended);
        self.cancelled = self.cancelled.saturating_add(other.cancelled);
        self.lost_with_worker = self.lost_with_worker.saturating_add(other.lost_with_worker);
        self.active_copies = self.active_copies.saturating_add(other.active_copies);
        self.end_acknowledged_at = self.end_acknowledged_at.max(other.end_acknowledged_at);
    }
}
