//! The deployment of a plan: placers, hosts and their service discovery feed.

use super::duration;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The placers, which are real.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Placers {
    /// Their number, spread over the zones.
    pub count: usize,
    /// Their limit of memory, as the configuration states it.
    pub memory_mb: u64,
    /// Their limit of descriptors.
    pub sockets: u64,
    /// The operator's file given to each; `{n}` stands for its number.
    #[serde(rename = "operator")]
    pub operator_file: Option<String>,
}

impl Default for Placers {
    fn default() -> Placers {
        Placers {
            count: 3,
            memory_mb: 192,
            sockets: 1_024,
            operator_file: None,
        }
    }
}

/// The hosts, which are emulated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Hosts {
    /// Their number, spread over the zones.
    pub count: usize,
    /// Hosts in a rack, which fail together.
    #[serde(rename = "rack")]
    pub rack_size: usize,
    /// Cores of each.
    pub cores: f64,
    /// Memory of each.
    pub memory: f64,
    /// Time to decide on an offer, one at a time.
    #[serde(rename = "look", with = "duration")]
    pub admission_time: Duration,
    /// Offers that may wait for a decision.
    #[serde(rename = "queue")]
    pub max_queued_offers: usize,
    /// Tasks that start at the same time.
    #[serde(rename = "starts")]
    pub max_concurrent_starts: usize,
    /// Time of a start with the program cached.
    #[serde(rename = "start", with = "duration")]
    pub warm_start: Duration,
    /// Factor on it without the program.
    #[serde(rename = "cold-start")]
    pub cold_start_factor: f64,
    /// Programs that stay cached after their last task.
    #[serde(rename = "kept")]
    pub max_cached_programs: usize,
    /// Whether tasks of lower priority make way for higher ones.
    pub preempts: bool,
    /// Length of the slow start after a host has come up.
    #[serde(rename = "cold", with = "duration")]
    pub slow_start: Duration,
    /// Speed at its beginning, as a fraction of the full speed.
    #[serde(rename = "cold-from")]
    pub slow_start_floor: f64,
    /// Time between two evictions of a draining host.
    #[serde(rename = "drain-pace", with = "duration")]
    pub drain_interval: Duration,
}

impl Default for Hosts {
    fn default() -> Hosts {
        Hosts {
            count: 12,
            rack_size: 2,
            cores: 48.0,
            memory: 96.0,
            admission_time: Duration::from_millis(8),
            max_queued_offers: 16,
            max_concurrent_starts: 4,
            warm_start: Duration::from_millis(40),
            cold_start_factor: 8.0,
            max_cached_programs: 8,
            preempts: true,
            slow_start: Duration::from_secs(17),
            slow_start_floor: 0.22,
            drain_interval: Duration::from_millis(500),
        }
    }
}

/// The service discovery feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Feed {
    /// Minimum delay of an event.
    #[serde(rename = "late-from", with = "duration")]
    pub min_delay: Duration,
    /// Maximum delay of an event.
    #[serde(rename = "late-to", with = "duration")]
    pub max_delay: Duration,
    /// How often it reports the free capacity; 0s for never.
    #[serde(rename = "refresh", with = "duration")]
    pub refresh_interval: Duration,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            min_delay: Duration::from_millis(200),
            max_delay: Duration::from_millis(800),
            refresh_interval: Duration::from_secs(2),
        }
    }
}
