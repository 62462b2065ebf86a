//! Requests: received, and answered by exactly one final response in time.

use super::placer::Placer;
use crate::state::tasks::TaskRecord;
use crate::state::timers::TimerPurpose;
use crate::types::{Action, Micros, RequestId, Task};

impl Placer {
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
            self.earn_health_check();
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

    /// A graceful shutdown: what is not placed within this time gets its final response then.
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
        let purpose = TimerPurpose::Deadline(id.clone());
        self.timers.set(self.now, after, purpose, actions);
    }

    /// The final response, at the deadline or when no attempt is allowed any more. Sent once.
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
