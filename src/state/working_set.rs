//! The working set: the smallest prefix of the ordered hosts that can hold all tasks.
//!
//! The caller provides each host's [`HostContribution`] and the fraction up to which the members are filled; this
//! module maintains the order of the hosts, the sums over them and the position of the last member. A changed
//! contribution costs one update of the order and a few moves of the last member, regardless of the number of hosts.
//! Sums are whole multiples of [`SUM_RESOLUTION`], so they do not depend on the order in which contributions are
//! added and removed: a set that has been updated for hours equals one selected from scratch from the same
//! contributions.
//!
//! The caller makes all decisions; this module has no tuned constants.

use super::hosts::HostIndex;
use crate::types::{HostId, Resources, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Resolution of the sums, far smaller than any difference between loads that matters.
pub(crate) const SUM_RESOLUTION: f64 = 1.0 / (1u64 << 24) as f64;

/// A sum in multiples of [`SUM_RESOLUTION`]. Each term fits into 64 bits, so a sum over any possible number of hosts
/// does not overflow 128 bits.
type Units = i128;

fn to_units(value: f64) -> Units {
    Units::from((value / SUM_RESOLUTION).round() as i64)
}

fn from_units(units: Units) -> f64 {
    units as f64 * SUM_RESOLUTION
}

/// Contribution of one host to the working set. Sizes and loads are multiples of the mean task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HostContribution {
    /// Whether the host is in service.
    pub is_up: bool,
    /// Rank of the host; hosts are ordered by rank, then by id. `None` if the host cannot be a member.
    pub rank: Option<i64>,
    /// Size of the host: how many mean tasks it can hold by its cores.
    pub size: f64,
    /// Load on the host: its fullness times its size.
    pub load: f64,
    /// Number of further tasks of mean size that the host has capacity for.
    pub free_capacity: f64,
}

/// A contribution in multiples of [`SUM_RESOLUTION`], as it was added to the sums.
#[derive(Debug, Clone, Copy, Default)]
struct CountedContribution {
    rank: Option<i64>,
    size: Units,
    load: Units,
    free_capacity: Units,
}

impl CountedContribution {
    fn new(contribution: &HostContribution) -> CountedContribution {
        CountedContribution {
            rank: contribution.rank,
            size: to_units(contribution.size),
            load: to_units(contribution.load),
            free_capacity: to_units(contribution.free_capacity),
        }
    }
}

/// Position of a host in the order: its rank, then its id.
type Position = (i64, HostId, HostIndex);

/// A change of a host's membership in the working set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Membership {
    Joins,
    Leaves,
}

/// The ordered hosts, of which a prefix, the members, is selected to hold all tasks.
#[derive(Debug, Default)]
pub(crate) struct WorkingSet {
    /// Ratio of used to requested resources with which the caller computed the contributions.
    pub usage_ratio: Resources,
    /// The preferred members of each service, best first.
    pub affinity: BTreeMap<ServiceId, Vec<HostIndex>>,
    counted: Vec<CountedContribution>,
    up: BTreeSet<HostIndex>,
    order: BTreeSet<Position>,
    last_member: Option<Position>,
    /// Sum of the sizes of the members.
    member_size: Units,
    /// Sum of the loads of the members.
    member_load: Units,
    /// Sum of the loads of all hosts.
    total_load: Units,
    /// Sum of the free capacities of all hosts.
    total_free_capacity: Units,
    /// Whether hosts have joined or left the members since the last selection.
    members_changed: bool,
}

impl WorkingSet {
    /// Creates an empty set whose contributions are computed with this ratio of used to requested resources.
    pub fn new(usage_ratio: Resources) -> WorkingSet {
        WorkingSet {
            usage_ratio,
            ..WorkingSet::default()
        }
    }

    /// Replaces a host's contribution. The position of the last member only changes if the last member itself moves
    /// in the order or leaves it.
    pub fn update(&mut self, index: HostIndex, host: &HostId, contribution: HostContribution) {
        if self.counted.len() <= index {
            self.counted
                .resize(index + 1, CountedContribution::default());
        }
        let after = CountedContribution::new(&contribution);
        let before = std::mem::replace(&mut self.counted[index], after);
        if contribution.is_up {
            self.up.insert(index);
        } else {
            self.up.remove(&index);
        }
        self.total_load += after.load - before.load;
        self.total_free_capacity += after.free_capacity - before.free_capacity;
        if before.rank == after.rank {
            self.update_in_place(index, host, before, after);
            return;
        }
        if let Some(rank) = before.rank {
            self.leave_order(&(rank, host.clone(), index), before);
        }
        if let Some(rank) = after.rank {
            self.enter_order((rank, host.clone(), index), after);
        }
    }

