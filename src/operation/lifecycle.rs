//! Decides whether this process accepts requests, and when it closes the connections of its clients.
//!
//! ```text
//!             drain-on               load balancer has seen the failed check,
//!                                    and requests already on their way arrived
//!  ┌─────────┐        ┌───────────┐                               ┌──────────┐
//!  │ serving ├───────▶│ not ready ├──────────────────────────────▶│ draining │
//!  └─▲──┬────┘        └─────┬─┬───┘                               └───┬─┬────┘
//!    │  │     drain-off     │ │                                       │ │
//!    ◀──│───────────────────┴─│───────────────────────────────────────┘ │
//!       │ SIGTERM while another process accepts                         │
//!       │             ┌───────▼───────┐                                 │
//!       └────────────▶│ shutting down │◀────────────────────────────────┘
//!                     └───────────────┘
//! ```
//!
//! - *not ready*: every health check fails. Connections are kept open, because a client whose connection is closed
//!   reconnects through a load balancer, which may not have seen a failed check yet.
//! - *draining*: each connection is closed once it is idle. A connection is idle if no request is open on it, nothing
//!   is waiting to be read from it, and no task that was placed over it is running. The end of each task can
//!   therefore still be reported. A connection on which requests go on arriving is closed although its tasks run;
//!   their ends are reported on other connections, or once clients come back.
//! - *shutting down*: idle connections are closed as in *draining*, and new connections are left to the other process
//!   of this placer. Health checks of clients still pass, because the placer as a whole accepts requests; the `check`
//!   command of the admin protocol fails, because this process does not.
//!
//! Requests that have arrived are answered in every phase, and the lifecycle never stops running tasks. The module is
//! deterministic: time is an argument, and there is no I/O.

use crate::Micros;

const MILLISECOND: Micros = 1_000;
/// How long after the first failed check new requests may still arrive: the platform checks every 100 ms and keeps
/// opening new connections for another 200 ms.
const CHECK_PROPAGATION: Micros = 250 * MILLISECOND;
/// How long after `drain-on` a drain counts as seen by the load balancer if no health check arrives.
const UNCHECKED_DRAIN_DELAY: Micros = 600 * MILLISECOND;
/// The limit that the platform applies to the longest client wait. The platform kills a process 700 ms after that
/// wait has passed, so both margins below are shorter than 700 ms.
const MAX_CLIENT_WAIT: Micros = 5_000 * MILLISECOND;
/// How long after the longest client wait the last pending responses are sent.
const SHUTDOWN_ANSWER_MARGIN: Micros = 350 * MILLISECOND;
/// How long after the longest client wait the process exits.
const SHUTDOWN_EXIT_MARGIN: Micros = 550 * MILLISECOND;

/// An event that may change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An operator or the platform sent `drain-on`.
    DrainRequested,
    /// An operator or the platform sent `drain-off`.
    DrainCancelled,
    /// SIGTERM arrived, and another process accepts connections for this placer.
    ShutdownRequested {
        /// The longest time that any client waits for a response.
        longest_client_wait: Micros,
    },
    /// A health check was answered.
    Checked,
    /// Time has passed without another event.
    Tick,
}

/// What the program must do after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Close each connection as soon as it is idle, from now on.
    StartClosingIdle,
    /// Keep idle connections open again.
    StopClosingIdle,
    /// Accept no more connections, close idle ones, and send every pending response within a time limit.
    ShutDown {
        /// The time within which every pending response must be sent.
        answer_within: Micros,
    },
}

/// The phase of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Fails health checks and keeps connections.
    NotReady,
    /// Closes idle connections.
    Draining,
    /// Closes idle connections and exits once all responses are sent.
    ShuttingDown,
}

impl Phase {
    /// Returns the name used in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::NotReady => "not-ready",
            Phase::Draining => "draining",
            Phase::ShuttingDown => "shutting-down",
        }
    }
}

/// The lifecycle of one process.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    phase: Phase,
    phase_since: Micros,
    /// When a health check first failed in the current drain.
    first_failed_check: Option<Micros>,
    exit_deadline: Micros,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            phase: Phase::Serving,
            phase_since: 0,
            first_failed_check: None,
            exit_deadline: Micros::MAX,
        }
    }
}

impl Lifecycle {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether this process accepts requests.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether this process is shutting down while another process accepts connections for the placer.
    pub fn is_shutting_down(&self) -> bool {
        self.phase == Phase::ShuttingDown
    }

    /// Returns whether the placer drains, and the load balancer has seen it.
    pub fn is_draining(&self) -> bool {
        self.phase == Phase::Draining
    }

    /// Returns whether idle connections are closed in the current phase.
    pub fn closes_idle_connections(&self) -> bool {
        matches!(self.phase, Phase::Draining | Phase::ShuttingDown)
    }

    /// Returns whether a process that is shutting down must exit now, even if responses are pending or tasks run.
    pub fn exit_is_overdue(&self, now: Micros) -> bool {
        now >= self.exit_deadline
    }

    /// Applies an event and returns the effect that the program must carry out, if any. Repeated requests have no
    /// further effect.
    pub fn handle(&mut self, now: Micros, event: Event) -> Option<Effect> {
        match (event, self.phase) {
            (Event::DrainRequested, Phase::Serving) => {
                self.enter(now, Phase::NotReady);
                self.first_failed_check = None;
                None
            }
            (Event::DrainCancelled, Phase::NotReady) => {
                self.enter(now, Phase::Serving);
                None
            }
            (Event::DrainCancelled, Phase::Draining) => {
                self.enter(now, Phase::Serving);
                Some(Effect::StopClosingIdle)
            }
            (Event::Checked, Phase::NotReady) => {
                self.first_failed_check.get_or_insert(now);
                None
            }
            (Event::Tick, Phase::NotReady) if self.drain_was_seen(now) => {
                self.enter(now, Phase::Draining);
                Some(Effect::StartClosingIdle)
            }
            (
                Event::ShutdownRequested {
                    longest_client_wait,
                },
                Phase::Serving | Phase::NotReady | Phase::Draining,
            ) => Some(self.shut_down(now, longest_client_wait)),
            _ => None,
        }
    }

    fn shut_down(&mut self, now: Micros, longest_client_wait: Micros) -> Effect {
        let client_wait = longest_client_wait.clamp(0, MAX_CLIENT_WAIT);
        self.enter(now, Phase::ShuttingDown);
        self.exit_deadline = now + client_wait + SHUTDOWN_EXIT_MARGIN;
        Effect::ShutDown {
            answer_within: client_wait + SHUTDOWN_ANSWER_MARGIN,
        }
    }

    fn enter(&mut self, now: Micros, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Returns whether the load balancer has had time to react to a failed check, or whether `UNCHECKED_DRAIN_DELAY`
    /// has passed since `drain-on`, in case it sends no checks.
    fn drain_was_seen(&self, now: Micros) -> bool {
        let check_was_seen = self
            .first_failed_check
            .is_some_and(|at| now - at >= CHECK_PROPAGATION);
        check_was_seen || now - self.phase_since >= UNCHECKED_DRAIN_DELAY
    }
}

#[cfg(test)]
mod tests;
