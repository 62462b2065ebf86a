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
mod tick;
mod update;

pub use spec::{HostSpec, Micros, Offer, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
pub use update::{EndReason, TaskUpdate, TaskUpdates};

const SECOND: Micros = 1_000_000;
/// Speed of a host with [`ModelFault::Slow`], as a fraction of its own.
const SLOW_FAULT_SPEED: f64 = 0.1;

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

    fn has_program(&self, service: u64) -> bool {
        self.cached_programs.contains(&service) || self.runs_service(service)
    }

    fn runs_service(&self, service: u64) -> bool {
        self.running
            .values()
            .any(|task| task.offer.service == service)
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
