//! Ends of running tasks that no client has acknowledged. This module holds only data; [`task_ends`](super::task_ends)
//! sends the messages.
//!
//! Handing a task end to a socket does not prove delivery: the client may have stopped reading while its connection
//! stays open, or may not know the task. Each task end is therefore kept until it is acknowledged, together with the
//! connections on which it was sent.
//!
//! Another process of the placer may take over a task end that waits for a client. What was tried here is remembered, in
//! case the task end comes back.

use super::id::ClientId;
use crate::net::codec::peer::EndDelivery;
use crate::net::codec::{TaskEnd, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use task_placer::Micros;

/// Time after the first send for which an unacknowledged task end is kept. It does not start anew with each client that
/// connects; otherwise the ends of clients that acknowledge nothing would never be discarded.
const MAX_UNACKNOWLEDGED: Micros = 10_000_000;
/// Time after a send during which a task end may still be in transit to its client.
const DELIVERY_TIME: Micros = 1_000_000;
/// Time to wait for an acknowledgement before a task end is sent on other connections too. A task end has to reach its
/// client within 1 s of the host's release, as the protocol requires, so several rounds must fit into that time.
pub(super) const ACKNOWLEDGE_TIMEOUT: Micros = 150_000;
/// Limit of the doublings of the number of connections per round.
const MAX_DOUBLINGS: u32 = 10;

/// The end of a task that no client has acknowledged yet.
pub(super) struct PendingTaskEnd {
    /// What the client is told.
    pub(super) end: TaskEnd,
    /// All connections on which the message was sent.
    tried: BTreeSet<ClientId>,
    /// Connections on which the message was sent in the last round.
    last_round: Vec<ClientId>,
    /// Number of rounds so far; each round sends the message on one or more connections.
    rounds: u32,
    /// When the message was first sent, if it was sent at all.
    first_sent_at: Option<Micros>,
    /// When the message was last sent, if it was sent at all.
    sent_at: Option<Micros>,
    /// Whether the message has been sent on every usable connection, so that it waits for a new client.
    waits_for_client: bool,
    /// The delivery that was last announced to the placer's other processes, if any was.
    announced: Option<EndDelivery>,
}

impl PendingTaskEnd {
    fn new(end: TaskEnd) -> PendingTaskEnd {
        PendingTaskEnd {
            end,
            tried: BTreeSet::new(),
            last_round: Vec::new(),
            rounds: 0,
            first_sent_at: None,
            sent_at: None,
            waits_for_client: false,
            announced: None,
        }
    }

    fn delivery(&self) -> EndDelivery {
        if self.waits_for_client {
            EndDelivery::WaitsForClient
        } else {
            EndDelivery::InProgress
        }
    }

    /// Returns whether the message was sent on this connection.
    pub(super) fn was_sent_on(&self, id: ClientId) -> bool {
        self.tried.contains(&id)
    }

    /// Returns whether the message was sent before, so that the next round is a resend.
    pub(super) fn is_resend(&self) -> bool {
        self.rounds > 0
    }

    /// Returns the number of connections for the next round. It doubles each round, so that many silent clients do not
    /// use up the time in which the message has to arrive.
    pub(super) fn connections_per_round(&self) -> usize {
        1 << self.rounds.min(MAX_DOUBLINGS)
    }

    fn sent_within(&self, now: Micros, time: Micros) -> bool {
        self.sent_at.is_some_and(|at| now - at < time)
    }
}

/// Counts of task ends by outcome since the start of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskEndCounters {
    /// Task ends that were sent on at least one connection.
    pub sent: u64,
    /// Rounds in which an unacknowledged task end was sent again on other connections.
    pub resent: u64,
    /// Task ends that a client has acknowledged.
    pub acknowledged: u64,
    /// Task ends that no client has acknowledged yet, including those that wait for another client.
    pub unacknowledged: usize,
    /// Task ends that wait for another client, since they were sent on every usable connection.
    pub waiting: usize,
}

/// The task ends that no client has acknowledged, by task.
#[derive(Default)]
pub(super) struct PendingTaskEnds {
    ends: BTreeMap<TaskId, PendingTaskEnd>,
    /// Task ends that another process has taken over.
    taken_over: BTreeMap<TaskId, PendingTaskEnd>,
    /// Tasks whose ends have been acknowledged or discarded since the last call of `drain_finished`.
    finished: Vec<TaskId>,
    /// The cumulative counters. The fields for current numbers stay 0 here and are computed on demand.
    totals: TaskEndCounters,
}

impl PendingTaskEnds {
    /// Adds the end of a task that has not been sent yet, or that another process had taken over.
    pub(super) fn insert(&mut self, task: TaskId, end: TaskEnd) {
        let known = self.taken_over.remove(&task);
        let pending = known.unwrap_or_else(|| PendingTaskEnd::new(end));
        let pending = PendingTaskEnd {
            end,
            announced: None,
            ..pending
        };
        self.ends.insert(task, pending);
    }

    /// Removes a task end that waits for a client, because another process takes it over. Returns what the client is to
    /// be told.
    pub(super) fn hand_over_waiting(&mut self, task: TaskId) -> Option<TaskEnd> {
        if !self.ends.get(&task)?.waits_for_client {
            return None;
        }
        let pending = self.ends.remove(&task)?;
        let end = pending.end;
        self.taken_over.insert(task, pending);
        Some(end)
    }

    /// Returns whether a task end has never been sent on this connection, as far as it is or was pending here.
    pub(super) fn is_untried(&self, task: TaskId, id: ClientId) -> bool {
        let pending = self.ends.get(&task).or_else(|| self.taken_over.get(&task));
        pending.is_none_or(|end| !end.was_sent_on(id))
    }

