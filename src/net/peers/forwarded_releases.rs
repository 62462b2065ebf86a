//! Releases of clients that this process has passed on to the placer's other processes, because it does not know the
//! task.
//!
//! A release is kept until a process that knows the task has handled it. Its sender gets the reply once that has
//! happened, every process has replied that it does not know the task, or too much time has passed. After that, a release
//! that nobody knew is kept for a while for processes that connect later. The module is deterministic: time is an
//! argument, and there is no I/O.

use super::PeerId;
use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use task_placer::Micros;

/// The maximum number of releases that are kept. Further ones are passed on only if another process has announced the
/// task, which bounds the memory, since the number of these tasks is bounded.
const MAX_RELEASES: usize = 4_096;
/// The maximum number of senders of one release.
const MAX_SENDERS: usize = 16;
/// How long the other processes may take to reply. A client is owed an answer within 3 s.
const REPLY_TIMEOUT: Micros = 2_000_000;
/// How long a release that no process knew is kept.
const RETENTION: Micros = 5_000_000;

/// The sender of a release, who gets the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseSender {
    /// A client.
    Client(ClientId),
    /// Another process, which passed the release on.
    Peer(PeerId),
}

/// A release that has been passed on.
#[derive(Debug, Clone, PartialEq)]
struct ForwardedRelease {
    cause: Cause,
    since: Micros,
    /// The senders without a reply.
    senders: BTreeSet<ReleaseSender>,
    /// The processes that have not replied.
    awaited: BTreeSet<PeerId>,
}

/// The end of the wait for the other processes' replies to a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settled {
    /// The released task.
    pub task: TaskId,
    /// The cause that the client stated.
    pub cause: Cause,
    /// The senders, who get their reply now.
    pub senders: Vec<ReleaseSender>,
    /// Whether a process knows the task, and thus has handled the release.
    pub is_handled: bool,
}

/// The releases that have been passed on, by task.
#[derive(Default)]
pub struct ForwardedReleases(BTreeMap<TaskId, ForwardedRelease>);

impl ForwardedReleases {
    /// Whether there is room for the release of a task that no process has announced.
    pub fn has_room_for_unannounced(&self) -> bool {
        self.0.len() < MAX_RELEASES
    }

    /// Adds a release, and returns whether its sender is to get the reply later. Replies are awaited from the processes
    /// `awaited`, if there is a sender who waits for the result.
    pub fn insert(
        &mut self,
        now: Micros,
        task: TaskId,
        cause: Cause,
        sender: Option<ReleaseSender>,
        awaited: BTreeSet<PeerId>,
    ) -> bool {
        let release = self.0.entry(task).or_insert(ForwardedRelease {
            cause,
            since: now,
            senders: BTreeSet::new(),
            awaited: BTreeSet::new(),
        });
        if release.senders.len() >= MAX_SENDERS {
            return false;
        }
        if release.senders.is_empty() {
            release.since = now;
        }
        if let Some(sender) = sender {
            release.senders.insert(sender);
            release.awaited.extend(awaited);
        }
        true
    }

    /// Returns the releases that are to be sent to a process that has connected or lost messages. Its reply is awaited if
    /// a sender waits for one. A release is never sent back to a process that has sent it.
    pub fn for_peer(&mut self, peer: PeerId) -> Vec<(TaskId, Cause)> {
        let is_foreign =
            |release: &ForwardedRelease| !release.senders.contains(&ReleaseSender::Peer(peer));
        let releases = self.0.iter_mut();
        releases
            .filter(|(_, release)| is_foreign(release))
            .map(|(task, release)| {
                if !release.senders.is_empty() {
                    release.awaited.insert(peer);
                }
                (*task, release.cause)
            })
            .collect()
    }

    /// Records a reply. Returns the release if it is settled by the reply.
    pub fn replied(&mut self, peer: PeerId, task: TaskId, is_known: bool) -> Option<Settled> {
        if is_known {
            return self.remove(task);
        }
        let release = self.0.get_mut(&task)?;
        release.awaited.remove(&peer);
        release.settle_if_complete(task)
    }

    /// Records that a process has exited or does not exchange messages. Returns the releases that are settled by that.
    pub fn peer_gone(&mut self, peer: PeerId) -> Vec<Settled> {
        let releases = self.0.iter_mut();
        releases
            .filter_map(|(task, release)| {
                release.awaited.remove(&peer);
                release.settle_if_complete(*task)
            })
            .collect()
    }

    /// Removes a release that has been handled, and returns it.
    pub fn remove(&mut self, task: TaskId) -> Option<Settled> {
        let release = self.0.remove(&task)?;
        Some(Settled {
            task,
            cause: release.cause,
            senders: release.senders.into_iter().collect(),
            is_handled: true,
        })
    }

    /// Returns the releases whose replies have not come in time, and forgets those that were kept for long enough.
    pub fn expire(&mut self, now: Micros) -> Vec<Settled> {
        self.0
            .retain(|_, release| !release.senders.is_empty() || now - release.since < RETENTION);
        let releases = self.0.iter_mut();
        releases
            .filter(|(_, release)| now - release.since >= REPLY_TIMEOUT)
            .filter_map(|(task, release)| {
                release.awaited.clear();
                release.settle_if_complete(*task)
            })
            .collect()
    }
}

impl ForwardedRelease {
    /// Takes the senders if no reply is awaited.
    fn settle_if_complete(&mut self, task: TaskId) -> Option<Settled> {
        if !self.awaited.is_empty() || self.senders.is_empty() {
            return None;
        }
        Some(Settled {
            task,
            cause: self.cause,
            senders: std::mem::take(&mut self.senders).into_iter().collect(),
            is_handled: false,
        })
    }
}

#[cfg(test)]
mod tests;
