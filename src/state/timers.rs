//! Timers that the decision module has requested from its caller.

use crate::types::{Action, Micros, RequestId, TimerToken};
use std::collections::BTreeMap;

/// The number of timers up to which those of requests that are over are kept until they fire.
pub(crate) const MIN_TIMERS_TO_COMPACT: usize = 4_096;

/// The work that is due when a timer fires.
#[derive(Debug, Clone)]
pub(crate) enum TimerPurpose {
    /// The periodic work of the placer is due, such as trying waiting requests again.
    Tick,
    /// The final response to a request is due.
    Deadline(RequestId),
}

/// A timer that the decision module has requested.
#[derive(Debug, Clone)]
pub(crate) struct Timer {
    /// Time at which the timer is due.
    pub due: Micros,
    pub purpose: TimerPurpose,
}

/// All requested timers that have not fired.
#[derive(Debug)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerToken, Timer>,
    next_token: u64,
    /// The number of timers at which those of requests that are over are discarded.
    compaction_at: usize,
}

impl Default for Timers {
    fn default() -> Timers {
        Timers {
            pending: BTreeMap::new(),
            next_token: 0,
            compaction_at: MIN_TIMERS_TO_COMPACT,
        }
    }
}

impl Timers {
    /// Appends an action that requests a timer which fires `after` microseconds from now, and stores what the timer is
    /// for.
    pub fn set(
        &mut self,
        now: Micros,
        after: Micros,
        purpose: TimerPurpose,
        actions: &mut Vec<Action>,
    ) {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        let due = now + after;
        self.pending.insert(token, Timer { due, purpose });
        actions.push(Action::SetTimer { token, after });
    }

    /// Returns whether a timer is pending.
    pub fn is_pending(&self, token: TimerToken) -> bool {
        self.pending.contains_key(&token)
    }

    /// Discards the timers of requests that are over, once they may be the greater part: their number would otherwise
    /// grow with the rate of requests times the longest deadline. The caller still fires them, without effect.
    pub fn discard_unused(&mut self, is_open: impl Fn(&RequestId) -> bool) {
        if self.pending.len() < self.compaction_at {
            return;
        }
        self.pending.retain(|_, timer| match &timer.purpose {
            TimerPurpose::Tick => true,
            TimerPurpose::Deadline(request) => is_open(request),
        });
        self.compaction_at = (2 * self.pending.len()).max(MIN_TIMERS_TO_COMPACT);
    }

    /// Removes and returns the timer that has fired; `None` if no pending timer has this token.
    pub fn take(&mut self, token: TimerToken) -> Option<Timer> {
        self.pending.remove(&token)
    }
}
