//! The state of the simulated workers: their free capacity and their tasks.
//!
//! [`Fleet`] does no I/O and reads no clock: the current time is an argument. Only this module decides what a worker
//! replies.

mod zone_faults;

use super::replies::{ActiveTaskId, OfferReply, ReleaseReply};
use super::task_records::WorkerAudit;
use super::{RunningTask, WorkerSetup};
use crate::feeds::FreeResources;
use crate::identity::{PlacerId, RequestId, TaskIndex, WorkerId};
use crate::wire::cause;
use crate::wire::description::TaskShape;
use crate::wire::lines::{NoCapacity, Offer};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Tolerance for floating-point rounding when a task is compared with the free capacity of a worker.
const CAPACITY_ROUNDING: f64 = 1e-9;
/// Maximum number of tasks in a run. Offers with a higher task index are invalid, which bounds the memory that a
/// placer can make the audit use.
const MAX_TASKS: u32 = 20_000_000;

/// The phase of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskPhase {
    /// The task is starting, and its placer waits for the answer.
    Starting,
    /// The task has started and runs.
    Running,
    /// The task has ended with this cause, and its placer has not acknowledged the end.
    Ended(u8),
}

/// A task at a worker, until its placer acknowledges its end.
#[derive(Debug, Clone, Copy)]
struct ActiveTask {
    task: TaskIndex,
    placer: PlacerId,
    shape: TaskShape,
    phase: TaskPhase,
}

/// The state of one worker.
#[derive(Debug, Clone, Copy)]
struct Worker {
    free_cores: f64,
    free_memory: f64,
    /// Whether the zone of the worker has crashed and is not restored.
    is_down: bool,
    /// Whether the worker has been restored after a zone crash.
    is_restored: bool,
}

/// Whether a task reserves capacity of a worker or releases it.
#[derive(Debug, Clone, Copy)]
enum CapacityChange {
    Reserve,
    Release,
}

/// The workers of all zones, and the tasks at them.
pub struct Fleet {
    setup: WorkerSetup,
    workers: Vec<Worker>,
    active_tasks: HashMap<ActiveTaskId, ActiveTask>,
    /// The tasks whose ends the placer has not acknowledged, by worker and placer.
    unacknowledged: HashMap<(WorkerId, PlacerId), Vec<RequestId>>,
    unacknowledged_count: usize,
    active_count: usize,
    /// Workers whose free capacity has changed since the last call of [`Fleet::take_changed_resources`].
    changed: BTreeSet<WorkerId>,
    /// Whether tasks end when their lifetime is over.
    tasks_may_end: bool,
    /// The records so far.
    pub audit: WorkerAudit,
}

impl Fleet {
    /// Returns a fleet whose workers already run these tasks.
    pub fn new(setup: WorkerSetup, running_tasks: &[RunningTask]) -> Fleet {
        let worker = Worker {
            free_cores: setup.cores,
            free_memory: setup.memory,
            is_down: false,
            is_restored: false,
        };
        let mut fleet = Fleet {
            workers: vec![worker; setup.workers as usize],
            setup,
            active_tasks: HashMap::with_capacity(2 * running_tasks.len()),
            unacknowledged: HashMap::new(),
            unacknowledged_count: 0,
            active_count: 0,
            changed: BTreeSet::new(),
            tasks_may_end: true,
            audit: WorkerAudit::default(),
        };
        for running in running_tasks {
            let active_task = ActiveTask {
                task: running.task,
                placer: running.placer,
                shape: running.shape,
                phase: TaskPhase::Running,
            };
            fleet.add_active(
                (running.worker, RequestId::new(running.task, 0)),
                active_task,
            );
            fleet
                .audit
                .update(running.task, |record| record.starts += 1);
        }
        fleet
    }

    /// Returns the configuration that all workers share.
    pub fn setup(&self) -> &WorkerSetup {
        &self.setup
    }

    /// Returns the number of tasks that start or run.
    pub fn active_count(&self) -> usize {
        self.active_count
    }

    /// Returns the number of task ends that placers have not acknowledged.
    pub fn unacknowledged_count(&self) -> usize {
        self.unacknowledged_count
    }

    /// Returns whether a worker is down because its zone has crashed, or does not exist.
    pub fn is_down(&self, worker: WorkerId) -> bool {
        self.workers
            .get(worker.index())
            .is_none_or(|worker| worker.is_down)
    }

