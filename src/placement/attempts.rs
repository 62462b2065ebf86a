//! The life of an attempt: sent to a host, started, ended.

use super::placer::Placer;
use crate::state::health_book::Scope;
use crate::state::hosts::HostIndex;
use crate::state::tasks::{CurrentAttempt, TaskRecord, UncertainAttempt};
use crate::types::{
    Acknowledgement, Action, AttemptResult, Idempotency, Micros, Outcome, OutcomeDetail, RequestId,
};

/// An attempt is given up after this many latency objectives if hosts acknowledge it before the start: such a host answers at
/// once or not at all.
const ACCEPT_TIMEOUT_OBJECTIVES: i64 = 1;
/// Own changes of a host's load are remembered for this many lags of the endpoint list.
const REMEMBERED_LIST_LAGS: i64 = 2;

/// What a record says about an attempt that has just ended.
struct EndedAttempt {
    host: Option<HostIndex>,
    was_placed: bool,
    /// No attempt may follow, whatever the rules say.
    is_over: bool,
}

impl Placer {
    /// Sends a request to a host if the rules allow an attempt and a host is found; otherwise it waits, or gets its final
    /// response if no attempt is allowed any more.
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

    /// Time until the deadline, less what the response needs.
    fn time_left(&self, record: &TaskRecord) -> Micros {
        let reserve = self.settings.response_slack.max(2 * self.settings.tick);
        record.deadline - self.now - reserve
    }

    /// How long a host may take to answer.
    ///
    /// Where an acknowledgement means that the task runs, an attempt waits until the deadline. Covers attempts that would be given up
    /// while their host starts them, which are then started again elsewhere and delay other starts. Cost: a host
    /// that drops attempts uses up their tasks' time.
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

    /// The host for a request now; `None` if it has to wait.
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
        if competes_for_capacity && !eligible.is_empty() && self.holds_back() {
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

    /// Own changes of a host's load before this are contained in every report that may still come.
    fn oldest_relevant_change(&self) -> Micros {
        self.now - REMEMBERED_LIST_LAGS * self.list_lag()
    }

    /// The attempt has placed its task.
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
        // The task itself is sound, so the errors were the hosts'.
        for error_host in error_hosts {
            self.record_failure(error_host, Scope::Class(class));
        }
    }

    /// An attempt, or the task that it placed, has ended.
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
            self.judge_host(id, host, result);
        }
        if ended.is_over {
            self.tasks.remove(id);
        } else {
            self.try_attempt(id, actions);
        }
    }

    /// Records the result of the current attempt; `None` if the result is of another one.
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
            is_over: result.is_done || record.is_placed || record.is_closed,
        })
    }

    /// The task is no longer on the host.
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

    /// Records what an outcome says about its host.
    fn judge_host(&mut self, id: &RequestId, host: HostIndex, result: AttemptResult) {
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
            // One lost answer says nothing about a host that has just started another task.
            (Outcome::Timeout, _) if self.started_task_recently(host) => {}
            (Outcome::Timeout, _) => self.record_failure(host, class),
            // The error counts now, since no other host will show whether it was the task's.
            (Outcome::Error, _) if idempotency == Idempotency::NonIdempotent => {
                self.record_failure(host, class)
            }
            // Preempted before it ran: the host works and made room for a higher priority.
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

    /// A host rejected a task for want of capacity: its known load was too low and is raised to its limit.
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
