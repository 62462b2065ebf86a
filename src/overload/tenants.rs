//! Estimates, from the requests at one placer, which fraction of each tenant's load is within its quota.

use crate::health::sliding_window::SlidingWindow;
use crate::{Micros, Settings, TenantId};

/// The length of the window over which a tenant's requests are counted, in multiples of the shortest latency objective.
const WINDOW_OBJECTIVES: Micros = 4;
const MICROS_PER_SECOND: f64 = 1e6;

/// The quota and the recent requests of one tenant.
#[derive(Debug, Clone)]
struct TenantUsage {
    /// The quota of new tasks per second over all placers; 0 means that there is no quota.
    quota_per_second: f64,
    /// Counts the tenant's recent requests at this placer.
    requests: SlidingWindow,
}

/// The quotas and recent requests of all tenants.
#[derive(Debug, Clone)]
pub(super) struct TenantUsages {
    tenants: Vec<TenantUsage>,
    placer_count: usize,
}

impl TenantUsages {
    pub fn new(settings: &Settings, latency_objective: Micros) -> TenantUsages {
        let tenants = settings.tenants.iter().map(|tenant| TenantUsage {
            quota_per_second: tenant.quota_tasks_per_second,
            requests: SlidingWindow::new(WINDOW_OBJECTIVES * latency_objective),
        });
        TenantUsages {
            tenants: tenants.collect(),
            placer_count: settings.placer_count.max(1),
        }
    }

    /// Counts a request and returns the fraction of its tenant's requests that is within the quota. The tenant's
    /// load at each other placer is assumed to be the same as at this one.
    pub fn record_request(&mut self, now: Micros, tenant: Option<TenantId>) -> f64 {
        let Some(usage) = tenant.and_then(|TenantId(index)| self.tenants.get_mut(index)) else {
            return 1.0;
        };
        usage.requests.add(now, 1.0, 0.0);
        let own_per_second =
            usage.requests.sums(now).part * MICROS_PER_SECOND / usage.requests.length() as f64;
        let per_second = own_per_second * self.placer_count as f64;
        if usage.quota_per_second > 0.0 && per_second > usage.quota_per_second {
            usage.quota_per_second / per_second
        } else {
            1.0
        }
    }
}
