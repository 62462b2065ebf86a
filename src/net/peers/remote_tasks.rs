//! The tasks that other processes of the placer are responsible for, as far as they have announced them.
//!
//! When such a process exits, its tasks are kept for a while without a process that is responsible for them, until their
//! clients name them to this process. The module is deterministic: time is an argument, and there is no I/O.

use super::PeerId;
use crate::net::codec::peer::{EndDelivery, PeerTaskState};
use crate::net::codec::{TaskEnd, TaskId};
use std::collections::BTreeMap;
use task_placer::{HostId, Micros};

/// The maximum number of tasks that are kept. Further ones are ignored, which bounds the memory.
pub const MAX_TASKS: usize = 16_384;
/// How long a task is kept after the exit of the process that was responsible for it.
const ORPHAN_RETENTION: Micros = 30_000_000;

/// The process that is responsible for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responsible {
    /// A process that is running.
    Peer(PeerId),
    /// A process that has exited at this time.
    Exited(Micros),
}

/// A task that another process has announced.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteTask {
    /// The state of the task.
    pub state: PeerTaskState,
    /// The process that is responsible for the task.
    pub responsible: Responsible,
}

/// The end of a task that waits for a client at another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingEnd {
    /// The process that is responsible for the end.
    pub peer: PeerId,
    /// What the client is to be told.
    pub end: TaskEnd,
    /// When this process has claimed the end, if it has.
    pub claimed_at: Option<Micros>,
}

/// The numbers of tasks that run at one host.
#[derive(Debug, Default)]
struct HostCounts {
    tasks: usize,
    /// Those among them whose process has exited.
    orphans: usize,
}

/// The tasks that other processes have announced, by id.
#[derive(Default)]
pub struct RemoteTasks {
    tasks: BTreeMap<TaskId, RemoteTask>,
    /// The tasks among them whose ends wait for a client.
    waiting_ends: BTreeMap<TaskId, WaitingEnd>,
    /// The number of tasks that run at each host.
    counts_by_host: BTreeMap<HostId, HostCounts>,
}

impl RemoteTasks {
    /// Records that a process is responsible for a task. The latest announcement holds.
    pub fn announce(&mut self, peer: PeerId, task: TaskId, state: PeerTaskState) {
        let before = self.take(task);
        if self.tasks.len() >= MAX_TASKS && before.is_none() {
            return;
        }
        if let PeerTaskState::Ended(end, EndDelivery::WaitsForClient) = state {
            let claimed_at = None;
            let waiting = WaitingEnd {
                peer,
                end,
                claimed_at,
            };
            self.waiting_ends.insert(task, waiting);
        }
        if let Some(host) = state.host() {
            self.counts_by_host.entry(host.clone()).or_default().tasks += 1;
        }
        let responsible = Responsible::Peer(peer);
        self.tasks.insert(task, RemoteTask { state, responsible });
    }

    /// Records that a process is no longer responsible for a task.
    pub fn withdraw(&mut self, peer: PeerId, task: TaskId) {
        let remote = self.tasks.get(&task);
        if remote.is_some_and(|remote| remote.responsible == Responsible::Peer(peer)) {
            self.take(task);
        }
    }

    /// Forgets all that a process has announced.
    pub fn withdraw_all(&mut self, peer: PeerId) {
        for task in self.tasks_of(peer) {
            self.take(task);
        }
    }

    /// Records that a process has exited, and returns the tasks that it was responsible for.
    pub fn peer_exited(&mut self, now: Micros, peer: PeerId) -> Vec<(TaskId, PeerTaskState)> {
        let orphans = self.tasks_of(peer).into_iter().filter_map(|task| {
            self.waiting_ends.remove(&task);
            let remote = self.tasks.get_mut(&task)?;
            remote.responsible = Responsible::Exited(now);
            let host = remote.state.host();
            if let Some(counts) = host.and_then(|host| self.counts_by_host.get_mut(host)) {
                counts.orphans += 1;
            }
            Some((task, remote.state.clone()))
        });
        orphans.collect()
    }

