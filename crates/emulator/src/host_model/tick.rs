//! Changes of a host over time: decisions on offers, starts, ends and evictions.

use super::{
    EndReason, HostModel, Micros, ModelFault, Offer, Resources, TaskUpdate, TaskUpdates, TimedOffer,
};

/// The lower bound of the speed in computations of times, which keeps them finite.
const MIN_SPEED: f64 = 0.01;

impl HostModel {
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

    /// Completes a due decision, rejects offers beyond the length of the queue, and begins the next decision. Returns
    /// whether anything changed.
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

    /// Begins starts up to the limit, and completes one start that is due. Returns whether anything changed.
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
            self.starting.push(TimedOffer { offer, until });
            changed = true;
        }
        if let Some(at) = self.starting.iter().position(|task| task.until <= now) {
            let task = self.starting.remove(at);
            updates.push((task.offer.id, TaskUpdate::Running));
            let until = now + task.offer.run_time;
            self.running
                .insert(task.offer.id, TimedOffer { until, ..task });
            changed = true;
        }
        changed
    }

    /// Ends one task that is complete, and evicts one task if the host drains and an eviction is due. Returns whether
    /// anything changed.
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

    /// Accepts or rejects an offer. If resources are short, tasks of lower priority are preempted if that frees enough.
    fn decide(&mut self, now: Micros, task: TimedOffer, updates: &mut TaskUpdates) {
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

    /// Preempts tasks of lower priority, the lowest first, until an offer fits. Preempts none if the offer would not
    /// fit even then. Returns whether the offer fits.
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
}

/// Returns the reason for rejecting an offer if the free resources are not sufficient for it.
fn shortage(free: Resources, offer: &Offer) -> Option<EndReason> {
    if free.cores < offer.cores {
        Some(EndReason::NoCores)
    } else if free.memory < offer.memory {
        Some(EndReason::NoMemory)
    } else {
        None
    }
}
