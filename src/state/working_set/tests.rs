//! The set that is kept, against one that is chosen anew from the same parts.

use super::*;
use proptest::prelude::*;
use std::sync::Arc;

fn id(at: Place) -> HostId {
    HostId(Arc::from(format!("m{at:03}")))
}

/// The members and their size and load, by sorting everything.
fn anew(parts: &[Option<Part>], fill: f64) -> (Vec<Place>, f64, f64) {
    let need = value(parts.iter().flatten().map(|part| steps(part.need)).sum());
    let mut order: Vec<(i64, HostId, Place)> = Vec::new();
    for (at, part) in parts.iter().enumerate() {
        if let Some(rank) = part.and_then(|part| part.rank) {
            order.push((rank, id(at), at));
        }
    }
    order.sort();
    let (mut members, mut size, mut load) = (Vec::new(), 0, 0);
    for (_, _, at) in order {
        if value(size) * fill >= need && !members.is_empty() {
            break;
        }
        let Some(part) = parts[at] else { continue };
        size += steps(part.size);
        load += steps(part.need);
        members.push(at);
    }
    (members, value(size), value(load))
}

fn part() -> impl Strategy<Value = Part> {
    let rank = prop_oneof![1 => Just(None), 4 => (-2..=0i64).prop_map(Some)];
    (any::<bool>(), rank, 0.1..40.0, 0.0..40.0, 0.0..40.0).prop_map(
        |(up, rank, size, need, room)| Part {
            up,
            rank,
            size,
            need,
            room,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever parts come in whatever order, and whatever suffices meanwhile, members, sums and the word on changes
    /// are those of a choice from scratch.
    #[test]
    fn the_kept_set_is_the_set_chosen_anew(
        steps_taken in prop::collection::vec((0..24usize, part(), 0.02..4.0, any::<bool>()), 1..120)
    ) {
        let mut set = WorkingSet::default();
        let mut parts: Vec<Option<Part>> = vec![None; 24];
        let mut before: Vec<Place> = Vec::new();
        for (at, part, fill, cut) in steps_taken {
            set.put(at, &id(at), part);
            parts[at] = Some(part);
            if !cut {
                continue;
            }
            let changed = set.cut(fill);
            let (members, size, load) = anew(&parts, fill);
            prop_assert_eq!(set.members().collect::<Vec<_>>(), members.clone());
            prop_assert_eq!(set.size(), size);
            prop_assert_eq!(set.mean(), load / size.max(f64::MIN_POSITIVE));
            let listed = || parts.iter().flatten();
            prop_assert_eq!(set.need, listed().map(|part| steps(part.need)).sum::<Steps>());
            prop_assert_eq!(set.room(), value(listed().map(|part| steps(part.room)).sum()));
            let up: Vec<Place> = (0..parts.len()).filter(|at| parts[*at].is_some_and(|p| p.up)).collect();
            prop_assert_eq!(set.up().collect::<Vec<_>>(), up);
            let contained: Vec<bool> = (0..parts.len()).map(|at| set.contains(at, &id(at))).collect();
            let expected: Vec<bool> = (0..parts.len()).map(|at| members.contains(&at)).collect();
            prop_assert_eq!(contained, expected);
            let (mut old, mut new) = (before, members.clone());
            old.sort_unstable();
            new.sort_unstable();
            prop_assert!(changed || old == new, "members changed and nobody was told");
            before = members;
        }
    }
}

#[test]
fn one_machine_at_least_is_chosen_and_all_where_none_suffice() {
    let part = Part {
        up: true,
        rank: Some(0),
        size: 1.0,
        need: 0.5,
        room: 2.0,
    };
    let mut set = WorkingSet::default();
    assert!(!set.cut(1.0), "no machine, no member");
    (0..5).for_each(|at| set.put(at, &id(at), part));
    assert!(set.cut(1e9));
    assert_eq!(set.members().collect::<Vec<_>>(), [0]);
    assert!(set.cut(0.0));
    assert_eq!(set.members().count(), 5);
    assert!(!set.cut(0.0), "nothing has changed");
}

#[test]
fn figures_without_bounds_do_not_overflow() {
    let odd = [f64::MAX, f64::INFINITY, f64::NAN, -f64::MAX, 0.0];
    let mut set = WorkingSet::default();
    for round in 0..3 {
        for (at, size) in odd.into_iter().cycle().skip(round).take(50).enumerate() {
            set.put(
                at,
                &id(at),
                Part {
                    up: true,
                    rank: Some(0),
                    size,
                    need: size,
                    room: size,
                },
            );
            set.cut(0.5);
        }
    }
    assert!(set.size().is_finite() && set.mean().is_finite());
}
