//! The tasks that other processes of the placer are responsible for, as far as they have announced them.
//!
//! When such a process exits, its tasks are kept for a while without a process that is responsible for them, until their
//! clients name them to this process. The module is deterministic: time is an argument, and there is no I/O.

use super::PeerId;
use crate::net::codec::TaskId;
use crate::net::codec::peer::PeerTaskState;
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
    /// The host that runs the task.
    pub host: HostId,
    /// The state of the task.
    pub state: PeerTaskState,
    /// The process that is responsible for the task.
    pub responsible: Responsible,
}

/// The tasks that other processes have announced, by id.
#[derive(Default)]
pub struct RemoteTasks(BTreeMap<TaskId, RemoteTask>);

impl RemoteTasks {
    /// Records that a process is responsible for a task. The latest announcement holds.
    pub fn announce(&mut self, peer: PeerId, task: TaskId, host: HostId, state: PeerTaskState) {
        if self.0.len() >= MAX_TASKS && !self.0.contains_key(&task) {
            return;
        }
        let responsible = Responsible::Peer(peer);
        let announced = RemoteTask {
            host,
            state,
            responsible,
        };
        self.0.insert(task, announced);
    }

    /// Records that a process is no longer responsible for a task.
    pub fn withdraw(&mut self, peer: PeerId, task: TaskId) {
        if self.is_responsible(peer, task) {
            self.0.remove(&task);
        }
    }

    /// Forgets all that a process has announced.
    pub fn withdraw_all(&mut self, peer: PeerId) {
        self.0
            .retain(|_, remote| remote.responsible != Responsible::Peer(peer));
    }

    /// Records that a process has exited, and returns the tasks that it was responsible for.
    pub fn peer_exited(&mut self, now: Micros, peer: PeerId) -> Vec<(TaskId, RemoteTask)> {
        let mut orphans = Vec::new();
        for (task, remote) in &mut self.0 {
            if remote.responsible == Responsible::Peer(peer) {
                remote.responsible = Responsible::Exited(now);
                orphans.push((*task, remote.clone()));
            }
        }
        orphans
    }

    /// Removes a task for which this process is responsible from now on.
    pub fn take(&mut self, task: TaskId) -> Option<RemoteTask> {
        self.0.remove(&task)
    }

    /// Removes a task if the process that was responsible for it has exited.
    pub fn take_orphan(&mut self, task: TaskId) -> Option<RemoteTask> {
        let remote = self.0.get(&task)?;
        match remote.responsible {
            Responsible::Exited(_) => self.0.remove(&task),
            Responsible::Peer(_) => None,
        }
    }

    /// Forgets the tasks whose process exited too long ago.
    pub fn expire(&mut self, now: Micros) {
        self.0.retain(|_, remote| match remote.responsible {
            Responsible::Peer(_) => true,
            Responsible::Exited(at) => now - at < ORPHAN_RETENTION,
        });
    }

    fn is_responsible(&self, peer: PeerId, task: TaskId) -> bool {
        let remote = self.0.get(&task);
        remote.is_some_and(|remote| remote.responsible == Responsible::Peer(peer))
    }
}

#[cfg(test)]
mod tests;
