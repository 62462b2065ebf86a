//! Model of a host: a pure state machine driven by offers, faults and the time.
//!
//! The host decides on one offer at a time and queues a limited number. It accepts while the requested cores
//! and memory fit, and reports a task as running only once it has started. Starts are limited in number and
//! take longer without a cached program. Higher priorities may preempt lower ones. A draining host evicts its
//! tasks one by one. A host that comes up cold is slow at first and crashes when it is offered far more than
//! it can start. The model has no sockets and no clock of its own.

mod spec;
#[cfg(test)]
mod tests;

pub use spec::{HostSpec, Micros, Offer, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

const SECOND: Micros = 1_000_000;
/// Speed of a host with [`ModelFault::Slow`], as a fraction of its own.
const SLOW_FAULT_SPEED: f64 = 0.1;
/// Speeds below this count as this, so that times stay finite.
const MIN_SPEED: f64 = 0.01;

/// Why a task ended, or never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Too many offers were queued.
    QueueFull,
    /// The host is draining.
    Draining,
    /// The placer no longer waits for the reply.
    Expired,
    /// The host rejects every offer because of a fault.
    RejectFault,
    /// Too few free cores.
    NoCores,
    /// Too little free memory.
    NoMemory,
    /// The host was short of memory.
    Evicted,
    /// The host drained.
    Drained,
    /// A task of higher priority took its place.
    Preempted,
    /// The task was complete.
    Completed,
    /// The placer stopped it.
    Stopped,
    /// The host was lost.
    HostLost,
}

impl EndReason {
    /// The number of the cause on the wire.
    pub fn cause(self) -> u8 {
        match self {
            EndReason::QueueFull
            | EndReason::Draining
            | EndReason::Expired
            | EndReason::RejectFault
            | EndReason::NoCores
            | EndReason::NoMemory => 34,
            EndReason::Evicted | EndReason::Drained | EndReason::Preempted => 41,
            EndReason::Completed => 16,
            EndReason::Stopped => 31,
            EndReason::HostLost => 43,
        }
    }

    /// The note on the wire; empty where there is none.
    pub fn note(self) -> &'static str {
        match self {
            EndReason::QueueFull => "nq",
            EndReason::Draining | EndReason::Expired => "nh",
            EndReason::RejectFault | EndReason::NoCores => "nc",
            EndReason::NoMemory => "nm",
            EndReason::Evicted => "ev",
            EndReason::Drained => "dr",
            EndReason::Preempted => "pre",
            EndReason::Completed | EndReason::Stopped | EndReason::HostLost => "",
        }
    }
}

/// What a host reports of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskUpdate {
    /// It runs.
    Running,
    /// It was rejected, or it has ended.
    Ended(EndReason),
}

/// An update and the id of its task.
pub type TaskUpdates = Vec<(u64, TaskUpdate)>;

/// A fault of the host itself. Faults of its connections are not the model's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelFault {
    /// It rejects every offer.
    Reject,
    /// Everything takes ten times as long.
    Slow,
}

/// Whether a host starts at full speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It begins with a slow start.
    Cold,
    /// It has been up for long.
    Warm,
}

/// What a stop request found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The task had not started.
    NotStarted,
    /// The task was running.
    Running,
    /// The task is not on this host.
    Unknown,
}

/// An offer in a stage that ends by itself.
#[derive(Debug, Clone, PartialEq)]
struct Timed {
    offer: Offer,
    /// When the stage ends; for a queued offer, when it came.
    until: Micros,
}

/// One host.
#[derive(Debug, Clone)]
pub struct HostModel {
    spec: HostSpec,
    started_at: Micros,
    warmth: Warmth,
    queued: VecDeque<Timed>,
    /// The offer being decided on.
    deciding: Option<Timed>,
    /// Accepted, and waiting for a free start.
    accepted: VecDeque<Offer>,
    starting: Vec<Timed>,
    running: BTreeMap<u64, Timed>,
    /// Programs without a task, the most recently used last.
    cached_programs: VecDeque<u64>,
    /// When the next task is evicted, while draining.
    next_drain_eviction: Option<Micros>,
    fault: Option<ModelFault>,
    /// Offers of the last second of a slow start: when, and the work of their starts in seconds.
    recent_offers: VecDeque<(Micros, f64)>,
    down: bool,
}

