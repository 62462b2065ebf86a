//! Retry rules: whether a request may be retried, may be rejected or has to wait after the attempts made so far.

use super::placer::Placer;
use crate::state::tasks::TaskRecord;
use crate::types::{Action, Idempotency, KeyScope, RequestId};
use std::collections::BTreeSet;

/// A task that this many hosts answer with an error is not retried, because the task itself causes the error.
const MAX_ERROR_HOSTS: usize = 2;

impl Placer {
    /// Returns whether another attempt is allowed after those made so far.
    ///
    /// It is allowed only if a response is pending and no attempt is in flight, if it cannot lead to a second run of a
    /// task that must not run twice, and within the limits on attempts and on hosts that answered with an error.
    pub(super) fn may_attempt(&self, record: &TaskRecord) -> bool {
        let idempotency = self.settings.classes[record.task.class.0].idempotency;
        let is_safe =
            idempotency != Idempotency::NonIdempotent || record.first_uncertain_attempt.is_none();
        is_safe
            && record.error_hosts.len() < MAX_ERROR_HOSTS
            && !record.no_retry
            && record.awaits_attempt()
            && record.attempts_sent < self.settings.max_attempts
    }

    /// Returns whether a rejection is correct as the final response. A rejection tells the client that a retry is
    /// harmless.
    pub(super) fn may_reject(&self, record: &TaskRecord) -> bool {
        match self.settings.classes[record.task.class.0].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: KeyScope::All,
            } => true,
            Idempotency::IdempotencyKey {
                scope: KeyScope::Zone | KeyScope::Cell,
            }
            | Idempotency::NonIdempotent => {
                record.first_uncertain_attempt.is_none() && record.current_attempt.is_none()
            }
        }
    }

    /// Decides at random whether to hold back a task that was rejected for want of capacity, that was placed or
    /// requested before and is requested again, or that is waiting already.
    ///
    /// Such a task is sent with a probability of the free capacity of all hosts, divided by all tasks that all placers
    /// want to place within the lag of the endpoint list and by the number of ticks in that time. Without this, in any
    /// overload or loss of hosts, many placers would see the same free capacity and fill it twice over, and tasks would
    /// be rejected, preempted or evicted again and again. The drawback is that, if the traffic of this placer is not
    /// typical of all placers, such a task may wait although there is free capacity.
    pub(super) fn should_hold_back(&mut self) -> bool {
        let lag = self.list_lag().max(self.shortest_objective) as f64;
        let waiting = self.tasks.waiting.len() as f64 * self.settings.placer_count as f64;
        let demand =
            self.arrivals_at_all_placers() * lag / self.shortest_objective as f64 + waiting;
        let ticks = lag / self.tick_interval() as f64;
        self.random_fraction() * demand * ticks >= self.working_set.free_capacity()
    }

    /// Tries the waiting requests again, earliest deadline first, and gives up those that have waited too long to start
    /// in time.
    pub(super) fn retry_waiting(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.tasks.waiting.iter();
        let ids: Vec<RequestId> = waiting.map(|(_, id)| id.clone()).collect();
        // Tasks of the same service are alike. If no host is found for one of them, the others are not tried.
        let mut services_without_host = BTreeSet::new();
        for id in ids {
            let Some(record) = self.tasks.records.get(&id) else {
                continue;
            };
            let service = record.task.service;
            if self.has_waited_too_long(&id) {
                self.send_final_response(&id, actions);
            } else if !services_without_host.contains(&service) {
                self.try_attempt(&id, actions);
                if self.is_still_waiting(&id) {
                    services_without_host.insert(service);
                }
            }
        }
    }

    /// Returns whether a request is known and has no attempt in flight.
    fn is_still_waiting(&self, id: &RequestId) -> bool {
        let record = self.tasks.records.get(id);
        record.is_some_and(|record| record.current_attempt.is_none())
    }
}
