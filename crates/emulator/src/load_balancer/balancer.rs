//! The state of a load balancer without its sockets: health checks, agent reports, and smooth weighted round robin.

use super::agent_report::{AdminState, AgentReport};
use std::cmp::Reverse;

/// The initial weight of a server, in percent, until an agent report changes it.
const FULL_WEIGHT: u32 = 100;

/// The result of one health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The server passed the check.
    Passed,
    /// The server failed the check, or did not answer in time.
    Failed,
}

impl CheckResult {
    /// Returns the result of a check that passed or failed.
    pub fn from_pass(passed: bool) -> CheckResult {
        if passed {
            CheckResult::Passed
        } else {
            CheckResult::Failed
        }
    }
}

/// The state of a server as a load balancer sees it.
#[derive(Debug, Clone)]
pub struct Server {
    /// The current weight, in percent.
    pub weight: u32,
    /// The administrative state.
    pub admin: AdminState,
    /// Whether the server is considered up according to the checks.
    pub up: bool,
    /// The number of consecutive checks that contradict `up`.
    contrary_checks: u32,
    /// The balance of the server in the smooth weighted round robin.
    balance: i64,
}

impl Default for Server {
    fn default() -> Server {
        Server {
            weight: FULL_WEIGHT,
            admin: AdminState::Ready,
            up: true,
            contrary_checks: 0,
            balance: 0,
        }
    }
}

impl Server {
    /// Returns the weight for new connections, which is 0 if the server gets none.
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
    /// The number of consecutive passed checks after which a server counts as up.
    pub rise: u32,
    /// The number of consecutive failed checks after which a server counts as down.
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

    /// Applies the report of a server's agent check.
    pub fn apply_report(&mut self, server: usize, report: AgentReport) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.admin = report.admin.unwrap_or(server.admin);
        server.weight = report.weight.unwrap_or(server.weight);
        server.up = report.up.unwrap_or(server.up);
    }

    /// Applies the result of a server's health check.
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

    /// Returns the server for the next connection, or `None` if no server gets connections. The balance of each server
    /// is increased by its weight; the server with the highest balance is picked, and its balance is reduced by the sum
    /// of all weights.
    pub fn pick(&mut self) -> Option<usize> {
        let total: i64 = self.servers.iter().map(Server::effective_weight).sum();
        for server in &mut self.servers {
            server.balance = match server.effective_weight() {
                0 => 0,
                weight => server.balance + weight,
            };
        }
        let candidates = self
            .servers
            .iter_mut()
            .enumerate()
            .filter(|(_, server)| server.effective_weight() > 0);
        let (index, server) =
            candidates.max_by_key(|(index, server)| (server.balance, Reverse(*index)))?;
        server.balance -= total;
        Some(index)
    }
}
