//! Health checks: they return ejected hosts to service and refresh old load reports.

use super::placer::Placer;
use crate::state::hosts::{Host, HostIndex};
use crate::types::{Action, Micros};

/// Health checks for each own new task, at most.
const CHECKS_PER_TASK: f64 = 0.5;
/// A load report older than this many latency objectives is worth a health check.
const STALE_OBJECTIVES: i64 = 2;

impl Placer {
    /// A new task earns a part of a health check.
    pub(super) fn earn_health_check(&mut self) {
        let max_credit = self.hosts.hosts.len() as f64;
        self.health_check_credit = (self.health_check_credit + CHECKS_PER_TASK).min(max_credit);
    }

    /// Checks ejected hosts, then spends the credit on the oldest load reports of the working set.
    pub(super) fn send_health_checks(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.allows_health_checks {
            return;
        }
        self.check_ejected_hosts(actions);
        if self.settings.load_report.is_empty() {
            return;
        }
        for (_, index) in self.stale_members() {
            if self.health_check_credit < 1.0 {
                break;
            }
            self.health_check_credit -= 1.0;
            let host = &mut self.hosts.hosts[index];
            host.last_health_check = self.now;
            let host = host.id.clone();
            actions.push(Action::SendHealthCheck { host });
        }
    }

    /// Members whose load was neither reported nor checked for a while, oldest first.
    fn stale_members(&self) -> Vec<(Micros, HostIndex)> {
        let last_known = |host: &Host| match host.load_known_as_of {
            Some(as_of) => as_of.max(host.last_health_check),
            None => host.last_health_check,
        };
        let mut stale: Vec<(Micros, HostIndex)> = self
            .working_set
            .members()
            .map(|index| (last_known(&self.hosts.hosts[index]), index))
            .filter(|(last_known, _)| {
                self.now - last_known > STALE_OBJECTIVES * self.shortest_objective
            })
            .collect();
        stale.sort_unstable();
        stale
    }
}
