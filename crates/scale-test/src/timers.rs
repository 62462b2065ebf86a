//! A queue of timers, ordered by due time. It reads no clock: the caller passes the current time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

struct Timer<T> {
    due: Instant,
    /// The order of addition. Among timers that are due at the same instant, the one that was added first fires first.
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Timer<T> {}

impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timer<T> {
    /// Compares in reverse order, because the heap returns its greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

/// A queue of timers, ordered by due time. Timers cannot be cancelled: the caller checks whether a timer that fires is
/// still relevant.
pub struct TimerQueue<T> {
    heap: BinaryHeap<Timer<T>>,
    next_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a timer that fires at `due` with this event.
    pub fn add(&mut self, due: Instant, event: T) {
        self.heap.push(Timer {
            due,
            sequence: self.next_sequence,
            event,
        });
        self.next_sequence += 1;
    }

    /// Removes the next timer if it is due, and returns its due time and its event.
    pub fn pop_due(&mut self, now: Instant) -> Option<(Instant, T)> {
        if self.heap.peek()?.due > now {
            return None;
        }
        self.heap.pop().map(|timer| (timer.due, timer.event))
    }

    /// Returns the time until the next timer is due, but at most `max_wait`.
    pub fn wait(&self, now: Instant, max_wait: Duration) -> Duration {
        self.heap.peek().map_or(max_wait, |timer| {
            timer.due.saturating_duration_since(now).min(max_wait)
        })
    }
}

#[cfg(test)]
mod tests;
