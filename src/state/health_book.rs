//! Failures of hosts by scope, and the resulting ejections.

use super::hosts::HostIndex;
use crate::types::{ClassId, Micros, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// The part of a host's traffic that a failure counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    /// The whole host.
    Host,
    /// One class of tasks on the host.
    Class(ClassId),
    /// The tasks of one class and one tenant on the host.
    ClassOfTenant(ClassId, Option<TenantId>),
}

/// Failure count and ejection of one scope at one host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ScopeHealth {
    /// Number of failures; halved by each success.
    pub failures: u32,
    /// The host is ejected for this scope at least until this time.
    pub ejected_until: Micros,
    /// Whether the ejection continues after `ejected_until` until a health check succeeds. Ejected hosts are sent health
    /// checks from `ejected_until` on.
    pub awaits_health_check: bool,
}

impl ScopeHealth {
    /// Returns whether the host is ejected for this scope at time `now`.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.awaits_health_check || now < self.ejected_until
    }
}

/// Failures and ejections of all hosts.
#[derive(Debug, Default)]
pub(crate) struct HealthTable {
    hosts: BTreeMap<HostIndex, BTreeMap<Scope, ScopeHealth>>,
    /// Hosts whose entries may have changed since [`HealthTable::take_changed`] was last called.
    changed: BTreeSet<HostIndex>,
    /// End times of the ejections of whole hosts.
    ejection_ends: BTreeSet<(Micros, HostIndex)>,
}

impl HealthTable {
    /// Returns the failures of one scope at a host, if any were recorded.
    pub fn get(&self, host: HostIndex, scope: Scope) -> Option<&ScopeHealth> {
        self.hosts.get(&host)?.get(&scope)
    }

    /// Returns all scopes with recorded failures at a host.
    pub fn scopes(&self, host: HostIndex) -> impl Iterator<Item = (&Scope, &ScopeHealth)> {
        self.hosts.get(&host).into_iter().flatten()
    }

    /// Returns a mutable entry for the failures of one scope, inserting an empty one if none exists. Marks the host
    /// as changed.
    pub fn entry(&mut self, host: HostIndex, scope: Scope) -> &mut ScopeHealth {
        self.changed.insert(host);
        self.hosts
            .entry(host)
            .or_default()
            .entry(scope)
            .or_default()
    }

    /// Schedules the host to be returned by [`HealthTable::take_changed`] when the ejection of the whole host ends.
    /// Does nothing if no failure of the whole host is recorded.
    pub fn schedule_ejection_end(&mut self, host: HostIndex) {
        if let Some(health) = self.get(host, Scope::Host) {
            self.ejection_ends.insert((health.ejected_until, host));
        }
    }

    /// Returns the hosts whose ejection may have begun or ended since the last call.
    pub fn take_changed(&mut self, now: Micros) -> BTreeSet<HostIndex> {
        let mut changed = std::mem::take(&mut self.changed);
        while let Some(&(ends_at, host)) = self.ejection_ends.first() {
            if ends_at > now {
                break;
            }
            self.ejection_ends.pop_first();
            changed.insert(host);
        }
        changed
    }

    /// Records a successful attempt, which halves the number of failures of a scope.
    pub fn record_success(&mut self, host: HostIndex, scope: Scope) {
        if let Some(health) = self.get_mut(host, scope) {
            health.failures /= 2;
        }
    }

    /// Records a successful health check. It only ends the ejection of the whole host: a health check does not show
    /// whether the host serves a particular class or tenant.
    pub fn record_passed_health_check(&mut self, host: HostIndex) {
        if let Some(health) = self.get_mut(host, Scope::Host) {
            health.awaits_health_check = false;
            self.changed.insert(host);
        }
    }

    /// Removes all failures and ejections of a host.
    pub fn forget(&mut self, host: HostIndex) {
        self.hosts.remove(&host);
        self.changed.insert(host);
    }

    /// Returns the hosts whose ejection time is over and that need a successful health check to return to service.
    pub fn awaiting_health_check(&self, now: Micros) -> Vec<HostIndex> {
        let is_due =
            |health: &ScopeHealth| health.awaits_health_check && now >= health.ejected_until;
        self.hosts
            .iter()
            .filter(|(_, scopes)| scopes.values().any(is_due))
            .map(|(host, _)| *host)
            .collect()
    }

    fn get_mut(&mut self, host: HostIndex, scope: Scope) -> Option<&mut ScopeHealth> {
        self.hosts.get_mut(&host)?.get_mut(&scope)
    }
}
