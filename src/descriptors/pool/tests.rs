//! Tests of the connection pool.

use super::*;
use proptest::prelude::*;

const MILLISECOND: Micros = 1_000;

/// A pool whose connections 0, 1, ... have these priorities and were used in this order.
fn pool_with(capacity: usize, priorities: &[ConnectionPriority]) -> ConnectionPool<u32, u32> {
    let mut pool = ConnectionPool::new(capacity);
    for (conn, priority) in priorities.iter().enumerate() {
        pool.occupy(0, conn as u32);
        pool.set_priority(&(conn as u32), *priority, Some(conn as Micros));
    }
    pool
}

#[test]
fn lowest_priority_is_evicted_first_and_busy_connections_never() {
    use ConnectPurpose::{ReadTaskEnds, ReportRelease, SendAttempt};
    use ConnectionPriority::{Busy, HasRunningTasks as Running, Idle, Replaced};
    for (priorities, purpose, now, evicted) in [
        (&[Busy, Running, Idle, Replaced], ReadTaskEnds, 0, Some(3)),
        (&[Busy, Running, Idle, Idle], ReadTaskEnds, 0, Some(2)),
        (&[Busy, Running, Running, Busy], SendAttempt, 0, Some(1)),
        (&[Busy, Running, Running, Busy], ReportRelease, 0, Some(1)),
        (
            &[Busy, Running, Running, Busy],
            ReadTaskEnds,
            200 * MILLISECOND,
            None,
        ),
        (
            &[Busy, Running, Running, Busy],
            ReadTaskEnds,
            300 * MILLISECOND,
            Some(1),
        ),
        (
            &[Busy, Busy, Busy, Busy],
            SendAttempt,
            900 * MILLISECOND,
            None,
        ),
    ] {
        let mut pool = pool_with(4, priorities);

        assert_eq!(pool.request_slot(now, 9, purpose), SlotDecision::Wait);

        assert_eq!(pool.evict(now), evicted, "{priorities:?} {purpose:?} {now}");
    }
}

#[test]
fn prewarm_neither_evicts_nor_waits() {
    use ConnectionPriority::{Busy, Idle, Replaced};
    let mut pool = pool_with(4, &[Busy, Idle, Replaced, Replaced]);

    let decision = pool.request_slot(0, 9, ConnectPurpose::Prewarm);

    assert_eq!(decision, SlotDecision::Skip);
}

#[test]
fn free_slots_are_given_at_once_and_one_in_eight_is_kept_from_prewarming() {
    let busy = [ConnectionPriority::Busy; 7];
    assert_eq!(
        pool_with(8, &busy[..4]).request_slot(0, 9, ConnectPurpose::Prewarm),
        SlotDecision::Connect
    );
    assert_eq!(
        pool_with(5, &busy[..4]).request_slot(0, 9, ConnectPurpose::ReadTaskEnds),
        SlotDecision::Connect
    );
    assert_eq!(
        pool_with(8, &busy).request_slot(0, 9, ConnectPurpose::Prewarm),
        SlotDecision::Skip,
        "one in eight is kept"
    );
}

#[test]
fn waiting_requests_are_served_by_purpose_and_then_by_age() {
    let mut pool = pool_with(1, &[ConnectionPriority::Busy]);
    for (now, host, purpose) in [
        (1, 1, ConnectPurpose::ReadTaskEnds),
        (2, 2, ConnectPurpose::SendAttempt),
        (3, 3, ConnectPurpose::ReportRelease),
        (4, 4, ConnectPurpose::SendAttempt),
    ] {
        assert_eq!(pool.request_slot(now, host, purpose), SlotDecision::Wait);
    }
    // A higher purpose moves the request up, and it keeps its age.
    assert_eq!(
        pool.request_slot(5, 1, ConnectPurpose::SendAttempt),
        SlotDecision::Wait
    );
    assert_eq!((pool.next_to_connect(), pool.waiting_requests()), (None, 4));

    pool.release(&0);

    let served: Vec<u32> = std::iter::from_fn(|| pool.next_to_connect()).collect();
    assert_eq!(served, [1, 2, 4, 3]);
}

