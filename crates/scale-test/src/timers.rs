//! A queue of timers, ordered by their times. Pure: time is an argument.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

struct Timer<T> {
    due: Instant,
    /// Orders timers of the same instant: the one that was added first fires first.
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
    /// Reversed, because the heap returns its greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

/// Timers in the order of their times. Timers cannot be cancelled: the caller checks whether a timer that fires is
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
    /// Adds a timer.
    pub fn add(&mut self, due: Instant, event: T) {
        self.heap.push(Timer {
            due,
            sequence: self.next_sequence,
            event,
        });
        self.next_sequence += 1;
    }

    /// Removes the next timer if it is due. Returns when it was due, and its event.
    pub fn pop_due(&mut self, now: Instant) -> Option<(Instant, T)> {
        if self.heap.peek()?.due > now {
            return None;
        }
        self.heap.pop().map(|timer| (timer.due, timer.event))
    }

    /// Returns the time until the next timer, limited to a maximum.
    pub fn wait(&self, now: Instant, max_wait: Duration) -> Duration {
        self.heap.peek().map_or(max_wait, |timer| {
            timer.due.saturating_duration_since(now).min(max_wait)
        })
    }
}

#[cfg(test)]
mod tests;
