//! What the workers hold: pure, and the only place that decides what a worker says.

use super::audit::WorkerAudit;
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
enum Stage {
    /// It starts; its placer waits.
    Starting,
    /// It stands.
    Running,
    /// It is over, with this cause, and its placer has not confirmed that yet.
    Over(u8),
}

#[derive(Debug, Clone, Copy)]
struct ActiveTask {
    task: TaskIndex,
    placer: PlacerId,
    shape: TaskShape,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
struct Worker {
    free_cores: f64,
    free_memory: f64,
    is_removed: bool,
    /// Whether it has come back cold.
    returned: bool,
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
pub enum Step {
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
    in_hand: usize,
    changed: BTreeSet<WorkerId>,
    frozen: bool,
    /// What was noted so far.
    pub audit: WorkerAudit,
}

impl Fleet {
    /// Workers that hold these tasks.
    pub fn new(setup: WorkerSetup, standing: &[RunningTask]) -> Fleet {
        let worker = Worker {
            free_cores: setup.cores,
            free_memory: setup.memory,
            is_removed: false,
            returned: false,
        };
        let mut fleet = Fleet {
            workers: vec![worker; setup.workers as usize],
            setup,
            active_tasks: HashMap::with_capacity(2 * standing.len()),
            unacknowledged: HashMap::new(),
            unacknowledged_count: 0,
            in_hand: 0,
            changed: BTreeSet::new(),
            frozen: false,
            audit: WorkerAudit::default(),
        };
        for RunningTask {
            task,
            worker,
            placer,
            shape,
        } in standing
        {
            let held = ActiveTask {
                task: *task,
                placer: *placer,
                shape: *shape,
                stage: Stage::Running,
            };
            fleet.add_active((*worker, SetupId::new(*task, 0)), held);
            fleet.audit.note(*task, |book| book.starts += 1);
        }
        fleet
    }

    /// How all workers are set up.
    pub fn setup(&self) -> &WorkerSetup {
        &self.setup
    }

    /// Tasks that stand or start.
    pub fn in_hand(&self) -> usize {
        self.in_hand
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
    pub fn take_changed_rooms(&mut self) -> Vec<FreeResources> {
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
        let standing = self
            .active_tasks
            .iter()
            .filter(|(_, held)| held.stage == Stage::Running);
        standing.map(|(id, held)| (*id, held.shape.life))
    }

    fn add_active(&mut self, id: ActiveTaskId, held: ActiveTask) {
        self.active_tasks.insert(id, held);
        self.audit.note(held.task, |book| book.active_copies += 1);
        self.in_hand += 1;
        self.use_capacity(id.0, held.shape, 1.0);
    }

    /// A task gives its room back.
    fn let_go(&mut self, worker: WorkerId, held: &ActiveTask) {
        self.audit.note(held.task, |book| {
            book.active_copies = book.active_copies.saturating_sub(1)
        });
        self.in_hand = self.in_hand.saturating_sub(1);
        self.use_capacity(worker, held.shape, -1.0);
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
        let task = TaskIndex::of_key(offer.key).filter(|task| task.0 < MAX_TASKS);
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
                stage: Stage::Starting,
            },
        );
        OfferReply::Starts {
            after: self.setup.start_time,
        }
    }

    /// The answer of a task is due: how long it stands from now on, if it still starts.
    pub fn answer(&mut self, id: ActiveTaskId) -> Option<Duration> {
        let held = self
            .active_tasks
            .get_mut(&id)
            .filter(|held| held.stage == Stage::Starting)?;
        held.stage = Stage::Running;
        let (task, life) = (held.task, held.shape.life);
        self.audit
            .note(task, |book| book.starts = book.starts.saturating_add(1));
        if self
            .workers
            .get(id.0.index())
            .is_some_and(|worker| worker.returned)
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
        let held = self
            .active_tasks
            .get(&id)
            .copied()
            .filter(|held| held.stage == Stage::Running)?;
        self.audit
            .note(held.task, |book| book.ended = book.ended.saturating_add(1));
        self.finish(id, &held, cause::NORMAL);
        Some(held.placer)
    }

    /// A task that stood is over; its placer is to hear of it.
    fn finish(&mut self, id: ActiveTaskId, held: &ActiveTask, cause: u8) {
        self.let_go(id.0, held);
        self.active_tasks.insert(
            id,
            ActiveTask {
                stage: Stage::Over(cause),
                ..*held
            },
        );
        self.unacknowledged
            .entry((id.0, held.placer))
            .or_default()
            .push(id.1);
        self.unacknowledged_count += 1;
    }

    /// A placer gives an offer up, or ends a task.
    pub fn release(&mut self, id: ActiveTaskId) -> ReleaseReply {
        let Some(held) = self.active_tasks.get(&id).copied() else {
            return ReleaseReply::Nothing;
        };
        match held.stage {
            Stage::Starting => {
                self.forget_offer(id);
                ReleaseReply::Nothing
            }
            Stage::Running => {
                self.audit
                    .note(held.task, |book| book.cut = book.cut.saturating_add(1));
                self.finish(id, &held, cause::CANCELLED);
                ReleaseReply::Ended(cause::CANCELLED)
            }
            Stage::Over(cause) => ReleaseReply::Ended(cause),
        }
    }

    /// An offer that was not answered yet is given up, or its connection has ended.
    pub fn forget_offer(&mut self, id: ActiveTaskId) {
        if let Some(held) = self
            .active_tasks
            .get(&id)
            .copied()
            .filter(|held| held.stage == Stage::Starting)
        {
            self.active_tasks.remove(&id);
            self.let_go(id.0, &held);
        }
    }

    /// A placer confirms the end of a task.
    pub fn heard(&mut self, id: ActiveTaskId, now: Instant) {
        let Some(held) = self.active_tasks.get(&id).copied() else {
            return;
        };
        if !matches!(held.stage, Stage::Over(_)) {
            return;
        }
        self.active_tasks.remove(&id);
        self.audit.note(held.task, |book| book.heard = Some(now));
        let key = (id.0, held.placer);
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
        let over = ids.filter_map(|id| match self.active_tasks.get(&(worker, *id))?.stage {
            Stage::Over(cause) => Some((*id, cause)),
            Stage::Starting | Stage::Running => None,
        });
        over.collect()
    }

    /// All workers of a zone vanish with what they hold.
    pub fn vanish(&mut self, zone: ZoneId) {
        let zones = self.setup.zones;
        let lost = |id: &ActiveTaskId| id.0.zone(zones) == zone;
        let ids: Vec<ActiveTaskId> = self.active_tasks.keys().copied().filter(lost).collect();
        for id in ids {
            let Some(held) = self.active_tasks.remove(&id) else {
                continue;
            };
            if !matches!(held.stage, Stage::Over(_)) {
                self.audit.note(held.task, |book| {
                    book.vanished = book.vanished.saturating_add(1)
                });
                self.let_go(id.0, &held);
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
    pub fn bring_back(&mut self, zone: ZoneId) {
        let (free_cores, free_memory) = (self.setup.cores, self.setup.memory);
        self.in_zone(zone, |worker| {
            *worker = Worker {
                free_cores,
                free_memory,
                is_removed: false,
                returned: true,
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
