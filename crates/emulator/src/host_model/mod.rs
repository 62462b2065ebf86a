//! Model of a host: a pure state machine that is driven by offers, faults and the time.
//!
//! The host decides on one offer at a time and queues a limited number of offers. It accepts an offer if the requested
//! cores and memory are free, and reports the task as running only once it has started. The number of concurrent starts
//! is limited, and a start takes longer if the program is not cached. Tasks of higher priority may preempt tasks of
//! lower priority. A draining host evicts its tasks one by one. A host with a slow start is slow at first, and crashes
//! if it is offered far more than it can start. The model uses no sockets and no clock.

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
/// The speed of a host with [`ModelFault::Slow`], as a fraction of its normal speed.
const SLOW_FAULT_SPEED: f64 = 0.1;

/// A fault of the host itself. Faults of its connections are not part of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelFault {
    /// The host rejects every offer.
    Reject,
    /// Decisions and starts take ten times as long.
    Slow,
}

/// Whether a host begins with a slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// The host begins with a slow start.
    Cold,
    /// The host has been up for a long time and has its full speed.
    Warm,
}

/// The state in which a request to stop a task found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The task had not started.
    NotStarted,
    /// The task was running.
    Running,
    /// The task is not on this host.
    Unknown,
}

/// An offer in a stage that ends at a known time, or in the queue.
#[derive(Debug, Clone, PartialEq)]
struct TimedOffer {
    offer: Offer,
    /// The time at which the stage ends, or for a queued offer the time at which it arrived.
    until: Micros,
}

/// The state of one host.
#[derive(Debug, Clone)]
pub struct HostModel {
    spec: HostSpec,
    started_at: Micros,
    warmth: Warmth,
    queued: VecDeque<TimedOffer>,
    /// The offer that the host is deciding on.
    deciding: Option<TimedOffer>,
    /// The accepted offers that wait until fewer tasks are starting.
    accepted: VecDeque<Offer>,
    starting: Vec<TimedOffer>,
    running: BTreeMap<u64, TimedOffer>,
    /// The services whose programs are cached without a running task, the most recently used last.
    cached_programs: VecDeque<u64>,
    /// The time of the next eviction, while the host drains.
    next_drain_eviction: Option<Micros>,
    fault: Option<ModelFault>,
    /// The offers of the last second during a slow start: the time of each, and the work of its start in seconds.
    recent_offers: VecDeque<(Micros, f64)>,
    down: bool,
}

impl HostModel {
    /// Returns the model of a host that starts at `now`.
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

    /// Starts to drain the host. The first eviction follows after the drain interval.
    pub fn start_draining(&mut self, now: Micros) {
        self.next_drain_eviction = Some(now + self.spec.drain_interval);
    }

    /// Ends the drain, so that the host accepts offers again.
    pub fn stop_draining(&mut self) {
        self.next_drain_eviction = None;
    }

    /// Returns whether an overload has crashed the host.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Returns the cores and memory that no accepted task has requested.
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

    /// Returns the requested fraction of the host's cores.
    pub fn load(&self) -> f64 {
        1.0 - self.free().cores / self.spec.cores
    }

    /// Returns all offers that were accepted and have not ended: those waiting, starting and running.
    fn admitted(&self) -> impl Iterator<Item = &Offer> + Clone {
        let starting = self.starting.iter().map(|task| &task.offer);
        self.accepted
            .iter()
            .chain(starting)
            .chain(self.running.values().map(|task| &task.offer))
    }

    /// Returns the current speed, as a fraction of the full speed.
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

    /// Adds an offer that has been received completely; its updates are returned by the next tick. Returns true if the
    /// offer has overloaded and crashed the host.
    pub fn offer(&mut self, now: Micros, offer: Offer) -> bool {
        if self.in_slow_start(now) && self.overloads(now) {
            self.down = true;
            return true;
        }
        self.queued.push_back(TimedOffer { offer, until: now });
        false
    }

    fn in_slow_start(&self, now: Micros) -> bool {
        self.warmth == Warmth::Cold && now - self.started_at < self.spec.slow_start
    }

    /// Records an offer, and returns whether the offers of the last second exceed what the host tolerates.
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

    /// Withdraws an offer that has not started, or stops a running task.
    pub fn stop(&mut self, id: u64) -> StopOutcome {
        let has_id = |task: &TimedOffer| task.offer.id == id;
        if let Some(at) = self.queued.iter().position(has_id) {
            self.queued.remove(at);
            return StopOutcome::NotStarted;
        }
        if self.deciding.as_ref().is_some_and(has_id) {
            self.deciding = None;
            return StopOutcome::NotStarted;
        }
        if let Some(at) = self.accepted.iter().position(|offer| offer.id == id) {
            self.accepted.remove(at);
            return StopOutcome::NotStarted;
        }
        if let Some(at) = self.starting.iter().position(has_id) {
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

    /// Evicts up to `count` running tasks, as a host that is short of memory does. Tasks of the lowest priority are
    /// evicted first, and among them the one with the highest id, which is the youngest.
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

    /// Returns the time at which the next change is due, if any.
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

    /// Caches the program of a service whose last task has ended, and evicts the least recently used programs beyond
    /// the limit.
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
