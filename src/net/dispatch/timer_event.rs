//! The timers of dispatch. Data only: [`timers`](super::timers) fires them.

use crate::net::hosts::ConnectionId;
use task_placer::facade::Ticket;
use task_placer::{HostId, Micros};

/// How often connections are swept.
pub(super) const SWEEP_INTERVAL: Micros = 250_000;

/// What is to be looked at when a timer fires. What it was set for may be over by then.
pub(super) enum TimerEvent {
    /// The attempt has had its time.
    AttemptTimeout(Ticket, u32),
    /// The attempt's host has been silent for long enough to suspect it.
    SilenceCheck(Ticket, u32),
    /// Nothing of the attempt has been sent in the time that a connection may take.
    UnsentTimeout(Ticket, u32),
    /// The connection has had its time to come up.
    ConnectTimeout(HostId, ConnectionId),
    /// The backoff after a failed connection is over.
    Reconnect(HostId, ConnectionId),
    /// The tasks of a host that is unreachable since then may count as lost.
    HostUnreachable(HostId, Micros),
    /// The host has had its time to close an evicted connection.
    EvictionTimeout(HostId, ConnectionId),
    /// A release that the host has not confirmed is to be sent again.
    ReleaseCheck(Ticket),
    /// The host has had its time to confirm a release.
    ReleaseTimeout(Ticket),
    /// The endpoint list has had its time to name the host of an adopted task.
    UnknownHostTimeout(Ticket),
    /// Connections are to be swept.
    Sweep,
}
