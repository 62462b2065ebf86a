//! Tests of the connection pool.

use super::*;
use proptest::prelude::*;

const MILLISECOND: Micros = 1_000;

/// Returns a pool whose connections 0, 1, ... have these priorities and were last used in this order.
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
        "one in eight slots is kept free"
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
    // A higher purpose moves a waiting request up in the queue, and the request keeps its waiting time.
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
    assert_eq!(
        pool.evict(1),
        None,
        "the slot of the evicted connection is being released"
    );

    pool.request_slot(1, 7, ConnectPurpose::SendAttempt);
    assert_eq!(
        pool.evict(1),
        None,
        "a repeated request needs no second slot"
    );

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

const PURPOSES: [ConnectPurpose; 4] = [
    ConnectPurpose::Prewarm,
    ConnectPurpose::ReadTaskEnds,
    ConnectPurpose::ReportRelease,
    ConnectPurpose::SendAttempt,
];
const PRIORITIES: [ConnectionPriority; 4] = [
    ConnectionPriority::Replaced,
    ConnectionPriority::Idle,
    ConnectionPriority::HasRunningTasks,
    ConnectionPriority::Busy,
];

/// A caller of the pool, with the connections that it has open.
struct Caller {
    pool: ConnectionPool<u32, u32>,
    open: BTreeMap<u32, ConnectionPriority>,
    closing: BTreeSet<u32>,
    next_conn: u32,
}

impl Caller {
    fn new(capacity: usize) -> Caller {
        Caller {
            pool: ConnectionPool::new(capacity),
            open: BTreeMap::new(),
            closing: BTreeSet::new(),
            next_conn: 100,
        }
    }

    fn connect(&mut self, now: Micros) {
        self.pool.occupy(now, self.next_conn);
        self.open.insert(self.next_conn, ConnectionPriority::Busy);
        self.next_conn += 1;
    }

    fn request_slot(&mut self, now: Micros, host: u32, purpose: ConnectPurpose) {
        if self.pool.request_slot(now, host, purpose) == SlotDecision::Connect {
            self.connect(now);
        }
        while let Some(conn) = self.pool.evict(now) {
            assert_ne!(self.open[&conn], ConnectionPriority::Busy);
            assert!(
                self.closing.insert(conn),
                "a connection is evicted only once"
            );
        }
    }

    fn set_priority(&mut self, now: Micros, conn: u32, priority: ConnectionPriority) {
        self.pool.set_priority(&conn, priority, Some(now));
        if !self.closing.contains(&conn) {
            self.open.insert(conn, priority);
        }
    }

    fn release(&mut self, conn: u32) {
        self.pool.release(&conn);
        self.closing.remove(&conn);
        self.open.remove(&conn);
    }

    fn connect_waiting(&mut self, now: Micros) {
        while self.pool.next_to_connect().is_some() {
            self.connect(now);
        }
    }

    fn step(&mut self, now: Micros, kind: u8, number: u32) {
        let index = number as usize;
        let conn = self
            .open
            .keys()
            .nth(index % self.open.len().max(1))
            .copied();
        match (kind, conn) {
            (0 | 1, _) => self.request_slot(now, number, PURPOSES[index % PURPOSES.len()]),
            (2, Some(conn)) => self.set_priority(now, conn, PRIORITIES[index % PRIORITIES.len()]),
            (3, Some(conn)) => self.release(conn),
            (4, _) => self.connect_waiting(now),
            _ => {}
        }
    }
}

proptest! {
    /// Guards the invariants of the pool under random calls: connections never exceed the slots, no busy connection is
    /// evicted, and every waiting request is served once slots are released.
    #[test]
    fn capacity_is_kept_and_every_waiting_request_is_served(
        capacity in 1usize..6,
        steps in prop::collection::vec((0u8..5, 0u32..8), 1..200),
    ) {
        let mut caller = Caller::new(capacity);
        for (now, (kind, number)) in steps.into_iter().enumerate() {
            caller.step(now as Micros * 100 * MILLISECOND, kind, number);
            prop_assert!(caller.open.len() <= capacity);
            prop_assert_eq!(caller.pool.slots_in_use(), caller.open.len());
        }

        let mut pool = caller.pool;
        for conn in caller.open.into_keys() {
            pool.release(&conn);
        }

        let waiting = pool.waiting_requests();
        let served = std::iter::from_fn(|| pool.next_to_connect()).count();
        prop_assert_eq!((served, pool.waiting_requests()), (waiting, 0));
    }
}
