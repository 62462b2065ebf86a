//! The faults that a run injects.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One fault. Times count from the start of the measurement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum Fault {
    /// All workers of a zone crash at once, and are restored empty.
    Zone {
        /// When the fault begins.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// The name of the zone.
        zone: String,
        /// The time until the feed reports the workers as removed.
        #[serde(with = "humantime_serde", default = "default_reported_after")]
        #[serde(rename = "told-after")]
        reported_after: Duration,
        /// The time until the workers are restored.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// A placer is killed, and started again.
    Placer {
        /// When the fault begins.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// The number of the placer, from 0.
        placer: u16,
        /// The time until the placer is started again.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// Workers send invalid bytes on all their connections.
    Garbage {
        /// When the fault begins.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// The number of workers, of those that have connections.
        workers: u32,
    },
}

/// The default time until a removal is reported.
fn default_reported_after() -> Duration {
    Duration::from_secs(2)
}

impl Fault {
    /// Returns when the fault begins.
    pub fn at(&self) -> Duration {
        match self {
            Fault::Zone { at, .. } | Fault::Placer { at, .. } | Fault::Garbage { at, .. } => *at,
        }
    }

    /// Returns when the last effect of the fault is undone.
    pub fn end(&self) -> Duration {
        match self {
            Fault::Zone { at, back_after, .. } | Fault::Placer { at, back_after, .. } => {
                at.saturating_add(*back_after)
            }
            Fault::Garbage { at, .. } => *at,
        }
    }
}
