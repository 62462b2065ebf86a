//! Requests to place a task as clients state them, and their validation against the settings.

use crate::settings::Names;
use crate::types::{Micros, Resources, Settings, TaskClass};

/// Maximum time budget of a request, as a multiple of the deadline of the task's class.
const MAX_DEADLINE_MULTIPLE: Micros = 4;
/// Maximum cores and memory of a request, as a multiple of what the largest host kind accepts. It is above 1 because
/// the settings state the usual sizes of the host kinds, and a host may be larger.
const MAX_HOST_MULTIPLE: f64 = 2.0;

/// A number that the caller assigns to a request, and that identifies the request in all calls of the facade.
///
/// A number is never reused. Clients may reuse a request id on the wire, so it cannot tell a new request from an
/// earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A task to place, with its class and tenant by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementRequest {
    /// Name of the class, as in the settings.
    pub class: String,
    /// Name of the tenant, as in the settings; `None` if the client states none.
    pub tenant: Option<String>,
    /// Id of the service (program) that the task belongs to.
    pub service: u64,
    /// Key of the task, the same in every request for it.
    pub key: u64,
    /// Cores requested.
    pub cores: f64,
    /// Memory requested, in the unit of the settings.
    pub memory: f64,
    /// Time that the client waits for a response.
    pub time_budget: Micros,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
}

impl PlacementRequest {
    /// Returns the cores and memory requested.
    pub fn resources(&self) -> Resources {
        Resources {
            cores: self.cores,
            memory: self.memory,
        }
    }
}

/// Whether the task of a request is to be placed or runs already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The task is to be placed, and its client waits for a response.
    Place,
    /// The task runs already: no response is pending, and its time budget is ignored.
    Adopt,
}

/// Why a request is invalid under the settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings name no such class.
    #[error("unknown task class `{0}`")]
    UnknownClass(String),
    /// The settings name tenants, but not this one.
    #[error("unknown tenant `{0}`")]
    UnknownTenant(String),
    /// The request exceeds what even an unusually large host of the class accepts, or is negative or not a number.
    #[error(
        "requested {} cores and {} memory, but the largest host of the class accepts {} and {}",
        requested.cores, requested.memory, largest.cores, largest.memory
    )]
    ExceedsLargestHost {
        /// Cores and memory that the request states.
        requested: Resources,
        /// Cores and memory that the largest host kind of the class accepts.
        largest: Resources,
    },
    /// The time budget is not positive, or longer than any client waits.
    #[error("time budget of {found} us, expected 1 to {max} us")]
    TimeBudgetOutOfRange {
        /// Time budget that the request states.
        found: Micros,
        /// Maximum time budget.
        max: Micros,
    },
}

/// Limits on the requests of one class.
pub(super) struct ClassLimits {
    pub(super) latency_objective: Micros,
    pub(super) deadline: Micros,
    /// Cores and memory that the largest host kind of the class accepts.
    largest_host: Resources,
}

impl ClassLimits {
    pub(super) fn new(class: &TaskClass, settings: &Settings) -> ClassLimits {
        let overcommit = Resources {
            cores: settings.core_overcommit,
            memory: settings.memory_overcommit,
        };
        let kinds = settings.host_kinds.iter().enumerate();
        let largest_host = kinds
            .filter(|(index, _)| class.host_kind.is_none_or(|kind| kind.0 == *index))
            .map(|(_, kind)| {
                let size = Resources {
                    cores: kind.cores,
                    memory: kind.memory,
                };
                size * overcommit
            })
            .fold(Resources::default(), Resources::max);
        ClassLimits {
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            largest_host,
        }
    }

    /// Checks the requested resources and the time budget of a request of this class.
    pub(super) fn check(
        &self,
        request: &PlacementRequest,
        kind: RequestKind,
    ) -> Result<(), InvalidRequest> {
        let requested = request.resources();
        let max_request = self.largest_host.map(|amount| MAX_HOST_MULTIPLE * amount);
        let is_in_range = |amount: f64, max: f64| (0.0..=max).contains(&amount);
        if !is_in_range(requested.cores, max_request.cores)
            || !is_in_range(requested.memory, max_request.memory)
        {
            return Err(InvalidRequest::ExceedsLargestHost {
                requested,
                largest: self.largest_host,
            });
        }
        let max = self.deadline.saturating_mul(MAX_DEADLINE_MULTIPLE);
        if kind == RequestKind::Place && (request.time_budget <= 0 || request.time_budget > max) {
            return Err(InvalidRequest::TimeBudgetOutOfRange {
                found: request.time_budget,
                max,
            });
        }
        Ok(())
    }
}

/// Checks that the settings name the tenant of a request. Accepts every tenant if the settings name none.
pub(super) fn check_tenant(
    request: &PlacementRequest,
    names: &Names,
) -> Result<(), InvalidRequest> {
    match &request.tenant {
        Some(tenant) if !names.tenants.is_empty() && !names.tenants.contains(tenant) => {
            Err(InvalidRequest::UnknownTenant(tenant.clone()))
        }
        _ => Ok(()),
    }
}
