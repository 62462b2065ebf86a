//! What becomes of each task, as its client sees it. Pure.

use super::arrivals::{Arrival, Arrivals};
use crate::deployment::Class;
use crate::identity::{PlacerId, SetupId, TaskIndex, WorkerId};
use crate::wire::cause;
use crate::wire::description::TaskShape;
use crate::workers::RunningTask;
use std::time::Instant;

/// How a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Its set-up waits for an answer.
    Waiting {
        /// Since it was sent.
        sent: Instant,
    },
    /// It stands at a worker.
    Running(WorkerId),
    /// It stood, and the placer has told that it is over, with this cause.
    Ended(u8),
    /// Refused: trying again would have been harmless.
    Refused,
    /// Failed: nothing is promised.
    Failed,
    /// No answer came in its time.
    Unanswered,
    /// Its connection ended with no answer, and its placer lived.
    ConnectionLost,
    /// Its placer was killed before it answered.
    PlacerKilled,
    /// No placer was in service when it was due.
    NoPlacer,
}

/// One task.
#[derive(Debug, Clone, Copy)]
pub struct TaskRecord {
    /// When it was due; none for one that stood at the start.
    pub due: Option<Instant>,
    /// Its class.
    pub class: Class,
    /// Its tenant.
    pub tenant: u32,
    /// Its service.
    pub service: u32,
    /// What it is at its worker.
    pub shape: TaskShape,
    /// The placer that has it, or had it last.
    pub placer: PlacerId,
    /// Set-ups of it so far.
    pub attempt: u8,
    /// How often it was moved.
    pub moves: u8,
    /// Whether it counts.
    pub measured: bool,
    /// How it is.
    pub state: TaskState,
}

/// What an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEffect {
    /// The task stands now.
    First,
    /// It had been answered.
    Second,
    /// It is of an attempt that is over, or of no task.
    Stale,
}

/// What a release means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseEffect {
    /// The set-up is refused, or has failed.
    Final,
    /// A task that stood is over: that is to be confirmed.
    Ended,
    /// It was known, or is of no task; if it stood it is to be confirmed.
    Known,
}

/// All tasks.
pub struct TaskTable {
    tasks: Vec<TaskRecord>,
}

impl TaskTable {
    /// A table with what stands at the start.
    pub fn new(standing: &[RunningTask], arrivals: &Arrivals) -> TaskTable {
        let record = |task: &RunningTask| {
            let (tenant, service) = arrivals.of_running_tasks(task.task);
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
            tasks: standing.iter().map(record).collect(),
        }
    }

    /// Adds a task that is due; none if there are more than can be named.
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

    /// All tasks, with their names.
    pub fn iter(&self) -> impl Iterator<Item = (TaskIndex, &TaskRecord)> {
        (0..).map(TaskIndex).zip(&self.tasks)
    }

    /// A task.
    pub fn get(&self, task: TaskIndex) -> Option<&TaskRecord> {
        self.tasks.get(task.index())
    }

    /// A task, if this is the id of its latest attempt.
    fn latest(&mut self, id: SetupId) -> Option<&mut TaskRecord> {
        let (task, attempt) = id.parts()?;
        self.tasks
            .get_mut(task.index())
            .filter(|record| record.attempt == attempt)
    }

    /// Its set-up goes to a placer.
    pub fn sent(&mut self, task: TaskIndex, placer: PlacerId, sent: Instant) -> Option<SetupId> {
        let record = self.tasks.get_mut(task.index())?;
        record.placer = placer;
        record.state = TaskState::Waiting { sent };
        Some(SetupId::new(task, record.attempt))
    }

    /// An answer has come.
    pub fn answered(&mut self, id: SetupId, worker: WorkerId) -> AnswerEffect {
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

    /// A release has come.
    pub fn released(&mut self, id: SetupId, cause: u8) -> ReleaseEffect {
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

    /// A task moves: whether its client comes again.
    pub fn moved(&mut self, id: SetupId) -> Option<TaskIndex> {
        let record = self
            .latest(id)
            .filter(|record| matches!(record.state, TaskState::Running(_)))?;
        record.attempt = record.attempt.checked_add(1)?;
        record.moves = record.moves.saturating_add(1);
        record.state = TaskState::NoPlacer;
        id.parts().map(|(task, _)| task)
    }

    /// Its set-up is over without an answer: whether it still waited for one.
    pub fn close_unanswered(&mut self, id: SetupId, how: TaskState) -> bool {
        let waiting = self
            .latest(id)
            .filter(|record| matches!(record.state, TaskState::Waiting { .. }));
        waiting.is_some_and(|record| {
            record.state = how;
            true
        })
    }

    /// When the set-up that waits under this id was sent.
    pub fn waiting_since(&self, id: SetupId) -> Option<Instant> {
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

    /// The tasks that stand and belong to a placer, with their ids and their workers.
    pub fn running_at(
        &self,
        placer: PlacerId,
    ) -> impl Iterator<Item = (SetupId, &TaskRecord, WorkerId)> {
        self.iter()
            .filter(move |(_, record)| record.placer == placer)
            .filter_map(|(task, record)| {
                let TaskState::Running(worker) = record.state else {
                    return None;
                };
                Some((SetupId::new(task, record.attempt), record, worker))
            })
    }
}

#[cfg(test)]
mod tests;
