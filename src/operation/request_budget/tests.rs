//! Tests of the budget for the memory of requests.

use super::*;

const LIMIT: usize = 1_000;
const GREEDY: u32 = 1;
const USUAL: u32 = 2;

/// Returns a budget that one connection has used up in steps of 100 bytes.
fn used_up() -> RequestBudget<u32> {
    let mut budget = RequestBudget::new(LIMIT);
    for _ in 0..10 {
        assert!(budget.reserve(GREEDY, 100));
    }
    budget
}

#[test]
fn connection_that_holds_most_is_refused_beyond_the_limit() {
    let mut budget = used_up();

    assert!(!budget.reserve(GREEDY, 1));
    assert_eq!(budget.displaceable(GREEDY, 1), None);
    assert_eq!(budget.used(), LIMIT);
    budget.release(GREEDY, 100, false);
    assert!(budget.reserve(GREEDY, 100));
}

#[test]
fn connection_that_holds_less_displaces_a_request_of_the_one_that_holds_most() {
    let mut budget = used_up();

    assert!(!budget.reserve(USUAL, 20));
    assert_eq!(budget.displaceable(USUAL, 20), Some(GREEDY));
    budget.release(GREEDY, 100, false);
    assert!(budget.reserve(USUAL, 20));
}

#[test]
fn connections_that_hold_as_much_do_not_displace_each_other() {
    let mut budget = RequestBudget::new(LIMIT);
    for connection in 0..10 {
        assert!(budget.reserve(connection, 100));
    }

    assert_eq!(budget.displaceable(10, 100), None);
    assert_eq!(budget.displaceable(3, 1), None);
    assert_eq!(budget.displaceable(10, 99), Some(9));
}

#[test]
fn lower_limit_names_the_connections_that_hold_most_until_it_is_kept() {
    let mut budget = used_up();
    budget.set_limit(LIMIT / 2);

    for _ in 0..5 {
        assert_eq!(budget.excess(), Some(GREEDY));
        budget.release(GREEDY, 100, false);
    }
    assert_eq!(budget.excess(), None);
}

#[test]
fn pinned_requests_are_not_displaced() {
    let mut budget = RequestBudget::new(LIMIT);
    for _ in 0..6 {
        assert!(budget.reserve(GREEDY, 100));
        budget.pin(GREEDY, 100);
    }
    for _ in 0..4 {
        assert!(budget.reserve(3, 100));
    }

    assert_eq!(budget.displaceable(USUAL, 20), Some(3));
    budget.set_limit(LIMIT / 2);
    assert_eq!(budget.excess(), Some(3));
    for _ in 0..4 {
        budget.release(3, 100, false);
    }
    assert_eq!(budget.displaceable(USUAL, 20), None);
    assert_eq!(budget.excess(), None, "what is left can not be displaced");
    budget.release(GREEDY, 100, true);
    assert_eq!(budget.used(), 500);
}

#[test]
fn nothing_is_kept_of_a_connection_whose_requests_are_over() {
    let mut budget = used_up();
    for _ in 0..10 {
        budget.release(GREEDY, 100, false);
    }

    assert_eq!(budget.used(), 0);
    assert!(budget.held.is_empty() && budget.displaceable.is_empty());
}

#[test]
fn request_beyond_the_whole_limit_has_no_room() {
    let mut budget = RequestBudget::new(LIMIT);

    assert!(!budget.reserve(USUAL, LIMIT + 1));
    assert!(!budget.reserve(USUAL, usize::MAX));
    assert_eq!(budget.used(), 0);
}
