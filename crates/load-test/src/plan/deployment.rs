//! The deployment of a plan: placers, hosts and their service discovery feed.

use super::duration;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The placers, which run as real processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Placers {
    /// Number of placers, spread over the zones.
    pub count: usize,
    /// Memory limit of each placer in MB, as its configuration states it.
    pub memory_mb: u64,
    /// Maximum number of descriptors of each placer.
    pub sockets: u64,
    /// Template of the operator's file of each placer, in which `{n}` stands for the placer's number.
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
    /// Number of hosts, spread over the zones.
    pub count: usize,
    /// Number of hosts in a rack, which can fail together.
    #[serde(rename = "rack")]
    pub rack_size: usize,
    /// Cores of each host.
    pub cores: f64,
    /// Memory of each host.
    pub memory: f64,
    /// Time that a host takes to decide on an offer; it decides on one at a time.
    #[serde(rename = "look", with = "duration")]
    pub admission_time: Duration,
    /// Maximum number of offers that wait for a host's decision.
    #[serde(rename = "queue")]
    pub max_queued_offers: usize,
    /// Maximum number of tasks that start on a host at the same time.
    #[serde(rename = "starts")]
    pub max_concurrent_starts: usize,
    /// Time that a task takes to start if its program is cached on the host.
    #[serde(rename = "start", with = "duration")]
    pub warm_start: Duration,
    /// Factor by which a start takes longer if the program is not cached.
    #[serde(rename = "cold-start")]
    pub cold_start_factor: f64,
    /// Maximum number of programs that stay cached on a host after their last task.
    #[serde(rename = "kept")]
    pub max_cached_programs: usize,
    /// Whether hosts evict tasks of lower priority to make room for those of higher priority.
    pub preempts: bool,
    /// Duration of the slow start after a host has come up.
    #[serde(rename = "cold", with = "duration")]
    pub slow_start: Duration,
    /// Speed of a host at the beginning of its slow start, as a fraction of its full speed.
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
    /// Minimum delay of a feed event.
    #[serde(rename = "late-from", with = "duration")]
    pub min_delay: Duration,
    /// Maximum delay of a feed event.
    #[serde(rename = "late-to", with = "duration")]
    pub max_delay: Duration,
    /// Time between two reports of the hosts' free capacity; 0s for no reports.
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
