//! Remembers tasks that clients have named as running, and that are not tracked because there was no memory for them.
//!
//! Only the id and the host of such a task are kept, so that its client can still be sent its end, and can still release
//! it. The oldest are forgotten once the memory for them is used up.

use crate::net::codec::TaskId;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::{HostId, Micros};

/// The memory that one task uses beside the name of its host.
const TASK_BYTES: usize = 128;

/// One task that is not tracked.
struct UntrackedTask {
    host: HostId,
    named_at: Micros,
    sequence: u64,
}

impl UntrackedTask {
    fn bytes(&self) -> usize {
        TASK_BYTES + self.host.0.len()
    }
}

/// The tasks that are not tracked, within a limit of memory.
pub(super) struct UntrackedTasks {
    limit: usize,
    used: usize,
    next_sequence: u64,
    tasks: BTreeMap<TaskId, UntrackedTask>,
    by_age: BTreeMap<u64, TaskId>,
    by_host: BTreeMap<HostId, BTreeSet<TaskId>>,
}

impl UntrackedTasks {
    /// Creates an empty table with a limit in bytes.
    pub(super) fn new(limit: usize) -> UntrackedTasks {
        UntrackedTasks {
            limit,
            used: 0,
            next_sequence: 0,
            tasks: BTreeMap::new(),
            by_age: BTreeMap::new(),
            by_host: BTreeMap::new(),
        }
    }

    /// Returns the number of tasks.
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Sets the limit, and forgets the oldest tasks beyond it.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.forget_oldest();
    }

    /// Adds a task that a client has named at `host`.
    pub(super) fn insert(&mut self, now: Micros, task: TaskId, host: HostId) {
        self.take(task);
        let untracked = UntrackedTask {
            host: host.clone(),
            named_at: now,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.used += untracked.bytes();
        self.by_age.insert(untracked.sequence, task);
        self.by_host.entry(host).or_default().insert(task);
        self.tasks.insert(task, untracked);
        self.forget_oldest();
    }

    /// Removes a task, and returns the host that it was named at.
    pub(super) fn take(&mut self, task: TaskId) -> Option<HostId> {
        let untracked = self.tasks.remove(&task)?;
        self.used = self.used.saturating_sub(untracked.bytes());
        self.by_age.remove(&untracked.sequence);
        if let Some(tasks) = self.by_host.get_mut(&untracked.host) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.by_host.remove(&untracked.host);
            }
        }
        Some(untracked.host)
    }

    /// Removes a task if it was named at this host, and returns whether it was.
    pub(super) fn take_at(&mut self, task: TaskId, host: &HostId) -> bool {
        let is_at_host = self
            .tasks
            .get(&task)
            .is_some_and(|untracked| untracked.host == *host);
        is_at_host && self.take(task).is_some()
    }

    /// Removes the tasks that were named at this host before the time `before`, and returns them.
    pub(super) fn take_named_before(&mut self, host: &HostId, before: Micros) -> Vec<TaskId> {
        let Some(at_host) = self.by_host.get(host) else {
            return Vec::new();
        };
        let is_earlier = |task: &&TaskId| {
            let untracked = self.tasks.get(task);
            untracked.is_some_and(|untracked| untracked.named_at < before)
        };
        let taken: Vec<TaskId> = at_host.iter().filter(is_earlier).copied().collect();
        for task in &taken {
            self.take(*task);
        }
        taken
    }

    fn forget_oldest(&mut self) {
        while self.used > self.limit {
            let Some((_, oldest)) = self.by_age.first_key_value() else {
                return;
            };
            self.take(*oldest);
        }
    }
}

#[cfg(test)]
mod tests;
