//! Requests to place a task, as clients state them, and the check that a deployment can mean them.

use crate::settings::Names;
use crate::types::{Micros, Resources, Settings, TaskClass};

/// A client may wait for at most this many times the deadline of the task's class.
const MAX_DEADLINE_MULTIPLE: Micros = 4;
/// A task may request this many times what the largest host accepts: kinds state what is usual, and a host may be
/// larger.
const MAX_HOST_MULTIPLE: f64 = 2.0;

/// One request in the caller's hands, numbered by the caller.
///
/// A number is never reused, so that a request id of the wire that comes back cannot be taken for the request that
/// carried it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A task to place, with the names that its client gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementRequest {
    /// The class, as the settings name it.
    pub class: String,
    /// The tenant, as the settings name it.
    pub tenant: Option<String>,
    /// The service it belongs to.
    pub service: u64,
    /// The task, the same in every request for it.
    pub key: u64,
    /// Cores requested.
    pub cores: f64,
    /// Memory requested, in the unit of the settings.
    pub memory: f64,
    /// Time until the client gives up.
    pub time_budget: Micros,
    /// Marked by its client as a retry.
    pub is_retry: bool,
}

impl PlacementRequest {
    /// Cores and memory requested.
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
    /// To be placed: its client waits for a response.
    Place,
    /// It runs already: no response is pending, and its time budget does not matter.
    Adopt,
}

/// A request that no deployment with these settings can mean.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidRequest {
    /// The settings have no such class.
    #[error("unknown task class `{0}`")]
    UnknownClass(String),
    /// The settings have tenants, and this is none of them.
    #[error("unknown tenant `{0}`")]
    UnknownTenant(String),
    /// No host of the class is large enough.
    #[error(
        "requested {} cores and {} memory, but the largest host of the class accepts {} and {}",
        requested.cores, requested.memory, largest.cores, largest.memory
    )]
    ExceedsLargestHost {
        /// What the request states.
        requested: Resources,
        /// What the largest host of the class accepts.
        largest: Resources,
    },
    /// The client cannot wait that long, or does not wait at all.
    #[error("time budget of {found} us, expected 1 to {max} us")]
    TimeBudgetOutOfRange {
        /// What the request states.
        found: Micros,
        /// The longest that a client may wait.
        max: Micros,
    },
}

/// What requests of one class may state.
pub(super) struct ClassLimits {
    pub(super) latency_objective: Micros,
    pub(super) deadline: Micros,
    /// What the largest host of the class accepts.
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

    /// Checks what a request of this class requests and how long its client waits.
    pub(super) fn check(
        &self,
        request: &PlacementRequest,
        kind: RequestKind,
    ) -> Result<(), InvalidRequest> {
        let requested = request.resources();
        let max_request = self.largest_host.map(|amount| MAX_HOST_MULTIPLE * amount);
        let is_possible = |amount: f64, max: f64| (0.0..=max).contains(&amount);
        if !is_possible(requested.cores, max_request.cores)
            || !is_possible(requested.memory, max_request.memory)
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

/// Checks that the settings have the tenant of a request, if they have tenants at all.
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
