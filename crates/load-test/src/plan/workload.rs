//! The workload of a plan: classes and tenants of tasks, when tasks are due, and how clients behave.

use super::duration;
use crate::clients::RetryPolicy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The cores and memory of a task; a pair of numbers in plans.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 2]", into = "[f64; 2]")]
pub struct TaskSize {
    /// Requested cores.
    pub cores: f64,
    /// Requested memory.
    pub memory: f64,
}

impl Default for TaskSize {
    fn default() -> TaskSize {
        TaskSize::from([1.0, 1.0])
    }
}

impl From<[f64; 2]> for TaskSize {
    fn from([cores, memory]: [f64; 2]) -> TaskSize {
        TaskSize { cores, memory }
    }
}

impl From<TaskSize> for [f64; 2] {
    fn from(size: TaskSize) -> [f64; 2] {
        [size.cores, size.memory]
    }
}

/// A class of tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct TaskClass {
    /// Its name.
    pub name: String,
    /// Its share of the arrivals.
    pub share: f64,
    /// Whether its tasks must not be started twice.
    #[serde(rename = "once")]
    pub non_idempotent: bool,
    /// Latency objective: tasks are to start within this time.
    #[serde(rename = "aim", with = "duration")]
    pub objective: Duration,
    /// How long clients wait for an answer.
    #[serde(rename = "limit", with = "duration")]
    pub client_timeout: Duration,
    /// Mean time that a task runs.
    #[serde(rename = "life", with = "duration")]
    pub run_time: Duration,
    /// Sigma of its lognormal distribution.
    #[serde(rename = "life-sigma")]
    pub run_time_sigma: f64,
    /// Number of services.
    pub services: u32,
    /// Sizes of tasks, service by service in turn.
    pub sizes: Vec<TaskSize>,
    /// Priority, 0 (lowest) to 3.
    pub priority: u8,
    /// Maximum number of tasks of a service that a placer may have in a zone; 0 for no limit.
    #[serde(rename = "most-in-room")]
    pub max_per_zone: u32,
    /// Priority weight of a second.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
}

impl Default for TaskClass {
    fn default() -> TaskClass {
        TaskClass {
            name: "pagina".into(),
            share: 0.97,
            non_idempotent: false,
            objective: Duration::from_secs(1),
            client_timeout: Duration::from_secs(6),
            run_time: Duration::from_secs(18),
            run_time_sigma: 0.8,
            services: 60,
            sizes: [[0.5, 0.5], [1.0, 2.0], [2.0, 2.0]]
                .map(TaskSize::from)
                .to_vec(),
            priority: 0,
            max_per_zone: 3,
            priority_weight: 1.0,
        }
    }
}

impl TaskClass {
    /// Returns the default class of non-idempotent tasks.
    pub fn totalizador() -> TaskClass {
        TaskClass {
            name: "totalizador".into(),
            share: 0.03,
            non_idempotent: true,
            objective: Duration::from_millis(5_500),
            client_timeout: Duration::from_millis(9_500),
            run_time: Duration::from_secs(40),
            services: 6,
            sizes: [[4.0, 6.0], [8.0, 13.0]].map(TaskSize::from).to_vec(),
            priority: 2,
            max_per_zone: 0,
            priority_weight: 3.0,
            ..TaskClass::default()
        }
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quota, as the placers are configured.
    #[serde(rename = "share")]
    pub quota: f64,
    /// Its arrivals, as a multiple of the quota.
    #[serde(rename = "flood")]
    pub quota_multiple: f64,
}

impl Default for Tenant {
    fn default() -> Tenant {
        Tenant {
            name: "tenant".into(),
            quota: 1.0,
            quota_multiple: 1.0,
        }
    }
}

impl Tenant {
    /// Returns the weight of its arrivals.
    pub fn arrival_weight(&self) -> f64 {
        self.quota * self.quota_multiple
    }
}

/// How arrivals are spaced.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum ArrivalProcess {
    /// At even distances.
    Even,
    /// Independent of each other.
    Poisson,
    /// Gaps of a gamma distribution.
    Gamma {
        /// Coefficient of variation: standard deviation over mean.
        cv: f64,
    },
    /// A Poisson process that switches between two rates.
    Markov {
        /// How many times higher the high rate is.
        high: f64,
        /// Mean number of arrivals between two switches.
        stay: f64,
    },
}

