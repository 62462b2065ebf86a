//! What the workers hold: pure, and the only place that decides what a worker says.

use super::task_records::WorkerAudit;
use super::{RunningTask, WorkerSetup};
use crate::feeds::FreeResources;
use crate::identity::{PlacerId, SetupId, TaskIndex, WorkerId, ZoneId};
use crate::wire::cause;
use crate::wire::description::TaskShape;
use crate::wire::lines::{NoCapacity, Offer};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// An offer or a task at a worker: the same set-up may come to several workers.
pub type ActiveTaskId = (WorkerId, SetupId);
/// Rounding may leave a task short of so little room.
const ROUNDING: f64 = 1e-9;
/// The most tasks that a run can name: a bound on what a placer can make the books hold.
const MAX_TASKS: u32 = 20_000_000;

/// How far a task is at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskPhase {
    /// It starts; its placer waits.
    Starting,
    /// It stands.
    Running,
    /// It is over, with this cause, and its placer has not confirmed that yet.
    Ended(u8),
}

#[derive(Debug, Clone, Copy)]
struct ActiveTask {
    task: TaskIndex,
    placer: PlacerId,
    shape: TaskShape,
    phase: TaskPhase,
}

#[derive(Debug, Clone, Copy)]
struct Worker {
    free_cores: f64,
    free_memory: f64,
    is_removed: bool,
    /// Whether it has come back cold.
    restarted: bool,
}

/// What a worker says to an offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OfferReply {
    /// It starts the task, and answers after this time.
    Starts {
        /// How long that takes.
        after: Duration,
    },
    /// It is full.
    Full(NoCapacity),
    /// The offer can't be read.
    Unreadable,
    /// It holds the task already, or is not there: it says nothing.
    Silent,
}

/// What a worker says to a placer's release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReply {
    /// Nothing: the offer is forgotten, or was never known.
    Nothing,
    /// The task that stood is over, with this cause.
    Ended(u8),
}

/// What comes due for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskTimer {
    /// Its answer.
    Answer,
    /// Its end.
    End,
}

/// All workers, and what they hold.
pub struct Fleet {
    setup: WorkerSetup,
    workers: Vec<Worker>,
    active_tasks: HashMap<ActiveTaskId, ActiveTask>,
    /// Ends that placers have not confirmed.
    unacknowledged: HashMap<(WorkerId, PlacerId), Vec<SetupId>>,
    unacknowledged_count: usize,
    active_count: usize,
    changed: BTreeSet<WorkerId>,
    frozen: bool,
    /// What was noted so far.
    pub audit: WorkerAudit,
}

impl Fleet {
    /// Workers that hold these tasks.
    pub fn new(setup: WorkerSetup, running_tasks: &[RunningTask]) -> Fleet {
        let worker = Worker {
            free_cores: setup.cores,
            free_memory: setup.memory,
            is_removed: false,
            restarted: false,
        };
        let mut fleet = Fleet {
            workers: vec![worker; setup.workers as usize],
            setup,
            active_tasks: HashMap::with_capacity(2 * running_tasks.len()),
            unacknowledged: HashMap::new(),
            unacknowledged_count: 0,
            active_count: 0,
            changed: BTreeSet::new(),
            frozen: false,
            audit: WorkerAudit::default(),
        };
        for RunningTask {
            task,
            worker,
            placer,
            shape,
        } in running_tasks
        {
            let active_task = ActiveTask {
                task: *task,
                placer: *placer,
                shape: *shape,
                phase: TaskPhase::Running,
            };
            fleet.add_active((*worker, SetupId::new(*task, 0)), active_task);
            fleet.audit.note(*task, |book| book.starts += 1);
        }
        fleet
    }

    /// How all workers are set up.
    pub fn setup(&self) -> &WorkerSetup {
        &self.setup
    }

    /// Tasks that stand or start.
    pub fn active_count(&self) -> usize {
        self.active_count
    }

    /// Ends that placers have not confirmed.
    pub fn unacknowledged_count(&self) -> usize {
        self.unacknowledged_count
    }

    /// Whether a worker is not there.
    pub fn gone(&self, worker: WorkerId) -> bool {
        self.workers
            .get(worker.index())
            .is_none_or(|worker| worker.is_removed)
    }