impl HostModel {
    /// Returns a host that comes up at `now`.
    pub fn new(spec: HostSpec, now: Micros, warmth: Warmth) -> HostModel {
        HostModel {
            spec,
            started_at: now,
            warmth,
            queued: VecDeque::new(),
            deciding: None,
            accepted: VecDeque::new(),
            starting: Vec::new(),
            running: BTreeMap::new(),
            cached_programs: VecDeque::new(),
            next_drain_eviction: None,
            fault: None,
            recent_offers: VecDeque::new(),
            down: false,
        }
    }

    /// Sets or clears a fault.
    pub fn set_fault(&mut self, fault: Option<ModelFault>) {
        self.fault = fault;
    }

    /// Begins to drain; the first eviction follows after the drain interval.
    pub fn start_draining(&mut self, now: Micros) {
        self.next_drain_eviction = Some(now + self.spec.drain_interval);
    }

    /// Takes offers again.
    pub fn stop_draining(&mut self) {
        self.next_drain_eviction = None;
    }

    /// Whether an overload has crashed it.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Returns the cores and memory that no task has requested.
    pub fn free(&self) -> Resources {
        let admitted = self.admitted();
        let sum = |requested: fn(&Offer) -> f64| admitted.clone().map(requested).sum::<f64>();
        Resources {
            cores: self.spec.cores - sum(|offer| offer.cores),
            memory: self.spec.memory - sum(|offer| offer.memory),
        }
    }

