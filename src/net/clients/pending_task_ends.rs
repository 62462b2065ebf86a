//! The ends of running tasks that no client has acknowledged. Data only: [`task_ends`](super::task_ends) sends them.
//!
//! An end that was handed to a socket has reached nobody yet: its client may have fallen silent with the connection open, or
//! be none that knows the task. So an end stays here until it is acknowledged, with the connections that had it.

use super::id::ClientId;
use crate::net::codec::TaskId;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::Micros;

/// How long an end is kept after it was last sent.
const MAX_UNACKNOWLEDGED: Micros = 10_000_000;
/// How long the end of a task may be on its way to its client.
const DELIVERY_TIME: Micros = 1_000_000;
/// How long a client may take to acknowledge an end until it is sent on other connections too. An end has to reach its
/// client within 1 s of the host's release (the protocol's figure), so several rounds must fit into that.
pub(super) const ACKNOWLEDGE_TIMEOUT: Micros = 150_000;
/// Rounds after which the number of connections is no longer doubled.
const MAX_DOUBLINGS: u32 = 10;

/// The end of a task, until a client acknowledges it.
pub(super) struct PendingTaskEnd {
    /// The message.
    pub(super) bytes: Vec<u8>,
    /// The connections that it was sent on.
    tried: BTreeSet<ClientId>,
    /// Those of the last round.
    last_round: Vec<ClientId>,
    /// How often it was sent so far, each time on all connections of a round.
    rounds: u32,
    /// When it was last sent, if it was.
    sent_at: Option<Micros>,
    /// No connection is left that it was not sent on.
    waits_for_client: bool,
}

impl PendingTaskEnd {
    fn new(bytes: Vec<u8>) -> PendingTaskEnd {
        PendingTaskEnd {
            bytes,
            tried: BTreeSet::new(),
            last_round: Vec::new(),
            rounds: 0,
            sent_at: None,
            waits_for_client: false,
        }
    }

    /// Whether it was sent on this connection.
    pub(super) fn was_sent_on(&self, id: ClientId) -> bool {
        self.tried.contains(&id)
    }

    /// Whether it was sent before.
    pub(super) fn is_resend(&self) -> bool {
        self.rounds > 0
    }

    /// Returns on how many connections it is sent next: twice as many each time, so that many silent clients do not use
    /// up the time in which it has to arrive.
    pub(super) fn connections_per_round(&self) -> usize {
        1 << self.rounds.min(MAX_DOUBLINGS)
    }

    fn sent_within(&self, now: Micros, time: Micros) -> bool {
        self.sent_at.is_some_and(|at| now - at < time)
    }
}

/// What became of the ends of tasks since the start of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskEndCounters {
    /// Ends that were sent on a connection at least.
    pub sent: u64,
    /// Times that an end which was not acknowledged was sent again, on other connections.
    pub resent: u64,
    /// Ends that a client has acknowledged.
    pub acknowledged: u64,
    /// Ends that no client has acknowledged yet, those that wait included.
    pub unacknowledged: usize,
    /// Ends that wait for the next client, since no connection is left to try.
    pub waiting: usize,
}

/// The ends of tasks that no client has acknowledged.
#[derive(Default)]
pub(super) struct PendingTaskEnds {
    ends: BTreeMap<TaskId, PendingTaskEnd>,
    /// Of the counters, those that only grow.
    totals: TaskEndCounters,
}

impl PendingTaskEnds {
    /// Adds the end of a task.
    pub(super) fn insert(&mut self, task: TaskId, bytes: Vec<u8>) {
        self.ends.insert(task, PendingTaskEnd::new(bytes));
    }

    /// Returns the end of a task, if it is pending.
    pub(super) fn get(&self, task: TaskId) -> Option<&PendingTaskEnd> {
        self.ends.get(&task)
    }

    /// Records on which connections an end was sent now; on none, it waits for the next client.
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
        end.sent_at = Some(now);
        end.tried.extend(&connections);
        end.last_round = connections;
    }

    /// Forgets an end that a client has acknowledged, and returns whether it was pending.
    pub(super) fn acknowledge(&mut self, task: TaskId) -> bool {
        let was_pending = self.ends.remove(&task).is_some();
        self.totals.acknowledged += u64::from(was_pending);
        was_pending
    }

    /// Returns what became of the ends since the start of this process, and what is pending now.
    pub(super) fn counters(&self) -> TaskEndCounters {
        TaskEndCounters {
            unacknowledged: self.ends.len(),
            waiting: self.waiting().len(),
            ..self.totals
        }
    }

    /// Returns the ends that were last sent on a connection.
    pub(super) fn last_sent_on(&self, id: ClientId) -> Vec<TaskId> {
        let ends = self.ends.iter();
        ends.filter(|(_, end)| end.last_round.contains(&id))
            .map(|(task, _)| *task)
            .collect()
    }

    /// Returns the ends that wait for the next client.
    pub(super) fn waiting(&self) -> Vec<TaskId> {
        let ends = self.ends.iter();
        ends.filter(|(_, end)| end.waits_for_client)
            .map(|(task, _)| *task)
            .collect()
    }

    /// Returns the ends that were not acknowledged in time, with the connections that had them last.
    pub(super) fn overdue(&self, now: Micros) -> Vec<(TaskId, Vec<ClientId>)> {
        let ends = self.ends.iter();
        ends.filter(|(_, end)| !end.waits_for_client && !end.sent_within(now, ACKNOWLEDGE_TIMEOUT))
            .map(|(task, end)| (*task, end.last_round.clone()))
            .collect()
    }

    /// Returns the connections on which the end of a task was sent within this time.
    pub(super) fn sent_within(&self, now: Micros, time: Micros) -> BTreeSet<ClientId> {
        let ends = self.ends.values();
        ends.filter(|end| end.sent_within(now, time))
            .flat_map(|end| end.last_round.iter().copied())
            .collect()
    }

    /// Forgets what was sent and has waited for its acknowledgement for too long.
    pub(super) fn forget_old(&mut self, now: Micros) {
        self.ends
            .retain(|_, end| end.sent_at.is_none() || end.sent_within(now, MAX_UNACKNOWLEDGED));
    }

    /// Returns the number of ends that no client has taken, or may not have read yet.
    pub(super) fn unconfirmed(&self, now: Micros) -> usize {
        let ends = self.ends.values();
        ends.filter(|end| end.sent_at.is_none() || end.sent_within(now, DELIVERY_TIME))
            .count()
    }

    /// Whether an end is on its way to a client, or will be sent on other connections soon.
    pub(super) fn is_delivering(&self, now: Micros) -> bool {
        let mut ends = self.ends.values();
        ends.any(|end| !end.waits_for_client || end.sent_within(now, ACKNOWLEDGE_TIMEOUT))
    }
}
