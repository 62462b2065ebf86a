//! A task as a client requests it.

use super::{ClassId, Micros, RequestId, ServiceId, TaskKey, TenantId};

/// One request to place a task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Identifies this request.
    pub id: RequestId,
    /// Class of the task.
    pub class: ClassId,
    /// Service that the task belongs to.
    pub service: ServiceId,
    /// Identifies the task. The key is the same in every request for it.
    pub key: TaskKey,
    /// Tenant that the task belongs to, if any.
    pub tenant: Option<TenantId>,
    /// Cores that the task requests.
    pub cores: f64,
    /// Memory that the task requests, in the unit of the settings.
    pub memory: f64,
    /// Expected remaining run time in seconds, if known.
    pub expected_run_seconds: Option<f64>,
    /// Time until the client gives up waiting for a placement, in microseconds.
    pub time_budget: Micros,
    /// Whether the client repeats a request that it has sent before.
    pub is_retry: bool,
    /// Whether the task was requested or placed before and then rejected, failed, migrated or lost.
    pub is_returning: bool,
    /// Position of the task in the order in which the fleet sheds load: a rank of 0 is admitted first, a rank of 1 is
    /// shed first.
    pub shed_rank: f64,
    /// Retry-After of a rejection of this task, in microseconds; 0 leaves the choice to the decision module.
    pub retry_after: Micros,
}
