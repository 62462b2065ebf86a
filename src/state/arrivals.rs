//! This placer's own arrivals, as far back as the estimate of the arrival rate needs them.

use crate::types::Micros;
use std::collections::VecDeque;

/// A new task.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Micros,
    /// Its size in mean tasks.
    size: f64,
}

/// A time during which this placer handled nothing.
#[derive(Debug, Clone, Copy, Default)]
struct Stall {
    ended_at: Micros,
    duration: Micros,
}

/// Own arrivals, as far back as the estimate needs them.
#[derive(Debug, Default)]
pub(crate) struct ArrivalHistory {
    arrivals: VecDeque<Arrival>,
    last_stall: Stall,
}

impl ArrivalHistory {
    /// Records a new task of this size in mean tasks.
    pub fn record(&mut self, at: Micros, size: f64) {
        self.arrivals.push_back(Arrival { at, size });
    }

    /// Records that nothing was handled for a time, which has just ended.
    pub fn record_stall(&mut self, ended_at: Micros, duration: Micros) {
        self.last_stall = Stall { ended_at, duration };
    }

    /// Own arrivals in mean tasks, scaled to `window`, which is extended until it holds `min_arrivals`. Drops arrivals
    /// that are too old to count.
    ///
    /// Read from a span that is long enough to hold some: a placer among hundreds sees one now and then. A
    /// backlog after a stall arrived during the stall, so its duration is added. Cost: a burst after a long
    /// silence counts late.
    pub fn in_window(&mut self, now: Micros, window: Micros, min_arrivals: usize) -> f64 {
        let mut span = window;
        if now - self.last_stall.ended_at < window {
            span += self.last_stall.duration;
        }
        while self.arrivals.len() > min_arrivals && now - self.arrivals[0].at > span {
            self.arrivals.pop_front();
        }
        let oldest_age = self.arrivals.front().map_or(0, |arrival| now - arrival.at);
        // The oldest arrival opens the span and is not counted in it, unless the span is longer anyhow.
        let skipped = usize::from(oldest_age > span);
        let total: f64 = self
            .arrivals
            .iter()
            .skip(skipped)
            .map(|arrival| arrival.size)
            .sum();
        total * window as f64 / oldest_age.max(span) as f64
    }
}