/// Several tasks of one service at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Batch {
    /// Minimum number.
    #[serde(rename = "least")]
    pub min: u32,
    /// Maximum number.
    #[serde(rename = "most")]
    pub max: u32,
}

/// When tasks are due.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Arrivals {
    /// The rate over time, in the language of [`load_profile`](crate::load_profile).
    #[serde(rename = "shape")]
    pub profile: String,
    /// How they are spaced.
    pub process: ArrivalProcess,
    /// Several at once.
    pub batch: Option<Batch>,
    /// How unequal services are: the exponent of a Zipf distribution.
    pub service_skew: f64,
    /// How unequal zones are, likewise.
    #[serde(rename = "room-skew")]
    pub zone_skew: f64,
}

impl Default for Arrivals {
    fn default() -> Arrivals {
        Arrivals {
            profile: "calm: 8/s for 10s, polls-close: rise to 40/s over 5s, peak: hold 10s"
                .to_string(),
            process: ArrivalProcess::Poisson,
            batch: None,
            service_skew: 0.6,
            zone_skew: 0.0,
        }
    }
}

/// How clients behave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Clients {
    /// How they space retries.
    #[serde(rename = "policy")]
    pub retry_policy: RetryPolicy,
    /// Minimum backoff.
    #[serde(rename = "base", with = "duration")]
    pub min_backoff: Duration,
    /// Maximum backoff.
    #[serde(rename = "most", with = "duration")]
    pub max_backoff: Duration,
    /// Retries per first attempt that the budgeted policy allows.
    #[serde(rename = "budget")]
    pub retry_budget: f64,
    /// Fraction of clients that respect Retry-After.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// How long the client of a non-idempotent task waits where an attempt may have run.
    #[serde(rename = "settle", with = "duration")]
    pub settle_time: Duration,
    /// Connections to each placer.
    #[serde(rename = "connections")]
    pub connections_per_placer: usize,
    /// A connection without a task is closed after this time.
    #[serde(rename = "idle", with = "duration")]
    pub idle_timeout: Duration,
    /// How long clients go on after the last arrival.
    #[serde(rename = "drain", with = "duration")]
    pub drain_time: Duration,
    /// How the load balancer weighs placers.
    #[serde(rename = "spread")]
    pub balancing: Balancing,
}

/// How the load balancer weighs placers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balancing {
    /// Equally, over those that pass their health checks.
    #[serde(rename = "blind")]
    RoundRobin,
    /// By the weights of their agent checks, which `[placers] operator` must enable.
    #[serde(rename = "agent")]
    AgentWeights,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retry_policy: RetryPolicy::Jitter,
            min_backoff: Duration::from_millis(1_500),
            max_backoff: Duration::from_secs(8),
            retry_budget: 0.2,
            retry_after_compliance: 0.9,
            settle_time: Duration::from_secs(3),
            connections_per_placer: 4,
            idle_timeout: Duration::from_secs(4),
            drain_time: Duration::from_secs(10),
            balancing: Balancing::RoundRobin,
        }
    }
}

/// The objectives that a run is judged by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Objectives {
    /// The class.
    pub class: String,
    /// The fraction of its tasks that start within its latency objective.
    pub share: f64,
    /// Limit of the generator's own lateness at the 99th percentile, beyond which a run reports no percentiles.
    #[serde(rename = "own-lateness", with = "duration")]
    pub max_generator_lateness: Duration,
}

impl Default for Objectives {
    fn default() -> Objectives {
        Objectives {
            class: "pagina".into(),
            share: 0.99,
            max_generator_lateness: Duration::from_millis(20),
        }
    }
}