    /// Returns the free capacity of each worker whose free capacity has changed since the last call.
    pub fn take_changed_resources(&mut self) -> Vec<FreeResources> {
        let changed = std::mem::take(&mut self.changed).into_iter();
        let resources = changed.filter_map(|id| {
            let worker = self.workers.get(id.index())?;
            Some(FreeResources {
                worker: id,
                free_cores: worker.free_cores,
                free_memory: worker.free_memory,
            })
        });
        resources.collect()
    }

    /// Returns the running tasks with their remaining lifetimes.
    pub fn remaining_lifetimes(&self) -> impl Iterator<Item = (ActiveTaskId, Duration)> {
        let running = self
            .active_tasks
            .iter()
            .filter(|(_, active_task)| active_task.phase == TaskPhase::Running);
        running.map(|(id, active_task)| (*id, active_task.shape.lifetime))
    }

    // ---- Capacity ----

    /// Adds a task and reserves its capacity.
    fn add_active(&mut self, id: ActiveTaskId, active_task: ActiveTask) {
        self.active_tasks.insert(id, active_task);
        self.audit
            .update(active_task.task, |record| record.active_copies += 1);
        self.active_count += 1;
        self.change_capacity(id.0, active_task.shape, CapacityChange::Reserve);
    }

    /// Releases the capacity of a task that ended, was withdrawn or was lost.
    fn release_capacity(&mut self, worker: WorkerId, active_task: &ActiveTask) {
        self.audit.update(active_task.task, |record| {
            record.active_copies = record.active_copies.saturating_sub(1)
        });
        self.active_count = self.active_count.saturating_sub(1);
        self.change_capacity(worker, active_task.shape, CapacityChange::Release);
    }

    fn change_capacity(&mut self, id: WorkerId, shape: TaskShape, change: CapacityChange) {
        let sign = match change {
            CapacityChange::Reserve => 1.0,
            CapacityChange::Release => -1.0,
        };
        if let Some(worker) = self.workers.get_mut(id.index()) {
            worker.free_cores -= sign * shape.cores;
            worker.free_memory -= sign * shape.memory;
            self.changed.insert(id);
        }
    }

    // ---- Start ----

    /// Handles a placer's offer of a task, and returns the reply.
    pub fn offer(&mut self, id: WorkerId, placer: PlacerId, offer: &Offer) -> OfferReply {
        let Some(worker) = self
            .workers
            .get(id.index())
            .copied()
            .filter(|worker| !worker.is_down)
        else {
            return OfferReply::Silent;
        };
        let task = TaskIndex::from_key(offer.key).filter(|task| task.0 < MAX_TASKS);
        let (Some(task), Some(shape)) = (task, TaskShape::read(&offer.description)) else {
            self.audit.bad_offers += 1;
            return OfferReply::Unreadable;
        };
        if self.active_tasks.contains_key(&(id, offer.id)) {
            self.audit.bad_offers += 1;
            return OfferReply::Silent;
        }
        if let Some(reason) = worker.missing_capacity(shape) {
            self.audit.update(task, |record| {
                record.refusals = record.refusals.saturating_add(1)
            });
            return OfferReply::Full(reason);
        }
        let active_task = ActiveTask {
            task,
            placer,
            shape,
            phase: TaskPhase::Starting,
        };
        self.add_active((id, offer.id), active_task);
        OfferReply::Starts {
            after: self.setup.start_time,
        }
    }

    /// Completes the start of a task. Returns its lifetime from now on, or `None` if the task was not starting.
    pub fn complete_start(&mut self, id: ActiveTaskId) -> Option<Duration> {
        let active_task = self
            .active_tasks
            .get_mut(&id)
            .filter(|active_task| active_task.phase == TaskPhase::Starting)?;
        active_task.phase = TaskPhase::Running;
        let task = active_task.task;
        let lifetime = active_task.shape.lifetime;
        self.audit.update(task, |record| {
            record.starts = record.starts.saturating_add(1)
        });
        if self
            .workers
            .get(id.0.index())
            .is_some_and(|worker| worker.is_restored)
        {
            self.audit.starts_after_return += 1;
        }
        Some(lifetime)
    }

    // ---- End ----

