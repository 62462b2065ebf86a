//! Builds the answers to load balancer checks from the report of the health reporter and the state of the placer
//! process.

use super::{LINGER, agent, http, micros};
use crate::net::dispatch::Dispatch;
use std::time::Duration;
use task_placer::Micros;
use task_placer::health::State;
use task_placer::health::drain::{CheckKind, Poller};

impl Dispatch {
    /// Returns the maximum time that one poll of a check may take on its connection, in microseconds.
    pub(super) fn poll_timeout(&self, check: CheckKind) -> Micros {
        let Some(reporter) = &self.health_reporter else {
            return LINGER;
        };
        match check {
            CheckKind::Agent => micros(reporter.settings.agent_line_timeout) + LINGER,
            CheckKind::Http => micros(reporter.settings.request_timeout),
        }
    }

    /// Returns the maximum time that an HTTP connection may wait for its next request.
    pub(super) fn idle_timeout(&self) -> Micros {
        self.health_reporter
            .as_ref()
            .map_or(LINGER, |reporter| micros(reporter.settings.idle_timeout))
    }

    /// Returns the maximum time to wait for the line that an agent check may send first; zero means not to wait.
    pub(super) fn agent_line_timeout(&self) -> Duration {
        self.health_reporter
            .as_ref()
            .map_or(Duration::ZERO, |reporter| {
                reporter.settings.agent_line_timeout
            })
    }

    /// Records a poll of an agent check, and returns the answer to it.
    pub(super) fn answer_agent_poll(&mut self, poller: &Poller) -> String {
        let now = self.clock.now();
        let max_connections = self.clients.connection_limit(self.active_host_count());
        let Some(reporter) = &mut self.health_reporter else {
            return String::new();
        };
        let reported_connections = reporter.settings.reports_maxconn.then_some(max_connections);
        agent::encode_answer(&reporter.answer_poll(now, poller), reported_connections)
    }

    /// Returns the response to an HTTP check. Only the checks whose response announces a drain, `/readyz` and `/health`,
    /// are recorded as polls.
    pub(super) fn answer_http_poll(&mut self, poller: &Poller, request: &http::Request) -> Vec<u8> {
        let now = self.clock.now();
        let Some(reporter) = &mut self.health_reporter else {
            return http::respond_rejected(503);
        };
        let is_poll = matches!(request.target, http::Target::Ready | http::Target::Health);
        let report = if is_poll {
            reporter.answer_poll(now, poller)
        } else {
            reporter.report(now)
        };
        let context = http::ResponseContext {
            now,
            has_started: reporter.has_started() || report.state != State::Starting,
            drain_status: reporter.settings.drain_status,
            degraded_below: reporter.settings.degraded_below,
        };
        http::respond(request, &report, &context).1
    }
}
