//! The faults that a run injects.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One fault. The time `at` counts from the start of the measurement, other times count from `at`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum Fault {
    /// All workers of a zone crash at the same time and later come back without any tasks.
    Zone {
        /// The time at which the fault begins.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// The name of the zone.
        zone: String,
        /// The time from the crash until the feed reports the workers as removed.
        #[serde(with = "humantime_serde", default = "default_reported_after")]
        #[serde(rename = "told-after")]
        reported_after: Duration,
        /// The time from the crash until the workers are restored.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// A placer is killed and later started again.
    Placer {
        /// The time at which the fault begins.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// The index of the placer, counted from 0.
        placer: u16,
        /// The time from the kill until the placer is started again.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// Workers send invalid bytes on all their connections.
    Garbage {
        /// The time at which the fault begins.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// The number of workers that send garbage, chosen among those that have connections.
        workers: u32,
    },
}

/// Returns the default time from a zone's crash until the feed reports its workers as removed.
fn default_reported_after() -> Duration {
    Duration::from_secs(2)
}

impl Fault {
    /// Returns the time at which the fault begins.
    pub fn at(&self) -> Duration {
        match self {
            Fault::Zone { at, .. } | Fault::Placer { at, .. } | Fault::Garbage { at, .. } => *at,
        }
    }

    /// Returns the time at which the last effect of the fault is undone.
    pub fn end(&self) -> Duration {
        match self {
            Fault::Zone { at, back_after, .. } | Fault::Placer { at, back_after, .. } => {
                at.saturating_add(*back_after)
            }
            Fault::Garbage { at, .. } => *at,
        }
    }
}
