//! The states of a placer as load balancers see them, and the reasons of transitions between them.

use super::signal::Signal;
use crate::Micros;
use std::fmt;

/// The state that a placer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The placer has just started, or returned to service, and is in slow start.
    Starting,
    /// The placer is healthy.
    Up,
    /// The placer serves, but cannot handle its full share of the load.
    Degraded,
    /// The placer finishes pending requests and asks for no new connections.
    Drain,
    /// An operator has taken the placer out of service for maintenance.
    Maint,
    /// The process is exiting.
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

    /// Returns whether the placer asks for new connections in this state.
    pub fn is_serving(self) -> bool {
        matches!(self, State::Starting | State::Up | State::Degraded)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A command of an operator, or of the operating system by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Finish pending requests and ask for no new connections.
    Drain,
    /// Take the placer out of service for maintenance.
    Maint,
    /// Return to service, with a slow start.
    Ready,
    /// Exit the process.
    Stop,
}

/// Why the state has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// The time of the slow start has passed, and the weight is high enough.
    SlowStartOver,
    /// No signal limits the weight any more.
    SignalsClear,
    /// The weight is limited by this signal.
    Signal(Signal),
    /// The state was changed by this command.
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

/// A change from one state to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// When the state changed.
    pub at: Micros,
    /// The state before the transition.
    pub from: State,
    /// The state after the transition.
    pub to: State,
    /// Why the state changed.
    pub reason: TransitionReason,
    /// The published weight at the time of the transition.
    pub weight: u8,
}
