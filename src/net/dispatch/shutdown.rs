//! Owns the end of the process: SIGTERM, drains, and when the process may or must end. It never takes back an answer
//! that is owed: closing makes the module answer in time.

use super::requests::{Request, State};
use super::{Dispatch, MILLI};
use crate::net::health::reporter::{DrainTask, HealthReporter};
use task_placer::Micros;
use task_placer::facade::PlacementEvent;
use task_placer::health::drain::Outstanding;
use task_placer::operation::lifecycle;
use tracing::{info, warn};

/// After SIGTERM the platform ends the process no sooner than after the longest wait of a client, counted as this
/// at the most, and 700 ms more (the protocol's figures). Of these, what is owed is answered so long after the
/// wait, and the process ends at last so long after it.
const CLOSE_WAIT: Micros = 3_000 * MILLI;
const CLOSE_ANSWER: Micros = 300 * MILLI;
const CLOSE_END: Micros = 500 * MILLI;
/// New work may still arrive for 0.6 s (the protocol's figure): with this the process does not end before.
const CLOSE_OPEN: Micros = 1_000 * MILLI;

impl Dispatch {
    /// SIGTERM: without an operator's word on drains, the process ends as the platform wants it.
    pub fn terminate(&mut self) {
        let now = self.clock.now();
        match self.watch.as_mut().and_then(|watch| watch.terminate(now)) {
            Some(tasks) => self.follow(now, tasks),
            None if self.inherits => self.on_duty(
                now,
                lifecycle::Event::ShutdownRequested {
                    longest_client_wait: self.facade.max_deadline(),
                },
            ),
            None => self.close_down(now, self.closing_wait() + CLOSE_ANSWER),
        }
    }

    /// Does what the drain asks for.
    pub(super) fn follow(&mut self, now: Micros, tasks: Vec<DrainTask>) {
        for task in tasks {
            match task {
                DrainTask::StartClosingIdle => {
                    self.closes_idle = true;
                    self.close_idle();
                }
                DrainTask::StopClosingIdle => {
                    self.closes_idle = false;
                    self.close_idle();
                }
                DrainTask::AnswerAll { within } => self.close_down(now, within),
                DrainTask::Exit { left } => {
                    self.drained = true;
                    self.name_what_is_left(left);
                }
            }
        }
    }

    /// Who is owed what, for a drain.
    pub(super) fn hand(&self) -> Outstanding {
        let now = self.clock.now();
        let owed = self.owed();
        Outstanding {
            pending_responses: owed,
            running_tasks: self.requests.len() - owed,
            unreported_ends: self.clients.untold(now),
            unflushed_connections: self.clients.unflushed(),
        }
    }

    /// What a drain could not wait for, task by task.
    fn name_what_is_left(&self, left: Outstanding) {
        info!(
            owed = left.pending_responses,
            standing = left.running_tasks,
            untold = left.unreported_ends,
            "drained"
        );
        for request in self.requests.values() {
            if let State::Standing { host, .. } | State::Leaving { host, .. } = &request.state {
                warn!(task = %request.id, host = &*host.0, "left standing");
            }
        }
    }

    pub(super) fn close_down(&mut self, now: Micros, within: Micros) {
        if self.closing_since.is_none() {
            self.closing_since = Some(now);
            info!(requests = self.requests.len(), "closing");
            self.tell(now, PlacementEvent::ShutdownRequested(within));
        }
    }

    /// The longest wait of a client, as the platform counts it at an end of the process.
    fn closing_wait(&self) -> Micros {
        self.facade.max_deadline().clamp(0, CLOSE_WAIT)
    }

    /// Whether the process must end, whatever is left.
    pub fn overdue(&self) -> bool {
        let now = self.clock.now();
        let end = self.closing_wait() + CLOSE_END;
        let ends = |since| {
            if self.lifecycle.is_shutting_down() {
                self.lifecycle.exit_is_overdue(now)
            } else {
                now - since >= end
            }
        };
        self.drained || self.closing_since.is_some_and(ends)
    }

    /// Whether the process may end.
    pub fn finished(&self) -> bool {
        let now = self.clock.now();
        if self.drained {
            return true;
        }
        let Some(since) = self.closing_since else {
            return false;
        };
        // A drain that has come to this tells itself when it is over.
        if self.watch.as_ref().is_some_and(HealthReporter::is_draining) {
            return false;
        }
        let clear = !self.requests.values().any(Request::awaits_answer) && self.clients.flushed();
        if self.lifecycle.is_shutting_down() {
            return (clear && self.clients.at_rest(now)) || self.lifecycle.exit_is_overdue(now);
        }
        let end = self.closing_wait() + CLOSE_END;
        now - since >= end || (now - since >= CLOSE_OPEN.min(end) && clear)
    }
}
