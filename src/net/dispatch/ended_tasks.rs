//! Remembers the tasks that have ended, because their clients may still ask to adopt them, and another request may reuse
//! their ids.
//!
//! Each is remembered for a fixed time, and for less if there are very many: the oldest are then forgotten first, and those
//! that were never sent to a host before those that were.

use super::MILLISECOND;
use super::request::HostRelease;
use crate::net::codec::TaskId;
use std::collections::BTreeMap;
use task_placer::Micros;

/// How long an ended task is remembered.
const RETENTION: Micros = 10_000 * MILLISECOND;
/// The memory that one ended task uses.
const TASK_BYTES: usize = 128;
/// Tasks that were sent to a host may use at most the memory limit divided by this.
const SENT_MEMORY_DIVISOR: usize = 16;
/// Tasks that were never sent to a host may use at most the memory limit divided by this.
const UNSENT_MEMORY_DIVISOR: usize = 64;

/// Whether a task was ever sent to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WasSent {
    /// It was, or a host has named it.
    Yes,
    /// Its request was over before an attempt was made.
    No,
}

/// A task that has ended.
struct EndedTask {
    was_sent: WasSent,
    /// How a host released the task, if the release arrived while the task was not in the table of requests.
    released_by: Option<HostRelease>,
    ended_at: Micros,
    sequence: u64,
}

/// The ended tasks of one kind, oldest first.
#[derive(Default)]
struct Ages {
    limit: usize,
    tasks: BTreeMap<u64, TaskId>,
}

/// The tasks that have ended lately.
pub(super) struct EndedTasks {
    tasks: BTreeMap<TaskId, EndedTask>,
    sent: Ages,
    unsent: Ages,
    next_sequence: u64,
}

impl EndedTasks {
    /// Creates an empty table for a process that may use `memory_bytes` in all.
    pub(super) fn new(memory_bytes: usize) -> EndedTasks {
        let mut ended = EndedTasks {
            tasks: BTreeMap::new(),
            sent: Ages::default(),
            unsent: Ages::default(),
            next_sequence: 0,
        };
        ended.set_memory_limit(memory_bytes);
        ended
    }

    /// Sets the memory that the process may use in all. It applies from the next task on.
    pub(super) fn set_memory_limit(&mut self, memory_bytes: usize) {
        self.sent.limit = memory_bytes / SENT_MEMORY_DIVISOR / TASK_BYTES;
        self.unsent.limit = memory_bytes / UNSENT_MEMORY_DIVISOR / TASK_BYTES;
    }

    /// Whether a task has ended lately.
    pub(super) fn contains(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Returns how a host released a task, if the release arrived while the task was not in the table of requests.
    pub(super) fn release(&self, task: TaskId) -> Option<&HostRelease> {
        self.tasks.get(&task)?.released_by.as_ref()
    }

    /// Returns the tasks that were sent to a host, oldest first.
    pub(super) fn sent(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.sent.tasks.values().copied()
    }

    /// Records that a task has ended. A release that is remembered of it is kept.
    pub(super) fn insert(&mut self, now: Micros, task: TaskId, was_sent: WasSent) {
        let released_by = self.remove(task).and_then(|ended| ended.released_by);
        let was_sent = match released_by {
            Some(_) => WasSent::Yes,
            None => was_sent,
        };
        self.add(now, task, was_sent, released_by);
    }

    /// Records that a host has released a task that is not in the table of requests.
    pub(super) fn insert_released(&mut self, now: Micros, task: TaskId, release: HostRelease) {
        self.remove(task);
        self.add(now, task, WasSent::Yes, Some(release));
    }

    /// Forgets a task.
    pub(super) fn forget(&mut self, task: TaskId) {
        self.remove(task);
    }

    /// Forgets the tasks whose retention time is over.
    pub(super) fn expire(&mut self, now: Micros) {
        for was_sent in [WasSent::Yes, WasSent::No] {
            while let Some(task) = self.oldest(was_sent) {
                let ended = self.tasks.get(&task);
                if ended.is_some_and(|ended| now - ended.ended_at < RETENTION) {
                    break;
                }
                self.remove(task);
            }
        }
    }

    fn add(
        &mut self,
        now: Micros,
        task: TaskId,
        was_sent: WasSent,
        released_by: Option<HostRelease>,
    ) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let ended = EndedTask {
            was_sent,
            released_by,
            ended_at: now,
            sequence,
        };
        self.tasks.insert(task, ended);
        self.ages_mut(was_sent).tasks.insert(sequence, task);
        while self.ages_mut(was_sent).is_over_limit() {
            let Some(oldest) = self.oldest(was_sent) else {
                return;
            };
            self.remove(oldest);
        }
    }

    fn remove(&mut self, task: TaskId) -> Option<EndedTask> {
        let ended = self.tasks.remove(&task)?;
        self.ages_mut(ended.was_sent).tasks.remove(&ended.sequence);
        Some(ended)
    }

    fn oldest(&mut self, was_sent: WasSent) -> Option<TaskId> {
        let oldest = self.ages_mut(was_sent).tasks.first_key_value();
        oldest.map(|(_, task)| *task)
    }

    fn ages_mut(&mut self, was_sent: WasSent) -> &mut Ages {
        match was_sent {
            WasSent::Yes => &mut self.sent,
            WasSent::No => &mut self.unsent,
        }
    }
}

impl Ages {
    fn is_over_limit(&self) -> bool {
        self.tasks.len() > self.limit
    }
}

#[cfg(test)]
mod tests;
