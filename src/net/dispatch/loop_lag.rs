//! How late the event loop is: how long what is read now may have been waiting. Pure: time is an argument.
//!
//! A client's time runs from when it sent its request. The system does not say when that arrived, but it has not waited for
//! longer than the loop did not run: the process was stopped, or got no processor.

use crate::net::timer_wheel::TICK;
use task_placer::Micros;

/// A gap between two ticks up to this is ordinary.
const ORDINARY_GAP: Micros = 4 * TICK;
/// How long after a stall what is read may have arrived during it: other connections are read first.
const CATCH_UP_TIME: Micros = 50_000;

/// The gaps between the ticks of the event loop.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoopLag {
    last_tick: Micros,
    /// The start and the end of the last gap that was not ordinary.
    last_stall: Option<(Micros, Micros)>,
}

impl LoopLag {
    /// Creates it for a loop that begins now.
    pub(super) fn new(now: Micros) -> LoopLag {
        LoopLag {
            last_tick: now,
            last_stall: None,
        }
    }

    /// Records a tick.
    pub(super) fn tick(&mut self, now: Micros) {
        if now - self.last_tick > ORDINARY_GAP {
            self.last_stall = Some((self.last_tick, now));
        }
        self.last_tick = now;
    }

    /// Returns for how long what is read now may have been waiting at most.
    pub(super) fn max_wait(&self, now: Micros) -> Micros {
        let since_tick = now - self.last_tick;
        if since_tick > ORDINARY_GAP {
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
