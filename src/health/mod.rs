//! Health monitoring: the state and weight that this placer reports to load balancers, and why.
//!
//! [`HealthMonitor::handle`] applies an event and returns the changes of state and weight that it causes;
//! [`HealthMonitor::report`] returns the current state, weight and signals. The monitor is deterministic: time is
//! an argument, there is no I/O, and the same events give the same reports.
//!
//! ```text
//!               slow start over
//!   ┌──────────┐  weight ≥ 95   ┌────┐ weight < 85  ┌──────────┐
//!   │ starting ├───────────────▶│ up │─────────────▶│ degraded │
//!   └─┬──────▲─┘                └─┬──┘◀─────────────└────┬─────┘
//!     │      │ ready              │      weight ≥ 95     │
//!     │      │                    │ drain                │
//!     │   ┌──┴───┐◀───────────────┴──────────────────────┘
//!     └──▶│ drain│── maint ──▶┌───────┐
//!         │      │◀── drain ──┤ maint │── ready ──▶ starting
//!         └──┬───┘            └───┬───┘
//!            └── process exits ───┴──▶ stopped
//! ```
//!
//! `starting` changes to `degraded` instead of `up` if the weight is still below 95 when twice the time of the slow
//! start has passed.

pub mod drain;
mod event;
mod fleet_evidence;
mod poll_intervals;
mod readings;
mod settings;
mod signal;
pub(crate) mod sliding_window;
mod state;
mod weight;

pub use event::{Change, Event, Gauges, WeightChange};
pub use fleet_evidence::{Unreachable, ZoneReachability};
pub use settings::Settings;
pub use signal::{MEASURED_SIGNALS, SeverityRamp, Signal, SignalReading};
pub use state::{Command, State, Transition, TransitionReason};
pub use weight::{WeightController, WeightPolicy};

use crate::Micros;
use fleet_evidence::FleetEvidence;
use poll_intervals::PollIntervals;
use sliding_window::SlidingWindow;
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;
/// The maximum number of transitions that the history holds.
const MAX_HISTORY: usize = 32;
/// The minimum time between two updates of the signals, the weight and the state.
const UPDATE_INTERVAL: Micros = 200_000;
/// The minimum number of responses in the window for which the fraction of missed latency objectives is computed. With
/// fewer responses, the signal reads 0.
const MIN_RESPONSES: f64 = 8.0;
/// The minimum number of client connections in the window for which the fraction of rejected ones is computed. With
/// fewer connections, the signal reads 0.
const MIN_CONNECTIONS: f64 = 4.0;
/// The weight below which a placer in the state `up` changes to `degraded`.
const DEGRADED_BELOW: u8 = 85;
/// The weight from which on a placer in the state `starting` or `degraded` changes to `up`. The gap to `DEGRADED_BELOW`
/// keeps the state from alternating.
const UP_FROM: u8 = 95;
/// From this value of `explained_by_fleet` on, the weight controller discards a ceiling (a remembered weight at which
/// overload began) that it learned from a signal which the fleet can cause. The evidence of a fleet fault arrives a
/// little after the fault, so such a ceiling may already have been learned.
const FLEET_CAUSE_THRESHOLD: f64 = 0.5;
/// The weight at which a slow start begins.
const INITIAL_WEIGHT: f64 = 10.0;
/// The maximum weight.
const FULL_WEIGHT: f64 = 100.0;

/// The health of a placer at one time, as the monitor reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The state that load balancers are told.
    pub state: State,
    /// The published weight, 1 to 100; it applies to states that serve.
    pub weight: u8,
    /// When the state was entered.
    pub since: Micros,
    /// The signal that limits the weight most, or `None` if none limits it.
    pub cause: Option<Signal>,
    /// The degree to which faults are attributed to the fleet instead of this placer, 0 to 1.
    pub explained_by_fleet: f64,
    /// The reading of every signal, in the order of [`Signal::ALL`].
    pub signals: Vec<SignalReading>,
    /// The latest transitions, oldest first.
    pub history: Vec<Transition>,
}

