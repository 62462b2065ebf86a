//! The timer events of dispatch. [`timers`](super::timers) handles them when they fire.

use crate::net::hosts::ConnectionId;
use task_placer::facade::Ticket;
use task_placer::{HostId, Micros};

/// The interval between two sweeps of all connections.
pub(super) const SWEEP_INTERVAL: Micros = 250_000;

/// What to check when a timer fires. The situation for which the timer was set may no longer exist by then.
pub(super) enum TimerEvent {
    /// The attempt's deadline is reached.
    AttemptTimeout(Ticket, u32),
    /// The attempt's host becomes suspect if its connection has been silent for `SILENCE_TIMEOUT`.
    SilenceCheck(Ticket, u32),
    /// The connect timeout has passed since the attempt began; the attempt ends if nothing of it has been sent.
    UnsentTimeout(Ticket, u32),
    /// The connect timeout of this connection is reached.
    ConnectTimeout(HostId, ConnectionId),
    /// The backoff after this connection's failed connect is over.
    Reconnect(HostId, ConnectionId),
    /// The tasks of a host count as lost if it has been unreachable since the given time.
    HostUnreachable(HostId, Micros),
    /// The time that a host has to close an evicted connection is over.
    EvictionTimeout(HostId, ConnectionId),
    /// The release of a task is to be sent again if the host has not confirmed it.
    ReleaseCheck(Ticket),
    /// The time that a host has to confirm the release of a task is over.
    ReleaseTimeout(Ticket),
    /// The time within which the endpoint list must include the host of an adopted task is over.
    UnknownHostTimeout(Ticket),
    /// A host is to repeat the ends of tasks that it wrote to the connections of a process that has exited.
    RepeatedEnds(HostId),
    /// The periodic sweep of all connections is due.
    Sweep,
}

impl TimerEvent {
    /// Returns the request that the timer is about, if it is about one.
    pub(super) fn ticket(&self) -> Option<Ticket> {
        match self {
            TimerEvent::AttemptTimeout(ticket, _)
            | TimerEvent::SilenceCheck(ticket, _)
            | TimerEvent::UnsentTimeout(ticket, _)
            | TimerEvent::ReleaseCheck(ticket)
            | TimerEvent::ReleaseTimeout(ticket)
            | TimerEvent::UnknownHostTimeout(ticket) => Some(*ticket),
            TimerEvent::ConnectTimeout(..)
            | TimerEvent::Reconnect(..)
            | TimerEvent::HostUnreachable(..)
            | TimerEvent::EvictionTimeout(..)
            | TimerEvent::RepeatedEnds(_)
            | TimerEvent::Sweep => None,
        }
    }
}
