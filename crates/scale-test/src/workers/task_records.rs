//! What the hollow workers record of each task, for the audit at the end of a run.

use crate::identity::TaskIndex;
use std::time::Instant;

/// What happened to one task at all workers. Counters saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerTaskRecord {
    /// Starts.
    pub starts: u8,
    /// Offers that a worker refused because it was full.
    pub refusals: u8,
    /// Ends at the end of the task's lifetime.
    pub ended: u8,
    /// Cancellations by a placer.
    pub cancelled: u8,
    /// Copies lost with a crashed worker.
    pub lost_with_worker: u8,
    /// Copies that start or run now.
    pub active_copies: u8,
    /// When a placer last acknowledged the end of the task.
    pub end_acknowledged_at: Option<Instant>,
}

/// Everything that the workers recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerAudit {
    tasks: Vec<WorkerTaskRecord>,
    /// Offers that no client has requested, or that cannot be read.
    pub bad_offers: u64,
    /// Ends that placers had not acknowledged when the workers stopped.
    pub unacknowledged: u64,
    /// Connections on which invalid bytes were sent.
    pub garbage_sent: u64,
    /// Those of them that the placer has closed.
    pub garbage_dropped: u64,
    /// Messages of placers that cannot be read.
    pub bad_messages: u64,
    /// Starts at workers that were restored after a crash.
    pub starts_after_return: u64,
}

impl WorkerAudit {
    /// Returns the record of a task.
    pub fn task(&self, task: TaskIndex) -> WorkerTaskRecord {
        self.tasks.get(task.index()).copied().unwrap_or_default()
    }

    /// Changes the record of a task.
    pub fn update(&mut self, task: TaskIndex, change: impl FnOnce(&mut WorkerTaskRecord)) {
        if self.tasks.len() <= task.index() {
            self.tasks
                .resize(task.index() + 1, WorkerTaskRecord::default());
        }
        if let Some(record) = self.tasks.get_mut(task.index()) {
            change(record);
        }
    }

    /// Adds what other workers recorded.
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
