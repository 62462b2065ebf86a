//! Whether this process takes requests, and which connections of clients it gives up.
//!
//! ```text
//!              drain-on                  the front has heard the no, and
//!                                        what it may still send has come
//!  ┌─────────┐           ┌──────────┐                        ┌──────────┐
//!  │ serving ├──────────▶│ refusing ├───────────────────────▶│ emptying │
//!  └─▲──┬────┘           └────┬─┬───┘                        └───┬─┬────┘
//!    │  │      drain-off      │ │                                │ │
//!    ◀──│─────────────────────┴─│────────────────────────────────┘ │
//!       │ SIGTERM, and another process accepts                     │
//!       │                 ┌─────▼───┐                              │
//!       └────────────────▶│ leaving │◀─────────────────────────────┘
//!                         └─────────┘
//! ```
//!
//! *refusing*: every test fails; connections are kept, since for as long as the front may not have heard,
//! clients whose connection closes come again on a new one. *emptying*: each connection is closed as soon as
//! it carries no task: no set-up is open on it, nothing waits to be read, and of the tasks that were placed on
//! it none stands, so that the end of each can be told. What has come is answered in every phase: nothing is
//! turned away, and tasks stand on. *leaving*: as emptying, but what waits to be accepted is the other
//! process's. Clients' tests pass, since the placer serves; operators are told that this process does not.

use crate::Micros;

const MILLI: Micros = 1_000;
/// The platform asks every 100 ms, and new connections come for 200 ms after the first no.
const CROSSING: Micros = 250 * MILLI;
/// Nobody may be asking: then the order itself counts as heard after so long.
const UNASKED: Micros = 600 * MILLI;
/// The platform ends a process that leaves after the longest wait of a client, counted as this at the most,
/// and 700 ms more. What is owed is answered within the first, and the process ends within the second.
const MOST_WAIT: Micros = 5_000 * MILLI;
const LEAVE_ANSWER: Micros = 350 * MILLI;
const LEAVE_END: Micros = 550 * MILLI;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An operator wants the placer emptied.
    DrainOn,
    /// An operator wants it back at work.
    DrainOff,
    /// The process is to end, and another accepts in its place. The longest wait of a client.
    Leave(Micros),
    /// Somebody asked whether this process serves, and was told.
    Asked,
    /// Time has passed.
    Look,
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Close connections that carry no task, from now on or no more.
    Empty(bool),
    /// Accept nothing more, close connections that carry no task, and answer all that is owed within this time.
    Leave(Micros),
}

/// How far this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It says no.
    Refusing,
    /// It gives up connections.
    Emptying,
    /// It ends.
    Leaving,
}

impl Phase {
    /// Its name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Refusing => "refusing",
            Phase::Emptying => "emptying",
            Phase::Leaving => "leaving",
        }
    }
}

/// The duty of one process.
#[derive(Debug, Clone)]
pub struct Duty {
    phase: Phase,
    since: Micros,
    /// When somebody was first told no.
    heard: Option<Micros>,
    /// How long it may take to leave.
    until: Micros,
}

impl Default for Duty {
    fn default() -> Duty {
        Duty {
            phase: Phase::Serving,
            since: 0,
            heard: None,
            until: Micros::MAX,
        }
    }
}

impl Duty {
    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether this process takes requests.
    pub fn serves(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether another process accepts in its place.
    pub fn leaves(&self) -> bool {
        self.phase == Phase::Leaving
    }

    /// Whether connections that carry no task are closed.
    pub fn empties(&self) -> bool {
        matches!(self.phase, Phase::Emptying | Phase::Leaving)
    }

    /// Whether a process that leaves has to end, whatever is left.
    pub fn overdue(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Takes an event. Orders given twice change nothing.
    pub fn handle(&mut self, now: Micros, event: Event) -> Option<Effect> {
        match (event, self.phase) {
            (Event::DrainOn, Phase::Serving) => {
                (self.phase, self.since, self.heard) = (Phase::Refusing, now, None);
                None
            }
            (Event::DrainOff, Phase::Refusing | Phase::Emptying) => {
                let emptied = self.phase == Phase::Emptying;
                (self.phase, self.since) = (Phase::Serving, now);
                emptied.then_some(Effect::Empty(false))
            }
            (Event::Asked, Phase::Refusing) => {
                self.heard.get_or_insert(now);
                None
            }
            (Event::Look, Phase::Refusing) => {
                let heard = self.heard.is_some_and(|at| now - at >= CROSSING);
                if !heard && now - self.since < UNASKED {
                    return None;
                }
                (self.phase, self.since) = (Phase::Emptying, now);
                Some(Effect::Empty(true))
            }
            (Event::Leave(longest), Phase::Serving | Phase::Refusing | Phase::Emptying) => {
                let wait = longest.clamp(0, MOST_WAIT);
                (self.phase, self.since, self.until) =
                    (Phase::Leaving, now, now + wait + LEAVE_END);
                Some(Effect::Leave(wait + LEAVE_ANSWER))
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
