//! Tests of the table of tasks that other processes are responsible for.

use super::*;
use crate::net::codec::Cause;
use std::sync::Arc;

const OLD: PeerId = PeerId(1);
const NEW: PeerId = PeerId(2);
const TASK: TaskId = TaskId(7);
const END: TaskEnd = TaskEnd::Released(Cause(16));

fn host() -> HostId {
    HostId(Arc::from("s-1"))
}

fn running() -> PeerTaskState {
    PeerTaskState::Running(host())
}

fn with_task(state: PeerTaskState) -> RemoteTasks {
    let mut tasks = RemoteTasks::default();
    tasks.announce(OLD, TASK, state);
    tasks
}

#[test]
fn only_the_responsible_process_withdraws_a_task() {
    let mut tasks = with_task(running());

    tasks.withdraw(NEW, TASK);
    tasks.withdraw_all(NEW);
    assert!(tasks.get(TASK).is_some());

    tasks.withdraw(OLD, TASK);
    assert!(tasks.get(TASK).is_none());
}

#[test]
fn latest_announcement_holds() {
    let mut tasks = with_task(running());

    let releasing = PeerTaskState::Releasing(host(), Cause(31));
    tasks.announce(NEW, TASK, releasing.clone());

    let remote = tasks.get(TASK).expect("a task");
    assert_eq!(remote.state, releasing);
    assert_eq!(remote.responsible, Responsible::Peer(NEW));
}

#[test]
fn task_of_an_exited_process_is_kept_for_a_while() {
    let mut tasks = with_task(running());
    assert!(tasks.take_orphan(TASK).is_none());
    assert!(!tasks.has_orphans_at(&host()));

    let orphans = tasks.peer_exited(100, OLD);
    assert_eq!(orphans, [(TASK, running())]);
    tasks.withdraw_all(OLD);
    assert!(tasks.has_orphans_at(&host()));

    assert!(tasks.orphans().eq([(TASK, &running())]));

    assert_eq!(tasks.expire(100 + ORPHAN_RETENTION - 1), []);
    assert!(tasks.get(TASK).is_some());
    assert_eq!(tasks.expire(100 + ORPHAN_RETENTION), [TASK]);
    assert!(tasks.take_orphan(TASK).is_none());
    assert!(!tasks.has_orphans_at(&host()));
}

#[test]
fn end_waits_until_its_state_changes_or_its_process_exits() {
    let waiting = PeerTaskState::Ended(END, EndDelivery::WaitsForClient);
    let waiting_end = |claimed_at| WaitingEnd {
        peer: OLD,
        end: END,
        claimed_at,
    };
    let mut tasks = with_task(waiting.clone());

    assert!(tasks.waiting_ends().eq([(TASK, waiting_end(None))]));
    tasks.end_claimed(5, TASK);
    assert!(tasks.waiting_ends().eq([(TASK, waiting_end(Some(5)))]));

    tasks.announce(
        OLD,
        TASK,
        PeerTaskState::Ended(END, EndDelivery::InProgress),
    );
    assert_eq!(tasks.waiting_ends().count(), 0);
    tasks.announce(OLD, TASK, waiting);
    assert!(tasks.waiting_ends().eq([(TASK, waiting_end(None))]));
    tasks.peer_exited(9, OLD);
    assert_eq!(tasks.waiting_ends().count(), 0);
}

#[test]
fn number_of_tasks_is_bounded() {
    let mut tasks = RemoteTasks::default();
    for id in 0..=MAX_TASKS as u64 {
        tasks.announce(OLD, TaskId(id), running());
    }

    assert_eq!(tasks.peer_exited(0, OLD).len(), MAX_TASKS);
    tasks.announce(NEW, TaskId(0), running());
    let known = tasks.get(TaskId(0)).expect("a task");
    assert_eq!(known.responsible, Responsible::Peer(NEW));
}
