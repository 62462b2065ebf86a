//! What a deployment states at start.

use super::{KindId, Micros, ZoneId};

/// The hosts on which an idempotency key is recognised, so that a retry with the same key is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// Whether a task may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run does no harm.
    Idempotent,
    /// Retries are recognised by their key within a scope, for the class's
    /// [`idempotency_window`](TaskClass::idempotency_window).
    IdempotencyKey {
        /// The hosts that recognise the key.
        scope: KeyScope,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The failure domain over which a service's tasks are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadDomain {
    /// The tasks are not spread.
    None,
    /// A host.
    Host,
    /// A cell.
    Cell,
    /// A zone.
    Zone,
}

/// When a host acknowledges an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acknowledgement {
    /// As soon as it has accepted the task.
    Accepted,
    /// When the task runs.
    Running,
}

/// What one value of a load report means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReportField {
    /// Tasks on the host.
    InFlight,
    /// Attempts and starts that are queued.
    QueueLength,
    /// Fraction of the cores in use.
    Utilization,
    /// Free cores, counted as [`Settings::counts_requested_resources`] says.
    FreeCores,
    /// Free memory, counted likewise.
    FreeMemory,
    /// Another value, ignored.
    Other,
}

/// One class of tasks.
#[derive(Debug, Clone)]
pub struct TaskClass {
    /// A first start within this time earns its full weight.
    pub latency_objective: Micros,
    /// How long a client waits for a placement.
    pub deadline: Micros,
    /// The fraction of a start's weight that is left between latency objective and deadline.
    pub late_weight: f64,
    /// Whether a task may run more than once.
    pub idempotency: Idempotency,
    /// How long hosts remember an idempotency key.
    pub idempotency_window: Micros,
    /// Priority weight of one second of full service at mean task size.
    pub priority_weight: f64,
    /// Seconds of service that a start in time is equal to.
    pub start_weight_seconds: f64,
    /// The host kind required, if any.
    pub host_kind: Option<KindId>,
    /// The failure domain over which a service's tasks are spread.
    pub spread_domain: SpreadDomain,
    /// The most tasks of a service in one such domain.
    pub max_per_domain: usize,
    /// 0 (lowest) to 3.
    pub priority: u8,
    /// Utilization of a host's cores up to which the tasks get full service.
    pub full_service_utilization: f64,
    /// Service falls to nothing over this much more utilization.
    pub service_falloff: f64,
}

/// One tenant and its quota.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Its fraction of the service.
    pub service_fraction: f64,
    /// New tasks a second within its quota, over all placers.
    pub quota_tasks_per_second: f64,
    /// Cores requested within its quota, over all placers; 0 if not stated.
    pub quota_cores: f64,
}

/// One kind of host.
#[derive(Debug, Clone)]
pub struct HostKind {
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
}

