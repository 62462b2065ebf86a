//! The state and the outcome of each task, as observed by its client.
//!
//! [`TaskTable`] does no I/O and reads no clock: the current time is an argument.

use super::arrivals::{Arrival, Arrivals};
use crate::deployment::Class;
use crate::identity::{PlacerId, RequestId, TaskIndex, WorkerId};
use crate::wire::cause;
use crate::wire::description::TaskShape;
use crate::workers::RunningTask;
use std::time::Instant;

/// The state of a task from the view of its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// The request was sent and waits for an answer.
    Waiting {
        /// When the request was sent.
        sent: Instant,
    },
    /// The task runs at a worker.
    Running(WorkerId),
    /// The task ran and has ended with this cause.
    Ended(u8),
    /// The task was refused without any effect, so a retry would be safe.
    Refused,
    /// The task failed before its answer and may have had an effect, which a retry could repeat.
    Failed,
    /// No answer arrived within the time limit.
    Unanswered,
    /// The connection closed before an answer arrived, although the placer was not killed.
    ConnectionLost,
    /// The placer was killed before it answered.
    PlacerKilled,
    /// No request was sent for the latest attempt, because no placer was in service or no connection could be opened.
    NoPlacer,
}

/// The record of one task.
#[derive(Debug, Clone, Copy)]
pub struct TaskRecord {
    /// When the task was due to arrive, or `None` if it ran at the start of the test.
    pub due: Option<Instant>,
    /// The class of the task.
    pub class: Class,
    /// The index of the task's tenant.
    pub tenant: u32,
    /// The index of the task's service.
    pub service: u32,
    /// The resources and the lifetime of the task.
    pub shape: TaskShape,
    /// The placer to which the latest request was sent.
    pub placer: PlacerId,
    /// The number of the latest attempt, counted from 0. Each migration begins a new attempt.
    pub attempt: u8,
    /// How often the task has migrated.
    pub moves: u8,
    /// Whether the time to start of the task is measured.
    pub measured: bool,
    /// The current state of the task.
    pub state: TaskState,
}

/// The effect of an answer on its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEffect {
    /// The task has started.
    First,
    /// The task had already been answered or refused.
    Second,
    /// The answer belongs to a closed attempt, or to no task.
    Stale,
}

/// The effect of a release on its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseEffect {
    /// The request was waiting for an answer, and is now refused or failed.
    Final,
    /// A running task has ended. The end must be acknowledged.
    Ended,
    /// The end was already known, or belongs to no task. It is acknowledged again.
    Known,
}

/// The records of all tasks.
pub struct TaskTable {
    tasks: Vec<TaskRecord>,
}

impl TaskTable {
    /// Returns a table that contains the tasks that run at the start.
    pub fn new(running_tasks: &[RunningTask], arrivals: &Arrivals) -> TaskTable {
        let record = |task: &RunningTask| {
            let (tenant, service) = arrivals.tenant_and_service_of(task.task);
            TaskRecord {
                due: None,
                class: Class::Standard,
                tenant,
                service,
                shape: task.shape,
                placer: task.placer,
                attempt: 0,
                moves: 0,
                measured: false,
                state: TaskState::Running(task.worker),
            }
        };
        TaskTable {
            tasks: running_tasks.iter().map(record).collect(),
        }
    }

    /// Adds a task that arrives, and returns its index. Returns `None` if no index is left.
    pub fn add(&mut self, arrival: &Arrival, due: Instant, measured: bool) -> Option<TaskIndex> {
        let index = u32::try_from(self.tasks.len()).ok()?;
        self.tasks.push(TaskRecord {
            due: Some(due),
            class: arrival.class,
            tenant: arrival.tenant,
            service: arrival.service,
            shape: arrival.shape,
            placer: PlacerId(0),
            attempt: 0,
            moves: 0,
            measured,
            state: TaskState::NoPlacer,
        });
        Some(TaskIndex(index))
    }

    /// Returns all records, with the indexes of their tasks.
    pub fn iter(&self) -> impl Iterator<Item = (TaskIndex, &TaskRecord)> {
        (0..).map(TaskIndex).zip(&self.tasks)
    }

