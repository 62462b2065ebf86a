//! Tasks that recently arrived at this placer, from which the arrival rate is estimated.

use crate::types::Micros;
use std::collections::VecDeque;

/// Arrival of a new task.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Micros,
    /// Size of the task as a multiple of the mean task.
    size: f64,
}

/// A period during which this placer handled no events, for example because its process was not scheduled.
#[derive(Debug, Clone, Copy, Default)]
struct Stall {
    ended_at: Micros,
    duration: Micros,
}

/// Arrivals at this placer, as far back as the estimate of the arrival rate needs them.
#[derive(Debug, Default)]
pub(crate) struct ArrivalHistory {
    arrivals: VecDeque<Arrival>,
    last_stall: Stall,
}

impl ArrivalHistory {
    /// Records the arrival of a new task; `size` is a multiple of the mean task.
    pub fn record(&mut self, at: Micros, size: f64) {
        self.arrivals.push_back(Arrival { at, size });
    }

    /// Records that no events were handled for `duration` until `ended_at`.
    pub fn record_stall(&mut self, ended_at: Micros, duration: Micros) {
        self.last_stall = Stall { ended_at, duration };
    }

    /// Returns the arrivals at this placer within `window`, in multiples of the mean task. Removes arrivals that are
    /// too old to be counted from now on.
    ///
    /// Arrivals are counted over a span of at least `window`, extended until it holds `min_arrivals`, and the count
    /// is scaled to `window`: where there are hundreds of placers, each sees so few arrivals that most windows hold
    /// none. For one window after a stall, the span also includes the duration of the stall, during which the backlog
    /// arrived. The drawback is that a burst after a long silence raises the estimate late.
    pub fn in_window(&mut self, now: Micros, window: Micros, min_arrivals: usize) -> f64 {
        let mut span = window;
        if now - self.last_stall.ended_at < window {
            span += self.last_stall.duration;
        }
        while self.arrivals.len() > min_arrivals && now - self.arrivals[0].at > span {
            self.arrivals.pop_front();
        }
        let oldest_age = self.arrivals.front().map_or(0, |arrival| now - arrival.at);
        // If the oldest arrival lies before the span, the span is extended back to it, and the arrival itself is not
        // counted.
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
