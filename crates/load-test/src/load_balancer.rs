//! Emulates the load balancer in front of the placers, which picks the placer of each new connection. It does no I/O: the
//! caller passes in the results of health checks and the reports of agent checks.
//!
//! The load balancer prefers placers in the zone of the client. It adds a placer once a health check passes, removes a
//! placer at once if a check finds it draining, and removes a placer that does not respond after several failed checks.

use emulator::load_balancer::{AgentReport, LoadBalancer};

/// Number of consecutive failed health checks after which a placer is removed.
const FALL: u32 = 3;

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The health check passed.
    Passed,
    /// The placer is draining and accepts no new connections.
    Draining,
    /// The connection failed, or there was no answer.
    Failed,
}

/// The health of a placer as the load balancer knows it from health checks.
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
    /// One for the placers of each zone, and at the end one for all placers.
    balancers: Vec<LoadBalancer>,
}

impl ZonalLoadBalancer {
    /// Returns a load balancer for placers that are assigned to the zones in turn. No placer has passed a health check yet.
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

    /// Applies the result of a health check. Returns whether the placer was added because of it.
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

    /// Applies the report of the agent check of a placer.
    pub fn apply_report(&mut self, placer: usize, report: AgentReport) {
        for balancer in &mut self.balancers {
            balancer.apply_report(placer, report);
        }
    }

    /// Returns whether any placer is up.
    pub fn any_up(&self) -> bool {
        self.placers.iter().any(|placer| placer.up)
    }

    /// Returns whether all placers are up.
    pub fn all_up(&self) -> bool {
        self.placers.iter().all(|placer| placer.up)
    }

    /// Returns the placer for the next connection of a client in a zone: a placer of that zone, or else any placer that is
    /// up, or else `None`.
    pub fn pick(&mut self, zone: usize) -> Option<usize> {
        let zone = zone % self.zones;
        let local = self.balancers.get_mut(zone).and_then(LoadBalancer::pick);
        local.or_else(|| self.balancers.last_mut().and_then(LoadBalancer::pick))
    }

    /// Updates in the balancer of each zone, and in that of all placers, whether a placer gets connections.
    fn update_servers(&mut self, placer: usize) {
        let up = self.placers.get(placer).is_some_and(|health| health.up);
        let (zones, placer_zone) = (self.zones, placer % self.zones);
        for (zone, balancer) in self.balancers.iter_mut().enumerate() {
            let serves = up && (zone == zones || zone == placer_zone);
            if let Some(server) = balancer.servers.get_mut(placer) {
                server.up = serves;
            }
        }
    }
}

#[cfg(test)]
mod tests;
