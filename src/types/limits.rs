//! Limits that are imposed on the decisions from outside the module.

use super::{HostId, RequestId};

/// A limit that a fleet of placers agrees on (see `overload`), or that comes from a rolling upgrade.
///
/// What no limit names is unlimited.
#[derive(Debug, Clone, PartialEq)]
pub enum Limit {
    /// Attempts of this placer that may be in flight at one host.
    HostConcurrency {
        /// Which host.
        host: HostId,
        /// The most attempts in flight; `None` leaves it to the module.
        max_in_flight: Option<u32>,
        /// The host is suspect, and one attempt is wanted there to find out whether it has recovered.
        health_check: bool,
    },
    /// Attempts of this placer that may be in flight at all hosts together.
    TotalConcurrency {
        /// The most attempts in flight.
        max_in_flight: u32,
        /// The limit was reached, and an attempt has ended since.
        has_capacity_again: bool,
    },
    /// Which tasks are admitted.
    Admission {
        /// Tasks whose [`shed_rank`](super::Task::shed_rank) is below this are admitted.
        admit_below: f64,
        /// A task that has waited for this fraction of its latency objective is given up.
        give_up_after: Option<f64>,
    },
    /// A request gets no further attempt.
    NoRetry(RequestId),
    /// How many processes serve as this placer now, and which of them this is.
    Processes {
        /// Their number.
        process_count: u32,
        /// This one, from 0.
        process_index: u32,
    },
}
