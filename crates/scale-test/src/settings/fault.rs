//! What fails in a run, and when.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One failure. Times count from the start of the measured time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum Fault {
    /// All workers of a zone vanish at once, and come back cold.
    Zone {
        /// When.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// Its name.
        zone: String,
        /// How long until the feed tells that they were removed.
        #[serde(with = "humantime_serde", default = "default_reported_after")]
        #[serde(rename = "told-after")]
        reported_after: Duration,
        /// How long until they are back, holding nothing.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// A placer is killed, and started again in its place.
    Placer {
        /// When.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// Its number, from 0.
        placer: u16,
        /// How long until it is started again.
        #[serde(with = "humantime_serde")]
        back_after: Duration,
    },
    /// Workers send bytes that are no message, on all their connections.
    Garbage {
        /// When.
        #[serde(with = "humantime_serde")]
        at: Duration,
        /// So many workers, of those that have connections.
        workers: u32,
    },
}

/// How long it usually takes until a removal is told.
fn default_reported_after() -> Duration {
    Duration::from_secs(2)
}

impl Fault {
    /// When it begins.
    pub fn at(&self) -> Duration {
        match self {
            Fault::Zone { at, .. } | Fault::Placer { at, .. } | Fault::Garbage { at, .. } => *at,
        }
    }

    /// When all of it is over.
    pub fn end(&self) -> Duration {
        match self {
            Fault::Zone { at, back_after, .. } | Fault::Placer { at, back_after, .. } => {
                at.saturating_add(*back_after)
            }
            Fault::Garbage { at, .. } => *at,
        }
    }
}
