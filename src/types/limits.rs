//! Limits that are imposed on the decision module from outside.

use super::{HostId, RequestId};

/// A limit set by overload control, which all placers of a fleet apply alike (see `overload`), or by a rolling upgrade.
///
/// Anything for which no limit was set is unlimited.
#[derive(Debug, Clone, PartialEq)]
pub enum Limit {
    /// Limits the attempts of this placer that may be in flight at one host.
    HostConcurrency {
        /// The host whose attempts are limited.
        host: HostId,
        /// Maximum number of attempts in flight at the host; `None` leaves the limit to the decision module.
        max_in_flight: Option<u32>,
        /// Whether the host is suspect and one attempt is to be sent there to find out whether it has recovered.
        health_check: bool,
    },
    /// Limits the attempts of this placer that may be in flight at all hosts together.
    TotalConcurrency {
        /// Maximum number of this placer's attempts in flight at all hosts together.
        max_in_flight: u32,
        /// Whether the limit was reached and an attempt has ended since.
        has_capacity_again: bool,
    },
    /// Limits which tasks are admitted, and how long admitted tasks may wait.
    Admission {
        /// Tasks whose [`shed_rank`](super::Task::shed_rank) is below this are admitted.
        admit_below: f64,
        /// A task that has waited for more than this fraction of its latency objective is given up.
        give_up_after: Option<f64>,
    },
    /// Allows no further attempt for a request.
    NoRetry(RequestId),
    /// States how many processes serve as this placer now, and which of them this process is.
    Processes {
        /// Number of processes that serve as this placer.
        process_count: u32,
        /// Index of this process among the processes that serve as this placer, from 0.
        process_index: u32,
    },
}
