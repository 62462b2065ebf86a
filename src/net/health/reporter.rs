//! Connects the health monitor and the drain of this process to the program: notifies them of events, logs the changes
//! that they cause, and returns the actions that the program must carry out.

use super::state_json;
use crate::operator;
use simd_json::OwnedValue;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use task_placer::Micros;
use task_placer::health::drain::{
    AfterDrain, Drain, Effect, Outstanding, Phase, Poller, TooLateToCancel,
};
use task_placer::health::{Change, Command, Event, HealthMonitor, Report, Signal, State};
use tracing::{debug, info, warn};

/// An action of a drain that the program must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Close idle connections from now on.
    StartClosingIdle,
    /// Stop closing idle connections.
    StopClosingIdle,
    /// Notify the decision module that it must answer all pending requests.
    AnswerAll {
        /// The time limit for the answers, in microseconds.
        within: Micros,
    },
    /// Exit the process.
    Exit {
        /// The work that is unfinished when the process exits.
        left: Outstanding,
    },
}

/// Why a command can't be executed. The text is the reply to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandRejected {
    /// The process is exiting.
    #[error("{TooLateToCancel}")]
    TooLate,
    /// A drain is in progress, during which maintenance can't begin.
    #[error("a drain is under way; take it back with ready first")]
    DrainInProgress,
    /// The command would end the process, which only SIGTERM may do.
    #[error("send SIGTERM to end the process")]
    NeedsSignal,
}

/// The health monitor and the drain of this process, with the settings of their reports.
pub struct HealthReporter {
    monitor: HealthMonitor,
    drain: Drain,
    /// Whether SIGTERM begins a drain, as the operator's file configures it.
    drains_on_signal: bool,
    /// Whether the endpoint list has ever been received.
    has_started: bool,
    /// The settings of the listeners.
    pub settings: operator::HealthSettings,
}

impl HealthReporter {
    /// Creates the reporter of a process that starts at `now`.
    pub fn new(operator: &operator::Operator, now: Micros) -> HealthReporter {
        HealthReporter {
            monitor: HealthMonitor::new(operator.health.monitor.clone(), now),
            drain: Drain::new(operator.drain.clone().unwrap_or_default()),
            drains_on_signal: operator.drain.is_some(),
            has_started: false,
            settings: operator.health.clone(),
        }
    }

    /// Returns whether the placer is in a state that serves, so that health checks of clients pass.
    pub fn is_serving(&self) -> bool {
        self.monitor.state().is_serving()
    }

    /// Returns whether a drain is in progress.
    pub fn is_draining(&self) -> bool {
        self.drain.phase() != Phase::Idle
    }

    /// Returns whether the endpoint list has ever been received.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Notifies the health monitor of an event, and logs the changes that it causes.
    pub fn notify(&mut self, now: Micros, event: Event) {
        self.has_started |= event == Event::DiscoveryUpdated;
        let changes = self.monitor.handle(now, event);
        log_changes(&changes);
    }

    /// Records a poll of a load balancer's check, and returns the report that answers it.
    pub fn answer_poll(&mut self, now: Micros, poller: &Poller) -> Report {
        let mut hasher = DefaultHasher::new();
        poller.hash(&mut hasher);
        let poller_hash = hasher.finish();
        self.notify(
            now,
            Event::Polled {
                poller: poller_hash,
            },
        );
        let report = self.report(now);
        debug!(check = ?poller.kind, peer = poller.name, state = %report.state, weight = report.weight, "polled");
        self.drain.record_poll(now, poller);
        report
    }

    /// Returns the current health report for a purpose other than a poll of a load balancer.
    pub fn report(&mut self, now: Micros) -> Report {
        let (report, changes) = self.monitor.report(now);
        log_changes(&changes);
        report
    }

    /// Handles SIGTERM. Returns `None` if the operator's file does not enable a drain on SIGTERM; the process then ends
    /// as it does without such a file.
    pub fn terminate(&mut self, now: Micros) -> Option<Vec<DrainAction>> {
        if !self.drains_on_signal {
            self.notify(now, Event::CommandReceived(Command::Stop));
            return None;
        }
        let effects = self.drain.begin(now, AfterDrain::Exit);
        Some(self.apply(now, effects))
    }

