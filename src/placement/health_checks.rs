//! Health checks, which are sent to return ejected hosts to service and to refresh old load reports.

use super::placer::Placer;
use crate::state::hosts::{Host, HostIndex};
use crate::types::{Action, Micros};

/// Maximum number of health checks to refresh load reports per new task at this placer.
const CHECKS_PER_TASK: f64 = 0.5;
/// A load report is refreshed by a health check if it is older than this many shortest latency objectives.
const STALE_OBJECTIVES: i64 = 2;

impl Placer {
    /// Adds the number of health checks that one new task pays for to the credit for refreshing load reports. The
    /// credit is limited to one health check per known host.
    pub(super) fn add_health_check_credit(&mut self) {
        let max_credit = self.hosts.hosts.len() as f64;
        self.health_check_credit = (self.health_check_credit + CHECKS_PER_TASK).min(max_credit);
    }

    /// Sends health checks to ejected hosts, and then, as far as the credit earned by new tasks allows, to the members
    /// of the working set with the oldest load reports.
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

    /// Returns the members of the working set without a recent load report or health check, each with the time of its
    /// latest one, oldest first.
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
