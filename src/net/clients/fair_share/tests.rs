//! Tests of the share that one connection may have of the pending requests.

use super::*;

#[test]
fn single_connection_has_no_limit() {
    let totals = PendingTotals {
        responses: 5_000,
        connections: 1,
        queued: 4_000,
    };

    assert_eq!(totals.limit(5_000, 4_000), usize::MAX);
}

#[test]
fn there_is_no_limit_while_no_other_request_waits() {
    let totals = PendingTotals {
        responses: 5_001,
        connections: 2,
        queued: 4_000,
    };

    assert_eq!(totals.limit(5_000, 4_000), usize::MAX);
}

#[test]
fn connection_beside_one_that_waits_gets_the_minimum() {
    let totals = PendingTotals {
        responses: 5_001,
        connections: 2,
        queued: 4_001,
    };

    assert_eq!(totals.limit(5_000, 4_000), MIN_SHARE);
}

#[test]
fn connections_in_similar_use_are_not_limited() {
    let totals = PendingTotals {
        responses: 400,
        connections: 4,
        queued: 200,
    };

    assert!(totals.limit(100, 50) >= 4 * 100);
    assert!(totals.limit(0, 0) >= 4 * 100);
}
