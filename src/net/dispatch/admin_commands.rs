//! Handles the commands of operators and the platform, reports whether this process serves and its counters, and shares
//! the placer's limits with the placer's other processes. This module never ends the process: `shutdown` does.

use super::Dispatch;
use super::request::Request;
use crate::ctl::{self, CommandError};
use crate::net::health::reporter::HealthReporter;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::health::Command;
use task_placer::operation::admin::{self, AdminCommand, AdminError};
use task_placer::operation::counters::ClassCounters;
use task_placer::operation::lifecycle::{Effect, Event};
use task_placer::operation::process_group::PeerAge;
use tracing::info;

impl Dispatch {
    /// Whether this process accepts requests, which is the result of its health checks.
    pub fn serves(&self) -> bool {
        self.is_listening
            && !self.is_shutting_down()
            && self.lifecycle.is_serving()
            && self
                .health_reporter
                .as_ref()
                .is_none_or(HealthReporter::is_serving)
    }

    /// Whether the process has begun to shut down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Whether the health checks of clients pass: either this process serves, or another process of the placer does
    /// while this one shuts down.
    pub fn placer_serves(&self) -> bool {
        self.lifecycle.is_shutting_down() || self.serves()
    }

    /// Updates whether connections without a task are closed, as required by a drain, maintenance or the lifecycle, and
    /// whether connections that are still used are.
    pub(super) fn apply_close_idle(&mut self, now: Micros) {
        let closes_idle = self.closes_idle_clients || self.lifecycle.closes_idle_connections();
        self.clients.set_close_idle(closes_idle);
        self.clients.set_draining(now, self.lifecycle.is_draining());
    }

    /// Handles an event that affects whether this process accepts requests.
    pub fn handle_lifecycle_event(&mut self, now: Micros, event: Event) {
        let before = self.lifecycle.phase();
        match self.lifecycle.handle(now, event) {
            Some(Effect::StartClosingIdle | Effect::StopClosingIdle) => self.apply_close_idle(now),
            Some(Effect::ShutDown { answer_within }) => {
                self.apply_close_idle(now);
                self.begin_shutdown(now, answer_within);
            }
            None => {}
        }
        if self.lifecycle.phase() != before {
            info!(phase = self.lifecycle.phase().as_str(), "lifecycle");
        }
        if self.lifecycle.closes_idle_connections() {
            self.clients.close_idle_connections(now);
        }
        if let Some(share) = self.process_group.refresh(now) {
            let decisions = self.facade.set_share(now, share);
            self.apply_decisions(now, decisions);
        }
    }

    // ---- Starts and exits of the placer's other processes ----

    /// Shares the limits of the placer with a process that has connected: together they count as one placer.
    pub(super) fn share_with_peer(&mut self, now: Micros, age: PeerAge) {
        let share = self.process_group.peer_joined(age);
        let decisions = self.facade.set_share(now, share);
        self.apply_decisions(now, decisions);
        self.apply_shared_limits();
    }

    /// Takes back the part of the limits that a process which has exited had used.
    pub(super) fn share_without_peer(&mut self, now: Micros) {
        self.process_group.peer_exited(now);
        self.apply_shared_limits();
    }

    fn apply_shared_limits(&mut self) {
        let others = self.process_group.live_peers();
        info!(others, "number of peer processes changed");
        self.apply_limits(self.limits);
    }

    // ---- Commands of operators and the platform ----

    /// Runs a command of the platform or an operator, and returns the encoded reply.
    pub fn run_admin_command(&mut self, line: &[u8]) -> Vec<u8> {
        let now = self.clock.now();
        let command = match AdminCommand::parse(line) {
            Ok(command) => command,
            Err(error) => return admin::encode_reply(Err(error)),
        };
        match command {
            AdminCommand::Vars => return admin::encode_vars_reply(&self.vars().encode()),
            AdminCommand::Check => {
                let serves = self.serves();
                self.handle_lifecycle_event(now, Event::Checked);
                let result = if serves {
                    Ok(())
                } else {
                    Err(AdminError::NotServing)
                };
                return admin::encode_reply(result);
            }
            // The decision module has been notified of the shutdown, which cannot be revoked.
            AdminCommand::DrainOn | AdminCommand::DrainOff if self.is_shutting_down() => {
                return admin::encode_reply(Err(AdminError::ShuttingDown));
            }
            AdminCommand::DrainOn => self.handle_lifecycle_event(now, Event::DrainRequested),
            AdminCommand::DrainOff => self.handle_lifecycle_event(now, Event::DrainCancelled),
        }
        admin::encode_reply(Ok(()))
    }

    /// Returns the counters and current gauges of this process, under the names used in the reply to `vars`.
    fn vars(&self) -> OwnedValue {
        let class_vars = |counts: &ClassCounters| {
            json!({
                "served": counts.started,
                "refused": counts.rejected,
                "failed": counts.failed,
                "attempts": counts.attempts,
            })
        };
        let classes = self.facade.names().classes.iter();
        let requests: simd_json::owned::Object = classes
            .zip(self.counters.by_class())
            .map(|(name, counts)| (name.clone(), class_vars(counts)))
            .collect();
        let counters = self.counters.by_class().iter();
        let attempts: u64 = counters.map(|counts| counts.attempts).sum();
        let mut vars = json!({
            "attempts": attempts,
            "in_flight": self.requests.len(),
            "hosts_known": self.active_host_count(),
            "hosts_excluded": self.facade.unavailable_hosts(),
        });
        let _ = vars.insert("requests", OwnedValue::from(requests));
        let _ = vars.insert("task_ends", self.task_end_vars());
        let _ = vars.insert("request_memory", self.request_memory.vars());
        let _ = vars.insert("adopted_tasks", self.adoptions.vars());
        let _ = vars.insert("host_connections", self.connect_counters.to_json());
        vars
    }

    /// Returns the counters of notifications of task ends, under the names used in the reply to `vars`.
    fn task_end_vars(&self) -> OwnedValue {
        let ends = self.clients.task_end_counters();
        json!({
            "sent": ends.sent,
            "resent": ends.resent,
            "acknowledged": ends.acknowledged,
            "unacknowledged": ends.unacknowledged,
            "waiting": ends.waiting,
        })
    }

    /// Runs an operator's command from the control socket, and returns the fields of the reply.
    pub fn run_ctl_command(&mut self, command: ctl::Command) -> Result<OwnedValue, CommandError> {
        let now = self.clock.now();
        let pending_work = self.pending_work();
        let order = match command {
            ctl::Command::Overload => return self.overload_report(now),
            ctl::Command::State => None,
            ctl::Command::Drain => Some(Command::Drain),
            ctl::Command::Ready => Some(Command::Ready),
            ctl::Command::Maint => Some(Command::Maint),
        };
        let reporter = self
            .health_reporter
            .as_mut()
            .ok_or(CommandError::HealthDisabled)?;
        if let Some(order) = order {
            info!(?order, "ordered");
            let actions = reporter
                .execute(now, order)
                .map_err(|rejected| CommandError::NotNow(rejected.to_string()))?;
            self.run_drain_actions(now, actions);
        }
        let reporter = self
            .health_reporter
            .as_mut()
            .ok_or(CommandError::HealthDisabled)?;
        Ok(reporter.state_json(now, pending_work))
    }

    /// Returns the number of requests whose response is pending.
    pub fn pending_responses(&self) -> usize {
        let awaits_response = |request: &&Request| request.awaits_response();
        self.requests.values().filter(awaits_response).count()
    }
}
