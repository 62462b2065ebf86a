//! What the audit finds.

use super::*;
use crate::clients::Arrivals;
use crate::identity::{TaskIndex, WorkerId};
use crate::settings::Settings;

const PLACER: PlacerId = PlacerId(0);
const TASK: TaskIndex = TaskIndex(0);

/// The totals of one task of which the client has heard this, and its worker noted that.
fn totals(
    once: bool,
    client: &[Word],
    note: impl FnOnce(&mut WorkerTaskRecord),
    kills: &[Kill],
) -> FleetTotals {
    let (once_share, urgent_share) = (f64::from(u8::from(once)), 0.0);
    let settings = Settings {
        once_share,
        urgent_share,
        ..Settings::default()
    };
    let mut arrivals = Arrivals::new(&settings);
    let mut tasks = TaskTable::new(&[], &arrivals);
    let arrival = arrivals.next().expect("an arrival");
    let task = tasks.add(&arrival, Instant::now(), true).expect("room");
    let id = tasks.sent(task, PLACER, Instant::now()).expect("a task");
    for word in client {
        match word {
            Word::Answer => drop(tasks.answered(id, WorkerId(0))),
            Word::Release(cause) => drop(tasks.released(id, *cause)),
        }
    }
    let mut books = WorkerAudit::default();
    books.note(TASK, note);
    let mut totals = FleetTotals::default();
    audit(&mut totals, &tasks, &books, kills);
    totals
}

enum Word {
    Answer,
    Release(u8),
}

#[test]
fn a_task_that_stands_or_is_over_at_both_ends_breaks_no_rule() {
    let stands = |book: &mut WorkerTaskRecord| (book.starts, book.active_copies) = (1, 1);
    let found = totals(true, &[Word::Answer], stands, &[]);
    assert_eq!((found.due, found.started, found.rules_broken()), (1, 1, 0));
    let ended = |book: &mut WorkerTaskRecord| (book.starts, book.ended) = (1, 1);
    let found = totals(
        true,
        &[Word::Answer, Word::Release(cause::NORMAL)],
        ended,
        &[],
    );
    assert_eq!((found.ended, found.rules_broken()), (1, 0));
    let vanished = |book: &mut WorkerTaskRecord| (book.starts, book.vanished) = (1, 1);
    let found = totals(true, &[Word::Answer, Word::Release(41)], vanished, &[]);
    assert_eq!((found.reset, found.rules_broken()), (1, 0));
    let found = totals(true, &[Word::Release(cause::FULL)], |_| {}, &[]);
    assert_eq!((found.refused, found.rules_broken()), (1, 0));
}

#[test]
fn what_was_never_answered_or_never_told_is_lost() {
    assert_eq!(totals(false, &[], |_| {}, &[]).lost, 1);
    let ended = |book: &mut WorkerTaskRecord| (book.starts, book.ended) = (1, 1);
    assert_eq!(totals(false, &[Word::Answer], ended, &[]).lost, 1);
    let vanished = |book: &mut WorkerTaskRecord| (book.starts, book.vanished) = (1, 1);
    assert_eq!(totals(false, &[Word::Answer], vanished, &[]).lost, 1);
}

#[test]
fn an_end_that_a_killed_placer_had_just_confirmed_is_lost_with_it_and_no_other() {
    let now = Instant::now();
    let ended =
        |book: &mut WorkerTaskRecord| (book.starts, book.ended, book.heard) = (1, 1, Some(now));
    let kill = |placer, after| Kill {
        placer,
        at: now + Duration::from_secs(after),
    };
    let found = totals(false, &[Word::Answer], ended, &[kill(PLACER, 1)]);
    assert_eq!((found.lost, found.lost_with_placer), (0, 1));
    assert_eq!(
        totals(false, &[Word::Answer], ended, &[kill(PLACER, 9)]).lost,
        1
    );
    assert_eq!(
        totals(false, &[Word::Answer], ended, &[kill(PlacerId(1), 1)]).lost,
        1
    );
}

#[test]
fn two_starts_break_a_rule_only_where_a_task_must_not_start_twice() {
    let twice = |book: &mut WorkerTaskRecord| (book.starts, book.active_copies) = (2, 1);
    let found = totals(true, &[Word::Answer], twice, &[]);
    assert_eq!((found.started_twice, found.restarted), (1, 0));
    let found = totals(false, &[Word::Answer], twice, &[]);
    assert_eq!(
        (found.started_twice, found.restarted, found.rules_broken()),
        (0, 1, 0)
    );
}

#[test]
fn an_end_that_did_not_happen_and_a_start_that_did_not_are_found() {
    let held = |book: &mut WorkerTaskRecord| (book.starts, book.active_copies) = (1, 1);
    assert_eq!(
        totals(false, &[Word::Answer, Word::Release(41)], held, &[]).ended_wrongly,
        1
    );
    let made_up = |book: &mut WorkerTaskRecord| (book.starts, book.vanished) = (1, 1);
    let words = [Word::Answer, Word::Release(cause::NORMAL)];
    assert_eq!(totals(false, &words, made_up, &[]).ended_wrongly, 1);
    assert_eq!(totals(false, &[Word::Answer], |_| {}, &[]).never_started, 1);
}
