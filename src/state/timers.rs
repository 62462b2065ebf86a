//! Timers that the module has requested.

use crate::types::{Action, Micros, RequestId, TimerToken};
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Debug, Clone)]
pub(crate) enum TimerPurpose {
    /// Periodic work.
    Tick,
    /// The latest time for the final response to a request.
    Deadline(RequestId),
}

/// A timer that has fired.
#[derive(Debug, Clone)]
pub(crate) struct FiredTimer {
    /// When it was due.
    pub due: Micros,
    pub purpose: TimerPurpose,
}

/// Timers that have not fired.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerToken, FiredTimer>,
    next_token: u64,
}

impl Timers {
    /// Requests a timer that fires after this time.
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
        self.pending.insert(token, FiredTimer { due, purpose });
        actions.push(Action::SetTimer { token, after });
    }

    /// Takes a timer that has fired; `None` if it is unknown.
    pub fn take(&mut self, token: TimerToken) -> Option<FiredTimer> {
        self.pending.remove(&token)
    }
}
