//! Owns the end of the process: SIGTERM, drains, and when the process may or must end. It never takes back an answer
//! that is owed: closing makes the module answer in time.

use super::requests::{Request, RequestState};
use super::{Dispatch, MILLI};
use crate::net::health::watch::{Task, Watch};
use task_placer::Micros;
use task_placer::facade::PlacementEvent;
use task_placer::health::drain::Hand;
use task_placer::operation::duty;
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
            Some(tasks) => self.run_drain_tasks(now, tasks),
            None if self.shares_listener => {
                self.handle_lifecycle_event(now, duty::Event::Leave(self.facade.max_deadline()))
            }
            None => self.begin_shutdown(now, self.max_client_wait() + CLOSE_ANSWER),
        }
    }

    /// Does what the drain asks for.
    pub(super) fn run_drain_tasks(&mut self, now: Micros, tasks: Vec<Task>) {
        for task in tasks {
            match task {
                Task::CloseIdle(close) => {
                    self.closes_idle_clients = close;
                    self.close_idle();
                }
                Task::Answer(within) => self.begin_shutdown(now, within),
                Task::Exit(left) => {
                    self.is_drained = true;
                    self.log_unfinished_tasks(left);
                }
            }
        }
    }

    /// Who is owed what, for a drain.
    pub(super) fn pending_work(&self) -> Hand {
        let now = self.clock.now();
        let owed = self.pending_responses();
        Hand {
            owed,
            standing: self.requests.len() - owed,
            untold: self.clients.untold(now),
            unflushed: self.clients.unflushed(),
        }
    }

    /// What a drain could not wait for, task by task.
    fn log_unfinished_tasks(&self, left: Hand) {
        info!(
            owed = left.owed,
            standing = left.standing,
            untold = left.untold,
            "drained"
        );
        for request in self.requests.values() {
            if let RequestState::Running { host, .. } | RequestState::Releasing { host, .. } =
                &request.state
            {
                warn!(task = %request.id, host = &*host.0, "left standing");
            }
        }
    }

    pub(super) fn begin_shutdown(&mut self, now: Micros, within: Micros) {
        if self.shutdown_since.is_none() {
            self.shutdown_since = Some(now);
            info!(requests = self.requests.len(), "closing");
            self.report_event(now, PlacementEvent::ShutdownRequested(within));
        }
    }

    /// The longest wait of a client, as the platform counts it at an end of the process.
    fn max_client_wait(&self) -> Micros {
        self.facade.max_deadline().clamp(0, CLOSE_WAIT)
    }

    /// Whether the process must end, whatever is left.
    pub fn is_overdue(&self) -> bool {
        let now = self.clock.now();
        let end = self.max_client_wait() + CLOSE_END;
        let ends = |since| {
            if self.lifecycle.leaves() {
                self.lifecycle.overdue(now)
            } else {
                now - since >= end
            }
        };
        self.is_drained || self.shutdown_since.is_some_and(ends)
    }

    /// Whether the process may end.
    pub fn is_finished(&self) -> bool {
        let now = self.clock.now();
        if self.is_drained {
            return true;
        }
        let Some(since) = self.shutdown_since else {
            return false;
        };
        // A drain that has come to this tells itself when it is over.
        if self.watch.as_ref().is_some_and(Watch::draining) {
            return false;
        }
        let clear = !self.requests.values().any(Request::awaits_response) && self.clients.flushed();
        if self.lifecycle.leaves() {
            return (clear && self.clients.at_rest(now)) || self.lifecycle.overdue(now);
        }
        let end = self.max_client_wait() + CLOSE_END;
        now - since >= end || (now - since >= CLOSE_OPEN.min(end) && clear)
    }
}
