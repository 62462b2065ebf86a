//! The tasks of this placer: requests that await a final response, and running tasks.

use super::hosts::HostIndex;
use crate::types::{Micros, RequestId, ResourceKind, Resources, ServiceId, Task};
use std::collections::{BTreeMap, BTreeSet};

/// The attempt of a request that has not ended yet: it is in flight, or it placed the task and the task still runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CurrentAttempt {
    /// Number of the attempt, counted from 0 for each request.
    pub number: u32,
    /// Host of the attempt; `None` for an adopted task whose host was never listed.
    pub host: Option<HostIndex>,
}

/// An attempt that ended without proof that the task never ran, so the task may have run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UncertainAttempt {
    pub host: Option<HostIndex>,
    pub sent_at: Micros,
}

/// State of one request and of the task that it placed.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskRecord {
    pub task: Task,
    pub requested_at: Micros,
    pub deadline: Micros,
    pub attempts_sent: u32,
    pub current_attempt: Option<CurrentAttempt>,
    pub is_placed: bool,
    /// Whether the request is closed: its final response was sent, or its client has cancelled it.
    pub is_closed: bool,
    /// The first attempt that may have run the task; `None` if every ended attempt is known not to have run it.
    pub first_uncertain_attempt: Option<UncertainAttempt>,
    pub last_sent_at: Micros,
    pub tried_hosts: Vec<HostIndex>,
    /// Hosts that answered an attempt with an error.
    pub error_hosts: Vec<HostIndex>,
    /// Whether the latest ended attempt failed because its host lacked capacity.
    pub lacked_capacity: bool,
    /// Whether a limit imposed from outside forbids further attempts.
    pub no_retry: bool,
    /// Cores and memory that the task uses as last reported; 0 before the first report.
    used: Resources,
}

impl TaskRecord {
    /// Creates the record of a request that was received at `requested_at`.
    pub fn new(task: &Task, requested_at: Micros, deadline: Micros) -> TaskRecord {
        TaskRecord {
            task: task.clone(),
            requested_at,
            deadline,
            ..TaskRecord::default()
        }
    }

    /// Returns the cores and memory that the task requests.
    pub fn requested(&self) -> Resources {
        Resources {
            cores: self.task.cores,
            memory: self.task.memory,
        }
    }

    /// Returns whether the final response is pending and no attempt is in flight.
    pub fn awaits_attempt(&self) -> bool {
        self.current_attempt.is_none() && !self.is_placed && !self.is_closed
    }
}

/// All tasks, the queue of requests that wait for an attempt, and the number of tasks per service and host.
#[derive(Debug, Default)]
pub(crate) struct TaskTable {
    pub records: BTreeMap<RequestId, TaskRecord>,
    /// Requests that wait for an attempt, earliest deadline first.
    pub waiting: BTreeSet<(Micros, RequestId)>,
    /// Number of this placer's tasks by service and host, including tasks whose attempt is in flight at the host.
    reservations: BTreeMap<(ServiceId, HostIndex), usize>,
    /// Sum of the requested resources of all tasks with a usage report.
    pub measured_request: Resources,
    /// Sum of the used resources of all tasks with a usage report, as last reported.
    pub measured_use: Resources,
}

impl TaskTable {
    /// Adds one to the number of tasks of a service at a host.
    pub fn reserve(&mut self, service: ServiceId, host: HostIndex) {
        *self.reservations.entry((service, host)).or_default() += 1;
    }

    /// Subtracts one from the number of tasks of a service at a host.
    pub fn release(&mut self, service: ServiceId, host: HostIndex) {
        if let Some(count) = self.reservations.get_mut(&(service, host)) {
            *count -= 1;
            if *count == 0 {
                self.reservations.remove(&(service, host));
            }
        }
    }

    /// Returns the hosts of this placer's tasks of a service, each with the number of those tasks.
    pub fn hosts_of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (HostIndex, usize)> + '_ {
        self.reservations
            .range((service, 0)..=(service, HostIndex::MAX))
            .map(|((_, host), count)| (*host, *count))
    }

    /// Records how much of a resource a task uses, as its host reports it.
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

    /// Adds a task that already runs. `host` is `None` if its host was never listed.
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

    /// Records that no response to a request is pending any more. The record is kept while an attempt has not ended,
    /// so that the attempt's outcome can be processed.
    pub fn close(&mut self, id: &RequestId) {
        match self.records.get_mut(id) {
            Some(record) if record.current_attempt.is_some() => record.is_closed = true,
            Some(_) => self.remove(id),
            None => {}
        }
    }

    /// Removes a task from the table, from the waiting requests and from the sums of measured usage.
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
