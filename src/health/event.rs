//! What the health monitor is notified of, and the changes that it returns.

use super::fleet_evidence::ZoneReachability;
use super::signal::Signal;
use super::state::{Command, Transition};
use crate::{Outcome, OutcomeDetail};

/// Gauges that are sampled a few times a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gauges {
    /// Age of the oldest pending request as a fraction of the latency objective of its class.
    pub oldest_request: f64,
    /// Reachability of the listed hosts, by zone.
    pub zones: Vec<ZoneReachability>,
    /// Fraction of the listed hosts with capacity for a mean task; `None` if the endpoint list does not show it.
    pub hosts_with_capacity: Option<f64>,
    /// Fraction of the listed hosts whose latest response, not long ago, was a rejection for lack of capacity.
    pub full_hosts: f64,
    /// File descriptors in use as a fraction of their budget.
    pub descriptors: f64,
    /// Queued bytes as a fraction of their budget.
    pub queues: f64,
}

/// Something that has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The event loop has run once more.
    LoopIteration,
    /// The gauges were sampled.
    GaugesSampled(Gauges),
    /// A request got its final response.
    RequestAnswered {
        /// Its task was started within the latency objective.
        within_objective: bool,
    },
    /// An attempt has ended, or has started its task ([`Outcome::Completed`]).
    AttemptEnded {
        /// How.
        outcome: Outcome,
        /// Why.
        detail: OutcomeDetail,
        /// Its time at the host as a fraction of the latency objective of its class.
        relative_duration: f64,
    },
    /// A client has connected.
    ClientConnected {
        /// The connection was rejected.
        rejected: bool,
    },
    /// Service discovery has sent an update.
    DiscoveryUpdated,
    /// A load balancer's health check was answered.
    Polled {
        /// Identifies the load balancer's check.
        poller: u64,
    },
    /// A command arrived.
    CommandReceived(Command),
}

/// A change of the published weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightChange {
    /// The weight before.
    pub before: u8,
    /// The weight after.
    pub after: u8,
    /// The signal that limits the weight most, if one does.
    pub cause: Option<Signal>,
    /// How far the fleet explains the faults, 0 to 1.
    pub explained_by_fleet: f64,
}

/// What an event has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The state.
    State(Transition),
    /// The published weight.
    Weight(WeightChange),
}
