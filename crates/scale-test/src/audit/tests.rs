//! Tests each rule that the audit checks on a single task.

use super::*;
use crate::clients::Arrivals;
use crate::deployment::Class;
use crate::identity::{TaskIndex, WorkerId};
use crate::settings::Settings;

const PLACER: PlacerId = PlacerId(0);
const TASK: TaskIndex = TaskIndex(0);
/// The cause of a task end that is not regular.
const WORKER_LOST: u8 = 41;

/// A message that the client received about the task.
enum Received {
    Answer,
    Release(u8),
}

/// Returns the totals for one task of class `Standard` or `Once`, about which the client received the given messages.
fn totals_of_class(
    class: Class,
    received: &[Received],
    record: impl FnOnce(&mut WorkerTaskRecord),
    kills: &[Kill],
) -> FleetTotals {
    let settings = Settings {
        once_share: if class == Class::Once { 1.0 } else { 0.0 },
        urgent_share: 0.0,
        ..Settings::default()
    };
    let mut arrivals = Arrivals::new(&settings);
    let mut tasks = TaskTable::new(&[], &arrivals);
    let arrival = arrivals.next().expect("arrivals should not end");
    let task = tasks
        .add(&arrival, Instant::now(), true)
        .expect("task table should have room");
    let id = tasks
        .record_sent(task, PLACER, Instant::now())
        .expect("task should exist");
    for message in received {
        match message {
            Received::Answer => drop(tasks.record_answer(id, WorkerId(0))),
            Received::Release(cause) => drop(tasks.record_release(id, *cause)),
        }
    }
    let mut worker_audit = WorkerAudit::default();
    worker_audit.update(TASK, record);
    let mut totals = FleetTotals::default();
    audit(&mut totals, &tasks, &worker_audit, kills);
    totals
}

fn totals(received: &[Received], record: impl FnOnce(&mut WorkerTaskRecord)) -> FleetTotals {
    totals_of_class(Class::Standard, received, record, &[])
}

fn running(record: &mut WorkerTaskRecord) {
    (record.starts, record.active_copies) = (1, 1);
}

fn ended(record: &mut WorkerTaskRecord) {
    (record.starts, record.ended) = (1, 1);
}

fn lost_with_worker(record: &mut WorkerTaskRecord) {
    (record.starts, record.lost_with_worker) = (1, 1);
}

fn never_offered(_: &mut WorkerTaskRecord) {}

#[test]
fn task_that_runs_for_client_and_worker_breaks_no_rule() {
    let found = totals_of_class(Class::Once, &[Received::Answer], running, &[]);

    assert_eq!((found.due, found.started, found.rules_broken()), (1, 1, 0));
}

#[test]
fn task_that_ended_for_client_and_worker_breaks_no_rule() {
    let received = [Received::Answer, Received::Release(cause::NORMAL)];
    let found = totals_of_class(Class::Once, &received, ended, &[]);

    assert_eq!((found.ended, found.rules_broken()), (1, 0));
}

#[test]
fn task_lost_with_its_worker_and_reported_is_reset_and_breaks_no_rule() {
    let received = [Received::Answer, Received::Release(WORKER_LOST)];
    let found = totals_of_class(Class::Once, &received, lost_with_worker, &[]);

    assert_eq!((found.reset, found.rules_broken()), (1, 0));
}

#[test]
fn refused_task_breaks_no_rule() {
    let received = [Received::Release(cause::FULL)];
    let found = totals_of_class(Class::Once, &received, never_offered, &[]);

    assert_eq!((found.refused, found.rules_broken()), (1, 0));
}

#[test]
fn unanswered_task_is_lost() {
    assert_eq!(totals(&[], never_offered).lost, 1);
}

#[test]
fn task_whose_end_was_not_reported_is_lost() {
    assert_eq!(totals(&[Received::Answer], ended).lost, 1);
}

#[test]
fn task_whose_worker_crashed_without_a_report_is_lost() {
    assert_eq!(totals(&[Received::Answer], lost_with_worker).lost, 1);
}

/// Returns the totals for a task whose end the placer acknowledged `seconds_after_end` before the kill, and never
/// reported.
fn totals_with_kill(placer: PlacerId, seconds_after_end: u64) -> FleetTotals {
    let now = Instant::now();
    let acknowledged = |record: &mut WorkerTaskRecord| {
        ended(record);
        record.end_acknowledged_at = Some(now);
    };
    let kill = Kill {
        placer,
        at: now + Duration::from_secs(seconds_after_end),
    };
    totals_of_class(Class::Standard, &[Received::Answer], acknowledged, &[kill])
}

#[test]
fn end_acknowledged_just_before_its_placer_was_killed_is_lost_with_the_placer() {
    let found = totals_with_kill(PLACER, 1);

    assert_eq!((found.lost, found.lost_with_placer), (0, 1));
}

#[test]
fn end_acknowledged_long_before_its_placer_was_killed_is_lost() {
    assert_eq!(totals_with_kill(PLACER, 9).lost, 1);
}

#[test]
fn kill_of_another_placer_does_not_excuse_a_lost_end() {
    assert_eq!(totals_with_kill(PlacerId(1), 1).lost, 1);
}

fn started_twice(record: &mut WorkerTaskRecord) {
    (record.starts, record.active_copies) = (2, 1);
}

#[test]
fn second_start_of_a_non_idempotent_task_breaks_a_rule() {
    let found = totals_of_class(Class::Once, &[Received::Answer], started_twice, &[]);

    assert_eq!((found.started_twice, found.restarted), (1, 0));
}

#[test]
fn second_start_of_an_idempotent_task_breaks_no_rule() {
    let found = totals(&[Received::Answer], started_twice);

    assert_eq!(
        (found.started_twice, found.restarted, found.rules_broken()),
        (0, 1, 0)
    );
}

#[test]
fn reported_end_of_a_task_that_still_runs_is_wrong() {
    let received = [Received::Answer, Received::Release(WORKER_LOST)];

    assert_eq!(totals(&received, running).ended_wrongly, 1);
}

#[test]
fn reported_regular_end_of_a_task_that_never_ended_is_wrong() {
    let received = [Received::Answer, Received::Release(cause::NORMAL)];

    assert_eq!(totals(&received, lost_with_worker).ended_wrongly, 1);
}

#[test]
fn answer_for_a_task_that_no_worker_started_is_found() {
    assert_eq!(totals(&[Received::Answer], never_offered).never_started, 1);
}
