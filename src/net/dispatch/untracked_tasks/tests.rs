//! Tests of the table of tasks that are not tracked.

use super::*;
use std::sync::Arc;

fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

#[test]
fn task_is_taken_once_and_only_at_its_host() {
    let mut tasks = UntrackedTasks::new(10 * TASK_BYTES);
    tasks.insert(1, TaskId(7), host("a"));

    assert!(!tasks.take_at(TaskId(7), &host("b")));
    assert!(tasks.take_at(TaskId(7), &host("a")));
    assert!(!tasks.take_at(TaskId(7), &host("a")));
    assert_eq!((tasks.len(), tasks.used, tasks.by_host.len()), (0, 0, 0));
}

#[test]
fn oldest_tasks_are_forgotten_beyond_the_limit() {
    let mut tasks = UntrackedTasks::new(3 * (TASK_BYTES + 1));
    for id in 0..5 {
        tasks.insert(1, TaskId(id), host("a"));
    }

    assert_eq!(tasks.len(), 3);
    assert_eq!(tasks.take(TaskId(1)), None);
    assert_eq!(tasks.take(TaskId(4)), Some(host("a")));
}

#[test]
fn long_host_names_count_towards_the_limit() {
    let mut tasks = UntrackedTasks::new(1_000);

    tasks.insert(1, TaskId(1), host(&"x".repeat(16_000)));

    assert_eq!((tasks.len(), tasks.used), (0, 0));
}

#[test]
fn tasks_of_a_restarted_host_are_those_named_before_its_start() {
    let mut tasks = UntrackedTasks::new(10 * (TASK_BYTES + 1));
    tasks.insert(10, TaskId(1), host("a"));
    tasks.insert(20, TaskId(2), host("a"));
    tasks.insert(10, TaskId(3), host("b"));

    assert_eq!(tasks.take_named_before(&host("a"), 20), [TaskId(1)]);
    assert_eq!(tasks.len(), 2);
}
