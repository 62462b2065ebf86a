//! The ends of running tasks that no client has acknowledged. Data only: [`task_ends`](super::task_ends) sends them.

use super::id::ClientId;
use crate::net::codec::TaskId;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::Micros;

/// How long the end of a task is kept for the case that its connection closes unread.
const MAX_UNACKNOWLEDGED: Micros = 10_000_000;
/// How long the end of a task may be on its way to its client.
const DELIVERY_TIME: Micros = 1_000_000;

/// The end of a task as it was sent, until its client acknowledges it.
pub(super) struct SentTaskEnd {
    client: ClientId,
    bytes: Vec<u8>,
    sent_at: Micros,
}

/// The ends of tasks that no client has acknowledged.
#[derive(Default)]
pub(super) struct PendingTaskEnds {
    /// For the next connection of a client.
    unsent: Vec<(TaskId, Vec<u8>)>,
    /// Sent, and not acknowledged yet.
    sent: BTreeMap<TaskId, SentTaskEnd>,
}

impl PendingTaskEnds {
    /// Removes and returns what was sent on a connection.
    pub(super) fn take_sent_to(&mut self, id: ClientId) -> Vec<(TaskId, Vec<u8>)> {
        let sent = self.sent.iter();
        let tasks: Vec<TaskId> = sent
            .filter(|(_, end)| end.client == id)
            .map(|(task, _)| *task)
            .collect();
        let ends = tasks.into_iter();
        ends.filter_map(|task| Some((task, self.sent.remove(&task)?.bytes)))
            .collect()
    }

    /// Returns the connections on which the end of a task was sent within this time.
    pub(super) fn sent_within(&self, now: Micros, time: Micros) -> BTreeSet<ClientId> {
        let sent = self.sent.values();
        sent.filter(|end| now - end.sent_at < time)
            .map(|end| end.client)
            .collect()
    }

    /// Forgets what has waited for its acknowledgement for too long.
    pub(super) fn forget_old(&mut self, now: Micros) {
        self.sent
            .retain(|_, end| now - end.sent_at < MAX_UNACKNOWLEDGED);
    }

    /// Returns the number of ends that no client has taken, or may not have read yet.
    pub(super) fn unconfirmed(&self, now: Micros) -> usize {
        let sent = self.sent.values();
        let under_way = sent.filter(|end| now - end.sent_at < DELIVERY_TIME).count();
        self.unsent.len() + under_way
    }

    /// Keeps an end for the next connection of a client.
    pub(super) fn keep_unsent(&mut self, task: TaskId, bytes: Vec<u8>) {
        self.unsent.push((task, bytes));
    }

    /// Removes and returns the ends that were kept for the next connection.
    pub(super) fn take_unsent(&mut self) -> Vec<(TaskId, Vec<u8>)> {
        std::mem::take(&mut self.unsent)
    }

    /// Records that an end was sent on a connection.
    pub(super) fn record_sent(
        &mut self,
        now: Micros,
        client: ClientId,
        task: TaskId,
        bytes: Vec<u8>,
    ) {
        let end = SentTaskEnd {
            client,
            bytes,
            sent_at: now,
        };
        self.sent.insert(task, end);
    }

    /// Forgets an end that a client has acknowledged.
    pub(super) fn acknowledge(&mut self, task: TaskId) -> bool {
        self.sent.remove(&task).is_some()
    }
}
