//! The events that the health monitor is notified of, and the changes that it returns.

use super::fleet_evidence::ZoneReachability;
use super::signal::Signal;
use super::state::{Command, Transition};
use crate::{Outcome, OutcomeDetail};

/// Values that are sampled a few times a second instead of being reported event by event.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gauges {
    /// Age of the oldest pending request as a fraction of the latency objective of its class.
    pub oldest_request: f64,
    /// Reachability of the hosts on the endpoint list, one entry per zone.
    pub zones: Vec<ZoneReachability>,
    /// Fraction of the hosts on the endpoint list with capacity for a task of mean size; `None` if the list does not
    /// report capacity.
    pub hosts_with_capacity: Option<f64>,
    /// Fraction of the hosts on the endpoint list whose latest response was a recent rejection for lack of capacity.
    pub full_hosts: f64,
    /// File descriptors in use as a fraction of their budget.
    pub descriptors: f64,
    /// Bytes queued for slow peers as a fraction of their budget.
    pub queues: f64,
}

/// An input to the health monitor.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The event loop has run one iteration.
    LoopIteration,
    /// The values in [`Gauges`] were sampled. They replace the earlier ones.
    GaugesSampled(Gauges),
    /// A request got its final response.
    RequestAnswered {
        /// Whether the task of the request was started within the latency objective of its class.
        within_objective: bool,
    },
    /// An attempt at a host has ended; [`Outcome::Completed`] means that it started its task.
    AttemptEnded {
        /// How the attempt ended.
        outcome: Outcome,
        /// Why the attempt ended this way.
        detail: OutcomeDetail,
        /// The attempt's time at the host as a fraction of the latency objective of its class.
        relative_duration: f64,
    },
    /// A client has connected.
    ClientConnected {
        /// Whether the connection was rejected.
        rejected: bool,
    },
    /// Service discovery has sent an update.
    DiscoveryUpdated,
    /// A load balancer's health check was answered.
    Polled {
        /// A number that identifies the load balancer's check.
        poller: u64,
    },
    /// A command arrived from an operator or from the operating system.
    CommandReceived(Command),
}

/// A change of the published weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightChange {
    /// The published weight before the change.
    pub before: u8,
    /// The published weight after the change.
    pub after: u8,
    /// The signal that limits the weight most, or `None` if none limits it.
    pub cause: Option<Signal>,
    /// The degree to which faults are attributed to the fleet instead of this placer, 0 to 1.
    pub explained_by_fleet: f64,
}

/// A change of state or weight that an event caused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The state changed.
    State(Transition),
    /// The published weight changed.
    Weight(WeightChange),
}