    /// Executes an operator's command.
    ///
    /// # Errors
    ///
    /// Returns [`CommandRejected`] if the command does not fit the state of the process.
    pub fn execute(
        &mut self,
        now: Micros,
        command: Command,
    ) -> Result<Vec<DrainAction>, CommandRejected> {
        match command {
            Command::Drain => {
                let effects = self.drain.begin(now, AfterDrain::Wait);
                Ok(self.apply(now, effects))
            }
            Command::Ready => self.return_to_service(now),
            Command::Maint if self.is_draining() => Err(CommandRejected::DrainInProgress),
            Command::Maint => {
                self.notify(now, Event::CommandReceived(Command::Maint));
                Ok(vec![DrainAction::StartClosingIdle])
            }
            Command::Stop => Err(CommandRejected::NeedsSignal),
        }
    }

    fn return_to_service(&mut self, now: Micros) -> Result<Vec<DrainAction>, CommandRejected> {
        let effects = self
            .drain
            .cancel(now)
            .map_err(|TooLateToCancel| CommandRejected::TooLate)?;
        if self.monitor.state() == State::Stopped {
            return Err(CommandRejected::TooLate);
        }
        let mut actions = self.apply(now, effects);
        self.notify(now, Event::CommandReceived(Command::Ready));
        actions.push(DrainAction::StopClosingIdle);
        Ok(actions)
    }

    /// Advances the drain according to the time and the unfinished work, and returns the actions that the program must
    /// carry out.
    pub fn advance_drain(&mut self, now: Micros, outstanding: Outstanding) -> Vec<DrainAction> {
        let effects = self.drain.advance(now, outstanding);
        self.apply(now, effects)
    }

    fn apply(&mut self, now: Micros, effects: Vec<Effect>) -> Vec<DrainAction> {
        let actions = effects
            .into_iter()
            .filter_map(|effect| self.apply_effect(now, effect));
        actions.collect()
    }

    /// Applies an effect of the drain, and returns the action that it requires of the program, if any.
    fn apply_effect(&mut self, now: Micros, effect: Effect) -> Option<DrainAction> {
        match effect {
            Effect::AnnounceDrain => {
                self.notify(now, Event::CommandReceived(Command::Drain));
                None
            }
            Effect::WithdrawDrain => {
                self.notify(now, Event::CommandReceived(Command::Ready));
                None
            }
            Effect::Entered { phase, reason } => {
                let pollers = self.drain.pollers(now);
                info!(
                    phase = phase.as_str(),
                    reason = reason.as_str(),
                    pollers = pollers.live,
                    seen = pollers.notified,
                    "drain"
                );
                None
            }
            Effect::StartClosingIdle => Some(DrainAction::StartClosingIdle),
            Effect::StopClosingIdle => Some(DrainAction::StopClosingIdle),
            Effect::AnswerAll { within } => Some(DrainAction::AnswerAll { within }),
            Effect::Exit { left } => {
                self.notify(now, Event::CommandReceived(Command::Stop));
                Some(DrainAction::Exit { left })
            }
        }
    }

    /// Returns health and drain as JSON, for the reply to an operator.
    pub fn state_json(&mut self, now: Micros, outstanding: Outstanding) -> OwnedValue {
        let report = self.report(now);
        state_json::encode(now, &report, &self.drain, outstanding)
    }
}

fn log_changes(changes: &[Change]) {
    for change in changes {
        match change {
            Change::State(transition) => {
                let (from, to) = (transition.from, transition.to);
                let (reason, weight) = (transition.reason.as_str(), transition.weight);
                info!(%from, %to, reason, weight, "health state changed");
            }
            Change::Weight(change) => {
                let (before, after) = (change.before, change.after);
                let fleet = (100.0 * change.explained_by_fleet).round() / 100.0;
                let reason = change.cause.map_or("signals-clear", Signal::as_str);
                if after < before {
                    warn!(before, after, reason, fleet, "health weight changed");
                } else {
                    info!(before, after, reason, fleet, "health weight changed");
                }
            }
        }
    }
}
