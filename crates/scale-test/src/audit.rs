//! Holds what clients were told against what workers did, task by task.

use crate::clients::{TaskRecord, TaskState, TaskTable};
use crate::identity::PlacerId;
use crate::results::FleetTotals;
use crate::wire::cause;
use crate::workers::{WorkerAudit, WorkerTaskRecord};
use std::time::{Duration, Instant};

/// A placer that confirms the end of a task to its worker may be killed before its word reaches the client:
/// the way from one to the other takes far less.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// A placer was killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kill {
    /// Which.
    pub placer: PlacerId,
    /// When.
    pub at: Instant,
}

/// Adds what became of all tasks to the totals.
pub fn audit(totals: &mut FleetTotals, tasks: &TaskTable, books: &WorkerAudit, kills: &[Kill]) {
    for (task, record) in tasks.iter() {
        let book = books.task(task);
        if record.due.is_some() {
            totals.due += 1;
            count_answer(totals, record);
        } else {
            totals.running_at_start += 1;
        }
        totals.moved += u64::from(record.moves);
        totals.worker_refusals += u64::from(book.refusals);
        count_starts(totals, record, &book);
        match record.state {
            TaskState::Running(_) => count_running(totals, record, &book, kills),
            TaskState::Ended(cause) => count_over(totals, record, &book, cause),
            _ => {}
        }
    }
    totals.bad_messages += books.bad_messages + books.bad_offers;
    totals.garbage_sent = books.garbage_sent;
    totals.garbage_dropped = books.garbage_dropped;
    totals.starts_after_return = books.starts_after_return;
}

/// How the set-up of a task that was due was answered.
fn count_answer(totals: &mut FleetTotals, record: &TaskRecord) {
    let count = match record.state {
        TaskState::Running(_) | TaskState::Ended(_) => &mut totals.started,
        TaskState::Refused => &mut totals.refused,
        TaskState::Failed => &mut totals.failed,
        TaskState::PlacerKilled => &mut totals.cut,
        TaskState::NoPlacer => &mut totals.no_placer,
        TaskState::Waiting { .. } | TaskState::Unanswered | TaskState::ConnectionLost => {
            &mut totals.lost
        }
    };
    *count += 1;
}

/// Whether the workers started it as often as they may.
fn count_starts(totals: &mut FleetTotals, record: &TaskRecord, book: &WorkerTaskRecord) {
    let wanted = 1 + u32::from(record.moves);
    let more = u32::from(book.starts) > wanted;
    if more && record.class.once() {
        totals.started_twice += 1;
    } else if more {
        totals.restarted += 1;
    }
    let answered = matches!(record.state, TaskState::Running(_) | TaskState::Ended(_));
    if answered && book.starts == 0 {
        totals.never_started += 1;
    }
}

/// A task that stands as far as its client knows: a worker has to hold it.
fn count_running(
    totals: &mut FleetTotals,
    record: &TaskRecord,
    book: &WorkerTaskRecord,
    kills: &[Kill],
) {
    if book.active_copies > 0 || book.starts == 0 {
        return;
    }
    let taken_along = |kill: &Kill| {
        let heard = book
            .heard
            .filter(|heard| *heard <= kill.at + MAX_DELIVERY_TIME);
        kill.placer == record.placer
            && heard.is_some_and(|heard| heard + MAX_DELIVERY_TIME >= kill.at)
    };
    if kills.iter().any(taken_along) {
        totals.lost_with_placer += 1;
    } else {
        totals.lost += 1;
    }
}

/// A task that is over as far as its client knows: no worker may hold it.
fn count_over(totals: &mut FleetTotals, record: &TaskRecord, book: &WorkerTaskRecord, cause: u8) {
    if cause == cause::NORMAL {
        totals.ended += 1;
    } else {
        totals.reset += 1;
    }
    // Of a task that was started again elsewhere, what a worker still holds is what is left of it there.
    let once = u32::from(book.starts) <= 1 + u32::from(record.moves);
    let made_up = cause == cause::NORMAL && book.ended == 0;
    if once && (book.active_copies > 0 || made_up) {
        totals.ended_wrongly += 1;
    }
}

#[cfg(test)]
mod tests;
