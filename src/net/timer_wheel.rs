//! A timer wheel with coarse ticks. It holds all timers of the network side, so that no system timer is needed for each
//! request.

use task_placer::Micros;

/// Length of a tick in microseconds.
pub const TICK: Micros = 5_000;
/// Number of slots of the wheel, which is the number of ticks per turn.
const SLOTS: usize = 1_024;
/// The capacity that an empty slot keeps at most. After a burst of timers, all slots would otherwise keep their memory.
const MAX_IDLE_CAPACITY: usize = 64;

/// Items grouped by the tick in which they are due. An item is never returned early, and is at most one tick late.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(i64, T)>>,
    /// The last tick whose items have been returned.
    last_tick: i64,
    /// The number of items.
    len: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel that starts at `now`.
    pub fn new(now: Micros) -> TimerWheel<T> {
        TimerWheel {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            last_tick: now / TICK,
            len: 0,
        }
    }

    /// Adds an item that is due at `at`.
    pub fn add(&mut self, at: Micros, item: T) {
        let tick = (at / TICK).saturating_add(1).max(self.last_tick + 1);
        if let Some(slot) = self.slot_mut(tick) {
            slot.push((tick, item));
            self.len += 1;
        }
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Removes the items that do not meet the condition.
    pub fn retain(&mut self, condition: impl Fn(&T) -> bool) {
        self.len = 0;
        for slot in &mut self.slots {
            slot.retain(|(_, item)| condition(item));
            slot.shrink_to_fit();
            self.len += slot.len();
        }
    }

    fn slot_mut(&mut self, tick: i64) -> Option<&mut Vec<(i64, T)>> {
        self.slots.get_mut(tick.rem_euclid(SLOTS as i64) as usize)
    }

    /// Removes and returns the items that are due by `now`, in the order of their ticks.
    pub fn due(&mut self, now: Micros) -> Vec<T> {
        let until = now / TICK;
        // After a stall longer than one turn, each slot is visited once, so the due items are sorted by tick
        // afterwards.
        let first = (self.last_tick + 1).max(until.saturating_sub(SLOTS as i64 - 1));
        let mut due = Vec::new();
        for tick in first..=until {
            if let Some(slot) = self.slot_mut(tick) {
                due.extend(slot.extract_if(.., |(at, _)| *at <= until));
                if slot.is_empty() {
                    slot.shrink_to(MAX_IDLE_CAPACITY);
                }
            }
        }
        self.len = self.len.saturating_sub(due.len());
        self.last_tick = self.last_tick.max(until);
        due.sort_by_key(|(tick, _)| *tick);
        due.into_iter().map(|(_, item)| item).collect()
    }
}

#[cfg(test)]
mod tests;
