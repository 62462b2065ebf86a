//! What the workers note of each task, for the audit.

use crate::identity::TaskIndex;
use std::time::Instant;

/// What became of one task at the workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerTaskRecord {
    /// How often it was started.
    pub starts: u8,
    /// How often an offer of it was refused for want of room.
    pub refusals: u8,
    /// How often it ended by itself.
    pub ended: u8,
    /// How often a placer cut it.
    pub cut: u8,
    /// How often it went with its worker.
    pub vanished: u8,
    /// Whether it stands or starts at this time.
    pub active_copies: u8,
    /// When a placer last confirmed its end.
    pub heard: Option<Instant>,
}

/// What the workers noted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerAudit {
    tasks: Vec<WorkerTaskRecord>,
    /// Offers of tasks that no client has set up, or that can't be read.
    pub bad_offers: u64,
    /// Ends that placers have not confirmed, at the end.
    pub unacknowledged: u64,
    /// Connections on which bytes that are no message were sent.
    pub garbage_sent: u64,
    /// Those of them that the placer has closed.
    pub garbage_dropped: u64,
    /// Messages of placers that can't be read.
    pub bad_messages: u64,
    /// Tasks started at workers that had come back cold.
    pub starts_after_return: u64,
}

impl WorkerAudit {
    /// What became of a task.
    pub fn task(&self, task: TaskIndex) -> WorkerTaskRecord {
        self.tasks.get(task.index()).copied().unwrap_or_default()
    }

    /// Notes something of a task.
    pub fn note(&mut self, task: TaskIndex, note: impl FnOnce(&mut WorkerTaskRecord)) {
        if self.tasks.len() <= task.index() {
            self.tasks
                .resize(task.index() + 1, WorkerTaskRecord::default());
        }
        if let Some(book) = self.tasks.get_mut(task.index()) {
            note(book);
        }
    }

    /// Adds what others noted.
    pub fn add(&mut self, others: &WorkerAudit) {
        for (task, other) in (0..).map(TaskIndex).zip(&others.tasks) {
            if *other != WorkerTaskRecord::default() {
                self.note(task, |book| book.add(other));
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
    fn add(&mut self, other: &WorkerTaskRecord) {
        self.starts = self.starts.saturating_add(other.starts);
        self.refusals = self.refusals.saturating_add(other.refusals);
        self.ended = self.ended.saturating_add(other.ended);
        self.cut = self.cut.saturating_add(other.cut);
        self.vanished = self.vanished.saturating_add(other.vanished);
        self.active_copies = self.active_copies.saturating_add(other.active_copies);
        self.heard = self.heard.max(other.heard);
    }
}
