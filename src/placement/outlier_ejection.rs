//! Outlier ejection: hosts that fail attempts get none for a while.
//!
//! ```text
//!             failure                       time is over, no health checks
//!   healthy ───────────▶ ejected for a span ─────────────────────────────▶ healthy
//!                             │ time is over                                  ▲
//!                             ▼                 health check succeeds         │
//!                     awaits a health check ──────────────────────────────────┘
//! ```
//!
//! Each failure doubles the next span, and each success halves the count of failures.

use super::placer::Placer;
use crate::state::health_book::Scope;
use crate::state::hosts::HostIndex;
use crate::types::{Action, EndpointState, HostId, Micros, Outcome};

/// The first ejection of a host lasts this many connect timeouts or latency objectives, whichever is longer.
const HOST_EJECTION_SPANS: i64 = 2;
/// The same for one class or tenant on a host: no health check shows when it is served again.
const CLASS_EJECTION_SPANS: i64 = 16;
/// The span doubles at most this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 6;

impl Placer {
    /// Records a failure against the narrowest scope that explains it.
    ///
    /// Covers hosts that drop or reject attempts (dead, cut off, stalled, failing starts), and hosts that fail or
    /// limit one class or tenant and serve the rest. A second class that fails widens the scope to the whole host.
    /// Cost: where most hosts fail now and then, capacity stays unused.
    pub(super) fn record_failure(&mut self, host: HostIndex, scope: Scope) {
        let scope = self.widened(host, scope);
        let spans = match scope {
            Scope::Host => HOST_EJECTION_SPANS,
            Scope::Class(_) | Scope::ClassOfTenant(..) => CLASS_EJECTION_SPANS,
        };
        let first_span = self.settings.connect_timeout.max(self.shortest_objective) * spans;
        let max_span = self.settings.slow_start.max(first_span);
        let health = self.health.entry(host, scope);
        if self.now >= health.ejected_until {
            let doublings = health.failures.min(MAX_EJECTION_DOUBLINGS);
            health.ejected_until = self.now + (first_span << doublings).min(max_span);
            health.failures += 1;
        }
        health.awaits_health_check = scope == Scope::Host && self.settings.allows_health_checks;
        self.health.schedule_ejection_end(host);
    }

    /// The whole host instead of a class, if another class is ejected there already.
    fn widened(&self, host: HostIndex, scope: Scope) -> Scope {
        let is_other_class =
            |other: &Scope| matches!((other, scope), (Scope::Class(a), Scope::Class(b)) if *a != b);
        let mut scopes = self.health.scopes(host);
        if scopes.any(|(other, health)| is_other_class(other) && self.now < health.ejected_until) {
            Scope::Host
        } else {
            scope
        }
    }

    /// Whether a host is ejected for a scope.
    pub(super) fn is_ejected(&self, host: HostIndex, scope: Scope) -> bool {
        let health = self.health.get(host, scope);
        health.is_some_and(|health| health.is_ejected(self.now))
    }

    /// Number of listed hosts that get no attempts now, whatever the task: they drain, or are ejected as a whole.
    pub fn unavailable_hosts(&self) -> usize {
        let hosts = self.hosts.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.state != EndpointState::Removed)
            .filter(|(index, host)| {
                host.state != EndpointState::Up || self.is_ejected(*index, Scope::Host)
            })
            .count()
    }

    /// Whether a host has started a task of this placer within one shortest latency objective.
    pub(super) fn started_task_recently(&self, host: HostIndex) -> bool {
        let last_task_start = self.hosts.hosts[host].last_task_start;
        last_task_start.is_some_and(|started_at| self.now - started_at < self.shortest_objective)
    }

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

    /// Sends health checks to ejected hosts whose span is over.
    pub(super) fn check_ejected_hosts(&mut self, actions: &mut Vec<Action>) {
        let min_pause: Micros = self.settings.connect_timeout * HOST_EJECTION_SPANS;
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
