//! Measures the lag of the event loop, which bounds how long input that is read now may have been waiting. Pure: time
//! is an argument.
//!
//! A client's time budget starts when it sends its request. The operating system does not report when the request
//! arrived, but it cannot have waited longer than the event loop was not running, because the process was stopped or
//! got no CPU.

use crate::net::timer_wheel::TICK;
use task_placer::Micros;

/// The longest gap between two ticks that does not count as a stall.
const MAX_NORMAL_GAP: Micros = 4 * TICK;
/// How long after a stall input that arrived during the stall may still be unread, because other connections are read
/// first.
const CATCH_UP_TIME: Micros = 50_000;

/// The gaps between the ticks of the event loop.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoopLag {
    last_tick: Micros,
    /// The start and the end of the last gap that was longer than `MAX_NORMAL_GAP`.
    last_stall: Option<(Micros, Micros)>,
}

impl LoopLag {
    /// Creates the lag measurement of an event loop that starts at `now`.
    pub(super) fn new(now: Micros) -> LoopLag {
        LoopLag {
            last_tick: now,
            last_stall: None,
        }
    }

    /// Records a tick of the event loop.
    pub(super) fn tick(&mut self, now: Micros) {
        if now - self.last_tick > MAX_NORMAL_GAP {
            self.last_stall = Some((self.last_tick, now));
        }
        self.last_tick = now;
    }

    /// Returns the longest time for which input that is read now may have been waiting.
    pub(super) fn max_wait(&self, now: Micros) -> Micros {
        let since_tick = now - self.last_tick;
        if since_tick > MAX_NORMAL_GAP {
            return since_tick;
        }
        match self.last_stall {
            Some((start, end)) if now - end < CATCH_UP_TIME => now - start,
            _ => 0,
        }
    }
}

#[cfg(test)]
mod tests;
