//! Timers that the decision module has requested from its caller.

use crate::types::{Action, Micros, RequestId, TimerToken};
use std::collections::BTreeMap;

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
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerToken, Timer>,
    next_token: u64,
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

    /// Removes and returns the timer that has fired; `None` if no pending timer has this token.
    pub fn take(&mut self, token: TimerToken) -> Option<Timer> {
        self.pending.remove(&token)
    }
}
