//! Handles attempts that were sent, started a task or ended: updates host limits, retry budget and shed level.

use super::OverloadController;
use crate::overload::hash::hash_fraction;
use crate::overload::requests::InFlightAttempt;
use crate::overload::retry_budget::RetryDenied;
use crate::{HostId, Limit, Micros, Outcome, OutcomeDetail, RequestId};

/// Salt of the hash that gives the jitter of paced attempts.
const PACING_SALT: u64 = 0x7061_6365;

impl OverloadController {
    pub(super) fn attempt_sent(
        &mut self,
        now: Micros,
        id: &RequestId,
        host: &HostId,
        limits: &mut Vec<Limit>,
    ) {
        self.jitter_counter = self.jitter_counter.wrapping_add(1);
        let jitter = hash_fraction(self.jitter_counter, PACING_SALT);
        self.record_attempt(now, id, host);
        if self.hosts.begin_health_check(host, limits) {
            self.counters.health_checks += 1;
        }
        if let Some(host) = self.hosts.get_mut(host) {
            host.limit.attempt_sent(now, jitter);
        }
        self.hosts.refresh(now, host, limits);
    }

    /// Records which attempt of a request is in flight, and counts it as a first attempt or a retry. A first attempt
    /// adds to the retry budget unless its request is itself a client's retry.
    fn record_attempt(&mut self, now: Micros, id: &RequestId, host: &HostId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.in_flight = Some(InFlightAttempt {
            host: host.clone(),
            sent_at: now,
        });
        request.attempts += 1;
        if request.attempts > 1 {
            self.counters.retries += 1;
            return;
        }
        self.counters.first_attempts += 1;
        if request.is_client_retry {
            return;
        }
        let shed_state = self.shed_state();
        let domains = self.hosts.failure_domains(host);
        if let Some(budget) = &mut self.retry_budget {
            budget.record_first_attempt(now, shed_state, &domains);
        }
    }

    pub(super) fn attempt_started(&mut self, now: Micros, id: &RequestId, limits: &mut Vec<Limit>) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        let Some(attempt) = request.in_flight else {
            return;
        };
        if let Some(admission) = &mut self.admission {
            let delay = now - request.requested_at;
            let relative_delay = delay as f64 / request.latency_objective as f64;
            admission.record_start(now, request.requested_at, relative_delay);
        }
        self.hosts.attempt_started(
            &attempt.host,
            now,
            now - attempt.sent_at,
            request.latency_objective,
        );
        self.hosts.refresh(now, &attempt.host, limits);
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        id: &RequestId,
        outcome: Outcome,
        detail: OutcomeDetail,
        limits: &mut Vec<Limit>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(attempt) = request.in_flight.take() else {
            return;
        };
        let became_suspect = self.hosts.attempt_ended(&attempt, now, outcome, detail);
        if became_suspect {
            self.counters.suspect_hosts += 1;
            if self.hosts.check_zone(now, &attempt.host, limits) {
                self.counters.suspect_zones += 1;
            }
        }
        if costs_a_retry(outcome) {
            self.charge_retry(now, id, &attempt.host, limits);
        }
        self.hosts.refresh(now, &attempt.host, limits);
    }

    /// Charges the retry that may follow a failed attempt to the retry budget, or forbids that retry if the budget
    /// is used up.
    fn charge_retry(
        &mut self,
        now: Micros,
        id: &RequestId,
        host: &HostId,
        limits: &mut Vec<Limit>,
    ) {
        let domains = self.hosts.failure_domains(host);
        let Some(budget) = &mut self.retry_budget else {
            return;
        };
        let Err(denied) = budget.try_spend(now, &domains) else {
            return;
        };
        match denied {
            RetryDenied::PlacerBudget => self.counters.retries_denied_by_placer += 1,
            RetryDenied::DomainBudget => self.counters.retries_denied_by_domain += 1,
        }
        limits.push(Limit::NoRetry(id.clone()));
    }
}

/// Returns whether a retry after this outcome is charged to the retry budget. It is not charged if the attempt was
/// cancelled or its task completed, nor if the attempt was never sent, since an attempt that was not sent does not
/// count.
fn costs_a_retry(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::NotSent | Outcome::Cancelled | Outcome::Completed
    )
}
