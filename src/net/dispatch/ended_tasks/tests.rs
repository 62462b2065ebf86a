//! Tests of the table of ended tasks.

use super::*;
use crate::net::codec::Cause;
use std::sync::Arc;
use task_placer::HostId;

/// Leaves room for 64 tasks that were sent, and 16 that were not.
const MEMORY_BYTES: usize = 64 * SENT_MEMORY_DIVISOR * TASK_BYTES;

fn release() -> HostRelease {
    HostRelease {
        host: HostId(Arc::from("a")),
        cause: Cause::NORMAL,
    }
}

#[test]
fn task_is_forgotten_after_the_retention_time() {
    let mut ended = EndedTasks::new(MEMORY_BYTES);
    ended.insert(0, TaskId(1), WasSent::Yes);
    ended.insert(1, TaskId(2), WasSent::No);

    ended.expire(RETENTION);

    assert!(!ended.contains(TaskId(1)) && ended.contains(TaskId(2)));
}

#[test]
fn tasks_that_were_never_sent_do_not_displace_those_that_were() {
    let mut ended = EndedTasks::new(MEMORY_BYTES);
    ended.insert(0, TaskId(0), WasSent::Yes);
    for id in 1..=100 {
        ended.insert(0, TaskId(id), WasSent::No);
    }

    assert!(ended.contains(TaskId(0)) && ended.contains(TaskId(100)));
    assert!(!ended.contains(TaskId(1)));
    assert_eq!((ended.tasks.len(), ended.unsent.tasks.len()), (17, 16));
}

#[test]
fn release_is_remembered_with_the_task() {
    let mut ended = EndedTasks::new(MEMORY_BYTES);
    ended.insert_released(0, TaskId(1), release());

    ended.insert(1, TaskId(1), WasSent::Yes);

    let cause = ended.release(TaskId(1)).map(|release| release.cause);
    assert_eq!(cause, Some(Cause::NORMAL));
    assert_eq!(ended.sent.tasks.len(), 1);
    ended.forget(TaskId(1));
    assert!(ended.release(TaskId(1)).is_none() && ended.sent.tasks.is_empty());
}
