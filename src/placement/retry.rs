//! What may follow the attempts so far: a retry, a rejection, or waiting.

use super::placer::Placer;
use crate::state::tasks::TaskRecord;
use crate::types::{Action, Idempotency, KeyScope, RequestId};
use std::collections::BTreeSet;

/// If this many hosts answer a task with an error, the error is the task's.
const MAX_ERROR_HOSTS: usize = 2;

impl Placer {
    /// Whether the attempts so far allow another one: none in flight, and no second run of a task that must not run twice.
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

    /// Whether a rejection is truthful: a retry by the client does no harm.
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

    /// Decides at random whether a task that was rejected for want of capacity, came back, or waits is held back.
    ///
    /// It is sent with the probability that there is capacity for what all placers want to place while load reports
    /// lag, spread over the ticks of that time. Covers many placers that see the same free capacity, fill it twice
    /// over and have tasks rejected, preempted or evicted, again and again, in any overload or loss of hosts.
    /// Cost: where own traffic is not typical, such a task waits beside free capacity.
    pub(super) fn holds_back(&mut self) -> bool {
        let lag = self.list_lag().max(self.shortest_objective) as f64;
        let waiting = self.tasks.waiting.len() as f64 * self.settings.placer_count as f64;
        let wanted =
            self.arrivals_at_all_placers() * lag / self.shortest_objective as f64 + waiting;
        let ticks = lag / self.tick_interval() as f64;
        self.random_fraction() * wanted * ticks >= self.working_set.free_capacity()
    }

    /// Tries the waiting requests again, earliest deadline first, and gives up those that cannot start in time.
    pub(super) fn retry_waiting(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.tasks.waiting.iter();
        let ids: Vec<RequestId> = waiting.map(|(_, id)| id.clone()).collect();
        // Tasks of a service are alike: if one found no host, the others need not look.
        let mut services_without_host = BTreeSet::new();
        for id in ids {
            let Some(record) = self.tasks.records.get(&id) else {
                continue;
            };
            let service = record.task.service;
            if self.is_hopeless(&id) {
                self.send_final_response(&id, actions);
            } else if !services_without_host.contains(&service) {
                self.try_attempt(&id, actions);
                if self.still_waits(&id) {
                    services_without_host.insert(service);
                }
            }
        }
    }

    fn still_waits(&self, id: &RequestId) -> bool {
        let record = self.tasks.records.get(id);
        record.is_some_and(|record| record.current_attempt.is_none())
    }
}
