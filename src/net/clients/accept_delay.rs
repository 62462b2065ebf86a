//! Estimates since when accepted connections have been waiting. Pure: the current time is passed as an argument.
//!
//! A client's timeout runs from when it sent its request, which may have been while its connection waited in the
//! kernel's accept queue. The kernel does not report how long a connection waited there.

use std::time::Duration;
use task_placer::Micros;

/// Number of consecutive failures after which accepting is retried at once: most failures pass by themselves.
const IMMEDIATE_RETRIES: u32 = 4;
/// Length of the first pause before accepting is retried.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(1);
/// Upper limit of the pause, which doubles with each failure.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Limit of doublings in the computation of the pause, which prevents an overflow.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// Tracks since when connections may have been waiting to be accepted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AcceptDelay {
    /// Number of consecutive failures to accept.
    failures: u32,
    /// Times of the first and the last failure since the queue was last empty. Any connection in the queue may have
    /// arrived between the two.
    failures_between: Option<(Micros, Micros)>,
    /// Since when the first connection in the queue has waited for a descriptor. The connections behind it may have
    /// arrived later.
    first_waits_since: Option<Micros>,
}

impl AcceptDelay {
    /// Records that accepting failed, and returns the pause before the next attempt.
    pub(super) fn failed(&mut self, now: Micros) -> Duration {
        let first = self.failures_between.map_or(now, |(first, _)| first);
        self.failures_between = Some((first, now));
        self.failures = self.failures.saturating_add(1);
        let Some(doublings) = self.failures.checked_sub(IMMEDIATE_RETRIES + 1) else {
            return Duration::ZERO;
        };
        let pause = MIN_RETRY_PAUSE * (1 << doublings.min(MAX_PAUSE_DOUBLINGS));
        pause.min(MAX_RETRY_PAUSE)
    }

    /// Records that the first connection in the queue waits for a descriptor.
    pub(super) fn waits_for_descriptor(&mut self, now: Micros) {
        self.first_waits_since.get_or_insert(now);
    }

    /// Records that a connection was accepted, and returns since when it may have been waiting.
    ///
    /// If accepting failed before, the connection may have waited for as long as the failures lasted; if it was the
    /// first in the queue, it may have waited for a descriptor. Returns `None` in all other cases, where the wait is
    /// unknown.
    pub(super) fn accepted(&mut self, now: Micros) -> Option<Micros> {
        self.failures = 0;
        let first_waits_since = self.first_waits_since.take();
        let delayed_since = self
            .failures_between
            .map(|(first, last)| now - (last - first));
        match (delayed_since, first_waits_since) {
            (Some(delayed), Some(waiting)) => Some(delayed.min(waiting)),
            (delayed, waiting) => delayed.or(waiting),
        }
    }

    /// Records that the accept queue is empty.
    pub(super) fn queue_emptied(&mut self) {
        *self = AcceptDelay::default();
    }
}

#[cfg(test)]
mod tests;
