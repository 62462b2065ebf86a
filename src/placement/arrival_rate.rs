//! How many tasks arrive at all placers together, estimated from this placer's own arrivals.

use super::placer::Placer;
use crate::types::Micros;
use std::collections::VecDeque;

/// The rate is read from one shortest latency objective, extended until it holds this many own arrivals.
const MIN_ARRIVALS: usize = 6;

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
pub(super) struct ArrivalHistory {
    arrivals: VecDeque<Arrival>,
    last_stall: Stall,
}

impl ArrivalHistory {
    /// Records a new task of this size in mean tasks.
    pub(super) fn record(&mut self, at: Micros, size: f64) {
        self.arrivals.push_back(Arrival { at, size });
    }

    /// Records that nothing was handled for a time, which has just ended.
    pub(super) fn record_stall(&mut self, ended_at: Micros, duration: Micros) {
        self.last_stall = Stall { ended_at, duration };
    }

    /// Own arrivals in mean tasks, scaled to `window`. Drops arrivals that are too old to count.
    ///
    /// Read from a span that is long enough to hold some: a placer among hundreds sees one now and then. A
    /// backlog after a stall arrived during the stall, so its duration is added. Cost: a burst after a long
    /// silence counts late.
    fn in_window(&mut self, now: Micros, window: Micros) -> f64 {
        let mut span = window;
        if now - self.last_stall.ended_at < window {
            span += self.last_stall.duration;
        }
        while self.arrivals.len() > MIN_ARRIVALS && now - self.arrivals[0].at > span {
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

impl Placer {
    /// Tasks that arrive at all placers within one shortest latency objective, in mean tasks.
    ///
    /// Assumes that every placer sees as many as this one.
    pub(super) fn arrivals_at_all_placers(&mut self) -> f64 {
        let own = self.arrivals.in_window(self.now, self.shortest_objective);
        own * self.settings.placer_count.max(1) as f64
    }
}
