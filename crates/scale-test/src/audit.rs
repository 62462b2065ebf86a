//! Compares, task by task, what placers reported to clients with what workers did.
//!
//! This module does no I/O: it reads the records of a finished run and adds the counts to [`FleetTotals`].

use crate::clients::{TaskRecord, TaskState, TaskTable};
use crate::identity::PlacerId;
use crate::results::FleetTotals;
use crate::wire::cause;
use crate::workers::{WorkerAudit, WorkerTaskRecord};
use std::time::{Duration, Instant};

/// The longest time from a placer's acknowledgement of a task end to its report to the client. The report is lost if
/// the placer is killed in this time.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// A kill of a placer by the scale test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kill {
    /// The placer that was killed.
    pub placer: PlacerId,
    /// The time of the kill.
    pub at: Instant,
}

/// Adds the outcomes of all tasks, and the counts of the workers, to the totals.
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

/// Counts how the request for an arrived task was answered.
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

/// Counts a task that workers started more often than its request and migrations account for, or that was reported as
/// started although no worker started it.
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

/// Checks a task whose end was not reported to its client: a worker must still run it.
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

/// Checks a task whose end was reported to its client: no worker may still run it.
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
    // After a restart on another worker, a copy that is still running on the first worker violates no rule.
    let has_no_extra_starts = u32::from(worker_record.starts) <= 1 + u32::from(client_record.moves);
    let never_ended = cause == cause::NORMAL && worker_record.ended == 0;
    if has_no_extra_starts && (worker_record.active_copies > 0 || never_ended) {
        totals.ended_wrongly += 1;
    }
}

#[cfg(test)]
mod tests;