/// What a deployment states at start. Prices are fractions of a task's weight.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Index of this placer among all placers.
    pub placer_index: usize,
    /// Number of placers.
    pub placer_count: usize,
    /// Zone of this placer.
    pub zone: Option<ZoneId>,
    /// Smallest time between batches of events.
    pub tick: Micros,
    /// Kinds of hosts.
    pub host_kinds: Vec<HostKind>,
    /// Task classes.
    pub classes: Vec<TaskClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a task beyond its tenant's quota, as a fraction.
    pub over_quota_weight: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether hosts may be sent health checks.
    pub allows_health_checks: bool,
    /// Whether an attempt may be cancelled.
    pub allows_cancel: bool,
    /// Whether a rejection may carry a Retry-After.
    pub allows_retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Connections that take longer to establish fail.
    pub connect_timeout: Micros,
    /// Whether the endpoint list comes only to those who subscribe.
    pub requires_subscription: bool,
    /// Longest time that may pass without a subscription or an attempt to get one.
    pub max_time_unsubscribed: Micros,
    /// What the values of a load report are.
    pub load_report: Vec<LoadReportField>,
    /// Load reports and the endpoint list subtract what tasks requested; otherwise what they use.
    pub counts_requested_resources: bool,
    /// Endpoints carry their free cores and memory.
    pub endpoints_show_free_resources: bool,
    /// When a host acknowledges an attempt.
    pub acknowledgement: Acknowledgement,
    /// A host accepts tasks that request up to this many times its cores.
    pub core_overcommit: f64,
    /// A host accepts tasks that request up to this many times its memory.
    pub memory_overcommit: f64,
    /// Hosts preempt tasks of lower priorities to make room.
    pub preempts: bool,
    /// Mean cores requested by a task.
    pub mean_cores: f64,
    /// Mean memory requested by a task.
    pub mean_memory: f64,
    /// How long a client waits after an attempt that may have run.
    pub client_settle_time: Micros,
    /// Responses this long after a deadline are still in time.
    pub response_slack: Micros,
    /// Attempts to a draining host must stop within this.
    pub drain_grace: Micros,
    /// How long a started host warms up at most.
    pub slow_start: Micros,
    /// The fraction of its speed at which a started host begins.
    pub slow_start_initial_speed: f64,
    /// Multiple of its capacity at which a warming host collapses,
    pub collapse_multiple: f64,
    /// if it is held for this long.
    pub collapse_window: Micros,
    /// Attempts within `collapse_window` that a warming host always bears, from all placers together.
    pub slow_start_attempts: f64,
    /// Price of running in another zone.
    pub price_cross_zone: f64,
    /// Price of one health check for each task.
    pub price_health_check: f64,
    /// Price of hosts that are used beyond need.
    pub price_hosts_used: f64,
    /// Price of one rejected attempt for each task.
    pub price_rejected_attempt: f64,
    /// Price of one migration for each task.
    pub price_migration: f64,
    /// Price of one new connection to a host for each task.
    pub price_handshake: f64,
}

impl Settings {
    /// A small made-up deployment for examples and tests: three placers, one host kind, one idempotent class.
    pub fn example() -> Settings {
        const SECOND: Micros = 1_000_000;
        Settings {
            placer_index: 0,
            placer_count: 3,
            zone: Some(ZoneId(0)),
            tick: 2_000,
            host_kinds: vec![HostKind {
                cores: 32.0,
                memory: 64.0,
            }],
            classes: vec![TaskClass {
                latency_objective: SECOND,
                deadline: 5 * SECOND,
                late_weight: 0.1,
                idempotency: Idempotency::Idempotent,
                idempotency_window: 5 * SECOND,
                priority_weight: 1.0,
                start_weight_seconds: 8.0,
                host_kind: None,
                spread_domain: SpreadDomain::None,
                max_per_domain: 2,
                priority: 0,
                full_service_utilization: 0.8,
                service_falloff: 0.2,
            }],
            tenants: Vec::new(),
            over_quota_weight: 0.1,
            max_attempts: 3,
            allows_health_checks: true,
            allows_cancel: true,
            allows_retry_after: true,
            max_retry_after: 3 * SECOND,
            connect_timeout: SECOND / 4,
            requires_subscription: false,
            max_time_unsubscribed: 10 * SECOND,
            load_report: vec![LoadReportField::FreeCores, LoadReportField::FreeMemory],
            counts_requested_resources: true,
            endpoints_show_free_resources: true,
            acknowledgement: Acknowledgement::Accepted,
            core_overcommit: 2.0,
            memory_overcommit: 1.5,
            preempts: false,
            mean_cores: 1.0,
            mean_memory: 2.0,
            client_settle_time: 3 * SECOND,
            response_slack: 8_000,
            drain_grace: SECOND / 4,
            slow_start: 14 * SECOND,
            slow_start_initial_speed: 0.2,
            collapse_multiple: 2.0,
            collapse_window: 2 * SECOND,
            slow_start_attempts: 60.0,
            price_cross_zone: 0.02,
            price_health_check: 0.004,
            price_hosts_used: 0.2,
            price_rejected_attempt: 0.02,
            price_migration: 0.08,
            price_handshake: 0.0,
        }
    }
}
