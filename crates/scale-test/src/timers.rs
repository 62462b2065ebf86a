//! One queue of everything that is due at a time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

struct Timer<T> {
    at: Instant,
    /// Tells timers of one instant apart: the first that was added goes off first.
    number: u64,
    what: T,
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> Eq for Timer<T> {}

impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timer<T> {
    /// Reversed: the heap hands out its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Timers in the order of their times. None is taken back: whoever takes one out looks whether it still
/// means anything.
pub struct TimerQueue<T> {
    heap: BinaryHeap<Timer<T>>,
    next: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a timer.
    pub fn add(&mut self, at: Instant, what: T) {
        self.heap.push(Timer {
            at,
            number: self.next,
            what,
        });
        self.next += 1;
    }

    /// Takes the next timer that is due by now, and when it was due.
    pub fn pop_due(&mut self, now: Instant) -> Option<(Instant, T)> {
        if self.heap.peek()?.at > now {
            return None;
        }
        self.heap.pop().map(|timer| (timer.at, timer.what))
    }

    /// How long until the next timer, at most so long.
    pub fn wait(&self, now: Instant, most: Duration) -> Duration {
        self.heap.peek().map_or(most, |timer| {
            timer.at.saturating_duration_since(now).min(most)
        })
    }
}

#[cfg(test)]
mod tests;
