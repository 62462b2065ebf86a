//! Compares what clients were notified of with what workers did, task by task.
//!
//! Pure: reads the records of a finished run, and counts into [`FleetTotals`].

use crate::clients::{TaskRecord, TaskState, TaskTable};
use crate::identity::PlacerId;
use crate::results::FleetTotals;
use crate::wire::cause;
use crate::workers::{WorkerAudit, WorkerTaskRecord};
use std::time::{Duration, Instant};

/// The longest time from a placer's acknowledgement of an end to the notification of its client. A placer that
/// is killed in between loses the notification.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// The killing of a placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kill {
    /// The placer.
    pub placer: PlacerId,
    /// When it was killed.
    pub at: Instant,
}

/// Adds the outcomes of all tasks to the totals.
pub fn audit(
    totals: &mut FleetTotals,
    tasks: &TaskTable,
    worker_audit: &WorkerAudit,
    kills: &[Kill],
) {
    for (task, client_record) in tasks.iter() {
        let worker_record = worker_audit.task(task);
        if client_record.due.is_some() {
            totals.due += 1;
            count_answer(totals, client_record);
        } else {
            totals.running_at_start += 1;
        }
        totals.moved += u64::from(client_record.moves);
        totals.worker_refusals += u64::from(worker_record.refusals);
        count_starts(totals, client_record, &worker_record);
        match client_record.state {
            TaskState::Running(_) => count_running(totals, client_record, &worker_record, kills),
            TaskState::Ended(cause) => count_ended(totals, client_record, &worker_record, cause),
            _ => {}
        }
    }
    totals.bad_messages += worker_audit.bad_messages + worker_audit.bad_offers;
    totals.garbage_sent = worker_audit.garbage_sent;
    totals.garbage_dropped = worker_audit.garbage_dropped;
    totals.starts_after_return = worker_audit.starts_after_return;
}

/// Counts how the set-up of an arrived task was answered.
fn count_answer(totals: &mut FleetTotals, client_record: &TaskRecord) {
    let count = match client_record.state {
        TaskState::Running(_) | TaskState::Ended(_) => &mut totals.started,
        TaskState::Refused => &mut totals.refused,
        TaskState::Failed => &mut totals.failed,
        TaskState::PlacerKilled => &mut totals.placer_killed,
        TaskState::NoPlacer => &mut totals.no_placer,
        TaskState::Waiting { .. } | TaskState::Unanswered | TaskState::ConnectionLost => {
            &mut totals.lost
        }
    };
    *count += 1;
}

/// Counts a task that workers started more often than it was set up, or never though it was answered.
fn count_starts(
    totals: &mut FleetTotals,
    client_record: &TaskRecord,
    worker_record: &WorkerTaskRecord,
) {
    let expected = 1 + u32::from(client_record.moves);
    let has_extra_starts = u32::from(worker_record.starts) > expected;
    if has_extra_starts && client_record.class.is_non_idempotent() {
        totals.started_twice += 1;
    } else if has_extra_starts {
        totals.restarted += 1;
    }
    let was_answered = matches!(
        client_record.state,
        TaskState::Running(_) | TaskState::Ended(_)
    );
    if was_answered && worker_record.starts == 0 {
        totals.never_started += 1;
    }
}

/// Checks a task that its client believes to be running: a worker must run it.
fn count_running(
    totals: &mut FleetTotals,
    client_record: &TaskRecord,
    worker_record: &WorkerTaskRecord,
    kills: &[Kill],
) {
    if worker_record.active_copies > 0 || worker_record.starts == 0 {
        return;
    }
    let lost_in_kill = |kill: &Kill| {
        let acknowledged_at = worker_record
            .end_acknowledged_at
            .filter(|at| *at <= kill.at + MAX_DELIVERY_TIME);
        kill.placer == client_record.placer
            && acknowledged_at.is_some_and(|at| at + MAX_DELIVERY_TIME >= kill.at)
    };
    if kills.iter().any(lost_in_kill) {
        totals.lost_with_placer += 1;
    } else {
        totals.lost += 1;
    }
}

/// Checks a task that its client believes to have ended: no worker may run it.
fn count_ended(
    totals: &mut FleetTotals,
    client_record: &TaskRecord,
    worker_record: &WorkerTaskRecord,
    cause: u8,
) {
    if cause == cause::NORMAL {
        totals.ended += 1;
    } else {
        totals.reset += 1;
    }
    // After a restart at another worker, the copy that is left at the first one breaks no rule.
    let has_no_extra_starts = u32::from(worker_record.starts) <= 1 + u32::from(client_record.moves);
    let never_ended = cause == cause::NORMAL && worker_record.ended == 0;
    if has_no_extra_starts && (worker_record.active_copies > 0 || never_ended) {
        totals.ended_wrongly += 1;
    }
}

#[cfg(test)]
mod tests;