    /// Returns the record of a task.
    pub fn get(&self, task: TaskIndex) -> Option<&TaskRecord> {
        self.tasks.get(task.index())
    }

    /// Returns the record of the task of a request, if the request belongs to the task's latest attempt.
    fn latest(&mut self, id: RequestId) -> Option<&mut TaskRecord> {
        let (task, attempt) = id.parts()?;
        self.tasks
            .get_mut(task.index())
            .filter(|record| record.attempt == attempt)
    }

    /// Records that the request for a task is sent to a placer at this time. Returns the id of the request.
    pub fn record_sent(
        &mut self,
        task: TaskIndex,
        placer: PlacerId,
        sent: Instant,
    ) -> Option<RequestId> {
        let record = self.tasks.get_mut(task.index())?;
        record.placer = placer;
        record.state = TaskState::Waiting { sent };
        Some(RequestId::new(task, record.attempt))
    }

    /// Records the answer to a request, which says at which worker the task runs.
    pub fn record_answer(&mut self, id: RequestId, worker: WorkerId) -> AnswerEffect {
        let Some(record) = self.latest(id) else {
            return AnswerEffect::Stale;
        };
        match record.state {
            TaskState::Waiting { .. } => {
                record.state = TaskState::Running(worker);
                AnswerEffect::First
            }
            TaskState::Unanswered
            | TaskState::ConnectionLost
            | TaskState::PlacerKilled
            | TaskState::NoPlacer => AnswerEffect::Stale,
            TaskState::Running(_)
            | TaskState::Ended(_)
            | TaskState::Refused
            | TaskState::Failed => AnswerEffect::Second,
        }
    }

    /// Records a release of a task by its placer, with the cause.
    pub fn record_release(&mut self, id: RequestId, cause: u8) -> ReleaseEffect {
        let Some(record) = self.latest(id) else {
            return ReleaseEffect::Known;
        };
        match record.state {
            TaskState::Waiting { .. } => {
                let refused = matches!(cause, cause::FULL | cause::REFUSED | cause::NOT_SENT);
                record.state = if refused {
                    TaskState::Refused
                } else {
                    TaskState::Failed
                };
                ReleaseEffect::Final
            }
            TaskState::Running(_) => {
                record.state = TaskState::Ended(cause);
                ReleaseEffect::Ended
            }
            _ => ReleaseEffect::Known,
        }
    }

    /// Begins the next attempt of a task that migrates. Returns the task, or `None` if it was not running or has no
    /// attempt numbers left.
    pub fn begin_migration(&mut self, id: RequestId) -> Option<TaskIndex> {
        let record = self
            .latest(id)
            .filter(|record| matches!(record.state, TaskState::Running(_)))?;
        record.attempt = record.attempt.checked_add(1)?;
        record.moves = record.moves.saturating_add(1);
        record.state = TaskState::NoPlacer;
        id.parts().map(|(task, _)| task)
    }

    /// Closes a request without an answer by setting the state of its task. Returns whether it was still waiting for an
    /// answer.
    pub fn close_unanswered(&mut self, id: RequestId, state: TaskState) -> bool {
        let waiting = self
            .latest(id)
            .filter(|record| matches!(record.state, TaskState::Waiting { .. }));
        waiting.is_some_and(|record| {
            record.state = state;
            true
        })
    }

    /// Returns when a request was sent, if it still waits for an answer.
    pub fn waiting_since(&self, id: RequestId) -> Option<Instant> {
        let (task, attempt) = id.parts()?;
        match self
            .get(task)
            .filter(|record| record.attempt == attempt)?
            .state
        {
            TaskState::Waiting { sent } => Some(sent),
            _ => None,
        }
    }

    /// Returns the running tasks whose latest request was sent to a placer, with their request ids and workers.
    pub fn running_at(
        &self,
        placer: PlacerId,
    ) -> impl Iterator<Item = (RequestId, &TaskRecord, WorkerId)> {
        self.iter()
            .filter(move |(_, record)| record.placer == placer)
            .filter_map(|(task, record)| {
                let TaskState::Running(worker) = record.state else {
                    return None;
                };
                Some((RequestId::new(task, record.attempt), record, worker))
            })
    }
}

#[cfg(test)]
mod tests;