    /// Forgets a task end that another process has taken over, since that process no longer needs it.
    pub(super) fn forget_taken_over(&mut self, task: TaskId) {
        self.taken_over.remove(&task);
    }

    /// Returns all task ends with their delivery, and notes that it has been announced.
    pub(super) fn announce_all(&mut self) -> Vec<(TaskId, TaskEnd, EndDelivery)> {
        self.announce_if(|_| true)
    }

    /// Returns the task ends whose delivery differs from the announced one, and notes that it has been announced.
    pub(super) fn announce_changes(&mut self) -> Vec<(TaskId, TaskEnd, EndDelivery)> {
        self.announce_if(|end| end.announced != Some(end.delivery()))
    }

    fn announce_if(
        &mut self,
        condition: impl Fn(&PendingTaskEnd) -> bool,
    ) -> Vec<(TaskId, TaskEnd, EndDelivery)> {
        let mut announced = Vec::new();
        for (task, end) in self.ends.iter_mut().filter(|(_, end)| condition(end)) {
            end.announced = Some(end.delivery());
            announced.push((*task, end.end, end.delivery()));
        }
        announced
    }

    /// Returns the tasks whose ends have been acknowledged or discarded since the last call.
    pub(super) fn drain_finished(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.finished)
    }

    /// Returns the pending end of a task, if there is one.
    pub(super) fn get(&self, task: TaskId) -> Option<&PendingTaskEnd> {
        self.ends.get(&task)
    }

    /// Records the connections on which a task end was sent in this round. If there were none, the task end waits for
    /// another client.
    pub(super) fn record_round(&mut self, now: Micros, task: TaskId, connections: Vec<ClientId>) {
        let Some(end) = self.ends.get_mut(&task) else {
            return;
        };
        end.waits_for_client = connections.is_empty();
        if end.waits_for_client {
            return;
        }
        if end.is_resend() {
            self.totals.resent += 1;
        } else {
            self.totals.sent += 1;
        }
        end.rounds += 1;
        end.first_sent_at.get_or_insert(now);
        end.sent_at = Some(now);
        end.tried.extend(&connections);
        end.last_round = connections;
    }

    /// Removes a task end that a client has acknowledged, and returns whether it was pending.
    pub(super) fn acknowledge(&mut self, task: TaskId) -> bool {
        let was_pending = self.ends.remove(&task).is_some();
        if was_pending {
            self.totals.acknowledged += 1;
            self.finished.push(task);
        }
        was_pending
    }

    /// Returns the cumulative counters and the current numbers of pending task ends.
    pub(super) fn counters(&self) -> TaskEndCounters {
        TaskEndCounters {
            unacknowledged: self.ends.len(),
            waiting: self.waiting().len(),
            ..self.totals
        }
    }

    /// Returns the tasks whose ends were sent on this connection in their last round.
    pub(super) fn last_sent_on(&self, id: ClientId) -> Vec<TaskId> {
        let ends = self.ends.iter();
        ends.filter(|(_, end)| end.last_round.contains(&id))
            .map(|(task, _)| *task)
            .collect()
    }

    /// Returns the tasks whose ends wait for another client.
    pub(super) fn waiting(&self) -> Vec<TaskId> {
        let ends = self.ends.iter();
        ends.filter(|(_, end)| end.waits_for_client)
            .map(|(task, _)| *task)
            .collect()
    }

    /// Returns the tasks whose ends were not acknowledged in time, with the connections of the last round.
    pub(super) fn overdue(&self, now: Micros) -> Vec<(TaskId, Vec<ClientId>)> {
        let ends = self.ends.iter();
        ends.filter(|(_, end)| !end.waits_for_client && !end.sent_within(now, ACKNOWLEDGE_TIMEOUT))
            .map(|(task, end)| (*task, end.last_round.clone()))
            .collect()
    }

    /// Returns the connections on which a task end was sent less than `time` ago.
    pub(super) fn sent_within(&self, now: Micros, time: Micros) -> BTreeSet<ClientId> {
        let ends = self.ends.values();
        ends.filter(|end| end.sent_within(now, time))
            .flat_map(|end| end.last_round.iter().copied())
            .collect()
    }

    /// Discards task ends that were sent and not acknowledged within the maximum time.
    pub(super) fn forget_old(&mut self, now: Micros) {
        let is_old = |end: &PendingTaskEnd| {
            end.first_sent_at
                .is_some_and(|at| now - at >= MAX_UNACKNOWLEDGED)
        };
        let old = self.ends.iter().filter(|(_, end)| is_old(end));
        self.finished.extend(old.map(|(task, _)| *task));
        self.ends.retain(|_, end| !is_old(end));
        self.taken_over.retain(|_, end| !is_old(end));
    }

    /// Discards a task end whose client gets it from another process.
    pub(super) fn discard(&mut self, task: TaskId) {
        self.ends.remove(&task);
    }

    /// Returns the number of task ends that were never sent, or were sent so recently that the client may not have read
    /// them yet.
    pub(super) fn unconfirmed(&self, now: Micros) -> usize {
        let ends = self.ends.values();
        ends.filter(|end| end.sent_at.is_none() || end.sent_within(now, DELIVERY_TIME))
            .count()
    }

    /// Returns whether a task end is in transit to a client, or will soon be sent on other connections.
    pub(super) fn is_delivering(&self, now: Micros) -> bool {
        let mut ends = self.ends.values();
        ends.any(|end| !end.waits_for_client || end.sent_within(now, ACKNOWLEDGE_TIMEOUT))
    }
}
