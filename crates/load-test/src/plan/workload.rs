//! The workload of a plan: classes and tenants of tasks, when tasks are due, and how clients behave.

use super::duration;
use crate::clients::RetryPolicy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The cores and memory that a task requests, written as a pair of numbers in plans.
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
    /// Name of the class.
    pub name: String,
    /// Weight of the class among all arrivals, relative to the shares of the other classes.
    pub share: f64,
    /// Whether tasks of the class must not be started twice.
    #[serde(rename = "once")]
    pub non_idempotent: bool,
    /// Latency objective: the time within which tasks are to start after they are due.
    #[serde(rename = "aim", with = "duration")]
    pub objective: Duration,
    /// How long clients wait for an answer.
    #[serde(rename = "limit", with = "duration")]
    pub client_timeout: Duration,
    /// Mean run time of a task.
    #[serde(rename = "life", with = "duration")]
    pub run_time: Duration,
    /// Sigma of the lognormal distribution of run times; 0 for a constant run time.
    #[serde(rename = "life-sigma")]
    pub run_time_sigma: f64,
    /// Number of services in the class.
    pub services: u32,
    /// Sizes of tasks, assigned to the services in rotation.
    pub sizes: Vec<TaskSize>,
    /// Priority of tasks, from 0 (lowest) to 3.
    pub priority: u8,
    /// Maximum number of tasks of a service that a placer may have in a zone; 0 for no limit.
    #[serde(rename = "most-in-room")]
    pub max_per_zone: u32,
    /// Priority weight that placers are configured with: the weight of one second of full service.
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
    /// Returns the default class of non-idempotent tasks, named `totalizador`.
    pub fn default_non_idempotent() -> TaskClass {
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
    /// Name of the tenant.
    pub name: String,
    /// Quota that the placers are configured with, relative to the quotas of the other tenants.
    #[serde(rename = "share")]
    pub quota: f64,
    /// Arrivals of the tenant as a multiple of its quota; more than 1 for a tenant that exceeds it.
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
    /// Returns the weight of the tenant's arrivals among those of all tenants.
    pub fn arrival_weight(&self) -> f64 {
        self.quota * self.quota_multiple
    }
}

/// The random process that spaces arrivals.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum ArrivalProcess {
    /// Equal gaps between arrivals.
    Even,
    /// A Poisson process: arrivals are independent of each other.
    Poisson,
    /// Gaps between arrivals follow a gamma distribution.
    Gamma {
        /// Coefficient of variation of the gaps: standard deviation divided by mean.
        cv: f64,
    },
    /// A Poisson process that switches between two rates.
    Markov {
        /// Ratio of the high rate to the low rate.
        high: f64,
        /// Mean number of arrivals between two switches.
        stay: f64,
    },
}

/// The number of tasks of one service that are due at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Batch {
    /// Minimum number of tasks.
    #[serde(rename = "least")]
    pub min: u32,
    /// Maximum number of tasks.
    #[serde(rename = "most")]
    pub max: u32,
}

/// When tasks are due, and how they are distributed over services and zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Arrivals {
    /// Rate of arrivals over time, in the syntax of [`load_profile`](crate::load_profile).
    #[serde(rename = "shape")]
    pub profile: String,
    /// Process that spaces arrivals.
    pub process: ArrivalProcess,
    /// Size of batches; none if tasks arrive one by one.
    pub batch: Option<Batch>,
    /// Exponent of the Zipf distribution of arrivals over the services of a class; 0 for equal shares.
    pub service_skew: f64,
    /// Exponent of the Zipf distribution of arrivals over the zones; 0 for equal shares.
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
    /// How clients space retries.
    #[serde(rename = "policy")]
    pub retry_policy: RetryPolicy,
    /// Minimum backoff before a retry.
    #[serde(rename = "base", with = "duration")]
    pub min_backoff: Duration,
    /// Maximum backoff before a retry.
    #[serde(rename = "most", with = "duration")]
    pub max_backoff: Duration,
    /// Retries per first attempt that the policy `budget` allows.
    #[serde(rename = "budget")]
    pub retry_budget: f64,
    /// Fraction of clients that respect Retry-After.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// Settle time: how long the client of a non-idempotent task waits after an attempt that may have started it.
    #[serde(rename = "settle", with = "duration")]
    pub settle_time: Duration,
    /// Maximum number of connections to each placer.
    #[serde(rename = "connections")]
    pub connections_per_placer: usize,
    /// Time after which a connection without requests and running tasks is closed.
    #[serde(rename = "idle", with = "duration")]
    pub idle_timeout: Duration,
    /// How long clients continue after the last arrival and the end of the load profile.
    #[serde(rename = "drain", with = "duration")]
    pub drain_time: Duration,
    /// How the load balancer distributes requests among placers.
    #[serde(rename = "spread")]
    pub balancing: Balancing,
}

/// How the load balancer distributes requests among placers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balancing {
    /// Equally among the placers that pass their health checks.
    #[serde(rename = "blind")]
    RoundRobin,
    /// By the weights that placers report in agent checks, which `[placers] operator` must enable.
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

/// The objectives that decide whether a run passes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Objectives {
    /// Name of the class whose latency is compared with its objective.
    pub class: String,
    /// Fraction of the tasks of this class that must start within its latency objective.
    pub share: f64,
    /// Maximum 99th percentile of the generator's own lateness; beyond it a run reports no percentiles.
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