#[test]
fn one_connection_is_evicted_for_one_request() {
    let mut pool = pool_with(3, &[ConnectionPriority::Idle; 3]);

    pool.request_slot(1, 7, ConnectPurpose::SendAttempt);
    assert_eq!(pool.evict(1), Some(0));
    assert_eq!(pool.evict(1), None, "its slot is about to be free");

    pool.request_slot(1, 7, ConnectPurpose::SendAttempt);
    assert_eq!(pool.evict(1), None, "it is the same request");

    pool.request_slot(1, 8, ConnectPurpose::SendAttempt);
    assert_eq!((pool.evict(1), pool.evict(1)), (Some(1), None));
}

#[test]
fn connections_beyond_a_reduced_capacity_are_evicted() {
    let mut pool = pool_with(3, &[ConnectionPriority::Idle; 3]);
    pool.request_slot(1, 7, ConnectPurpose::SendAttempt);
    pool.request_slot(1, 8, ConnectPurpose::SendAttempt);
    assert_eq!((pool.evict(1), pool.evict(1)), (Some(0), Some(1)));

    pool.set_capacity(0);

    assert_eq!((pool.evict(1), pool.evict(1)), (Some(2), None));
}

#[test]
fn waiting_request_evicts_the_first_connection_that_stops_being_busy() {
    let mut pool = pool_with(2, &[ConnectionPriority::Busy; 2]);
    pool.request_slot(1, 7, ConnectPurpose::SendAttempt);
    assert_eq!(pool.evict(1), None);

    pool.set_priority(&1, ConnectionPriority::HasRunningTasks, Some(2));

    assert_eq!(pool.evict(2), Some(1));
}

proptest! {
    /// Whatever happens, no more connections are opened than there are slots, a busy one is never evicted,
    /// and a waiting request is served once slots are released.
    #[test]
    fn capacity_is_kept_and_every_waiting_request_is_served(
        capacity in 1usize..6,
        steps in prop::collection::vec((0u8..5, 0u32..8), 1..200),
    ) {
        let mut pool: ConnectionPool<u32, u32> = ConnectionPool::new(capacity);
        let mut live: BTreeMap<u32, ConnectionPriority> = BTreeMap::new();
        let mut closing: BTreeSet<u32> = BTreeSet::new();
        let mut next_conn: u32 = 100;
        for (now, (step, n)) in steps.into_iter().enumerate() {
            let now = now as Micros * 100 * MILLISECOND;
            let conn = live.keys().nth(n as usize % live.len().max(1)).copied();
            let mut connect = |pool: &mut ConnectionPool<u32, u32>, live: &mut BTreeMap<u32, ConnectionPriority>| {
                pool.occupy(now, next_conn);
                live.insert(next_conn, ConnectionPriority::Busy);
                next_conn += 1;
            };
            match (step, conn) {
                (0 | 1, _) => {
                    let purpose = [
                        ConnectPurpose::Prewarm,
                        ConnectPurpose::ReadTaskEnds,
                        ConnectPurpose::ReportRelease,
                        ConnectPurpose::SendAttempt,
                    ][n as usize % 4];
                    match pool.request_slot(now, n, purpose) {
                        SlotDecision::Connect => connect(&mut pool, &mut live),
                        SlotDecision::Wait | SlotDecision::Skip => {}
                    }
                    while let Some(conn) = pool.evict(now) {
                        prop_assert!(live[&conn] != ConnectionPriority::Busy && closing.insert(conn));
                    }
                }
                (2, Some(conn)) => {
                    let priority = [
                        ConnectionPriority::Replaced,
                        ConnectionPriority::Idle,
                        ConnectionPriority::HasRunningTasks,
                        ConnectionPriority::Busy,
                    ][n as usize % 4];
                    pool.set_priority(&conn, priority, Some(now));
                    if !closing.contains(&conn) {
                        live.insert(conn, priority);
                    }
                }
                (3, Some(conn)) => {
                    pool.release(&conn);
                    closing.remove(&conn);
                    live.remove(&conn);
                }
                (4, _) => {
                    while pool.next_to_connect().is_some() {
                        connect(&mut pool, &mut live);
                    }
                }
                _ => {}
            }
            prop_assert!(live.len() <= capacity && pool.slots_in_use() == live.len());
        }
        for conn in live.into_keys() {
            pool.release(&conn);
        }
        let waiting = pool.waiting_requests();
        let served = std::iter::from_fn(|| pool.next_to_connect()).count();
        prop_assert_eq!((served, pool.waiting_requests()), (waiting, 0));
    }
}
