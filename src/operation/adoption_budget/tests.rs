//! Tests of the budget for the memory of adopted tasks.

use super::*;

const TASK_BYTES: usize = 100;
const GREEDY: u32 = 1;
const USUAL: u32 = 2;

/// Returns a budget of ten tasks that one connection has used up with the tasks 0 to 9.
fn used_up() -> AdoptionBudget<u32, u64> {
    let mut budget = AdoptionBudget::new(10 * TASK_BYTES);
    for task in 0..10 {
        assert!(budget.has_room(TASK_BYTES));
        budget.add(GREEDY, task, TASK_BYTES);
    }
    budget
}

#[test]
fn connection_that_holds_most_gets_no_room_beyond_the_limit() {
    let mut budget = used_up();

    assert!(!budget.has_room(1));
    assert_eq!(budget.displaceable(GREEDY, TASK_BYTES), None);
    assert!(budget.remove(GREEDY, 3) && !budget.remove(GREEDY, 3));
    assert!(budget.has_room(TASK_BYTES));
    assert_eq!(budget.used(), 9 * TASK_BYTES);
}

#[test]
fn connection_that_holds_less_displaces_the_latest_task_of_the_one_that_holds_most() {
    let mut budget = used_up();

    assert_eq!(budget.displaceable(USUAL, TASK_BYTES), Some(9));
    budget.remove(GREEDY, 9);
    budget.add(USUAL, 10, TASK_BYTES);
    assert_eq!(budget.displaceable(USUAL, TASK_BYTES), Some(8));
    assert_eq!(budget.displaceable(GREEDY, TASK_BYTES), None);
}

#[test]
fn latest_task_of_a_closed_connection_is_displaced_first() {
    let mut budget = used_up();
    budget.remove(GREEDY, 9);
    budget.add(USUAL, 10, TASK_BYTES);

    budget.connection_closed(USUAL);

    assert_eq!(budget.displaceable(GREEDY, TASK_BYTES), Some(10));
    assert!(budget.remove(USUAL, 10));
    assert_eq!(budget.displaceable(GREEDY, TASK_BYTES), None);
}

#[test]
fn excess_over_a_lowered_limit_is_returned_until_it_is_removed() {
    let mut budget = used_up();
    assert_eq!(budget.excess(), None);

    budget.set_limit(8 * TASK_BYTES);

    let mut removed = Vec::new();
    while let Some(task) = budget.excess() {
        assert!(budget.remove(GREEDY, task));
        removed.push(task);
    }
    assert_eq!(removed, [9, 8]);
}

#[test]
fn budget_is_empty_once_all_tasks_are_removed() {
    let mut budget = used_up();
    budget.connection_closed(GREEDY);

    for task in 0..10 {
        assert!(budget.remove(GREEDY, task));
    }

    assert_eq!((budget.used(), budget.displaceable(USUAL, 1)), (0, None));
}