    /// Returns a task.
    pub fn get(&self, task: TaskId) -> Option<&RemoteTask> {
        self.tasks.get(&task)
    }

    /// Removes a task for which this process is responsible from now on.
    pub fn take(&mut self, task: TaskId) -> Option<RemoteTask> {
        let remote = self.tasks.remove(&task)?;
        self.waiting_ends.remove(&task);
        if let Some(host) = remote.state.host()
            && let Some(counts) = self.counts_by_host.get_mut(host)
        {
            counts.tasks -= 1;
            counts.orphans -= usize::from(matches!(remote.responsible, Responsible::Exited(_)));
            if counts.tasks == 0 {
                self.counts_by_host.remove(host);
            }
        }
        Some(remote)
    }

    /// Removes a task if the process that was responsible for it has exited.
    pub fn take_orphan(&mut self, task: TaskId) -> Option<RemoteTask> {
        match self.tasks.get(&task)?.responsible {
            Responsible::Exited(_) => self.take(task),
            Responsible::Peer(_) => None,
        }
    }

    /// Whether a task whose process has exited runs at this host.
    pub fn has_orphans_at(&self, host: &HostId) -> bool {
        let counts = self.counts_by_host.get(host);
        counts.is_some_and(|counts| counts.orphans > 0)
    }

    /// Whether a task of another process runs at this host.
    pub fn has_tasks_at(&self, host: &HostId) -> bool {
        self.counts_by_host.contains_key(host)
    }

    /// Returns the hosts at which tasks run whose process has exited.
    pub fn hosts_with_orphans(&self) -> impl Iterator<Item = &HostId> {
        let counts = self.counts_by_host.iter();
        let with_orphans = counts.filter(|(_, counts)| counts.orphans > 0);
        with_orphans.map(|(host, _)| host)
    }

    /// Returns the hosts at which tasks of other processes run.
    pub fn hosts_with_tasks(&self) -> impl Iterator<Item = &HostId> {
        self.counts_by_host.keys()
    }

    /// Returns the ends that wait for a client at other processes.
    pub fn waiting_ends(&self) -> impl Iterator<Item = (TaskId, WaitingEnd)> + '_ {
        self.waiting_ends.iter().map(|(task, end)| (*task, *end))
    }

    /// Records that this process has claimed the end of a task.
    pub fn end_claimed(&mut self, now: Micros, task: TaskId) {
        if let Some(waiting) = self.waiting_ends.get_mut(&task) {
            waiting.claimed_at = Some(now);
        }
    }

    /// Returns the running tasks whose process has exited.
    pub fn orphans(&self) -> impl Iterator<Item = (TaskId, &PeerTaskState)> {
        let is_orphan = |remote: &RemoteTask| matches!(remote.responsible, Responsible::Exited(_));
        let orphans = self
            .tasks
            .iter()
            .filter(move |(_, remote)| is_orphan(remote));
        orphans.map(|(task, remote)| (*task, &remote.state))
    }

    /// Forgets the tasks whose process exited too long ago, and returns them.
    pub fn expire(&mut self, now: Micros) -> Vec<TaskId> {
        let is_old = |remote: &RemoteTask| match remote.responsible {
            Responsible::Peer(_) => false,
            Responsible::Exited(at) => now - at >= ORPHAN_RETENTION,
        };
        let old = self.tasks.iter().filter(|(_, remote)| is_old(remote));
        let old: Vec<TaskId> = old.map(|(task, _)| *task).collect();
        for task in &old {
            self.take(*task);
        }
        old
    }

    fn tasks_of(&self, peer: PeerId) -> Vec<TaskId> {
        let tasks = self.tasks.iter();
        tasks
            .filter(|(_, remote)| remote.responsible == Responsible::Peer(peer))
            .map(|(task, _)| *task)
            .collect()
    }
}

#[cfg(test)]
mod tests;