    /// The rooms that have changed since the last look.
    pub fn take_changed_resources(&mut self) -> Vec<FreeResources> {
        let changed = std::mem::take(&mut self.changed).into_iter();
        let rooms = changed.filter_map(|worker| {
            let Worker {
                free_cores,
                free_memory,
                ..
            } = *self.workers.get(worker.index())?;
            Some(FreeResources {
                worker,
                free_cores,
                free_memory,
            })
        });
        rooms.collect()
    }

    /// The tasks that stand, and how long each still does.
    pub fn lives(&self) -> impl Iterator<Item = (ActiveTaskId, Duration)> {
        let running_tasks = self
            .active_tasks
            .iter()
            .filter(|(_, active_task)| active_task.phase == TaskPhase::Running);
        running_tasks.map(|(id, active_task)| (*id, active_task.shape.life))
    }

    fn add_active(&mut self, id: ActiveTaskId, active_task: ActiveTask) {
        self.active_tasks.insert(id, active_task);
        self.audit
            .note(active_task.task, |book| book.active_copies += 1);
        self.active_count += 1;
        self.use_capacity(id.0, active_task.shape, 1.0);
    }

    /// A task gives its room back.
    fn release_capacity(&mut self, worker: WorkerId, active_task: &ActiveTask) {
        self.audit.note(active_task.task, |book| {
            book.active_copies = book.active_copies.saturating_sub(1)
        });
        self.active_count = self.active_count.saturating_sub(1);
        self.use_capacity(worker, active_task.shape, -1.0);
    }

    fn use_capacity(&mut self, id: WorkerId, shape: TaskShape, sign: f64) {
        if let Some(worker) = self.workers.get_mut(id.index()) {
            worker.free_cores -= sign * shape.cores;
            worker.free_memory -= sign * shape.memory;
            self.changed.insert(id);
        }
    }

    /// A placer offers a task.
    pub fn offer(&mut self, id: WorkerId, placer: PlacerId, offer: &Offer) -> OfferReply {
        let Some(worker) = self
            .workers
            .get(id.index())
            .copied()
            .filter(|worker| !worker.is_removed)
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
        let why = if worker.free_cores + ROUNDING < shape.cores {
            Some(NoCapacity::Cores)
        } else {
            (worker.free_memory + ROUNDING < shape.memory).then_some(NoCapacity::Memory)
        };
        if let Some(why) = why {
            self.audit
                .note(task, |book| book.refusals = book.refusals.saturating_add(1));
            return OfferReply::Full(why);
        }
        self.add_active(
            (id, offer.id),
            ActiveTask {
                task,
                placer,
                shape,
                phase: TaskPhase::Starting,
            },
        );
        OfferReply::Starts {
            after: self.setup.start_time,
        }
    }

    /// The answer of a task is due: how long it stands from now on, if it still starts.
    pub fn answer(&mut self, id: ActiveTaskId) -> Option<Duration> {
        let active_task = self
            .active_tasks
            .get_mut(&id)
            .filter(|active_task| active_task.phase == TaskPhase::Starting)?;
        active_task.phase = TaskPhase::Running;
        let (task, life) = (active_task.task, active_task.shape.life);
        self.audit
            .note(task, |book| book.starts = book.starts.saturating_add(1));
        if self
            .workers
            .get(id.0.index())
            .is_some_and(|worker| worker.restarted)
        {
            self.audit.starts_after_return += 1;
        }
        Some(life)
    }

    /// The end of a task is due: its placer, if it still stands and tasks may end.
    pub fn end(&mut self, id: ActiveTaskId) -> Option<PlacerId> {
        if self.frozen {
            return None;
        }
        let active_task = self
            .active_tasks
            .get(&id)
            .copied()
            .filter(|active_task| active_task.phase == TaskPhase::Running)?;
        self.audit.note(active_task.task, |book| {
            book.ended = book.ended.saturating_add(1)
        });
        self.finish(id, &active_task, cause::NORMAL);
        Some(active_task.placer)
    }

    /// A task that stood is over; its placer is to hear of it.
    fn finish(&mut self, id: ActiveTaskId, active_task: &ActiveTask, cause: u8) {
        self.release_capacity(id.0, active_task);
        self.active_tasks.insert(
            id,
            ActiveTask {
                phase: TaskPhase::Ended(cause),
                ..*active_task
            },
        );
        self.unacknowledged
            .entry((id.0, active_task.placer))
            .or_default()
            .push(id.1);
        self.unacknowledged_count += 1;
    }

