//! Attempts: how they are sent to a host, and how their starts and outcomes are handled.

use super::placer::Placer;
use crate::state::health_book::Scope;
use crate::state::hosts::HostIndex;
use crate::state::tasks::{CurrentAttempt, TaskRecord, UncertainAttempt};
use crate::types::{
    Acknowledgement, Action, AttemptResult, Idempotency, Micros, Outcome, OutcomeDetail, RequestId,
};

/// Timeout of an attempt, in latency objectives, if hosts acknowledge an attempt before they start its task. Such a
/// host answers at once or not at all.
const ACCEPT_TIMEOUT_OBJECTIVES: i64 = 1;
/// A change of a host's load that this placer caused is remembered for this many lags of the endpoint list. All reports
/// that arrive later include it.
const REMEMBERED_LIST_LAGS: i64 = 2;

/// Data about an attempt that has just ended, taken from the record of its task.
struct EndedAttempt {
    host: Option<HostIndex>,
    /// Whether the task had started before the attempt ended.
    was_placed: bool,
    /// Whether the request is complete, so that no other attempt may follow even if the retry rules allow one.
    is_request_complete: bool,
}

impl Placer {
    /// Sends a request to a host if another attempt is allowed and a host is found.
    ///
    /// The request waits if no host is found, and gets its final response if no further attempt is allowed.
    pub(super) fn try_attempt(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(record) = self.tasks.records.get(id) else {
            return;
        };
        self.rank_affinity_hosts(record.task.service);
        let record = &self.tasks.records[id];
        if !self.may_attempt(record) {
            if record.awaits_attempt() {
                self.send_final_response(id, actions);
            }
            return;
        }
        let deadline = record.deadline;
        let timeout = self.attempt_timeout(record);
        match self.select_host(id) {
            Some(host) => {
                self.tasks.waiting.remove(&(deadline, id.clone()));
                self.send_attempt(id, host, timeout, actions);
            }
            None => {
                self.tasks.waiting.insert((deadline, id.clone()));
            }
        }
    }

    /// Returns the time until the request's deadline, minus the time that is reserved for sending the final response.
    fn time_left(&self, record: &TaskRecord) -> Micros {
        let reserve = self.settings.response_slack.max(2 * self.settings.tick);
        record.deadline - self.now - reserve
    }

    /// Returns how long a host may take to answer an attempt.
    ///
    /// If an acknowledgement means that the task is running, an attempt may take until the deadline. With a shorter
    /// timeout, attempts would be given up while their host starts the task; the task would then be started again on
    /// another host, which delays other starts. The drawback is that a host that drops attempts uses up all the time
    /// that their tasks have.
    fn attempt_timeout(&self, record: &TaskRecord) -> Micros {
        let left = self.time_left(record);
        let class = &self.settings.classes[record.task.class.0];
        match self.settings.acknowledgement {
            Acknowledgement::Running => left,
            Acknowledgement::Accepted => {
                left.min(ACCEPT_TIMEOUT_OBJECTIVES * class.latency_objective)
            }
        }
    }

    /// Returns the host to which a request is sent now, or `None` if the request has to wait.
    fn select_host(&mut self, id: &RequestId) -> Option<HostIndex> {
        let record = &self.tasks.records[id];
        let may_send =
            self.time_left(record) > 0 && self.limits.allows_attempt(self.hosts.in_flight);
        let competes_for_capacity = record.lacked_capacity
            || record.task.is_returning
            || self.tasks.waiting.contains(&(record.deadline, id.clone()));
        let mut eligible = if may_send {
            self.eligible_hosts(record)
        } else {
            Vec::new()
        };
        if competes_for_capacity && !eligible.is_empty() && self.should_hold_back() {
            eligible.clear();
        }
        self.draw_host(&eligible)
    }

    fn send_attempt(
        &mut self,
        id: &RequestId,
        index: HostIndex,
        timeout: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.tasks.records.get_mut(id) else {
            return;
        };
        let number = record.attempts_sent;
        let requested = record.requested();
        let service = record.task.service;
        record.current_attempt = Some(CurrentAttempt {
            number,
            host: Some(index),
        });
        record.attempts_sent += 1;
        record.last_sent_at = self.now;
        record.tried_hosts.push(index);
        self.tasks.reserve(service, index);
        let forget_changes_before = self.oldest_relevant_change();
        let host = self.hosts.mark_changed(index);
        host.record_own_change(self.now, requested, forget_changes_before);
        host.record_attempt(self.now, self.now - self.settings.slow_start);
        self.hosts.in_flight += 1;
        actions.push(Action::SendAttempt {
            id: id.clone(),
            host: self.hosts.hosts[index].id.clone(),
            timeout: timeout.max(1),
        });
    }

    /// Returns the time before which changes of a host's load caused by this placer are old enough to be included in
    /// every load report that arrives from now on.
    fn oldest_relevant_change(&self) -> Micros {
        self.now - REMEMBERED_LIST_LAGS * self.list_lag()
    }

