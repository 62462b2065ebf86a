//! The working set: the first hosts of an order, as many as are needed to hold all tasks.
//!
//! The decisions state what each host contributes ([`HostContribution`]) and how far the members are to be filled; this
//! module keeps the order, the sums and the cut behind the last member. One changed contribution costs one
//! position in the order and a few steps of the cut, whatever the number of hosts. Sums are kept in whole
//! multiples of [`UNIT`], so they do not depend on the order in which contributions come and go: a set that was
//! kept for hours equals one that is selected anew from the same contributions.
//!
//! Holds no decision and no tuned value.

use super::hosts::HostIndex;
use crate::types::{HostId, Resources, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Sums are kept in multiples of this: far below any difference of loads that matters.
pub(crate) const UNIT: f64 = 1.0 / (1u64 << 24) as f64;

/// A sum in multiples of [`UNIT`]. Each term fits into 64 bits, so that no number of hosts overflows it.
type Units = i128;

fn to_units(value: f64) -> Units {
    Units::from((value / UNIT).round() as i64)
}

fn from_units(units: Units) -> f64 {
    units as f64 * UNIT
}

/// What one host contributes. Sizes are in mean tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct HostContribution {
    /// Whether it is in service.
    pub is_up: bool,
    /// Its rank in the order, before its id; `None` if it cannot be a member.
    pub rank: Option<i64>,
    /// Its size.
    pub size: f64,
    /// The load on it.
    pub load: f64,
    /// Further tasks that it has capacity for.
    pub free_capacity: f64,
}

/// A contribution in units, as it was added to the sums.
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

/// Position in the order: rank, then id.
type Position = (i64, HostId, HostIndex);

/// Whether a host joins the members or leaves them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Membership {
    Joins,
    Leaves,
}

/// The hosts selected to hold all tasks.
#[derive(Debug, Default)]
pub(crate) struct WorkingSet {
    /// The ratio of used to requested resources with which contributions were computed.
    pub usage_ratio: Resources,
    /// For each service its preferred members, best first.
    pub affinity: BTreeMap<ServiceId, Vec<HostIndex>>,
    counted: Vec<CountedContribution>,
    up: BTreeSet<HostIndex>,
    order: BTreeSet<Position>,
    last_member: Option<Position>,
    /// Sums over the members.
    member_size: Units,
    member_load: Units,
    /// Sums over all hosts.
    total_load: Units,
    total_free_capacity: Units,
    /// Hosts have joined the members or left them since the last selection.
    members_changed: bool,
}

impl WorkingSet {
    /// An empty set whose contributions will be computed with this ratio of used to requested resources.
    pub fn new(usage_ratio: Resources) -> WorkingSet {
        WorkingSet {
            usage_ratio,
            ..WorkingSet::default()
        }
    }

    /// Replaces a host's contribution. The cut stays where it is.
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

    /// Cuts the order behind the first hosts that hold the load of all, each filled to this fraction: as few as
    /// suffice, at least one, and all if they do not suffice. Returns whether the members may have changed.
    pub fn select(&mut self, fill: f64) -> bool {
        self.drop_needless_members(fill);
        self.add_missing_members(fill);
        std::mem::take(&mut self.members_changed)
    }

    /// The members, in order.
    pub fn members(&self) -> impl Iterator<Item = HostIndex> + '_ {
        self.last_member
            .iter()
            .flat_map(|last| self.order.range(..=last))
            .map(|(_, _, index)| *index)
    }

    /// Whether a host is a member.
    pub fn contains(&self, index: HostIndex, host: &HostId) -> bool {
        let rank = self.counted.get(index).and_then(|counted| counted.rank);
        rank.is_some_and(|rank| self.is_member(&(rank, host.clone(), index)))
    }

    /// All hosts in service.
    pub fn hosts_up(&self) -> impl Iterator<Item = HostIndex> + '_ {
        self.up.iter().copied()
    }

    /// Size of the members together.
    pub fn size(&self) -> f64 {
        from_units(self.member_size)
    }

    /// Mean fullness of the members.
    pub fn mean_fullness(&self) -> f64 {
        from_units(self.member_load) / self.size().max(f64::MIN_POSITIVE)
    }

    /// Mean tasks that all healthy hosts have capacity for, as far as known.
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

    /// Adds a host to the sums over the members, or takes it from them.
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
