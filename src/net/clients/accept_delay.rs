//! How late connections are accepted. Pure: time is an argument.
//!
//! A client's time runs from when it sent its request, which may have been while its connection waited in the system's
//! accept queue. The system does not say since when that was.

use std::time::Duration;
use task_placer::Micros;

/// So many failures in a row are followed by another try at once: most pass by themselves.
const IMMEDIATE_RETRIES: u32 = 4;
/// The first pause before another try.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(1);
/// The pause doubles with each failure, up to this.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The pause is not computed for more doublings than these.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// Since when connections may have been waiting to be accepted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AcceptDelay {
    /// Failures to accept in a row.
    failures: u32,
    /// When the first and the last failure were since the queue was last empty: whatever is in it may have come then.
    failures_between: Option<(Micros, Micros)>,
    /// Since when the first connection in the queue has waited for a descriptor. Those behind it may have come later.
    first_waits_since: Option<Micros>,
}

impl AcceptDelay {
    /// Records that accepting failed, and returns the pause before the next try.
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
    /// The failures have delayed it by as long as they lasted; what else it may have waited for is not known.
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

    /// Records that no connection waits.
    pub(super) fn queue_emptied(&mut self) {
        *self = AcceptDelay::default();
    }
}

#[cfg(test)]
mod tests;
