//! What messages of placers mean for a task.

use super::*;
use crate::settings::Settings;
use std::time::Duration;

const PLACER: PlacerId = PlacerId(1);
const WORKER: WorkerId = WorkerId(5);

/// A table with one task that waits, and its id.
fn waiting() -> (TaskTable, SetupId) {
    let settings = Settings::default();
    let mut arrivals = Arrivals::new(&settings);
    let mut table = TaskTable::new(&[], &arrivals);
    let arrival = arrivals.next().expect("an arrival");
    let task = table.add(&arrival, Instant::now(), true).expect("room");
    let id = table.sent(task, PLACER, Instant::now()).expect("a task");
    (table, id)
}

fn state(table: &TaskTable) -> TaskState {
    table.get(TaskIndex(0)).expect("a task").state
}

#[test]
fn a_task_is_answered_once_stands_and_is_over() {
    let (mut table, id) = waiting();
    assert!(table.waiting_since(id).is_some());
    assert_eq!(table.answered(id, WORKER), AnswerEffect::First);
    assert_eq!(table.answered(id, WORKER), AnswerEffect::Second);
    assert_eq!(table.running_at(PLACER).count(), 1);
    assert_eq!(table.running_at(PlacerId(0)).count(), 0);
    assert_eq!(table.released(id, cause::NORMAL), ReleaseEffect::Ended);
    assert_eq!(
        table.released(id, cause::NORMAL),
        ReleaseEffect::Known,
        "told again"
    );
    assert_eq!(state(&table), TaskState::Ended(cause::NORMAL));
    assert_eq!(table.answered(id, WORKER), AnswerEffect::Second);
}

#[test]
fn a_release_before_the_answer_is_a_refusal_or_a_failure() {
    for (cause, expected) in [
        (cause::FULL, TaskState::Refused),
        (cause::REFUSED, TaskState::Refused),
        (cause::NOT_SENT, TaskState::Refused),
        (cause::FAILED, TaskState::Failed),
    ] {
        let (mut table, id) = waiting();
        assert_eq!(table.released(id, cause), ReleaseEffect::Final);
        assert_eq!(state(&table), expected);
        assert_eq!(
            table.answered(id, WORKER),
            AnswerEffect::Second,
            "a refusal is an answer"
        );
    }
}

#[test]
fn a_task_that_moves_comes_again_under_another_id_and_the_old_one_means_nothing() {
    let (mut table, old) = waiting();
    assert_eq!(table.moved(old), None, "it does not stand");
    table.answered(old, WORKER);
    let task = table.moved(old).expect("it stands");
    let id = table.sent(task, PLACER, Instant::now()).expect("a task");
    assert_ne!(id, old);
    assert_eq!(table.answered(old, WORKER), AnswerEffect::Stale);
    assert_eq!(table.released(old, cause::CANCELLED), ReleaseEffect::Known);
    assert_eq!(table.answered(id, WORKER), AnswerEffect::First);
    assert_eq!(table.get(task).expect("a task").moves, 1);
}

#[test]
fn a_set_up_that_ends_unanswered_does_so_once_and_a_late_answer_is_stale() {
    let (mut table, id) = waiting();
    assert!(table.close_unanswered(id, TaskState::PlacerKilled));
    assert!(!table.close_unanswered(id, TaskState::Unanswered));
    assert_eq!(state(&table), TaskState::PlacerKilled);
    assert_eq!(table.answered(id, WORKER), AnswerEffect::Stale);
    assert_eq!(table.waiting_since(id), None);
}

#[test]
fn what_stands_at_the_start_is_told_to_its_placer() {
    let settings = Settings::default();
    let shape = TaskShape {
        cores: 1.0,
        memory: 2.0,
        lifetime: Duration::from_secs(3),
        once: false,
    };
    let standing = RunningTask {
        task: TaskIndex(0),
        worker: WORKER,
        placer: PLACER,
        shape,
    };
    let table = TaskTable::new(&[standing], &Arrivals::new(&settings));
    let told: Vec<(SetupId, WorkerId)> = table
        .running_at(PLACER)
        .map(|(id, _, worker)| (id, worker))
        .collect();
    assert_eq!(told, [(SetupId::new(TaskIndex(0), 0), WORKER)]);
}