    /// Returns the ids of the running tasks.
    pub fn running_ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.keys().copied()
    }

    /// Returns the requested fraction of its cores.
    pub fn load(&self) -> f64 {
        1.0 - self.free().cores / self.spec.cores
    }

    /// Offers that were accepted, in whatever stage.
    fn admitted(&self) -> impl Iterator<Item = &Offer> + Clone {
        let starting = self.starting.iter().map(|task| &task.offer);
        self.accepted
            .iter()
            .chain(starting)
            .chain(self.running.values().map(|task| &task.offer))
    }

    /// The current speed, as a fraction of the full speed.
    fn speed(&self, now: Micros) -> f64 {
        let fault_speed = match self.fault {
            Some(ModelFault::Slow) => SLOW_FAULT_SPEED,
            _ => 1.0,
        };
        if self.warmth == Warmth::Warm {
            return fault_speed;
        }
        let elapsed = (now - self.started_at) as f64 / self.spec.slow_start.max(1) as f64;
        let floor = self.spec.slow_start_floor;
        fault_speed * (floor + (1.0 - floor) * elapsed.clamp(0.0, 1.0))
    }

    /// Takes an offer that has arrived completely; updates on it come with the next tick. Returns true if it
    /// has overloaded and crashed the host.
    pub fn offer(&mut self, now: Micros, offer: Offer) -> bool {
        if self.in_slow_start(now) && self.overloads(now) {
            self.down = true;
            return true;
        }
        self.queued.push_back(Timed { offer, until: now });
        false
    }

    fn in_slow_start(&self, now: Micros) -> bool {
        self.warmth == Warmth::Cold && now - self.started_at < self.spec.slow_start
    }

    /// Records an offer and returns whether the offers of the last second exceed what the host tolerates.
    fn overloads(&mut self, now: Micros) -> bool {
        let work = self.spec.warm_start as f64 / SECOND as f64;
        self.recent_offers.push_back((now, work));
        while self
            .recent_offers
            .front()
            .is_some_and(|(at, _)| now - at > SECOND)
        {
            self.recent_offers.pop_front();
        }
        let offered: f64 = self.recent_offers.iter().map(|(_, work)| work).sum();
        let capacity = self.spec.max_concurrent_starts as f64 * self.speed(now);
        self.recent_offers.len() > self.spec.always_tolerated_offers
            && offered > self.spec.overload_factor * capacity
    }

    /// Withdraws an offer, or stops a running task.
    pub fn stop(&mut self, id: u64) -> StopOutcome {
        let is_it = |task: &Timed| task.offer.id == id;
        if let Some(at) = self.queued.iter().position(is_it) {
            self.queued.remove(at);
            return StopOutcome::NotStarted;
        }
        if self.deciding.as_ref().is_some_and(is_it) {
            self.deciding = None;
            return StopOutcome::NotStarted;
        }
        if let Some(at) = self.accepted.iter().position(|offer| offer.id == id) {
            self.accepted.remove(at);
            return StopOutcome::NotStarted;
        }
        if let Some(at) = self.starting.iter().position(is_it) {
            self.starting.remove(at);
            return StopOutcome::NotStarted;
        }
        match self.running.remove(&id) {
            Some(task) => {
                self.cache_program(task.offer.service);
                StopOutcome::Running
            }
            None => StopOutcome::Unknown,
        }
    }

    /// Evicts tasks, the lowest priorities first and the youngest of each, as a host short of memory does.
    pub fn evict(&mut self, count: usize) -> TaskUpdates {
        let mut candidates: Vec<(u8, u64)> = self
            .running
            .iter()
            .map(|(id, task)| (task.offer.priority, *id))
            .collect();
        candidates.sort_by_key(|(priority, id)| (*priority, Reverse(*id)));
        candidates.truncate(count);
        candidates
            .into_iter()
            .filter(|(_, id)| self.stop(*id) == StopOutcome::Running)
            .map(|(_, id)| (id, TaskUpdate::Ended(EndReason::Evicted)))
            .collect()
    }

    /// Returns when the next change is due.
    pub fn next_due(&self) -> Option<Micros> {
        let deciding = self.deciding.iter().map(|task| task.until);
        let starting = self.starting.iter().map(|task| task.until);
        let running = self.running.values().map(|task| task.until);
        let draining = self
            .next_drain_eviction
            .filter(|_| !self.running.is_empty());
        let queued = self
            .queued
            .front()
            .filter(|_| self.deciding.is_none())
            .map(|task| task.until);
        deciding
            .chain(starting)
            .chain(running)
            .chain(draining)
            .chain(queued)
            .min()
    }

    /// Makes all changes that are due at `now`, and returns the updates to report.
    pub fn tick(&mut self, now: Micros) -> TaskUpdates {
        let mut updates = Vec::new();
        loop {
            let admitted = self.tick_admission(now, &mut updates);
            let started = self.tick_starts(now, &mut updates);
            let ended = self.tick_ends(now, &mut updates);
            if !(admitted || started || ended) {
                return updates;
            }
        }
    }

    /// Decides on one offer at a time. Returns whether anything changed.
    fn tick_admission(&mut self, now: Micros, updates: &mut TaskUpdates) -> bool {
        let mut changed = false;
        if self.deciding.as_ref().is_some_and(|task| task.until <= now)
            && let Some(task) = self.deciding.take()
        {
            self.decide(now, task, updates);
            changed = true;
        }
        while self.queued.len() > self.spec.max_queued_offers
            && let Some(youngest) = self.queued.pop_back()
        {
            updates.push((youngest.offer.id, TaskUpdate::Ended(EndReason::QueueFull)));
            changed = true;
        }
        if self.deciding.is_none()
            && let Some(mut task) = self.queued.pop_front()
        {
            let time = self.spec.admission_time as f64 / self.speed(now).max(MIN_SPEED);
            task.until = now + time as Micros;
            self.deciding = Some(task);
            changed = true;
        }
        changed
    }

    /// Begins starts and completes one that is due. Returns whether anything changed.
    fn tick_starts(&mut self, now: Micros, updates: &mut TaskUpdates) -> bool {
        let mut changed = false;
        while self.starting.len() < self.spec.max_concurrent_starts
            && let Some(offer) = self.accepted.pop_front()
        {
            let factor = if self.has_program(offer.service) {
                1.0
            } else {
                self.spec.cold_start_factor
            };
            let time = self.spec.warm_start as f64 * factor / self.speed(now).max(MIN_SPEED);
            self.cached_programs
                .retain(|service| *service != offer.service);
            let until = now + time as Micros;
            self.starting.push(Timed { offer, until });
            changed = true;
        }
        if let Some(at) = self.starting.iter().position(|task| task.until <= now) {
            let task = self.starting.remove(at);
            updates.push((task.offer.id, TaskUpdate::Running));
            let until = now + task.offer.run_time;
            self.running.insert(task.offer.id, Timed { until, ..task });
            changed = true;
        }
        changed
    }

    /// Ends one complete task, and evicts one where the host drains. Returns whether anything changed.
    fn tick_ends(&mut self, now: Micros, updates: &mut TaskUpdates) -> bool {
        let mut changed = false;
        let complete = self.running.iter().find(|(_, task)| task.until <= now);
        if let Some(id) = complete.map(|(id, _)| *id) {
            self.stop(id);
            updates.push((id, TaskUpdate::Ended(EndReason::Completed)));
            changed = true;
        }
        if self.next_drain_eviction.is_some_and(|at| at <= now)
            && let Some(id) = self.running.keys().next().copied()
        {
            self.stop(id);
            updates.push((id, TaskUpdate::Ended(EndReason::Drained)));
            self.next_drain_eviction = Some(now + self.spec.drain_interval);
            changed = true;
        }
        changed
    }

    fn has_program(&self, service: u64) -> bool {
        self.cached_programs.contains(&service) || self.runs_service(service)
    }

    fn runs_service(&self, service: u64) -> bool {
        self.running
            .values()
            .any(|task| task.offer.service == service)
    }

    /// Accepts or rejects an offer, preempting others where that is enough.
    fn decide(&mut self, now: Micros, task: Timed, updates: &mut TaskUpdates) {
        let expired = now - task.until > task.offer.time_left;
        let offer = task.offer;
        let rejected = if self.next_drain_eviction.is_some() {
            Some(EndReason::Draining)
        } else if self.fault == Some(ModelFault::Reject) {
            Some(EndReason::RejectFault)
        } else if expired {
            Some(EndReason::Expired)
        } else {
            shortage(self.free(), &offer)
        };
        let Some(reason) = rejected else {
            return self.accepted.push_back(offer);
        };
        let is_short = matches!(reason, EndReason::NoCores | EndReason::NoMemory);
        if is_short && self.spec.preempts && self.preempt_for(&offer, updates) {
            return self.accepted.push_back(offer);
        }
        updates.push((offer.id, TaskUpdate::Ended(reason)));
    }

    /// Preempts as few tasks of lower priority as make space for an offer, the lowest first; none if all of
    /// them together do not. Returns whether there is space.
    fn preempt_for(&mut self, offer: &Offer, updates: &mut TaskUpdates) -> bool {
        let mut lower: Vec<(u8, u64)> = self
            .running
            .iter()
            .filter(|(_, task)| task.offer.priority < offer.priority)
            .map(|(id, task)| (task.offer.priority, *id))
            .collect();
        lower.sort_unstable();
        let mut free = self.free();
        let mut victims = Vec::new();
        for (_, id) in lower {
            if shortage(free, offer).is_none() {
                break;
            }
            if let Some(task) = self.running.get(&id) {
                free.cores += task.offer.cores;
                free.memory += task.offer.memory;
                victims.push(id);
            }
        }
        if shortage(free, offer).is_some() {
            return false;
        }
        for id in victims {
            self.stop(id);
            updates.push((id, TaskUpdate::Ended(EndReason::Preempted)));
        }
        true
    }

    /// Caches the program of a service whose last task is gone, within the limit.
    fn cache_program(&mut self, service: u64) {
        if self.runs_service(service) {
            return;
        }
        self.cached_programs.retain(|cached| *cached != service);
        self.cached_programs.push_back(service);
        while self.cached_programs.len() > self.spec.max_cached_programs {
            self.cached_programs.pop_front();
        }
    }
}

/// Which resource an offer lacks, if any.
fn shortage(free: Resources, offer: &Offer) -> Option<EndReason> {
    if free.cores < offer.cores {
        Some(EndReason::NoCores)
    } else if free.memory < offer.memory {
        Some(EndReason::NoMemory)
    } else {
        None
    }
}