    /// A placer gives an offer up, or ends a task.
    pub fn release(&mut self, id: ActiveTaskId) -> ReleaseReply {
        let Some(active_task) = self.active_tasks.get(&id).copied() else {
            return ReleaseReply::Nothing;
        };
        match active_task.phase {
            TaskPhase::Starting => {
                self.forget_offer(id);
                ReleaseReply::Nothing
            }
            TaskPhase::Running => {
                self.audit.note(active_task.task, |book| {
                    book.cut = book.cut.saturating_add(1)
                });
                self.finish(id, &active_task, cause::CANCELLED);
                ReleaseReply::Ended(cause::CANCELLED)
            }
            TaskPhase::Ended(cause) => ReleaseReply::Ended(cause),
        }
    }

    /// An offer that was not answered yet is given up, or its connection has ended.
    pub fn forget_offer(&mut self, id: ActiveTaskId) {
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

    /// A placer confirms the end of a task.
    pub fn heard(&mut self, id: ActiveTaskId, now: Instant) {
        let Some(active_task) = self.active_tasks.get(&id).copied() else {
            return;
        };
        if !matches!(active_task.phase, TaskPhase::Ended(_)) {
            return;
        }
        self.active_tasks.remove(&id);
        self.audit
            .note(active_task.task, |book| book.heard = Some(now));
        let key = (id.0, active_task.placer);
        let Some(ids) = self.unacknowledged.get_mut(&key) else {
            return;
        };
        let before = ids.len();
        ids.retain(|other| *other != id.1);
        self.unacknowledged_count = self.unacknowledged_count.saturating_sub(before - ids.len());
        if ids.is_empty() {
            self.unacknowledged.remove(&key);
        }
    }

    /// The ends at a worker that a placer has not confirmed, with their causes: a new connection begins with
    /// them.
    pub fn unacknowledged(&self, worker: WorkerId, placer: PlacerId) -> Vec<(SetupId, u8)> {
        let ids = self
            .unacknowledged
            .get(&(worker, placer))
            .into_iter()
            .flatten();
        let over = ids.filter_map(|id| match self.active_tasks.get(&(worker, *id))?.phase {
            TaskPhase::Ended(cause) => Some((*id, cause)),
            TaskPhase::Starting | TaskPhase::Running => None,
        });
        over.collect()
    }

    /// All workers of a zone vanish with what they hold.
    pub fn vanish(&mut self, zone: ZoneId) {
        let zones = self.setup.zones;
        let lost = |id: &ActiveTaskId| id.0.zone(zones) == zone;
        let ids: Vec<ActiveTaskId> = self.active_tasks.keys().copied().filter(lost).collect();
        for id in ids {
            let Some(active_task) = self.active_tasks.remove(&id) else {
                continue;
            };
            if !matches!(active_task.phase, TaskPhase::Ended(_)) {
                self.audit.note(active_task.task, |book| {
                    book.vanished = book.vanished.saturating_add(1)
                });
                self.release_capacity(id.0, &active_task);
            }
        }
        self.unacknowledged.retain(|(worker, _), ids| {
            let keep = worker.zone(zones) != zone;
            self.unacknowledged_count -= if keep { 0 } else { ids.len() };
            keep
        });
        self.in_zone(zone, |worker| worker.is_removed = true);
        // Nobody sees a machine that has vanished give its room back.
        self.changed.retain(|worker| worker.zone(zones) != zone);
    }

    /// They are back, holding nothing.
    pub fn restore_zone(&mut self, zone: ZoneId) {
        let (free_cores, free_memory) = (self.setup.cores, self.setup.memory);
        self.in_zone(zone, |worker| {
            *worker = Worker {
                free_cores,
                free_memory,
                is_removed: false,
                restarted: true,
            };
        });
        let zones = self.setup.zones;
        let back = (0..self.setup.workers)
            .map(WorkerId)
            .filter(|worker| worker.zone(zones) == zone);
        self.changed.extend(back);
    }

    fn in_zone(&mut self, zone: ZoneId, change: impl Fn(&mut Worker)) {
        let step = self.setup.zones.max(1) as usize;
        self.workers
            .iter_mut()
            .skip(zone.0 as usize)
            .step_by(step)
            .for_each(change);
    }

    /// No task ends by itself from now on.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }
}

#[cfg(test)]
mod tests;
