//! Owns the shutdown of the process: SIGTERM, drains, and when the process may or must exit. It never takes back a
//! pending response: a shutdown makes the decision module answer in time.

use super::request::{Request, RequestState};
use super::{Dispatch, MILLISECOND};
use crate::net::codec::Cause;
use crate::net::health::reporter::{DrainAction, HealthReporter};
use task_placer::Micros;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::drain::Outstanding;
use task_placer::operation::lifecycle;
use tracing::{info, warn};

/// The longest wait of a client that counts at a shutdown. The platform ends the process no sooner after SIGTERM than
/// after that wait and 700 ms more (the protocol's figures).
const MAX_CLIENT_WAIT: Micros = 3_000 * MILLISECOND;
/// How long after that wait pending responses are sent.
const RESPONSE_GRACE: Micros = 300 * MILLISECOND;
/// How long after that wait the process exits at last. What peers still send is waited for afterwards, for 100 ms.
const EXIT_GRACE: Micros = 550 * MILLISECOND;
/// The process does not exit before: new requests may still arrive for 0.6 s (the protocol's figure).
const MIN_SHUTDOWN_TIME: Micros = 1_000 * MILLISECOND;

impl Dispatch {
    /// Handles SIGTERM: where no operator's file asks for a drain, the process shuts down as the platform expects it.
    pub fn terminate(&mut self) {
        let now = self.clock.now();
        match self
            .health_reporter
            .as_mut()
            .and_then(|reporter| reporter.terminate(now))
        {
            Some(actions) => self.run_drain_actions(now, actions),
            None if self.shares_listener => {
                let event = lifecycle::Event::ShutdownRequested {
                    longest_client_wait: self.facade.max_deadline(),
                };
                self.handle_lifecycle_event(now, event);
            }
            None => self.begin_shutdown(now, self.max_client_wait() + RESPONSE_GRACE),
        }
    }

    /// Does what a drain asks for.
    pub(super) fn run_drain_actions(&mut self, now: Micros, actions: Vec<DrainAction>) {
        for action in actions {
            match action {
                DrainAction::StartClosingIdle => {
                    self.closes_idle_clients = true;
                    self.apply_close_idle();
                }
                DrainAction::StopClosingIdle => {
                    self.closes_idle_clients = false;
                    self.apply_close_idle();
                }
                DrainAction::AnswerAll { within } => self.begin_shutdown(now, within),
                DrainAction::Exit { left } => {
                    self.is_drained = true;
                    self.log_unfinished_work(left);
                }
            }
        }
    }

    /// Returns what a drain waits for.
    pub(super) fn pending_work(&self) -> Outstanding {
        let now = self.clock.now();
        let pending_responses = self.pending_responses();
        Outstanding {
            pending_responses,
            running_tasks: self.requests.len() - pending_responses,
            unreported_ends: self.clients.unconfirmed_task_ends(now),
            unflushed_connections: self.clients.unflushed_connections(),
        }
    }

    /// Logs what a drain could not wait for, task by task.
    fn log_unfinished_work(&self, left: Outstanding) {
        info!(
            owed = left.pending_responses,
            standing = left.running_tasks,
            untold = left.unreported_ends,
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

    /// Begins the shutdown: every pending response is to be sent within this time.
    pub(super) fn begin_shutdown(&mut self, now: Micros, within: Micros) {
        if self.shutdown_since.is_none() {
            self.shutdown_since = Some(now);
            info!(requests = self.requests.len(), "closing");
            self.report_event(now, PlacementEvent::ShutdownRequested(within));
        }
    }

    /// Returns the longest wait of a client, as the platform counts it at a shutdown.
    fn max_client_wait(&self) -> Micros {
        self.facade.max_deadline().clamp(0, MAX_CLIENT_WAIT)
    }

    /// Closes connections as they come to rest, once all pending responses are due.
    ///
    /// Clients go on sending on open connections until the process ends, and a moment at which all of them are at rest may
    /// never come. A request that crosses the close of its connection is sent again elsewhere; one that is pending when the
    /// process ends is lost.
    pub(super) fn close_resting_clients(&mut self, now: Micros) {
        // Where another process accepts, the ends of tasks are reported on these connections until the exit.
        if self.lifecycle.is_shutting_down() {
            return;
        }
        let due_after = self.max_client_wait() + RESPONSE_GRACE;
        if self
            .shutdown_since
            .is_some_and(|since| now - since >= due_after)
        {
            self.clients.close_resting(now);
        }
    }

    /// Answers whatever is still pending when the process exits: it has failed.
    pub fn fail_pending_requests(&mut self) {
        let now = self.clock.now();
        let pending: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, request)| request.awaits_response())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in pending {
            let request = self.requests.get(&ticket).map(|request| request.id);
            warn!(
                task = request.map(|id| id.to_string()),
                "failed at the exit"
            );
            self.respond_unplaced(now, ticket, Cause::FAILED, None);
        }
    }

    /// Whether the process must exit, whatever is left.
    pub fn is_overdue(&self) -> bool {
        let now = self.clock.now();
        let max_duration = self.max_client_wait() + EXIT_GRACE;
        let must_exit = |since| {
            if self.lifecycle.is_shutting_down() {
                self.lifecycle.exit_is_overdue(now)
            } else {
                now - since >= max_duration
            }
        };
        self.is_drained || self.shutdown_since.is_some_and(must_exit)
    }

    /// Whether the process may exit.
    pub fn is_finished(&self) -> bool {
        let now = self.clock.now();
        if self.is_drained {
            return true;
        }
        let Some(since) = self.shutdown_since else {
            return false;
        };
        // A drain that has begun the shutdown reports itself when it is over.
        if self
            .health_reporter
            .as_ref()
            .is_some_and(HealthReporter::is_draining)
        {
            return false;
        }
        let has_pending = self.requests.values().any(Request::awaits_response);
        let is_clear =
            !has_pending && self.clients.is_flushed() && !self.clients.is_delivering_task_ends(now);
        if self.lifecycle.is_shutting_down() {
            return (is_clear && self.clients.is_at_rest(now))
                || self.lifecycle.exit_is_overdue(now);
        }
        let elapsed = now - since;
        let max_duration = self.max_client_wait() + EXIT_GRACE;
        elapsed >= max_duration || (elapsed >= MIN_SHUTDOWN_TIME.min(max_duration) && is_clear)
    }
}
