//! What the workers hold: pure, and the only place that decides what a worker says.

use super::audit_book::WorkerBooks;
use super::{StandingTask, WorkerSetup};
use crate::feeds::Room;
use crate::identity::{PlacerId, SetupId, TaskIndex, WorkerId, ZoneId};
use crate::wire::cause;
use crate::wire::description::TaskShape;
use crate::wire::lines::{NoRoom, Offer};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// An offer or a task at a worker: the same set-up may come to several workers.
pub type HeldId = (WorkerId, SetupId);
/// Rounding may leave a task short of so little room.
const ROUNDING: f64 = 1e-9;
/// The most tasks that a run can name: a bound on what a placer can make the books hold.
const MOST_TASKS: u32 = 20_000_000;

/// How far a task is at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It starts; its placer waits.
    Starting,
    /// It stands.
    Standing,
    /// It is over, with this cause, and its placer has not confirmed that yet.
    Over(u8),
}

#[derive(Debug, Clone, Copy)]
struct Held {
    task: TaskIndex,
    placer: PlacerId,
    shape: TaskShape,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
struct Worker {
    free_cores: f64,
    free_memory: f64,
    gone: bool,
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
    Full(NoRoom),
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
    held: HashMap<HeldId, Held>,
    /// Ends that placers have not confirmed.
    unheard: HashMap<(WorkerId, PlacerId), Vec<SetupId>>,
    unheard_count: usize,
    in_hand: usize,
    changed: BTreeSet<WorkerId>,
    frozen: bool,
    /// What was noted so far.
    pub books: WorkerBooks,
}

impl Fleet {
    /// Workers that hold these tasks.
    pub fn new(setup: WorkerSetup, standing: &[StandingTask]) -> Fleet {
        let worker = Worker {
            free_cores: setup.cores,
            free_memory: setup.memory,
            gone: false,
            returned: false,
        };
        let mut fleet = Fleet {
            workers: vec![worker; setup.workers as usize],
            setup,
            held: HashMap::with_capacity(2 * standing.len()),
            unheard: HashMap::new(),
            unheard_count: 0,
            in_hand: 0,
            changed: BTreeSet::new(),
            frozen: false,
            books: WorkerBooks::default(),
        };
        for StandingTask {
            task,
            worker,
            placer,
            shape,
        } in standing
        {
            let held = Held {
                task: *task,
                placer: *placer,
                shape: *shape,
                stage: Stage::Standing,
            };
            fleet.hold((*worker, SetupId::new(*task, 0)), held);
            fleet.books.note(*task, |book| book.starts += 1);
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
    pub fn unheard_count(&self) -> usize {
        self.unheard_count
    }

    /// Whether a worker is not there.
    pub fn gone(&self, worker: WorkerId) -> bool {
        self.workers
            .get(worker.index())
            .is_none_or(|worker| worker.gone)
    }

    /// The rooms that have changed since the last look.
    pub fn take_changed_rooms(&mut self) -> Vec<Room> {
        let changed = std::mem::take(&mut self.changed).into_iter();
        let rooms = changed.filter_map(|worker| {
            let Worker {
                free_cores,
                free_memory,
                ..
            } = *self.workers.get(worker.index())?;
            Some(Room {
                worker,
                free_cores,
                free_memory,
            })
        });
        rooms.collect()
    }

    /// The tasks that stand, and how long each still does.
    pub fn lives(&self) -> impl Iterator<Item = (HeldId, Duration)> {
        let standing = self
            .held
            .iter()
            .filter(|(_, held)| held.stage == Stage::Standing);
        standing.map(|(id, held)| (*id, held.shape.life))
    }

    fn hold(&mut self, id: HeldId, held: Held) {
        self.held.insert(id, held);
        self.books.note(held.task, |book| book.held += 1);
        self.in_hand += 1;
        self.use_room(id.0, held.shape, 1.0);
    }

    /// A task gives its room back.
    fn let_go(&mut self, worker: WorkerId, held: &Held) {
        self.books
            .note(held.task, |book| book.held = book.held.saturating_sub(1));
        self.in_hand = self.in_hand.saturating_sub(1);
        self.use_room(worker, held.shape, -1.0);
    }

    fn use_room(&mut self, id: WorkerId, shape: TaskShape, sign: f64) {
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
            .filter(|worker| !worker.gone)
        else {
            return OfferReply::Silent;
        };
        let task = TaskIndex::of_key(offer.key).filter(|task| task.0 < MOST_TASKS);
        let (Some(task), Some(shape)) = (task, TaskShape::read(&offer.description)) else {
            self.books.bad_offers += 1;
            return OfferReply::Unreadable;
        };
        if self.held.contains_key(&(id, offer.id)) {
            self.books.bad_offers += 1;
            return OfferReply::Silent;
        }
        let why = if worker.free_cores + ROUNDING < shape.cores {
            Some(NoRoom::Cores)
        } else {
            (worker.free_memory + ROUNDING < shape.memory).then_some(NoRoom::Memory)
        };
        if let Some(why) = why {
            self.books
                .note(task, |book| book.refusals = book.refusals.saturating_add(1));
            return OfferReply::Full(why);
        }
        self.hold(
            (id, offer.id),
            Held {
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
    pub fn answer(&mut self, id: HeldId) -> Option<Duration> {
        let held = self
            .held
            .get_mut(&id)
            .filter(|held| held.stage == Stage::Starting)?;
        held.stage = Stage::Standing;
        let (task, life) = (held.task, held.shape.life);
        self.books
            .note(task, |book| book.starts = book.starts.saturating_add(1));
        if self
            .workers
            .get(id.0.index())
            .is_some_and(|worker| worker.returned)
        {
            self.books.starts_after_return += 1;
        }
        Some(life)
    }

    /// The end of a task is due: its placer, if it still stands and tasks may end.
    pub fn end(&mut self, id: HeldId) -> Option<PlacerId> {
        if self.frozen {
            return None;
        }
        let held = self
            .held
            .get(&id)
            .copied()
            .filter(|held| held.stage == Stage::Standing)?;
        self.books
            .note(held.task, |book| book.ended = book.ended.saturating_add(1));
        self.finish(id, &held, cause::NORMAL);
        Some(held.placer)
    }

    /// A task that stood is over; its placer is to hear of it.
    fn finish(&mut self, id: HeldId, held: &Held, cause: u8) {
        self.let_go(id.0, held);
        self.held.insert(
            id,
            Held {
                stage: Stage::Over(cause),
                ..*held
            },
        );
        self.unheard
            .entry((id.0, held.placer))
            .or_default()
            .push(id.1);
        self.unheard_count += 1;
    }

    /// A placer gives an offer up, or ends a task.
    pub fn release(&mut self, id: HeldId) -> ReleaseReply {
        let Some(held) = self.held.get(&id).copied() else {
            return ReleaseReply::Nothing;
        };
        match held.stage {
            Stage::Starting => {
                self.forget_offer(id);
                ReleaseReply::Nothing
            }
            Stage::Standing => {
                self.books
                    .note(held.task, |book| book.cut = book.cut.saturating_add(1));
                self.finish(id, &held, cause::CANCELLED);
                ReleaseReply::Ended(cause::CANCELLED)
            }
            Stage::Over(cause) => ReleaseReply::Ended(cause),
        }
    }

    /// An offer that was not answered yet is given up, or its connection has ended.
    pub fn forget_offer(&mut self, id: HeldId) {
        if let Some(held) = self
            .held
            .get(&id)
            .copied()
            .filter(|held| held.stage == Stage::Starting)
        {
            self.held.remove(&id);
            self.let_go(id.0, &held);
        }
    }

    /// A placer confirms the end of a task.
    pub fn heard(&mut self, id: HeldId, now: Instant) {
        let Some(held) = self.held.get(&id).copied() else {
            return;
        };
        if !matches!(held.stage, Stage::Over(_)) {
            return;
        }
        self.held.remove(&id);
        self.books.note(held.task, |book| book.heard = Some(now));
        let key = (id.0, held.placer);
        let Some(ids) = self.unheard.get_mut(&key) else {
            return;
        };
        let before = ids.len();
        ids.retain(|other| *other != id.1);
        self.unheard_count = self.unheard_count.saturating_sub(before - ids.len());
        if ids.is_empty() {
            self.unheard.remove(&key);
        }
    }

    /// The ends at a worker that a placer has not confirmed, with their causes: a new connection begins with
    /// them.
    pub fn unheard(&self, worker: WorkerId, placer: PlacerId) -> Vec<(SetupId, u8)> {
        let ids = self.unheard.get(&(worker, placer)).into_iter().flatten();
        let over = ids.filter_map(|id| match self.held.get(&(worker, *id))?.stage {
            Stage::Over(cause) => Some((*id, cause)),
            Stage::Starting | Stage::Standing => None,
        });
        over.collect()
    }

    /// All workers of a zone vanish with what they hold.
    pub fn vanish(&mut self, zone: ZoneId) {
        let zones = self.setup.zones;
        let lost = |id: &HeldId| id.0.zone(zones) == zone;
        let ids: Vec<HeldId> = self.held.keys().copied().filter(lost).collect();
        for id in ids {
            let Some(held) = self.held.remove(&id) else {
                continue;
            };
            if !matches!(held.stage, Stage::Over(_)) {
                self.books.note(held.task, |book| {
                    book.vanished = book.vanished.saturating_add(1)
                });
                self.let_go(id.0, &held);
            }
        }
        self.unheard.retain(|(worker, _), ids| {
            let keep = worker.zone(zones) != zone;
            self.unheard_count -= if keep { 0 } else { ids.len() };
            keep
        });
        self.in_zone(zone, |worker| worker.gone = true);
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
                gone: false,
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