    /// Records that an attempt has started its task. Ignored if the attempt is not the current one or its task is
    /// already marked as placed.
    pub(super) fn attempt_started(&mut self, id: &RequestId, attempt: u32, elapsed: Micros) {
        let Some(record) = self.tasks.records.get_mut(id) else {
            return;
        };
        let Some(CurrentAttempt {
            number,
            host: Some(host),
        }) = record.current_attempt
        else {
            return;
        };
        if record.is_placed || number != attempt {
            return;
        }
        record.is_placed = true;
        let class = record.task.class;
        let class_of_tenant = Scope::ClassOfTenant(class, record.task.tenant);
        let error_hosts = std::mem::take(&mut record.error_hosts);
        let objective = self.settings.classes[class.0].latency_objective;
        self.adjust_window_on_start(host, elapsed, objective);
        self.hosts.hosts[host].last_task_start = Some(self.now);
        for scope in [Scope::Host, Scope::Class(class), class_of_tenant] {
            self.health.record_success(host, scope);
        }
        // The task starts on another host, so the hosts that answered it with an error are at fault, not the task.
        for error_host in error_hosts {
            self.record_failure(error_host, Scope::Class(class));
        }
    }

    /// Handles the end of an attempt, or of the task that it started.
    pub(super) fn attempt_ended(
        &mut self,
        id: &RequestId,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.end_current_attempt(id, result) else {
            return;
        };
        if let Some(host) = ended.host {
            self.release_host(id, host);
            if !ended.was_placed {
                self.adjust_window_on_failure(host, result.outcome);
            }
            self.record_host_outcome(id, host, result);
        }
        if ended.is_request_complete {
            self.tasks.remove(id);
        } else {
            self.try_attempt(id, actions);
        }
    }

    /// Records the result of the current attempt. Returns `None` if the result belongs to another attempt.
    fn end_current_attempt(
        &mut self,
        id: &RequestId,
        result: AttemptResult,
    ) -> Option<EndedAttempt> {
        let record = self.tasks.records.get_mut(id)?;
        let CurrentAttempt { number, host } = record.current_attempt?;
        if number != result.attempt {
            return None;
        }
        record.current_attempt = None;
        record.lacked_capacity = matches!(
            result.detail,
            OutcomeDetail::NoCores
                | OutcomeDetail::NoMemory
                | OutcomeDetail::QueueFull
                | OutcomeDetail::Preempted
        );
        if result.outcome == Outcome::Error {
            record.error_hosts.extend(host);
        }
        if !result.outcome.never_ran() && record.first_uncertain_attempt.is_none() {
            record.first_uncertain_attempt = Some(UncertainAttempt {
                host,
                sent_at: record.last_sent_at,
            });
        }
        Some(EndedAttempt {
            host,
            was_placed: record.is_placed,
            is_request_complete: result.is_done || record.is_placed || record.is_closed,
        })
    }

    /// Records that the task no longer takes up resources of the host.
    fn release_host(&mut self, id: &RequestId, index: HostIndex) {
        let Some(record) = self.tasks.records.get(id) else {
            return;
        };
        let released = record.requested().map(|amount| -amount);
        let service = record.task.service;
        self.tasks.release(service, index);
        let forget_before = self.oldest_relevant_change();
        let host = self.hosts.mark_changed(index);
        host.record_own_change(self.now, released, forget_before);
    }

    /// Updates the failures or the known load of a host according to the outcome of an attempt.
    fn record_host_outcome(&mut self, id: &RequestId, host: HostIndex, result: AttemptResult) {
        let Some(record) = self.tasks.records.get(id) else {
            return;
        };
        let class = Scope::Class(record.task.class);
        let class_of_tenant = Scope::ClassOfTenant(record.task.class, record.task.tenant);
        let idempotency = self.settings.classes[record.task.class.0].idempotency;
        match (result.outcome, result.detail) {
            (Outcome::Rejected, OutcomeDetail::NoCores | OutcomeDetail::NoMemory) => {
                self.mark_full(host, result.detail);
            }
            (Outcome::Rejected, OutcomeDetail::Unknown) => {
                self.record_failure(host, class_of_tenant)
            }
            // A single lost answer is no evidence against a host that has just started another task.
            (Outcome::Timeout, _) if self.started_task_recently(host) => {}
            (Outcome::Timeout, _) => self.record_failure(host, class),
            // The task must not run again, so no other host can show whether the error was caused by the task. The
            // error is counted against this host at once.
            (Outcome::Error, _) if idempotency == Idempotency::NonIdempotent => {
                self.record_failure(host, class)
            }
            // The task was preempted before it ran. The host works and has given its resources to a task of higher
            // priority.
            (Outcome::Rejected, OutcomeDetail::Preempted) => {}
            (Outcome::Rejected | Outcome::ConnectFailed, _)
            | (
                Outcome::Reset,
                OutcomeDetail::Unknown | OutcomeDetail::Drained | OutcomeDetail::Evicted,
            ) => {
                self.record_failure(host, Scope::Host);
            }
            (
                Outcome::Completed
                | Outcome::Error
                | Outcome::Reset
                | Outcome::Cancelled
                | Outcome::NotSent,
                _,
            ) => {}
        }
    }

    /// Raises the known load of a host to its limit in the resource (cores or memory) that it lacks. Called when the
    /// host rejects a task for want of that resource, which shows that the known load was too low.
    fn mark_full(&mut self, index: HostIndex, detail: OutcomeDetail) {
        let accepted = self.accepted_resources(&self.hosts.hosts[index]);
        let host = self.hosts.mark_changed(index);
        let mut requested = host.requested();
        if detail == OutcomeDetail::NoCores {
            requested.cores = requested.cores.max(accepted.cores);
        } else {
            requested.memory = requested.memory.max(accepted.memory);
        }
        host.record_report(requested, self.now);
    }
}
