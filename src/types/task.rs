//! A task as it is requested.

use super::{ClassId, Micros, RequestId, ServiceId, TaskKey, TenantId};

/// One request to place a task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// This request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its service.
    pub service: ServiceId,
    /// The task, the same in every request for it.
    pub key: TaskKey,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Cores requested.
    pub cores: f64,
    /// Memory requested, in the unit of the settings.
    pub memory: f64,
    /// Expected remaining run time in seconds, if known.
    pub expected_run_seconds: Option<f64>,
    /// Time until its client gives up.
    pub time_budget: Micros,
    /// The client repeats a request that it has sent before.
    pub is_retry: bool,
    /// The task was placed or requested before, and was rejected, failed, migrated or lost.
    pub is_returning: bool,
    /// Its position in the fleet's order of load shedding: 0 is admitted first, 1 is shed first.
    pub shed_rank: f64,
    /// The Retry-After to send if it is rejected; 0 leaves the choice to the module.
    pub retry_after: Micros,
}