/// The health monitor of one process.
#[derive(Debug, Clone)]
pub struct HealthMonitor {
    settings: Settings,
    state: State,
    state_since: Micros,
    slow_start_began: Micros,
    weight: WeightController,
    last_iteration: Micros,
    last_update: Option<Micros>,
    /// Sums the intervals between iterations of the event loop that exceeded the permitted maximum, in microseconds
    /// (the part).
    loop_lateness: SlidingWindow,
    /// Counts responses that missed their latency objective (the part) and all responses (the whole).
    missed_objectives: SlidingWindow,
    /// Counts client connections that were rejected (the part) and all client connections (the whole).
    rejected_connections: SlidingWindow,
    fleet: FleetEvidence,
    discovery_updated: Micros,
    poll_intervals: PollIntervals,
    gauges: Gauges,
    readings: Vec<SignalReading>,
    explained_by_fleet: f64,
    history: VecDeque<Transition>,
}

impl HealthMonitor {
    /// Creates the monitor of a process that starts at `now`. The endpoint list that the process is started with
    /// counts as an update from service discovery.
    pub fn new(settings: Settings, now: Micros) -> HealthMonitor {
        HealthMonitor {
            weight: WeightController::new(settings.weight, INITIAL_WEIGHT, now),
            loop_lateness: SlidingWindow::new(settings.loop_window),
            missed_objectives: SlidingWindow::new(settings.window),
            rejected_connections: SlidingWindow::new(settings.window),
            settings,
            state: State::Starting,
            state_since: now,
            slow_start_began: now,
            last_iteration: now,
            last_update: None,
            fleet: FleetEvidence::default(),
            discovery_updated: now,
            poll_intervals: PollIntervals::default(),
            gauges: Gauges::default(),
            readings: Vec::new(),
            explained_by_fleet: 0.0,
            history: VecDeque::new(),
        }
    }

