//! The tasks of this placer: requests without a final response and tasks that run.

use super::hosts::HostIndex;
use crate::types::{Micros, RequestId, ResourceKind, Resources, ServiceId, Task};
use std::collections::{BTreeMap, BTreeSet};

/// The attempt that has no outcome yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurrentAttempt {
    /// Its number, counted from 0 for each request.
    pub number: u32,
    /// Its host; `None` if no endpoint is known for it.
    pub host: Option<HostIndex>,
}

/// An attempt that may have run although no host confirmed it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UncertainAttempt {
    pub host: Option<HostIndex>,
    pub sent_at: Micros,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskRecord {
    pub task: Task,
    pub requested_at: Micros,
    pub deadline: Micros,
    pub attempts_sent: u32,
    pub current_attempt: Option<CurrentAttempt>,
    pub is_placed: bool,
    /// A final response was sent, or the client has cancelled.
    pub is_closed: bool,
    /// The first attempt that may have run.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    pub last_sent_at: Micros,
    pub tried_hosts: Vec<HostIndex>,
    /// Hosts that answered with an error.
    pub error_hosts: Vec<HostIndex>,
    /// The latest attempt was rejected for want of capacity.
    pub lacked_capacity: bool,
    /// No further attempt is allowed.
    pub no_retry: bool,
    /// Cores and memory in use as last reported; 0 before the first report.
    used: Resources,
}

impl TaskRecord {
    /// A request that was just received.
    pub fn new(task: &Task, requested_at: Micros, deadline: Micros) -> TaskRecord {
        TaskRecord {
            task: task.clone(),
            requested_at,
            deadline,
            ..TaskRecord::default()
        }
    }

    /// Cores and memory that it requests.
    pub fn requested(&self) -> Resources {
        Resources {
            cores: self.task.cores,
            memory: self.task.memory,
        }
    }

    /// Whether a final response is pending and no attempt is in flight.
    pub fn awaits_attempt(&self) -> bool {
        self.current_attempt.is_none() && !self.is_placed && !self.is_closed
    }
}

/// All tasks, those that wait for an attempt, and how many of a service are on which host.
#[derive(Debug, Default)]
pub(crate) struct TaskTable {
    pub records: BTreeMap<RequestId, TaskRecord>,
    /// Requests that wait for an attempt, earliest deadline first.
    pub waiting: BTreeSet<(Micros, RequestId)>,
    /// Own tasks of a service that run or are in flight at a host.
    reservations: BTreeMap<(ServiceId, HostIndex), usize>,
    /// What the placed tasks with a usage report request.
    pub measured_request: Resources,
    /// What the same tasks use.
    pub measured_use: Resources,
}

impl TaskTable {
    /// Counts a task of a service at a host.
    pub fn reserve(&mut self, service: ServiceId, host: HostIndex) {
        *self.reservations.entry((service, host)).or_default() += 1;
    }

    /// Counts it there no longer.
    pub fn release(&mut self, service: ServiceId, host: HostIndex) {
        if let Some(count) = self.reservations.get_mut(&(service, host)) {
            *count -= 1;
            if *count == 0 {
                self.reservations.remove(&(service, host));
            }
        }
    }

    /// The hosts of own tasks of a service, and how many are on each.
    pub fn hosts_of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (HostIndex, usize)> + '_ {
        self.reservations
            .range((service, 0)..=(service, HostIndex::MAX))
            .map(|((_, host), count)| (*host, *count))
    }

    /// Records what a task uses, as its host reports it.
    pub fn record_usage(&mut self, id: &RequestId, kind: ResourceKind, value: f64) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let value = value.max(f64::MIN_POSITIVE);
        let before = record.used.get(kind);
        if before == 0.0 {
            *self.measured_request.get_mut(kind) += record.requested().get(kind);
        }
        *self.measured_use.get_mut(kind) += value - before;
        *record.used.get_mut(kind) = value;
    }

    /// Adds a task that runs already, on this host if it was ever listed.
    pub fn adopt(&mut self, task: &Task, host: Option<HostIndex>, now: Micros) {
        let known_host = self
            .records
            .get(&task.id)
            .and_then(|record| record.current_attempt)
            .and_then(|attempt| attempt.host);
        if let Some(known_host) = known_host {
            self.release(task.service, known_host);
        }
        self.remove(&task.id);
        if let Some(host) = host {
            self.reserve(task.service, host);
        }
        let record = TaskRecord {
            attempts_sent: 1,
            current_attempt: Some(CurrentAttempt { number: 0, host }),
            is_placed: true,
            ..TaskRecord::new(task, now, now)
        };
        self.records.insert(task.id.clone(), record);
    }

    /// Closes a request: no response is pending. An attempt in flight still gets its outcome.
    pub fn close(&mut self, id: &RequestId) {
        match self.records.get_mut(id) {
            Some(record) if record.current_attempt.is_some() => record.is_closed = true,
            Some(_) => self.remove(id),
            None => {}
        }
    }

    /// Removes a task and what it used.
    pub fn remove(&mut self, id: &RequestId) {
        let Some(record) = self.records.remove(id) else {
            return;
        };
        self.waiting.remove(&(record.deadline, id.clone()));
        for kind in [ResourceKind::Cores, ResourceKind::Memory] {
            let used = record.used.get(kind);
            if used > 0.0 {
                *self.measured_request.get_mut(kind) -= record.requested().get(kind);
                *self.measured_use.get_mut(kind) -= used;
            }
        }
    }
}
