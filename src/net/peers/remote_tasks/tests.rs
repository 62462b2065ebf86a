//! Tests of the table of tasks that other processes are responsible for.

use super::*;
use crate::net::codec::Cause;
use std::sync::Arc;

const OLD: PeerId = PeerId(1);
const NEW: PeerId = PeerId(2);
const TASK: TaskId = TaskId(7);

fn host() -> HostId {
    HostId(Arc::from("s-1"))
}

fn with_task() -> RemoteTasks {
    let mut tasks = RemoteTasks::default();
    tasks.announce(OLD, TASK, host(), PeerTaskState::Running);
    tasks
}

#[test]
fn only_the_responsible_process_withdraws_a_task() {
    let mut tasks = with_task();

    tasks.withdraw(NEW, TASK);
    tasks.withdraw_all(NEW);
    assert!(tasks.0.contains_key(&TASK));

    tasks.withdraw(OLD, TASK);
    assert!(!tasks.0.contains_key(&TASK));
}

#[test]
fn latest_announcement_holds() {
    let mut tasks = with_task();

    tasks.announce(NEW, TASK, host(), PeerTaskState::Releasing(Cause(31)));

    let remote = tasks.0.get(&TASK).expect("a task");
    assert_eq!(remote.state, PeerTaskState::Releasing(Cause(31)));
    assert_eq!(remote.responsible, Responsible::Peer(NEW));
}

#[test]
fn task_of_an_exited_process_is_kept_for_a_while() {
    let mut tasks = with_task();
    assert!(tasks.take_orphan(TASK).is_none());

    let orphans = tasks.peer_exited(100, OLD);
    assert_eq!(orphans.len(), 1);
    tasks.withdraw_all(OLD);

    tasks.expire(100 + ORPHAN_RETENTION - 1);
    assert!(tasks.0.contains_key(&TASK));
    tasks.expire(100 + ORPHAN_RETENTION);
    assert!(tasks.take_orphan(TASK).is_none());
}

#[test]
fn number_of_tasks_is_bounded() {
    let mut tasks = RemoteTasks::default();
    for id in 0..=MAX_TASKS as u64 {
        tasks.announce(OLD, TaskId(id), host(), PeerTaskState::Running);
    }

    assert_eq!(tasks.peer_exited(0, OLD).len(), MAX_TASKS);
    tasks.announce(NEW, TaskId(0), host(), PeerTaskState::Running);
    let known = tasks.0.get(&TaskId(0)).expect("a task");
    assert_eq!(known.responsible, Responsible::Peer(NEW));
}