    /// Selects as members the fewest first hosts of the order that hold the load of all hosts when each is filled to
    /// the fraction `fill`: at least one, and all if even they do not suffice. Returns whether the members may have
    /// changed.
    pub fn select(&mut self, fill: f64) -> bool {
        self.drop_needless_members(fill);
        self.add_missing_members(fill);
        std::mem::take(&mut self.members_changed)
    }

    /// Returns the members of the working set, in the order of their ranks.
    pub fn members(&self) -> impl Iterator<Item = HostIndex> + '_ {
        self.last_member
            .iter()
            .flat_map(|last| self.order.range(..=last))
            .map(|(_, _, index)| *index)
    }

    /// Returns whether a host is a member of the working set.
    pub fn contains(&self, index: HostIndex, host: &HostId) -> bool {
        let rank = self.counted.get(index).and_then(|counted| counted.rank);
        rank.is_some_and(|rank| self.is_member(&(rank, host.clone(), index)))
    }

    /// Returns all hosts in service.
    pub fn hosts_up(&self) -> impl Iterator<Item = HostIndex> + '_ {
        self.up.iter().copied()
    }

    /// Returns the total size of the members, in multiples of the mean task.
    pub fn size(&self) -> f64 {
        from_units(self.member_size)
    }

    /// Returns the load of the members as a fraction of their size.
    pub fn mean_fullness(&self) -> f64 {
        from_units(self.member_load) / self.size().max(f64::MIN_POSITIVE)
    }

    /// Returns how many further mean tasks all healthy hosts together have capacity for, as far as known.
    pub fn free_capacity(&self) -> f64 {
        from_units(self.total_free_capacity)
    }

    fn suffices(&self, size: Units, fill: f64) -> bool {
        from_units(size) * fill >= from_units(self.total_load)
    }

    fn drop_needless_members(&mut self, fill: f64) {
        while let Some(last) = self.last_member.clone() {
            let size_without_last = self.member_size - self.counted[last.2].size;
            let Some(before_last) = self.order.range(..&last).next_back().cloned() else {
                break;
            };
            if !self.suffices(size_without_last, fill) {
                break;
            }
            self.count_member(last.2, Membership::Leaves);
            self.last_member = Some(before_last);
        }
    }

    fn add_missing_members(&mut self, fill: f64) {
        while self.last_member.is_none() || !self.suffices(self.member_size, fill) {
            let next = match &self.last_member {
                Some(last) => self.order.range((Excluded(last), Unbounded)).next(),
                None => self.order.first(),
            };
            let Some(next) = next.cloned() else { break };
            self.count_member(next.2, Membership::Joins);
            self.last_member = Some(next);
        }
    }

    fn update_in_place(
        &mut self,
        index: HostIndex,
        host: &HostId,
        before: CountedContribution,
        after: CountedContribution,
    ) {
        let position = after.rank.map(|rank| (rank, host.clone(), index));
        if position.is_some_and(|position| self.is_member(&position)) {
            self.member_size += after.size - before.size;
            self.member_load += after.load - before.load;
        }
    }

    fn is_member(&self, position: &Position) -> bool {
        self.last_member
            .as_ref()
            .is_some_and(|last| position <= last)
    }

    /// Adds a host's size and load to the sums over the members, or subtracts them if the host has left the members.
    fn count_member(&mut self, index: HostIndex, membership: Membership) {
        let CountedContribution { size, load, .. } = self.counted[index];
        match membership {
            Membership::Joins => {
                self.member_size += size;
                self.member_load += load;
            }
            Membership::Leaves => {
                self.member_size -= size;
                self.member_load -= load;
            }
        }
        self.members_changed = true;
    }

    fn enter_order(&mut self, position: Position, contribution: CountedContribution) {
        if self.is_member(&position) {
            self.member_size += contribution.size;
            self.member_load += contribution.load;
            self.members_changed = true;
        }
        self.order.insert(position);
    }

    fn leave_order(&mut self, position: &Position, contribution: CountedContribution) {
        if self.is_member(position) {
            self.member_size -= contribution.size;
            self.member_load -= contribution.load;
            self.members_changed = true;
        }
        if self.last_member.as_ref() == Some(position) {
            self.last_member = self.order.range(..position).next_back().cloned();
        }
        self.order.remove(position);
    }
}

#[cfg(test)]
mod tests;