    /// Applies an event and returns the changes of state and weight that it caused.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Change> {
        self.record_loop_iteration(now);
        match event {
            Event::LoopIteration => {}
            Event::GaugesSampled(gauges) => {
                let unreachable = Unreachable::of(&gauges.zones).fleet;
                self.fleet.set_host_fractions(
                    gauges.hosts_with_capacity,
                    gauges.full_hosts,
                    unreachable,
                );
                self.gauges = gauges;
            }
            Event::RequestAnswered { within_objective } => {
                self.missed_objectives.add_one(now, !within_objective);
            }
            Event::AttemptEnded {
                outcome,
                detail,
                relative_duration,
            } => self
                .fleet
                .record_attempt(now, outcome, detail, relative_duration),
            Event::ClientConnected { rejected } => {
                self.rejected_connections.add_one(now, rejected);
            }
            Event::DiscoveryUpdated => {
                self.discovery_updated = self.discovery_updated.max(now);
            }
            Event::Polled { poller } => self.poll_intervals.record(now, poller),
            Event::CommandReceived(command) => return self.execute(now, command),
        }
        self.update(now)
    }

    /// Returns the report as of `now`, and the changes that its computation caused. The call counts as an iteration of
    /// the event loop, so a stall that lasts until this call is included.
    pub fn report(&mut self, now: Micros) -> (Report, Vec<Change>) {
        let changes = self.handle(now, Event::LoopIteration);
        let report = Report {
            state: self.state,
            weight: self.weight.published(),
            since: self.state_since,
            cause: self.limiting_signal().map(|reading| reading.signal),
            explained_by_fleet: self.explained_by_fleet,
            signals: self.readings.clone(),
            history: self.history.iter().copied().collect(),
        };
        (report, changes)
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the weight that load balancers are told, 1 to 100.
    pub fn weight(&self) -> u8 {
        self.weight.published()
    }

    /// Records the time since the last iteration of the event loop as lateness if it exceeds
    /// [`Settings::max_loop_interval`].
    fn record_loop_iteration(&mut self, now: Micros) {
        let interval = now - self.last_iteration;
        if interval > self.settings.max_loop_interval {
            self.loop_lateness.add(now, interval as f64, 0.0);
        }
        self.last_iteration = self.last_iteration.max(now);
    }

    fn execute(&mut self, now: Micros, command: Command) -> Vec<Change> {
        let state = match (command, self.state) {
            (_, State::Stopped)
            | (Command::Drain, State::Drain)
            | (Command::Maint, State::Maint)
            | (Command::Ready, State::Starting | State::Up | State::Degraded) => return Vec::new(),
            (Command::Stop, _) => State::Stopped,
            (Command::Drain, _) => State::Drain,
            (Command::Maint, _) => State::Maint,
            (Command::Ready, State::Drain | State::Maint) => {
                // Load balancers send a returning server its full share of the load at once, so the weight starts low.
                self.slow_start_began = now;
                self.weight = WeightController::new(self.settings.weight, INITIAL_WEIGHT, now);
                State::Starting
            }
        };
        vec![self.change_state(now, state, TransitionReason::Command(command))]
    }

    fn change_state(&mut self, now: Micros, to: State, reason: TransitionReason) -> Change {
        let transition = Transition {
            at: now,
            from: self.state,
            to,
            reason,
            weight: self.weight.published(),
        };
        self.state = to;
        self.state_since = now;
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(transition);
        Change::State(transition)
    }

    /// Returns the signal that limits the weight most, or `None` if none limits it.
    fn limiting_signal(&self) -> Option<&SignalReading> {
        let limiting = self
            .readings
            .iter()
            .filter(|reading| reading.max_weight < FULL_WEIGHT);
        limiting.min_by(|a, b| a.max_weight.total_cmp(&b.max_weight))
    }

    /// Reads the signals and updates weight and state, at most once per `UPDATE_INTERVAL`.
    fn update(&mut self, now: Micros) -> Vec<Change> {
        if self
            .last_update
            .is_some_and(|at| now - at < UPDATE_INTERVAL)
        {
            return Vec::new();
        }
        self.last_update = Some(now);
        self.read_signals(now);
        let cause = self.limiting_signal().map(|reading| reading.signal);
        let weight_change = self.update_weight(now, cause);
        let state_change = self.update_state(now, cause);
        [weight_change, state_change]
            .into_iter()
            .flatten()
            .collect()
    }

    fn update_weight(&mut self, now: Micros, cause: Option<Signal>) -> Option<Change> {
        let target = self
            .limiting_signal()
            .map_or(FULL_WEIGHT, |reading| reading.max_weight);
        let before = self.weight.published();
        if self.explained_by_fleet >= FLEET_CAUSE_THRESHOLD {
            self.weight.forget_fleet_ceiling();
        }
        let reaction_time = self.poll_intervals.reaction_time();
        let has_changed = self.weight.update(now, target, cause, reaction_time);
        has_changed.then(|| {
            Change::Weight(WeightChange {
                before,
                after: self.weight.published(),
                cause,
                explained_by_fleet: self.explained_by_fleet,
            })
        })
    }

    fn update_state(&mut self, now: Micros, cause: Option<Signal>) -> Option<Change> {
        let weight = self.weight.published();
        let elapsed = now - self.slow_start_began;
        let slow_start = self.settings.slow_start;
        let by_signal = cause.map_or(TransitionReason::SignalsClear, TransitionReason::Signal);
        let (to, reason) = match self.state {
            State::Starting if elapsed >= slow_start && weight >= UP_FROM => {
                (State::Up, TransitionReason::SlowStartOver)
            }
            // The slow start is over and no longer limits the weight, so a weight that is still too low is due to
            // another signal.
            State::Starting if elapsed >= 2 * slow_start => (State::Degraded, by_signal),
            State::Up if weight < DEGRADED_BELOW => (State::Degraded, by_signal),
            State::Degraded if weight >= UP_FROM => (State::Up, TransitionReason::SignalsClear),
            _ => return None,
        };
        Some(self.change_state(now, to, reason))
    }
}

#[cfg(test)]
mod tests;
