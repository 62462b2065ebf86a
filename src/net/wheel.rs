//! A wheel of coarse ticks: all the timers of the network side, with no timer of the system's per request.

use task_placer::Micros;

/// Length of a tick.
pub const TICK: Micros = 5_000;
const SLOTS: usize = 1_024;

/// Items by the tick in which they are due. An item is never early and at most a tick late.
pub struct Wheel<T> {
    slots: Vec<Vec<(i64, T)>>,
    /// The last tick that was handed out.
    done: i64,
}

impl<T> Wheel<T> {
    /// An empty wheel that starts at `now`.
    pub fn new(now: Micros) -> Wheel<T> {
        Wheel {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            done: now / TICK,
        }
    }

    /// Adds an item that is due at `at`.
    pub fn add(&mut self, at: Micros, item: T) {
        let tick = (at / TICK).saturating_add(1).max(self.done + 1);
        if let Some(slot) = self.slots.get_mut(tick.rem_euclid(SLOTS as i64) as usize) {
            slot.push((tick, item));
        }
    }

    /// Takes the items that are due by `now`, in the order of their ticks.
    pub fn due(&mut self, now: Micros) -> Vec<T> {
        let until = now / TICK;
        // After a long stall one turn visits every slot; what is due is then sorted by its tick.
        let first = (self.done + 1).max(until.saturating_sub(SLOTS as i64 - 1));
        let mut due = Vec::new();
        for tick in first..=until {
            if let Some(slot) = self.slots.get_mut(tick.rem_euclid(SLOTS as i64) as usize) {
                due.extend(slot.extract_if(.., |(at, _)| *at <= until));
            }
        }
        self.done = self.done.max(until);
        due.sort_by_key(|(tick, _)| *tick);
        due.into_iter().map(|(_, item)| item).collect()
    }
}

#[cfg(test)]
mod tests;
