//! Selects the hosts that are in use (the working set), and for each service the members that it prefers.
//!
//! All placers select the same way from the same endpoint list, so that idle hosts stay idle without any coordination
//! messages between placers.

use super::eligibility::MAX_FULLNESS;
use super::placer::Placer;
use super::usage_assumption::ASSUMED_USAGE_RATIO;
use crate::state::hash::combine_hashes;
use crate::state::health_book::Scope;
use crate::state::hosts::HostIndex;
use crate::state::working_set::HostContribution;
use crate::types::{EndpointState, ServiceId};
use itertools::Itertools;

/// The working set is just large enough to hold the load of all tasks at this mean fullness.
const WORKING_SET_FILL: f64 = 0.6;
/// Number of steps per unit of fullness into which fullness is rounded when hosts are ordered. The steps are coarse, so
/// that placers whose load reports are late still arrive at the same order.
const RANK_STEPS: f64 = 4.0;
/// Fullness beyond which hosts rank equally in the order.
const MAX_RANKED_FULLNESS: f64 = 0.5;
/// Number of working-set members that are ranked for a service. If none of them can get a task, all members are
/// considered.
const MAX_AFFINITY_HOSTS: usize = 8;
/// Number of bits of a hash from which a rank is computed: as many as an `f64` represents exactly.
const RANK_BITS: u32 = 53;

impl Placer {
    /// Selects as many hosts as the load of all tasks needs: fuller hosts first (in coarse steps), then by id. The set
    /// grows with demand. Only the contributions of hosts that changed since the last selection are computed again.
    pub(super) fn select_working_set(&mut self) {
        self.hosts
            .changed
            .extend(self.health.take_changed(self.now));
        for index in std::mem::take(&mut self.hosts.changed) {
            self.update_contribution(index);
        }
        if self.working_set.select(WORKING_SET_FILL) {
            self.working_set.affinity.clear();
        }
    }

    fn update_contribution(&mut self, index: HostIndex) {
        let contribution = self.contribution(index);
        self.working_set
            .update(index, &self.hosts.hosts[index].id, contribution);
    }

    /// Returns a host's rank, and its contribution to the size, load and free capacity of the working set.
    fn contribution(&self, index: HostIndex) -> HostContribution {
        let host = &self.hosts.hosts[index];
        let usage_ratio = self.working_set.usage_ratio;
        let fullness = self.fullness_at(host, host.requested(), usage_ratio);
        let size = self.size_in_tasks(host);
        let max_tasks = size * self.full_service_utilization() / usage_ratio.cores;
        let is_up = host.state == EndpointState::Up;
        let is_healthy = is_up && !self.is_ejected(index, Scope::Host);
        HostContribution {
            is_up,
            rank: is_healthy.then_some(-(fullness.min(MAX_RANKED_FULLNESS) * RANK_STEPS) as i64),
            size,
            load: if host.state == EndpointState::Removed {
                0.0
            } else {
                fullness * size
            },
            free_capacity: if is_healthy {
                (MAX_FULLNESS - fullness).max(0.0) * max_tasks
            } else {
                0.0
            },
        }
    }

    /// Uses the latest learned ratio of used to requested resources for the working set from now on. The ratio changes
    /// with each usage report but is taken over only at ticks, because the contributions of all hosts to the working
    /// set depend on it.
    pub(super) fn adopt_usage_ratio(&mut self) {
        let usage_ratio = self.usage_ratio();
        if usage_ratio != self.working_set.usage_ratio {
            self.working_set.usage_ratio = usage_ratio;
            for index in 0..self.hosts.hosts.len() {
                self.update_contribution(index);
            }
        }
    }

    /// Ranks the members of the working set for a service by rendezvous hashing, unless this was done since the members
    /// last changed.
    ///
    /// All placers compute the same ranking. The number of services that prefer a host is in proportion to the number
    /// of mean tasks that it can hold, and a host that is added or removed changes the ranking only of the services
    /// that prefer it.
    pub(super) fn rank_affinity_hosts(&mut self, service: ServiceId) {
        if self.working_set.affinity.contains_key(&service) {
            return;
        }
        let ranked = self
            .working_set
            .members()
            .map(|index| (self.affinity_rank(index, service), index))
            .k_smallest_by(MAX_AFFINITY_HOSTS, |first, second| {
                first.0.total_cmp(&second.0).then(first.1.cmp(&second.1))
            });
        let hosts = ranked.map(|(_, index)| index).collect();
        self.working_set.affinity.insert(service, hosts);
    }

    /// Returns a member's rank for a service. The member with the lowest rank is preferred most.
    fn affinity_rank(&self, index: HostIndex, service: ServiceId) -> f64 {
        let host = &self.hosts.hosts[index];
        let draw = (combine_hashes(host.hash, service.0) >> (u64::BITS - RANK_BITS)) as f64 + 1.0;
        let fullness_per_task = self.fullness_at(host, self.mean_task(), ASSUMED_USAGE_RATIO);
        (f64::from(RANK_BITS) - draw.log2()) * fullness_per_task
    }
}

#[cfg(test)]
mod tests;
