//! Tests of how messages from placers change the state of a task.

use super::*;
use crate::settings::Settings;
use std::time::Duration;

const PLACER: PlacerId = PlacerId(1);
const WORKER: WorkerId = WorkerId(5);

/// Returns a table with one task that waits for its answer, and the id of its request.
fn waiting() -> (TaskTable, RequestId) {
    let settings = Settings::default();
    let mut arrivals = Arrivals::new(&settings);
    let mut table = TaskTable::new(&[], &arrivals);
    let arrival = arrivals.next().expect("an arrival");
    let task = table.add(&arrival, Instant::now(), true).expect("room");
    let id = table
        .record_sent(task, PLACER, Instant::now())
        .expect("a task");
    (table, id)
}

fn state(table: &TaskTable) -> TaskState {
    table.get(TaskIndex(0)).expect("a task").state
}

#[test]
fn first_answer_starts_the_task_at_its_placer() {
    let (mut table, id) = waiting();
    assert!(table.waiting_since(id).is_some());

    assert_eq!(table.record_answer(id, WORKER), AnswerEffect::First);

    assert_eq!(table.running_at(PLACER).count(), 1);
    assert_eq!(table.running_at(PlacerId(0)).count(), 0);
}

#[test]
fn second_answer_is_recognized_while_the_task_runs_and_after_its_end() {
    let (mut table, id) = waiting();
    table.record_answer(id, WORKER);

    assert_eq!(table.record_answer(id, WORKER), AnswerEffect::Second);

    table.record_release(id, cause::NORMAL);
    assert_eq!(table.record_answer(id, WORKER), AnswerEffect::Second);
}

#[test]
fn release_ends_a_running_task_and_a_repeated_one_is_known() {
    let (mut table, id) = waiting();
    table.record_answer(id, WORKER);

    assert_eq!(
        table.record_release(id, cause::NORMAL),
        ReleaseEffect::Ended
    );

    let repeated = table.record_release(id, cause::NORMAL);
    assert_eq!(
        repeated,
        ReleaseEffect::Known,
        "a repeated release is recognized"
    );
    assert_eq!(state(&table), TaskState::Ended(cause::NORMAL));
}

#[test]
fn release_before_the_answer_is_a_refusal_or_a_failure() {
    for (cause, expected) in [
        (cause::FULL, TaskState::Refused),
        (cause::REFUSED, TaskState::Refused),
        (cause::NOT_SENT, TaskState::Refused),
        (cause::FAILED, TaskState::Failed),
    ] {
        let (mut table, id) = waiting();
        assert_eq!(table.record_release(id, cause), ReleaseEffect::Final);
        assert_eq!(state(&table), expected);
        assert_eq!(
            table.record_answer(id, WORKER),
            AnswerEffect::Second,
            "a refusal is an answer"
        );
    }
}

#[test]
fn task_that_does_not_run_is_not_migrated() {
    let (mut table, id) = waiting();

    assert_eq!(table.begin_migration(id), None);
}

#[test]
fn migrated_task_gets_a_new_id_and_the_old_one_is_stale() {
    let (mut table, old) = waiting();
    table.record_answer(old, WORKER);

    let task = table.begin_migration(old).expect("it runs");
    let id = table
        .record_sent(task, PLACER, Instant::now())
        .expect("a task");

    assert_ne!(id, old);
    assert_eq!(table.record_answer(old, WORKER), AnswerEffect::Stale);
    assert_eq!(
        table.record_release(old, cause::CANCELLED),
        ReleaseEffect::Known
    );
    assert_eq!(table.record_answer(id, WORKER), AnswerEffect::First);
    assert_eq!(table.get(task).expect("a task").moves, 1);
}

#[test]
fn unanswered_request_is_closed_only_once() {
    let (mut table, id) = waiting();

    assert!(table.close_unanswered(id, TaskState::PlacerKilled));
    assert!(!table.close_unanswered(id, TaskState::Unanswered));

    assert_eq!(state(&table), TaskState::PlacerKilled);
}

#[test]
fn answer_to_a_closed_request_is_stale() {
    let (mut table, id) = waiting();
    table.close_unanswered(id, TaskState::PlacerKilled);

    assert_eq!(table.record_answer(id, WORKER), AnswerEffect::Stale);
    assert_eq!(table.waiting_since(id), None);
}

#[test]
fn task_that_runs_at_the_start_belongs_to_its_placer() {
    let shape = TaskShape {
        cores: 1.0,
        memory: 2.0,
        lifetime: Duration::from_secs(3),
        non_idempotent: false,
    };
    let running_task = RunningTask {
        task: TaskIndex(0),
        worker: WORKER,
        placer: PLACER,
        shape,
    };

    let table = TaskTable::new(&[running_task], &Arrivals::new(&Settings::default()));

    let found: Vec<(RequestId, WorkerId)> = table
        .running_at(PLACER)
        .map(|(id, _, worker)| (id, worker))
        .collect();
    assert_eq!(found, [(RequestId::new(TaskIndex(0), 0), WORKER)]);
}
