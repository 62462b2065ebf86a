//! The states of a placer as load balancers see them, and what moves it from one to another.

use super::signal::Signal;
use crate::Micros;
use std::fmt;

/// The state that a placer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It has just started, or returned to service, and warms up.
    Starting,
    /// Healthy.
    Up,
    /// It serves, and its full share of the load is too much for it.
    Degraded,
    /// It finishes pending requests and accepts no new connections.
    Drain,
    /// An operator has taken it out of service.
    Maint,
    /// The process exits.
    Stopped,
}

impl State {
    /// Returns the name used in logs and in answers to load balancers and operators.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Up => "up",
            State::Degraded => "degraded",
            State::Drain => "drain",
            State::Maint => "maint",
            State::Stopped => "stopped",
        }
    }

    /// Returns whether the placer wants new connections.
    pub fn is_serving(self) -> bool {
        matches!(self, State::Starting | State::Up | State::Degraded)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A command of an operator, or of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Finish pending requests and accept no new connections.
    Drain,
    /// Leave service.
    Maint,
    /// Return to service, with a slow start.
    Ready,
    /// Exit.
    Stop,
}

/// Why the state has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// The slow start is over.
    SlowStartOver,
    /// No signal limits the weight any more.
    SignalsClear,
    /// A signal limits the weight.
    Signal(Signal),
    /// A command.
    Command(Command),
}

impl TransitionReason {
    /// Returns the code used in logs and in answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            TransitionReason::SlowStartOver => "slow-start-over",
            TransitionReason::SignalsClear => "signals-clear",
            TransitionReason::Signal(signal) => signal.as_str(),
            TransitionReason::Command(Command::Drain) => "told-drain",
            TransitionReason::Command(Command::Maint) => "told-maint",
            TransitionReason::Command(Command::Ready) => "told-ready",
            TransitionReason::Command(Command::Stop) => "told-stop",
        }
    }
}

impl fmt::Display for TransitionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A change of the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// When.
    pub at: Micros,
    /// The state before.
    pub from: State,
    /// The state after.
    pub to: State,
    /// Why.
    pub reason: TransitionReason,
    /// The weight at that time.
    pub weight: u8,
}
