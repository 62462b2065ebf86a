//! The load balancer in front of the placers: which placer the next connection goes to. Pure; results of health
//! checks and reports of agents go in.
//!
//! It prefers the placers of a client's zone, adds a placer once it passes its first health check, removes one at
//! once when a check says that it is draining, and a dead one only after several failed checks.

use emulator::load_balancer::{AgentReport, LoadBalancer};

/// Consecutive failed checks that remove a placer.
const FALL: u32 = 3;

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// It passed.
    Passed,
    /// The placer wants no new connections.
    Draining,
    /// There was no answer, or no connection.
    Failed,
}

/// What the load balancer knows of a placer.
#[derive(Debug, Clone, Copy, Default)]
struct PlacerHealth {
    up: bool,
    consecutive_failures: u32,
}

/// A load balancer that prefers placers of the client's zone.
#[derive(Debug, Clone)]
pub struct ZonalLoadBalancer {
    zones: usize,
    placers: Vec<PlacerHealth>,
    /// One for each zone, and one for all.
    balancers: Vec<LoadBalancer>,
}

impl ZonalLoadBalancer {
    /// Returns a load balancer over placers that are spread over the zones in turn; none has passed a check yet.
    pub fn new(placers: usize, zones: usize) -> ZonalLoadBalancer {
        let zones = zones.max(1);
        let mut balancer = ZonalLoadBalancer {
            zones,
            placers: vec![PlacerHealth::default(); placers],
            balancers: vec![LoadBalancer::new(placers, 1, 1); zones + 1],
        };
        (0..placers).for_each(|placer| balancer.update_servers(placer));
        balancer
    }

    /// Applies the result of a health check; returns whether it added the placer.
    pub fn apply_health_check(&mut self, placer: usize, result: HealthCheckResult) -> bool {
        let Some(health) = self.placers.get_mut(placer) else {
            return false;
        };
        let was_up = health.up;
        match result {
            HealthCheckResult::Passed => {
                *health = PlacerHealth {
                    up: true,
                    consecutive_failures: 0,
                };
            }
            HealthCheckResult::Draining => health.up = false,
            HealthCheckResult::Failed => {
                health.consecutive_failures += 1;
                if health.consecutive_failures >= FALL {
                    health.up = false;
                }
            }
        }
        let added = health.up && !was_up;
        self.update_servers(placer);
        added
    }

    /// Applies the report of a placer's agent.
    pub fn apply_report(&mut self, placer: usize, report: AgentReport) {
        for balancer in &mut self.balancers {
            balancer.apply_report(placer, report);
        }
    }

    /// Whether any placer is up.
    pub fn any_up(&self) -> bool {
        self.placers.iter().any(|placer| placer.up)
    }

    /// Whether all placers are up.
    pub fn all_up(&self) -> bool {
        self.placers.iter().all(|placer| placer.up)
    }

    /// Returns the placer for a client of a zone: one of its zone, else any that is up, else none.
    pub fn pick(&mut self, zone: usize) -> Option<usize> {
        let zone = zone % self.zones;
        let local = self.balancers.get_mut(zone).and_then(LoadBalancer::pick);
        local.or_else(|| self.balancers.last_mut().and_then(LoadBalancer::pick))
    }

    /// Sets in each balancer whether a placer gets connections.
    fn update_servers(&mut self, placer: usize) {
        let up = self.placers.get(placer).is_some_and(|health| health.up);
        let (zones, home) = (self.zones, placer % self.zones);
        for (zone, balancer) in self.balancers.iter_mut().enumerate() {
            let serves = up && (zone == zones || zone == home);
            if let Some(server) = balancer.servers.get_mut(placer) {
                server.up = serves;
            }
        }
    }
}

#[cfg(test)]
mod tests;
