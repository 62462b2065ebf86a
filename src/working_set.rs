//! The working set: machines in order, cut where the sizes of the first ones suffice.
//!
//! The module states each machine's [`Part`] and how far members are to be filled; this keeps the order, the sums and the cut. One part
//! that changes costs a place in the order and a few steps of the cut, whatever the number of machines. Sums are kept
//! in whole steps of [`STEP`], so that they are the same in whatever order parts come and go: a set that was kept
//! for hours is the set that is chosen anew from the same parts. Holds no decision and no tuned value.

use crate::ledger::Place;
use crate::placement::{HostId, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Sums are kept in steps of this: far below what any comparison of loads can tell apart.
pub(crate) const STEP: f64 = 1.0 / (1u64 << 24) as f64;

/// A sum in steps. Parts are bounded by 64 bits, so that no number of machines goes over its limits.
type Steps = i128;

fn steps(value: f64) -> Steps {
    Steps::from((value / STEP).round() as i64)
}

fn value(steps: Steps) -> f64 {
    steps as f64 * STEP
}

/// What one machine adds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Part {
    /// Whether it is up.
    pub up: bool,
    /// Its place in the order, before its id; none where it can't be chosen.
    pub rank: Option<i64>,
    /// Its size, in mean tasks.
    pub size: f64,
    /// What is asked of it, in mean tasks.
    pub need: f64,
    /// Mean tasks that it has room for.
    pub room: f64,
}

/// The same in steps, as it was added.
#[derive(Debug, Clone, Copy, Default)]
struct Added {
    rank: Option<i64>,
    size: Steps,
    need: Steps,
    room: Steps,
}

/// The order: rank, then id.
type Key = (i64, HostId, Place);

/// The machines chosen to hold all tasks, as of the last choice.
#[derive(Debug, Default)]
pub(crate) struct WorkingSet {
    /// Use as a part of what is asked (cores, memory) by which parts were stated.
    pub used: [f64; 2],
    /// The services' homes among the members, by rank.
    pub homes: BTreeMap<ServiceId, Vec<Place>>,
    added: Vec<Added>,
    up: BTreeSet<Place>,
    order: BTreeSet<Key>,
    /// The last member.
    last: Option<Key>,
    /// Sums over the members.
    size: Steps,
    load: Steps,
    /// Sums over all machines.
    need: Steps,
    room: Steps,
    /// Machines were added to the members or taken from them since the last cut.
    changed: bool,
}

impl WorkingSet {
    /// An empty set, whose parts will be stated by this use.
    pub fn new(used: [f64; 2]) -> WorkingSet {
        WorkingSet {
            used,
            ..WorkingSet::default()
        }
    }

    /// Takes a machine's part in place of the one before. The cut is as it was.
    pub fn put(&mut self, at: Place, host: &HostId, part: Part) {
        if self.added.len() <= at {
            self.added.resize(at + 1, Added::default());
        }
        let added = Added {
            rank: part.rank,
            size: steps(part.size),
            need: steps(part.need),
            room: steps(part.room),
        };
        let before = std::mem::replace(&mut self.added[at], added);
        if part.up {
            self.up.insert(at);
        } else {
            self.up.remove(&at);
        }
        self.need += added.need - before.need;
        self.room += added.room - before.room;
        if before.rank == added.rank {
            if added
                .rank
                .is_some_and(|rank| self.within(&(rank, host.clone(), at)))
            {
                self.size += added.size - before.size;
                self.load += added.need - before.need;
            }
            return;
        }
        if let Some(rank) = before.rank {
            self.leave(&(rank, host.clone(), at), before);
        }
        if let Some(rank) = added.rank {
            self.enter((rank, host.clone(), at), added);
        }
    }

    /// Cuts the order behind the first machines that hold what is asked of all, each filled to this part: as few as
    /// do, one at least, and all where they don't. Answers whether the members may be others than before.
    pub fn cut(&mut self, fill: f64) -> bool {
        let need = value(self.need);
        let suffices = |size: Steps| value(size) * fill >= need;
        while let Some(last) = self.last.clone() {
            let without = self.size - self.added[last.2].size;
            let Some(before) = self.order.range(..&last).next_back().cloned() else {
                break;
            };
            if !suffices(without) {
                break;
            }
            self.count(last.2, false);
            self.last = Some(before);
        }
        while self.last.is_none() || !suffices(self.size) {
            let next = match &self.last {
                Some(last) => self.order.range((Excluded(last), Unbounded)).next(),
                None => self.order.first(),
            };
            let Some(next) = next.cloned() else { break };
            self.count(next.2, true);
            self.last = Some(next);
        }
        std::mem::take(&mut self.changed)
    }

    /// The members, in order.
    pub fn members(&self) -> impl Iterator<Item = Place> + '_ {
        self.last
            .iter()
            .flat_map(|last| self.order.range(..=last))
            .map(|(_, _, at)| *at)
    }

    /// Whether a machine is a member.
    pub fn contains(&self, at: Place, host: &HostId) -> bool {
        let rank = self.added.get(at).and_then(|added| added.rank);
        rank.is_some_and(|rank| self.within(&(rank, host.clone(), at)))
    }

    /// All machines that are up.
    pub fn up(&self) -> impl Iterator<Item = Place> + '_ {
        self.up.iter().copied()
    }

    /// Size of the members together.
    pub fn size(&self) -> f64 {
        value(self.size)
    }

    /// Mean fullness of the members.
    pub fn mean(&self) -> f64 {
        value(self.load) / self.size().max(f64::MIN_POSITIVE)
    }

    /// Mean tasks that all well machines have room for in view.
    pub fn room(&self) -> f64 {
        value(self.room)
    }

    fn within(&self, key: &Key) -> bool {
        self.last.as_ref().is_some_and(|last| key <= last)
    }

    /// Adds a machine to the sums over the members, or takes it from them.
    fn count(&mut self, at: Place, joins: bool) {
        let sign = if joins { 1 } else { -1 };
        let Added { size, need, .. } = self.added[at];
        self.size += sign * size;
        self.load += sign * need;
        self.changed = true;
    }

    fn enter(&mut self, key: Key, added: Added) {
        if self.within(&key) {
            self.size += added.size;
            self.load += added.need;
            self.changed = true;
        }
        self.order.insert(key);
    }

    fn leave(&mut self, key: &Key, before: Added) {
        if self.within(key) {
            self.size -= before.size;
            self.load -= before.need;
            self.changed = true;
        }
        if self.last.as_ref() == Some(key) {
            self.last = self.order.range(..key).next_back().cloned();
        }
        self.order.remove(key);
    }
}

#[cfg(test)]
mod tests;
