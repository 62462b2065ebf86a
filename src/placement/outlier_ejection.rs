//! Outlier ejection: a host that fails attempts gets no further attempts for some time.
//!
//! ```text
//!             failure                       ejection time is over, no health checks
//!   healthy ───────────▶ ejected ────────────────────────────────────────▶ healthy
//!                             │ ejection time is over                         ▲
//!                             ▼                 health check succeeds         │
//!                     awaits a health check ──────────────────────────────────┘
//! ```
//!
//! Each failure doubles the time of the next ejection, and each success halves the count of failures.

use super::placer::Placer;
use crate::state::health_book::Scope;
use crate::state::hosts::HostIndex;
use crate::types::{Action, EndpointState, HostId, Micros, Outcome};

/// Length of the first ejection of a whole host, as a multiple of the connect timeout or the shortest latency
/// objective, whichever is longer.
const HOST_EJECTION_MULTIPLE: i64 = 2;
/// Length of the first ejection of a host for one class or tenant, as a multiple of the connect timeout or the shortest
/// latency objective, whichever is longer. It is longer than the ejection of a whole host, because no health check
/// shows when the host serves the class or tenant again.
const CLASS_EJECTION_MULTIPLE: i64 = 16;
/// The ejection time is doubled at most this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 6;

impl Placer {
    /// Records a failure against the narrowest scope that explains it, and ejects the host for that scope.
    ///
    /// This handles hosts that drop or reject attempts (dead, cut off, stalled, or failing to start tasks), and hosts
    /// that fail or limit one class or tenant but serve all others. If a second class fails, the whole host is ejected.
    /// The drawback is that capacity stays unused if most hosts fail now and then.
    pub(super) fn record_failure(&mut self, host: HostIndex, scope: Scope) {
        let scope = self.widened_scope(host, scope);
        let multiple = match scope {
            Scope::Host => HOST_EJECTION_MULTIPLE,
            Scope::Class(_) | Scope::ClassOfTenant(..) => CLASS_EJECTION_MULTIPLE,
        };
        let base_ejection_time =
            self.settings.connect_timeout.max(self.shortest_objective) * multiple;
        let max_ejection_time = self.settings.slow_start.max(base_ejection_time);
        let health = self.health.entry(host, scope);
        if self.now >= health.ejected_until {
            let doublings = health.failures.min(MAX_EJECTION_DOUBLINGS);
            health.ejected_until =
                self.now + (base_ejection_time << doublings).min(max_ejection_time);
            health.failures += 1;
        }
        health.awaits_health_check = scope == Scope::Host && self.settings.allows_health_checks;
        self.health.schedule_ejection_end(host);
    }

    /// Returns the scope of the whole host instead of a class if the host is already ejected for another class,
    /// otherwise the given scope.
    fn widened_scope(&self, host: HostIndex, scope: Scope) -> Scope {
        let is_other_class =
            |other: &Scope| matches!((other, scope), (Scope::Class(a), Scope::Class(b)) if *a != b);
        let mut scopes = self.health.scopes(host);
        if scopes.any(|(other, health)| is_other_class(other) && self.now < health.ejected_until) {
            Scope::Host
        } else {
            scope
        }
    }

    /// Returns whether a host is ejected for a scope.
    pub(super) fn is_ejected(&self, host: HostIndex, scope: Scope) -> bool {
        let health = self.health.get(host, scope);
        health.is_some_and(|health| health.is_ejected(self.now))
    }

    /// Returns the number of listed hosts that get no attempts for any task now, because they are draining or ejected
    /// as a whole.
    pub fn unavailable_hosts(&self) -> usize {
        let hosts = self.hosts.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.state != EndpointState::Removed)
            .filter(|(index, host)| {
                host.state != EndpointState::Up || self.is_ejected(*index, Scope::Host)
            })
            .count()
    }

    /// Returns whether a host has started a task of this placer recently, that is, within a time as long as the
    /// shortest latency objective.
    pub(super) fn started_task_recently(&self, host: HostIndex) -> bool {
        let last_task_start = self.hosts.hosts[host].last_task_start;
        last_task_start.is_some_and(|started_at| self.now - started_at < self.shortest_objective)
    }

    /// Records the outcome of a health check. A host that rejects it has answered, so the check counts as passed.
    pub(super) fn health_check_ended(&mut self, host: &HostId, outcome: Outcome) {
        let Some(index) = self.hosts.index_of(host) else {
            return;
        };
        match outcome {
            Outcome::Completed | Outcome::Rejected => self.health.record_passed_health_check(index),
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.record_failure(index, Scope::Host);
            }
        }
    }

    /// Sends health checks to ejected hosts whose ejection time is over.
    pub(super) fn check_ejected_hosts(&mut self, actions: &mut Vec<Action>) {
        let min_pause: Micros = self.settings.connect_timeout * HOST_EJECTION_MULTIPLE;
        for index in self.health.awaiting_health_check(self.now) {
            let host = &mut self.hosts.hosts[index];
            if host.state == EndpointState::Up && self.now >= host.last_health_check + min_pause {
                host.last_health_check = self.now;
                let host = host.id.clone();
                actions.push(Action::SendHealthCheck { host });
            }
        }
    }
}
