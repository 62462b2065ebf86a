//! Load shedding: which requests are admitted and which are given up, and the limits that come from outside the module.

use super::placer::Placer;
use crate::state::imposed_limits::Admission;
use crate::types::{Action, Limit, Micros, RequestId, Task};

impl Placer {
    /// Returns whether a request is admitted. All placers shed the same tasks, because they compare the same rank of a
    /// task with the imposed limit. A shed task is not counted as an arrival.
    pub(super) fn admits(&self, task: &Task) -> bool {
        task.shed_rank < self.limits.admission.admit_below
    }

    /// Applies limits from outside the module. If they leave more capacity than before, waiting requests are tried
    /// again.
    pub(super) fn limits_changed(&mut self, limits: &[Limit], actions: &mut Vec<Action>) {
        let mut has_more_capacity = false;
        for limit in limits {
            has_more_capacity |= self.apply_limit(limit);
        }
        if has_more_capacity && !self.tasks.waiting.is_empty() {
            self.retry_waiting(actions);
        }
    }

    /// Applies one limit. Returns whether it leaves more capacity than the previous one.
    fn apply_limit(&mut self, limit: &Limit) -> bool {
        match limit {
            Limit::HostConcurrency {
                host,
                max_in_flight,
                health_check,
            } => {
                if *health_check && let Some(index) = self.hosts.index_of(host) {
                    self.health.forget(index);
                }
                self.hosts.limit_host(host, *max_in_flight)
            }
            Limit::TotalConcurrency {
                max_in_flight,
                has_capacity_again,
            } => {
                let is_higher = self.limits.limit_total(*max_in_flight);
                *has_capacity_again || is_higher
            }
            Limit::Admission {
                admit_below,
                give_up_after,
            } => self.limits.limit_admission(Admission {
                admit_below: *admit_below,
                give_up_after: *give_up_after,
            }),
            Limit::NoRetry(id) => {
                if let Some(record) = self.tasks.records.get_mut(id) {
                    record.no_retry = true;
                }
                false
            }
            Limit::Processes {
                process_count,
                process_index,
            } => {
                self.limits.set_processes(*process_count, *process_index);
                true
            }
        }
    }

    /// Returns whether a waiting task has waited longer than the fraction of its latency objective that the imposed
    /// limits allow. Under overload it is given up in favour of tasks that can still start in time.
    pub(super) fn has_waited_too_long(&self, id: &RequestId) -> bool {
        let Some(give_up_after) = self.limits.admission.give_up_after else {
            return false;
        };
        let Some(record) = self.tasks.records.get(id) else {
            return false;
        };
        let objective = self.settings.classes[record.task.class.0].latency_objective;
        let waited = self.now - record.requested_at;
        record.current_attempt.is_none() && waited as f64 > give_up_after * objective as f64
    }

    /// Returns the Retry-After of a rejection in microseconds, or 0 if rejections may not carry one.
    ///
    /// The value is the Retry-After that the task carries, or else one shortest latency objective, limited to what
    /// clients honour. By then the attempts that are in flight now have had time to start; a client that retries sooner
    /// would probably be rejected again.
    pub(super) fn retry_after(&self, task: &Task) -> Micros {
        if task.retry_after > 0 {
            return self.allowed_retry_after(task.retry_after);
        }
        self.default_retry_after()
    }

    /// Returns the Retry-After of a rejection of a task that does not carry one, as [`Placer::retry_after`] does.
    pub(crate) fn default_retry_after(&self) -> Micros {
        self.allowed_retry_after(self.shortest_objective)
    }

    fn allowed_retry_after(&self, retry_after: Micros) -> Micros {
        if self.settings.allows_retry_after {
            retry_after.min(self.settings.max_retry_after)
        } else {
            0
        }
    }
}
