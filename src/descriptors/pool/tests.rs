//! Tests of `pool.rs`.

use super::*;
use proptest::prelude::*;

const MS: Micros = 1_000;

fn held(most: usize, ranks: &[Rank]) -> Pool<u32, u32> {
    let mut pool = Pool::new(most);
    for (conn, rank) in ranks.iter().enumerate() {
        pool.taken(0, conn as u32);
        pool.rank(&(conn as u32), *rank, Some(conn as Micros));
    }
    pool
}

#[test]
fn what_is_needed_least_makes_way_and_what_is_busy_never_does() {
    use Rank::*;
    for (ranks, want, now, closed) in [
        (&[Busy, Stands, Idle, Spare], Want::Visit, 0, Some(3)),
        (&[Busy, Stands, Idle, Idle], Want::Visit, 0, Some(2)),
        (&[Busy, Stands, Stands, Busy], Want::Offer, 0, Some(1)),
        (&[Busy, Stands, Stands, Busy], Want::Release, 0, Some(1)),
        (&[Busy, Stands, Stands, Busy], Want::Visit, 200 * MS, None),
        (
            &[Busy, Stands, Stands, Busy],
            Want::Visit,
            300 * MS,
            Some(1),
        ),
        (&[Busy, Busy, Busy, Busy], Want::Offer, 900 * MS, None),
    ] {
        let mut pool = held(4, ranks);
        assert_eq!(pool.ask(now, 9, want), Answer::Wait);
        assert_eq!(pool.make_way(now), closed, "{ranks:?} {want:?} {now}");
    }
    assert_eq!(
        held(4, &[Busy, Idle, Spare, Spare]).ask(0, 9, Want::Warm),
        Answer::No
    );
    assert_eq!(held(8, &[Busy; 4]).ask(0, 9, Want::Warm), Answer::Call);
    assert_eq!(held(5, &[Busy; 4]).ask(0, 9, Want::Visit), Answer::Call);
    assert_eq!(
        held(8, &[Busy; 7]).ask(0, 9, Want::Warm),
        Answer::No,
        "one in eight is kept"
    );
}

#[test]
fn calls_are_served_by_want_and_then_by_age() {
    let mut pool = held(1, &[Rank::Busy]);
    for (now, host, want) in [
        (1, 1, Want::Visit),
        (2, 2, Want::Offer),
        (3, 3, Want::Release),
        (4, 4, Want::Offer),
    ] {
        assert_eq!(pool.ask(now, host, want), Answer::Wait);
    }
    // It goes up with its want and keeps its age.
    assert_eq!(pool.ask(5, 1, Want::Offer), Answer::Wait);
    assert_eq!((pool.call_next(), pool.waiting()), (None, 4));
    pool.freed(&0);
    let served: Vec<u32> = std::iter::from_fn(|| pool.call_next()).collect();
    assert_eq!(served, [1, 2, 4, 3]);
}

#[test]
fn one_connection_makes_way_for_one_call() {
    let mut pool = held(3, &[Rank::Idle; 3]);
    pool.ask(1, 7, Want::Offer);
    assert_eq!(
        (pool.make_way(1), pool.make_way(1)),
        (Some(0), None),
        "its slot is coming"
    );
    pool.ask(1, 7, Want::Offer);
    assert_eq!(pool.make_way(1), None, "it is the same call");
    pool.ask(1, 8, Want::Offer);
    assert_eq!((pool.make_way(1), pool.make_way(1)), (Some(1), None));
    // With fewer slots all the rest is in excess.
    pool.resize(0);
    assert_eq!((pool.make_way(1), pool.make_way(1)), (Some(2), None));
}

#[test]
fn a_call_that_found_all_busy_gets_the_first_that_is_not() {
    let mut pool = held(2, &[Rank::Busy; 2]);
    pool.ask(1, 7, Want::Offer);
    assert_eq!(pool.make_way(1), None);
    pool.rank(&1, Rank::Stands, Some(2));
    assert_eq!(pool.make_way(2), Some(1));
}

proptest! {
    /// Whatever comes, no more connections are called than there are slots, what is busy is never
    /// closed, and a call that waits is served once slots are given back.
    #[test]
    fn the_slots_are_kept(most in 1usize..6, steps in prop::collection::vec((0u8..5, 0u32..8), 1..200)) {
        let mut pool: Pool<u32, u32> = Pool::new(most);
        let (mut live, mut next): (BTreeMap<u32, Rank>, u32) = (BTreeMap::new(), 100);
        let mut closing: BTreeSet<u32> = BTreeSet::new();
        for (now, (step, n)) in steps.into_iter().enumerate() {
            let now = now as Micros * 100 * MS;
            let conn = live.keys().nth(n as usize % live.len().max(1)).copied();
            let mut call = |pool: &mut Pool<u32, u32>, live: &mut BTreeMap<u32, Rank>| {
                pool.taken(now, next);
                live.insert(next, Rank::Busy);
                next += 1;
            };
            match (step, conn) {
                (0 | 1, _) => {
                    let want = [Want::Warm, Want::Visit, Want::Release, Want::Offer][n as usize % 4];
                    match pool.ask(now, n, want) {
                        Answer::Call => call(&mut pool, &mut live),
                        Answer::Wait | Answer::No => {}
                    }
                    while let Some(conn) = pool.make_way(now) {
                        prop_assert!(live[&conn] != Rank::Busy && closing.insert(conn));
                    }
                }
                (2, Some(conn)) => {
                    let rank = [Rank::Spare, Rank::Idle, Rank::Stands, Rank::Busy][n as usize % 4];
                    pool.rank(&conn, rank, Some(now));
                    if !closing.contains(&conn) {
                        live.insert(conn, rank);
                    }
                }
                (3, Some(conn)) => {
                    pool.freed(&conn);
                    closing.remove(&conn);
                    live.remove(&conn);
                }
                (4, _) => {
                    while pool.call_next().is_some() {
                        call(&mut pool, &mut live);
                    }
                }
                _ => {}
            }
            prop_assert!(live.len() <= most && pool.held() == live.len());
        }
        for conn in live.into_keys() {
            pool.freed(&conn);
        }
        let waiting = pool.waiting();
        let served = std::iter::from_fn(|| pool.call_next()).count();
        prop_assert_eq!((served, pool.waiting()), (waiting, 0));
    }
}
