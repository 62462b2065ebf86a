//! Owns what operators and the platform want of this process: whether it serves, its counters, their commands, and the
//! share of the limits that it has beside other processes of the placer. It never ends the process: `shutdown` does.

use super::Dispatch;
use super::request::Request;
use crate::ctl::{self, CommandError};
use crate::net::health::watch::{Refused, Watch};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::health::Order;
use task_placer::operation::calls::{self, Call};
use task_placer::operation::duty::{Effect, Event};
use task_placer::operation::tally::Counts;
use tracing::info;

impl Dispatch {
    /// Whether this process takes requests: the result of every health check.
    pub fn serves(&self) -> bool {
        self.is_listening
            && !self.is_shutting_down()
            && self.lifecycle.serves()
            && self.watch.as_ref().is_none_or(Watch::serves)
    }

    /// Whether the process has begun to shut down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Whether the health checks of clients pass: the placer serves, if not this process.
    pub fn placer_serves(&self) -> bool {
        self.lifecycle.leaves() || self.serves()
    }

    /// Closes connections without a task for as long as a drain, maintenance or the lifecycle requires it.
    pub(super) fn apply_close_idle(&mut self) {
        let closes_idle = self.closes_idle_clients || self.lifecycle.empties();
        self.clients.set_close_idle(closes_idle);
    }

    /// Handles an event that concerns whether this process takes requests.
    pub fn handle_lifecycle_event(&mut self, now: Micros, event: Event) {
        let before = self.lifecycle.phase();
        match self.lifecycle.handle(now, event) {
            Some(Effect::Empty(_)) => self.apply_close_idle(),
            Some(Effect::Leave(within)) => {
                self.apply_close_idle();
                self.begin_shutdown(now, within);
            }
            None => {}
        }
        if self.lifecycle.phase() != before {
            info!(phase = self.lifecycle.phase().as_str(), "lifecycle");
        }
        if self.lifecycle.empties() {
            self.clients.close_idle_connections(now);
        }
        if let Some(share) = self.process_group.look(now) {
            let decisions = self.facade.set_share(now, share);
            self.apply_decisions(now, decisions);
        }
    }

    // ---- Other processes of the placer ----

    /// Records that another process of this placer lives, which was there `first` or came later: they count as one
    /// placer, and share its limits.
    pub fn peer_joined(&mut self, first: bool) {
        let now = self.clock.now();
        let share = self.process_group.met(first);
        let decisions = self.facade.set_share(now, share);
        self.apply_decisions(now, decisions);
        self.apply_shared_limits();
    }

    /// Records that another process of this placer has exited.
    pub fn peer_exited(&mut self) {
        self.process_group.left(self.clock.now());
        self.apply_shared_limits();
    }

    fn apply_shared_limits(&mut self) {
        let others = self.process_group.others();
        info!(others, "processes of this placer");
        self.apply_limits(self.limits);
    }

    // ---- Commands ----

    /// Runs a command of the platform or an operator, and returns the encoded reply.
    pub fn run_admin_command(&mut self, line: &[u8]) -> Vec<u8> {
        let now = self.clock.now();
        let command = match Call::read(line) {
            Ok(command) => command,
            Err(reason) => return calls::reply(Err(reason)),
        };
        match command {
            Call::Vars => return calls::figures(&self.vars().encode()),
            Call::Check => {
                let serves = self.serves();
                self.handle_lifecycle_event(now, Event::Asked);
                let result = if serves {
                    Ok(())
                } else {
                    Err("takes no requests")
                };
                return calls::reply(result);
            }
            // Nothing takes back what the decision module has been notified of.
            Call::DrainOn | Call::DrainOff if self.is_shutting_down() => {
                return calls::reply(Err("the process ends"));
            }
            Call::DrainOn => self.handle_lifecycle_event(now, Event::DrainOn),
            Call::DrainOff => self.handle_lifecycle_event(now, Event::DrainOff),
        }
        calls::reply(Ok(()))
    }

    /// Returns the counters of this process and what it has in hand, under the names that `vars` has for them.
    fn vars(&self) -> OwnedValue {
        let class_vars = |counts: &Counts| {
            json!({
                "served": counts.served,
                "refused": counts.refused,
                "failed": counts.failed,
                "attempts": counts.attempts,
            })
        };
        let classes = self.facade.names().classes.iter();
        let requests: simd_json::owned::Object = classes
            .zip(self.counters.classes())
            .map(|(name, counts)| (name.clone(), class_vars(counts)))
            .collect();
        let counters = self.counters.classes().iter();
        let attempts: u64 = counters.map(|counts| counts.attempts).sum();
        let mut vars = json!({
            "attempts": attempts,
            "in_flight": self.requests.len(),
            "hosts_known": self.active_host_count(),
            "hosts_excluded": self.facade.unavailable_hosts(),
        });
        let _ = vars.insert("requests", OwnedValue::from(requests));
        vars
    }

    /// Runs an operator's command from the control socket, and returns the fields of the reply.
    pub fn run_ctl_command(&mut self, command: ctl::Command) -> Result<OwnedValue, CommandError> {
        let now = self.clock.now();
        let pending_work = self.pending_work();
        let order = match command {
            ctl::Command::Overload => return self.overload_report(now),
            ctl::Command::State => None,
            ctl::Command::Drain => Some(Order::Drain),
            ctl::Command::Ready => Some(Order::Ready),
            ctl::Command::Maint => Some(Order::Maint),
        };
        let watch = self.watch.as_mut().ok_or(CommandError::HealthDisabled)?;
        if let Some(order) = order {
            info!(?order, "ordered");
            let tasks = watch
                .order(now, order)
                .map_err(|Refused(reason)| CommandError::NotNow(reason.to_string()))?;
            self.run_drain_tasks(now, tasks);
        }
        let watch = self.watch.as_mut().ok_or(CommandError::HealthDisabled)?;
        Ok(watch.state(now, pending_work))
    }

    /// Returns the number of requests whose response is pending.
    pub fn pending_responses(&self) -> usize {
        let awaits_response = |request: &&Request| request.awaits_response();
        self.requests.values().filter(awaits_response).count()
    }
}
