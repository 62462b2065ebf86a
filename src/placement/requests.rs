//! Handles the arrival of requests, and sends each of them one final response by its deadline.

use super::placer::Placer;
use crate::state::tasks::TaskRecord;
use crate::state::timers::TimerPurpose;
use crate::types::{Action, Micros, RequestId, Task};

impl Placer {
    /// Handles a new request: rejects it if it is shed, otherwise records it, sets its deadline timer and tries a first
    /// attempt. Ignores a request whose id is known already.
    pub(super) fn task_requested(&mut self, task: &Task, actions: &mut Vec<Action>) {
        if self.tasks.records.contains_key(&task.id) {
            return;
        }
        if !self.admits(task) {
            actions.push(Action::Reject {
                id: task.id.clone(),
                retry_after: self.retry_after(task),
            });
            return;
        }
        if !task.is_returning && !task.is_retry {
            let size = task.cores / self.settings.mean_cores.max(f64::MIN_POSITIVE);
            self.arrivals.record(self.now, size);
            self.add_health_check_credit();
        }
        let client_deadline = self.now + task.time_budget.max(0);
        let deadline = client_deadline.min(self.shutdown_at.unwrap_or(Micros::MAX));
        self.tasks
            .records
            .insert(task.id.clone(), TaskRecord::new(task, self.now, deadline));
        let margin = (self.settings.response_slack / 2).max(self.settings.tick);
        let respond_after = (deadline - self.now - margin).max(0);
        self.set_deadline_timer(&task.id, respond_after, actions);
        self.try_attempt(&task.id, actions);
    }

    /// Starts a graceful shutdown: every request that is not placed `within` microseconds from now gets its final
    /// response at that time.
    pub(super) fn shutdown_requested(&mut self, within: Micros, actions: &mut Vec<Action>) {
        self.shutdown_at = Some(self.now + within);
        let records = self.tasks.records.iter();
        let pending: Vec<RequestId> = records
            .filter(|(_, record)| !record.is_placed && !record.is_closed)
            .map(|(id, _)| id.clone())
            .collect();
        for id in pending {
            self.set_deadline_timer(&id, within, actions);
        }
    }

    fn set_deadline_timer(&mut self, id: &RequestId, after: Micros, actions: &mut Vec<Action>) {
        let records = &self.tasks.records;
        self.timers.discard_unused(|id| records.contains_key(id));
        let purpose = TimerPurpose::Deadline(id.clone());
        self.timers.set(self.now, after, purpose, actions);
    }

    /// Sends the final response of a request, at its deadline or when no further attempt is allowed. Does nothing if
    /// the task is placed or the request is closed, so that the response is sent only once.
    pub(super) fn send_final_response(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(record) = self.tasks.records.get(id) else {
            return;
        };
        if record.is_placed || record.is_closed {
            return;
        }
        let action = if self.may_reject(record) {
            Action::Reject {
                id: id.clone(),
                retry_after: self.retry_after(&record.task),
            }
        } else {
            Action::Fail { id: id.clone() }
        };
        actions.push(action);
        self.tasks.close(id);
    }
}