    /// Ends a task whose lifetime is over. Returns its placer, or `None` if the task is not running or tasks no longer
    /// end.
    pub fn end_task(&mut self, id: ActiveTaskId) -> Option<PlacerId> {
        if !self.tasks_may_end {
            return None;
        }
        let active_task = self
            .active_tasks
            .get(&id)
            .copied()
            .filter(|active_task| active_task.phase == TaskPhase::Running)?;
        self.audit.update(active_task.task, |record| {
            record.ended = record.ended.saturating_add(1)
        });
        self.finish(id, &active_task, cause::NORMAL);
        Some(active_task.placer)
    }

    /// Releases the capacity of a running task, and keeps its end until the placer acknowledges it.
    fn finish(&mut self, id: ActiveTaskId, active_task: &ActiveTask, cause: u8) {
        self.release_capacity(id.0, active_task);
        let ended = ActiveTask {
            phase: TaskPhase::Ended(cause),
            ..*active_task
        };
        self.active_tasks.insert(id, ended);
        self.unacknowledged
            .entry((id.0, active_task.placer))
            .or_default()
            .push(id.1);
        self.unacknowledged_count += 1;
    }

    /// Handles a placer's release: withdraws an offer that is not answered yet, or cancels a running task. Returns the
    /// reply, which stays the same for repeated releases until the placer acknowledges the end.
    pub fn release(&mut self, id: ActiveTaskId) -> ReleaseReply {
        let Some(active_task) = self.active_tasks.get(&id).copied() else {
            return ReleaseReply::Nothing;
        };
        match active_task.phase {
            TaskPhase::Starting => {
                self.withdraw_offer(id);
                ReleaseReply::Nothing
            }
            TaskPhase::Running => {
                self.audit.update(active_task.task, |record| {
                    record.cancelled = record.cancelled.saturating_add(1)
                });
                self.finish(id, &active_task, cause::CANCELLED);
                ReleaseReply::Ended(cause::CANCELLED)
            }
            TaskPhase::Ended(cause) => ReleaseReply::Ended(cause),
        }
    }

    /// Removes an offer that is not answered yet, because the placer withdrew it or its connection has closed.
    pub fn withdraw_offer(&mut self, id: ActiveTaskId) {
        if let Some(active_task) = self
            .active_tasks
            .get(&id)
            .copied()
            .filter(|active_task| active_task.phase == TaskPhase::Starting)
        {
            self.active_tasks.remove(&id);
            self.release_capacity(id.0, &active_task);
        }
    }

    /// Records that a placer acknowledged the end of a task.
    pub fn acknowledge_end(&mut self, id: ActiveTaskId, now: Instant) {
        let Some(active_task) = self.active_tasks.get(&id).copied() else {
            return;
        };
        if !matches!(active_task.phase, TaskPhase::Ended(_)) {
            return;
        }
        self.active_tasks.remove(&id);
        self.audit.update(active_task.task, |record| {
            record.end_acknowledged_at = Some(now)
        });
        let pair = (id.0, active_task.placer);
        let Some(ids) = self.unacknowledged.get_mut(&pair) else {
            return;
        };
        let before = ids.len();
        ids.retain(|other| *other != id.1);
        self.unacknowledged_count = self.unacknowledged_count.saturating_sub(before - ids.len());
        if ids.is_empty() {
            self.unacknowledged.remove(&pair);
        }
    }

    /// Returns the ended tasks of a worker whose ends a placer has not acknowledged, with the causes. The ends are sent
    /// again on each new connection.
    pub fn unacknowledged(&self, worker: WorkerId, placer: PlacerId) -> Vec<(RequestId, u8)> {
        let ids = self
            .unacknowledged
            .get(&(worker, placer))
            .into_iter()
            .flatten();
        let ended = ids.filter_map(|id| match self.active_tasks.get(&(worker, *id))?.phase {
            TaskPhase::Ended(cause) => Some((*id, cause)),
            TaskPhase::Starting | TaskPhase::Running => None,
        });
        ended.collect()
    }

    /// Stops tasks from ending by themselves, so that every end can be delivered before the audit.
    pub fn stop_ending_tasks(&mut self) {
        self.tasks_may_end = false;
    }
}

impl Worker {
    /// Returns a resource of which this worker has too little free for a task, if any.
    fn missing_capacity(&self, shape: TaskShape) -> Option<NoCapacity> {
        if self.free_cores + CAPACITY_ROUNDING < shape.cores {
            return Some(NoCapacity::Cores);
        }
        (self.free_memory + CAPACITY_ROUNDING < shape.memory).then_some(NoCapacity::Memory)
    }
}

#[cfg(test)]
mod tests;
