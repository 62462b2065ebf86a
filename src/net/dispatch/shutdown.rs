//! Handles the shutdown of the process: SIGTERM, drains, and when the process may or must exit. This module never drops
//! a pending response: a shutdown makes the decision module answer every request in time.

use super::request::{Request, RequestState};
use super::{Dispatch, MILLISECOND};
use crate::net::codec::Cause;
use crate::net::health::reporter::{DrainAction, HealthReporter};
use task_placer::Micros;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::drain::Outstanding;
use task_placer::operation::lifecycle;
use tracing::{info, warn};

/// The cap on the longest client wait that a shutdown takes into account. The protocol states this cap, and that the
/// platform kills the process no earlier than the longest client wait plus 700 ms after SIGTERM.
const MAX_CLIENT_WAIT: Micros = 3_000 * MILLISECOND;
/// How long after the longest client wait the last pending responses are sent.
const RESPONSE_GRACE: Micros = 300 * MILLISECOND;
/// How long after the longest client wait the process must exit. Data that peers still send is then read for another
/// 100 ms.
const EXIT_GRACE: Micros = 550 * MILLISECOND;
/// The minimum time from the start of a shutdown to the exit: according to the protocol, new requests may still arrive
/// for 0.6 s.
const MIN_SHUTDOWN_TIME: Micros = 1_000 * MILLISECOND;

impl Dispatch {
    /// Handles SIGTERM: begins a drain if the operator's file enables it, and otherwise the shutdown that the platform
    /// expects.
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

    /// Runs the actions that a drain requires of the program.
    pub(super) fn run_drain_actions(&mut self, now: Micros, actions: Vec<DrainAction>) {
        for action in actions {
            match action {
                DrainAction::StartClosingIdle => {
                    self.closes_idle_clients = true;
                    self.apply_close_idle(now);
                }
                DrainAction::StopClosingIdle => {
                    self.closes_idle_clients = false;
                    self.apply_close_idle(now);
                }
                DrainAction::AnswerAll { within } => self.begin_shutdown(now, within),
                DrainAction::Exit { left } => {
                    self.is_drained = true;
                    self.log_unfinished_work(left);
                }
            }
        }
    }

    /// Returns the outstanding work that a drain waits for.
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

    /// Logs the work that was unfinished when a drain ended, and each task that still runs.
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
                warn!(task = %request.id, host = &*host.0, "task still running at exit");
            }
        }
    }

    /// Begins the shutdown, if it has not begun: every pending response must be sent within `within`.
    pub(super) fn begin_shutdown(&mut self, now: Micros, within: Micros) {
        if self.shutdown_since.is_none() {
            self.shutdown_since = Some(now);
            info!(requests = self.requests.len(), "closing");
            self.report_event(now, PlacementEvent::ShutdownRequested(within));
        }
    }

    /// Returns the longest wait of a client, capped as by the platform at a shutdown.
    fn max_client_wait(&self) -> Micros {
        self.facade.max_deadline().clamp(0, MAX_CLIENT_WAIT)
    }

    /// Closes each client connection as soon as it is quiescent, once all pending responses are due.
    ///
    /// Clients keep sending on open connections until the process exits, so there may never be a moment at which all
    /// connections are quiescent. A request in transit when its connection closes is sent again to another placer,
    /// whereas one that is pending when the process exits is lost.
    pub(super) fn close_quiescent_clients(&mut self, now: Micros) {
        // While another process accepts connections, the ends of tasks are reported on these connections until the
        // exit.
        if self.lifecycle.is_shutting_down() {
            return;
        }
        let due_after = self.max_client_wait() + RESPONSE_GRACE;
        if self
            .shutdown_since
            .is_some_and(|since| now - since >= due_after)
        {
            self.clients.close_quiescent(now);
        }
    }

    /// Closes the client connections that are no longer wanted although they are in use, each once nothing is pending on
    /// it. In a drain, requests that never ran are rejected after a while, so that their clients request the
    /// tasks elsewhere.
    pub(super) fn close_retired_clients(&mut self, now: Micros) {
        self.clients.retire_used();
        for client in self.clients.draining_with_pending_responses(now) {
            while self.reject_latest(now, client, Request::never_ran) {}
        }
        self.clients.close_retired(now);
    }

    /// Sends a failure response to every request that is still pending when the process exits.
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
                "request failed at exit"
            );
            self.respond_unplaced(now, ticket, Cause::FAILED, None);
        }
    }

    /// Stops reading from hosts and connecting to them, when the process is about to exit. What a host sends from now on
    /// could not be passed on to a client: it stays unread, and the host repeats it on its next connection.
    pub fn stop_reading_hosts(&mut self) {
        self.is_exiting = true;
        for link in self.hosts.values_mut() {
            link.abort_connect();
            link.connections().for_each(|conn| conn.shutdown_unread());
        }
    }

    /// Whether the process must exit, regardless of unfinished work.
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
        // A drain that has begun the shutdown determines itself when the process may exit (`DrainAction::Exit`).
        if self
            .health_reporter
            .as_ref()
            .is_some_and(HealthReporter::is_draining)
        {
            return false;
        }
        let has_pending = self.requests.values().any(Request::awaits_response);
        let nothing_pending =
            !has_pending && self.clients.is_flushed() && !self.clients.is_delivering_task_ends(now);
        if self.lifecycle.is_shutting_down() {
            return (nothing_pending && self.clients.is_quiescent(now))
                || self.lifecycle.exit_is_overdue(now);
        }
        let elapsed = now - since;
        let max_duration = self.max_client_wait() + EXIT_GRACE;
        elapsed >= max_duration
            || (elapsed >= MIN_SHUTDOWN_TIME.min(max_duration) && nothing_pending)
    }
}
