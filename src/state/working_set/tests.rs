//! Compares the incrementally updated working set with a selection from scratch from the same contributions.

use super::*;
use proptest::prelude::*;
use std::sync::Arc;

const HOSTS: usize = 24;

/// The members of a selection from scratch, and the sums over them.
struct Selection {
    members: Vec<HostIndex>,
    size: f64,
    load: f64,
}

/// A new contribution of one host, and whether members are selected afterwards.
#[derive(Debug, Clone)]
struct Change {
    host: HostIndex,
    contribution: HostContribution,
    fill: f64,
    selects: bool,
}

fn id(index: HostIndex) -> HostId {
    HostId(Arc::from(format!("m{index:03}")))
}

/// Selects the members by sorting all hosts; the reference for the incremental selection.
fn select_from_scratch(contributions: &[Option<HostContribution>], fill: f64) -> Selection {
    let known = contributions.iter().flatten();
    let total_load = from_units(known.map(|contribution| to_units(contribution.load)).sum());
    let mut order: Vec<(i64, HostId, HostIndex)> = Vec::new();
    for (index, contribution) in contributions.iter().enumerate() {
        if let Some(rank) = contribution.and_then(|contribution| contribution.rank) {
            order.push((rank, id(index), index));
        }
    }
    order.sort();
    let mut members = Vec::new();
    let mut size = 0;
    let mut load = 0;
    for (_, _, index) in order {
        if from_units(size) * fill >= total_load && !members.is_empty() {
            break;
        }
        let Some(contribution) = contributions[index] else {
            continue;
        };
        size += to_units(contribution.size);
        load += to_units(contribution.load);
        members.push(index);
    }
    Selection {
        members,
        size: from_units(size),
        load: from_units(load),
    }
}

fn contribution() -> impl Strategy<Value = HostContribution> {
    let rank = prop_oneof![1 => Just(None), 4 => (-2..=0i64).prop_map(Some)];
    (any::<bool>(), rank, 0.1..40.0, 0.0..40.0, 0.0..40.0).prop_map(
        |(is_up, rank, size, load, free_capacity)| HostContribution {
            is_up,
            rank,
            size,
            load,
            free_capacity,
        },
    )
}

fn change() -> impl Strategy<Value = Change> {
    (0..HOSTS, contribution(), 0.02..4.0, any::<bool>()).prop_map(
        |(host, contribution, fill, selects)| Change {
            host,
            contribution,
            fill,
            selects,
        },
    )
}

fn sorted(mut hosts: Vec<HostIndex>) -> Vec<HostIndex> {
    hosts.sort_unstable();
    hosts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// After any sequence of contributions and fill fractions, the members and sums equal those of a selection from
    /// scratch, and every change of the members is reported.
    #[test]
    fn updated_set_equals_the_set_selected_from_scratch(changes in prop::collection::vec(change(), 1..120)) {
        let mut set = WorkingSet::default();
        let mut contributions: Vec<Option<HostContribution>> = vec![None; HOSTS];
        let mut members_before: Vec<HostIndex> = Vec::new();
        for Change { host, contribution, fill, selects } in changes {
            set.update(host, &id(host), contribution);
            contributions[host] = Some(contribution);
            if !selects {
                continue;
            }

            let changed = set.select(fill);

            let Selection { members, size, load } = select_from_scratch(&contributions, fill);
            prop_assert_eq!(set.members().collect::<Vec<_>>(), members.clone());
            prop_assert_eq!(set.size(), size);
            prop_assert_eq!(set.mean_fullness(), load / size.max(f64::MIN_POSITIVE));
            let known = || contributions.iter().flatten();
            prop_assert_eq!(set.total_load, known().map(|known| to_units(known.load)).sum::<Units>());
            let free_capacity = known().map(|known| to_units(known.free_capacity)).sum();
            prop_assert_eq!(set.free_capacity(), from_units(free_capacity));
            let is_up = |index: &HostIndex| contributions[*index].is_some_and(|known| known.is_up);
            prop_assert_eq!(set.hosts_up().collect::<Vec<_>>(), (0..HOSTS).filter(is_up).collect::<Vec<_>>());
            let contained: Vec<bool> = (0..HOSTS).map(|index| set.contains(index, &id(index))).collect();
            let expected: Vec<bool> = (0..HOSTS).map(|index| members.contains(&index)).collect();
            prop_assert_eq!(contained, expected);
            let same_members = sorted(members_before) == sorted(members.clone());
            prop_assert!(changed || same_members, "the members changed but no change was reported");
            members_before = members;
        }
    }
}

fn set_of_five() -> WorkingSet {
    let contribution = HostContribution {
        is_up: true,
        rank: Some(0),
        size: 1.0,
        load: 0.5,
        free_capacity: 2.0,
    };
    let mut set = WorkingSet::default();
    for index in 0..5 {
        set.update(index, &id(index), contribution);
    }
    set
}

#[test]
fn set_without_hosts_has_no_members() {
    let mut set = WorkingSet::default();

    assert!(!set.select(1.0), "an empty set reported changed members");
}

#[test]
fn at_least_one_host_is_selected() {
    let mut set = set_of_five();

    assert!(set.select(1e9));

    assert_eq!(set.members().collect::<Vec<_>>(), [0]);
}

#[test]
fn all_hosts_are_selected_if_they_do_not_suffice() {
    let mut set = set_of_five();
    assert!(set.select(1e9));

    assert!(set.select(0.0));

    assert_eq!(set.members().count(), 5);
    assert!(
        !set.select(0.0),
        "a repeated selection reported changed members"
    );
}

#[test]
fn extreme_contributions_do_not_overflow() {
    let extremes = [f64::MAX, f64::INFINITY, f64::NAN, -f64::MAX, 0.0];
    let mut set = WorkingSet::default();

    for round in 0..3 {
        let values = extremes.into_iter().cycle().skip(round).take(50);
        for (index, value) in values.enumerate() {
            let contribution = HostContribution {
                is_up: true,
                rank: Some(0),
                size: value,
                load: value,
                free_capacity: value,
            };
            set.update(index, &id(index), contribution);
            set.select(0.5);
        }
    }

    assert!(set.size().is_finite() && set.mean_fullness().is_finite());
}
