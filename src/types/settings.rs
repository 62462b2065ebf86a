//! Settings that a deployment states when a placer starts.

use super::{KindId, Micros, ZoneId};

/// The hosts on which an idempotency key is recognised, so that a retry with the same key is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host recognises the key.
    All,
    /// The hosts in the zone of the first attempt recognise the key.
    Zone,
    /// The hosts in the cell of the first attempt recognise the key.
    Cell,
}

/// Whether it does harm if a task runs more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The task may run more than once without harm.
    Idempotent,
    /// The hosts within a scope recognise retries by their key, for the
    /// [`idempotency_window`](TaskClass::idempotency_window) of the class.
    IdempotencyKey {
        /// The hosts that recognise the key.
        scope: KeyScope,
    },
    /// The task must never run twice.
    NonIdempotent,
}

/// The failure domain over which a service's tasks are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadDomain {
    /// The tasks of a service are not spread.
    None,
    /// The tasks of a service are spread over hosts.
    Host,
    /// The tasks of a service are spread over cells.
    Cell,
    /// The tasks of a service are spread over zones.
    Zone,
}

/// When a host acknowledges an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The host acknowledges an attempt as soon as it has accepted the task.
    Accepted,
    /// The host acknowledges an attempt when it has started the task.
    Running,
}

/// The meaning of one value in a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReportField {
    /// Number of tasks on the host.
    InFlight,
    /// Number of attempts and starts that are queued at the host.
    QueueLength,
    /// Fraction of the host's cores that is in use.
    Utilization,
    /// Free cores, from which either requested or used cores are subtracted, as
    /// [`Settings::counts_requested_resources`] states.
    FreeCores,
    /// Free memory, from which either requested or used memory is subtracted, as
    /// [`Settings::counts_requested_resources`] states.
    FreeMemory,
    /// Any other value, which is ignored.
    Other,
}

/// Settings of one class of tasks. All times are in microseconds unless stated otherwise.
#[derive(Debug, Clone)]
pub struct TaskClass {
    /// Time within which the first start of a task earns its full weight.
    pub latency_objective: Micros,
    /// How long a client waits for a placement.
    pub deadline: Micros,
    /// Fraction of a start's weight that is earned by a start after the latency objective but before the deadline.
    pub late_weight: f64,
    /// Whether it does harm if a task runs more than once.
    pub idempotency: Idempotency,
    /// How long hosts remember an idempotency key.
    pub idempotency_window: Micros,
    /// Priority weight: the weight of one second of full service for a task of mean size.
    pub priority_weight: f64,
    /// Number of seconds of full service that have the same weight as a start in time.
    pub start_weight_seconds: f64,
    /// The host kind required, if any.
    pub host_kind: Option<KindId>,
    /// The failure domain over which a service's tasks are spread.
    pub spread_domain: SpreadDomain,
    /// Maximum number of tasks of a service in one domain of the kind `spread_domain`.
    pub max_per_domain: usize,
    /// Priority from 0 (lowest) to 3.
    pub priority: u8,
    /// Utilization of a host's cores up to which its tasks get full service.
    pub full_service_utilization: f64,
    /// Width of the range of utilization above `full_service_utilization` over which the service falls to nothing.
    pub service_falloff: f64,
}

/// Settings of one tenant, with its quota.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Fraction of the service to which the tenant is entitled.
    pub service_fraction: f64,
    /// New tasks per second that are within the tenant's quota, over all placers together.
    pub quota_tasks_per_second: f64,
    /// Requested cores that are within the tenant's quota, over all placers together; 0 if not stated.
    pub quota_cores: f64,
}

/// One kind of host.
#[derive(Debug, Clone)]
pub struct HostKind {
    /// Cores of a host of this kind.
    pub cores: f64,
    /// Memory of a host of this kind, in the unit of the settings.
    pub memory: f64,
}

/// Settings that a deployment states when a placer starts. Prices are fractions of a task's weight, and times are in
/// microseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Index of this placer among all placers.
    pub placer_index: usize,
    /// Number of placers in the deployment.
    pub placer_count: usize,
    /// Zone that this placer is in, if the deployment states it.
    pub zone: Option<ZoneId>,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// The kinds of hosts in the deployment, with the size of each.
    pub host_kinds: Vec<HostKind>,
    /// The settings of each task class.
    pub classes: Vec<TaskClass>,
    /// The settings of each tenant; empty if the deployment has no tenants.
    pub tenants: Vec<Tenant>,
    /// Weight of a task beyond its tenant's quota, as a fraction of the weight of a task within it.
    pub over_quota_weight: f64,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether hosts may be sent health checks.
    pub allows_health_checks: bool,
    /// Whether an attempt may be cancelled.
    pub allows_cancel: bool,
    /// Whether a rejection may carry a Retry-After.
    pub allows_retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Time after which an attempt to establish a connection counts as failed.
    pub connect_timeout: Micros,
    /// Whether only subscribers receive the endpoint list.
    pub requires_subscription: bool,
    /// Longest time that may pass without either a subscription or an attempt to subscribe.
    pub max_time_unsubscribed: Micros,
    /// Meaning of each value in a load report, in order.
    pub load_report: Vec<LoadReportField>,
    /// Whether free resources in load reports and in the endpoint list are those that no task has requested. Otherwise
    /// they are those that no task uses.
    pub counts_requested_resources: bool,
    /// Whether endpoints carry their free cores and memory.
    pub endpoints_show_free_resources: bool,
    /// When a host acknowledges an attempt.
    pub acknowledgement: Acknowledgement,
    /// Total cores that tasks may request on a host, as a multiple of its cores.
    pub core_overcommit: f64,
    /// Total memory that tasks may request on a host, as a multiple of its memory.
    pub memory_overcommit: f64,
    /// Whether hosts preempt tasks of lower priorities to free capacity for others.
    pub preempts: bool,
    /// Number of cores that a task requests on average.
    pub mean_cores: f64,
    /// Memory that a task requests on average.
    pub mean_memory: f64,
    /// Time that a client waits after an attempt that may have run its task.
    pub client_settle_time: Micros,
    /// Time after a deadline within which a response is still in time.
    pub response_slack: Micros,
    /// Time after the start of a host's drain within which attempts to the host must stop.
    pub drain_grace: Micros,
    /// Longest time for which a host warms up after its start.
    pub slow_start: Micros,
    /// Fraction of its full speed at which a host runs right after its start.
    pub slow_start_initial_speed: f64,
    /// Load, as a multiple of its capacity, at which a warming host collapses if the load lasts for `collapse_window`.
    pub collapse_multiple: f64,
    /// Time for which a load of `collapse_multiple` has to last until a warming host collapses.
    pub collapse_window: Micros,
    /// Number of attempts from all placers together that a warming host can always handle within `collapse_window`.
    pub slow_start_attempts: f64,
    /// Price of running a task in a zone other than its placer's.
    pub price_cross_zone: f64,
    /// Price of sending, on average, one health check per task.
    pub price_health_check: f64,
    /// Price of using more hosts than the tasks need.
    pub price_hosts_used: f64,
    /// Price of having, on average, one rejected attempt per task.
    pub price_rejected_attempt: f64,
    /// Price of having, on average, one migration per task.
    pub price_migration: f64,
    /// Price of opening, on average, one new connection to a host per task.
    pub price_handshake: f64,
}

impl Settings {
    /// Returns the settings of a small fictitious deployment for examples and tests. It has three placers, one host
    /// kind and one class of idempotent tasks.
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
