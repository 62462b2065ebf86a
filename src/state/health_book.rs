//! Failures of hosts, by scope, and the ejections that follow from them.

use super::hosts::HostIndex;
use crate::types::{ClassId, Micros, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// What a failure is evidence against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Scope {
    /// The whole host.
    Host,
    /// One class of tasks on it.
    Class(ClassId),
    /// One class of tasks on it, as one tenant sends it.
    ClassOfTenant(ClassId, Option<TenantId>),
}

/// Failures of one scope at one host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ScopeHealth {
    /// Failures in a row; halved by each success.
    pub failures: u32,
    /// The host is ejected for this scope until then.
    pub ejected_until: Micros,
    /// The ejection lasts until a health check that was sent after `ejected_until` succeeds.
    pub awaits_health_check: bool,
}

impl ScopeHealth {
    /// Whether the host is ejected for this scope.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.awaits_health_check || now < self.ejected_until
    }
}

/// Failures of all hosts.
#[derive(Debug, Default)]
pub(crate) struct HealthTable {
    hosts: BTreeMap<HostIndex, BTreeMap<Scope, ScopeHealth>>,
    /// Hosts whose entries may have changed since [`HealthTable::take_changed`] was last called.
    changed: BTreeSet<HostIndex>,
    /// When ejections of whole hosts end.
    ejection_ends: BTreeSet<(Micros, HostIndex)>,
}

impl HealthTable {
    /// The failures of one scope, if there were any.
    pub fn get(&self, host: HostIndex, scope: Scope) -> Option<&ScopeHealth> {
        self.hosts.get(&host)?.get(&scope)
    }

    /// All scopes with failures at a host.
    pub fn scopes(&self, host: HostIndex) -> impl Iterator<Item = (&Scope, &ScopeHealth)> {
        self.hosts.get(&host).into_iter().flatten()
    }

    /// The failures of one scope, to be changed.
    pub fn entry(&mut self, host: HostIndex, scope: Scope) -> &mut ScopeHealth {
        self.changed.insert(host);
        self.hosts
            .entry(host)
            .or_default()
            .entry(scope)
            .or_default()
    }

    /// Schedules the end of a host's ejection as a whole, if it is ejected.
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

    /// Records a success: halves the failures of a scope.
    pub fn record_success(&mut self, host: HostIndex, scope: Scope) {
        if let Some(health) = self.existing(host, scope) {
            health.failures /= 2;
        }
    }

    /// Records a successful health check. It proves that the host works, but nothing about a class or tenant.
    pub fn record_passed_health_check(&mut self, host: HostIndex) {
        if let Some(health) = self.existing(host, Scope::Host) {
            health.awaits_health_check = false;
            self.changed.insert(host);
        }
    }

    /// Forgets all failures of a host.
    pub fn forget(&mut self, host: HostIndex) {
        self.hosts.remove(&host);
        self.changed.insert(host);
    }

    /// The hosts that a health check may return to service now.
    pub fn awaiting_health_check(&self, now: Micros) -> Vec<HostIndex> {
        let is_due =
            |health: &ScopeHealth| health.awaits_health_check && now >= health.ejected_until;
        self.hosts
            .iter()
            .filter(|(_, scopes)| scopes.values().any(is_due))
            .map(|(host, _)| *host)
            .collect()
    }

    fn existing(&mut self, host: HostIndex, scope: Scope) -> Option<&mut ScopeHealth> {
        self.hosts.get_mut(&host)?.get_mut(&scope)
    }
}
