//! The state of a load balancer: checks, agent reports, and smooth weighted round robin. It has no sockets.

use super::agent_report::{AdminState, AgentReport};
use std::cmp::Reverse;

/// The weight of a server that no agent has changed, in percent.
const FULL_WEIGHT: u32 = 100;

/// The result of one health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The server passed.
    Passed,
    /// It failed, or did not answer in time.
    Failed,
}

impl CheckResult {
    /// Converts from whether the check passed.
    pub fn from_pass(passed: bool) -> CheckResult {
        if passed {
            CheckResult::Passed
        } else {
            CheckResult::Failed
        }
    }
}

/// What a load balancer knows of a server.
#[derive(Debug, Clone)]
pub struct Server {
    /// The weight in force, in percent.
    pub weight: u32,
    /// The administrative state.
    pub admin: AdminState,
    /// Whether checks consider it up.
    pub up: bool,
    /// Consecutive checks that contradict `up`.
    contrary_checks: u32,
    /// Its balance in the smooth weighted round robin.
    current: i64,
}

impl Default for Server {
    fn default() -> Server {
        Server {
            weight: FULL_WEIGHT,
            admin: AdminState::Ready,
            up: true,
            contrary_checks: 0,
            current: 0,
        }
    }
}

impl Server {
    /// Its weight for new connections.
    fn effective_weight(&self) -> i64 {
        if self.up && self.admin == AdminState::Ready {
            i64::from(self.weight)
        } else {
            0
        }
    }
}

/// A load balancer and its servers.
#[derive(Debug, Clone)]
pub struct LoadBalancer {
    /// The servers.
    pub servers: Vec<Server>,
    /// Consecutive passed checks that bring a server up.
    pub rise: u32,
    /// Consecutive failed checks that bring it down.
    pub fall: u32,
}

impl LoadBalancer {
    /// Returns a load balancer whose servers are all up at full weight.
    pub fn new(servers: usize, rise: u32, fall: u32) -> LoadBalancer {
        LoadBalancer {
            servers: vec![Server::default(); servers],
            rise,
            fall,
        }
    }

    /// Applies an agent's report.
    pub fn apply_report(&mut self, server: usize, report: AgentReport) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.admin = report.admin.unwrap_or(server.admin);
        server.weight = report.weight.unwrap_or(server.weight);
        server.up = report.up.unwrap_or(server.up);
    }

    /// Applies the result of a health check.
    pub fn apply_check(&mut self, server: usize, result: CheckResult) {
        let (rise, fall) = (self.rise, self.fall);
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let up = result == CheckResult::Passed;
        if up == server.up {
            server.contrary_checks = 0;
            return;
        }
        server.contrary_checks += 1;
        let needed = if up { rise } else { fall };
        if server.contrary_checks >= needed {
            server.up = up;
            server.contrary_checks = 0;
        }
    }

    /// Returns the server for the next connection. Each server gains its weight; the one with the highest balance
    /// is picked, and pays the sum of all weights.
    pub fn pick(&mut self) -> Option<usize> {
        let total: i64 = self.servers.iter().map(Server::effective_weight).sum();
        for server in &mut self.servers {
            server.current = match server.effective_weight() {
                0 => 0,
                weight => server.current + weight,
            };
        }
        let candidates = self
            .servers
            .iter_mut()
            .enumerate()
            .filter(|(_, server)| server.effective_weight() > 0);
        let (index, server) =
            candidates.max_by_key(|(index, server)| (server.current, Reverse(*index)))?;
        server.current -= total;
        Some(index)
    }
}
