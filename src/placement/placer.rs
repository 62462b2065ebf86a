//! The state of a placer, and the dispatch of events to the functions that handle them.

use super::usage_assumption::ASSUMED_USAGE_RATIO;
use crate::state::arrivals::ArrivalHistory;
use crate::state::health_book::HealthTable;
use crate::state::hosts::HostTable;
use crate::state::imposed_limits::ImposedLimits;
use crate::state::subscription::Subscription;
use crate::state::tasks::TaskTable;
use crate::state::timers::{TimerPurpose, Timers};
use crate::state::working_set::WorkingSet;
use crate::types::{
    Action, AttemptResult, Event, Micros, ResourceKind, Settings, TaskReport, TimerToken,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

/// Number of ticks within one shortest latency objective.
const TICKS_PER_OBJECTIVE: i64 = 4;

/// Makes the decisions of one placer, without any I/O. The same settings, seed and events give the same actions.
///
/// Every time span is a multiple of a setting, so the constants in this module and its siblings are dimensionless.
pub struct Placer {
    pub(super) settings: Settings,
    rng: ChaCha8Rng,
    pub(super) now: Micros,
    /// Time of the first event. Attempts that an earlier process of this placer sent before this time are unknown.
    pub(super) started_at: Option<Micros>,
    /// The shortest latency objective of all classes, in microseconds and at least one tick. Most time spans are
    /// multiples of it.
    pub(super) shortest_objective: Micros,
    pub(super) hosts: HostTable,
    pub(super) tasks: TaskTable,
    pub(super) timers: Timers,
    pub(super) health: HealthTable,
    pub(super) limits: ImposedLimits,
    pub(super) arrivals: ArrivalHistory,
    pub(super) working_set: WorkingSet,
    /// Number of health checks that may be sent now to refresh load reports; each new task adds to it.
    pub(super) health_check_credit: f64,
    pub(super) subscription: Subscription,
    /// When the placer shuts down, if a shutdown was requested. Later deadlines of new requests are moved to this time.
    pub(super) shutdown_at: Option<Micros>,
    /// Whether the first of the periodic ticks has been scheduled; each tick then schedules the next one.
    is_ticking: bool,
}

impl Placer {
    /// Creates a placer that knows its settings but no hosts or tasks. The seed determines all its random choices.
    pub fn new(settings: Settings, seed: u64) -> Placer {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(0).max(settings.tick).max(1);
        Placer {
            shortest_objective,
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            now: 0,
            started_at: None,
            hosts: HostTable::default(),
            tasks: TaskTable::default(),
            timers: Timers::default(),
            health: HealthTable::default(),
            limits: ImposedLimits::default(),
            arrivals: ArrivalHistory::default(),
            working_set: WorkingSet::new(ASSUMED_USAGE_RATIO),
            health_check_credit: 0.0,
            subscription: Subscription::default(),
            shutdown_at: None,
            is_ticking: false,
        }
    }

    /// Handles one event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        self.handle_event(event, actions);
        if !self.is_ticking {
            self.is_ticking = true;
            self.set_tick_timer(actions);
        }
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { kind, endpoints } => {
                self.endpoints_changed(*kind, endpoints, actions)
            }
            Event::TaskRequested(task) => self.task_requested(task, actions),
            Event::TaskAdopted(task, host) => {
                let host = self.hosts.index_of(host);
                self.tasks.adopt(task, host, self.now);
            }
            Event::AttemptStarted {
                id,
                attempt,
                elapsed,
                ..
            } => self.attempt_started(id, *attempt, *elapsed),
            Event::TaskReported {
                id, report, value, ..
            } => match report {
                TaskReport::Cores => self.tasks.record_usage(id, ResourceKind::Cores, *value),
                TaskReport::Memory => self.tasks.record_usage(id, ResourceKind::Memory, *value),
                TaskReport::Running
                | TaskReport::ServiceLevel
                | TaskReport::HostMemory
                | TaskReport::Other => {}
            },
            Event::AttemptEnded {
                id,
                attempt,
                host,
                outcome,
                detail,
                done,
                load_report,
                ..
            } => {
                self.record_load_report(host, load_report);
                let result = AttemptResult {
                    attempt: *attempt,
                    outcome: *outcome,
                    detail: *detail,
                    is_done: *done,
                };
                self.attempt_ended(id, result, actions);
            }
            Event::TaskCancelled(id) => self.tasks.close(id),
            Event::LimitsChanged(limits) => self.limits_changed(limits, actions),
            Event::ShutdownRequested(within) => self.shutdown_requested(*within, actions),
            Event::TimerFired(token) => self.timer_fired(*token, actions),
            Event::HealthCheckEnded {
                host,
                outcome,
                load_report,
                ..
            } => {
                self.record_load_report(host, load_report);
                self.health_check_ended(host, *outcome);
            }
        }
    }

    /// Returns whether a timer that this module has set still has an effect when it fires.
    pub fn is_timer_pending(&self, token: TimerToken) -> bool {
        self.timers.is_pending(token)
    }

    fn timer_fired(&mut self, token: TimerToken, actions: &mut Vec<Action>) {
        let Some(timer) = self.timers.take(token) else {
            return;
        };
        match timer.purpose {
            TimerPurpose::Tick => self.tick(timer.due, actions),
            TimerPurpose::Deadline(id) => self.send_final_response(&id, actions),
        }
    }

    fn tick(&mut self, due: Micros, actions: &mut Vec<Action>) {
        let delay = self.now - due;
        if delay > self.shortest_objective {
            self.arrivals.record_stall(self.now, delay);
        }
        self.set_tick_timer(actions);
        self.adopt_usage_ratio();
        self.select_working_set();
        self.keep_subscribed(actions);
        self.retry_waiting(actions);
        self.send_health_checks(actions);
    }

    fn set_tick_timer(&mut self, actions: &mut Vec<Action>) {
        let interval = self.tick_interval();
        self.timers
            .set(self.now, interval, TimerPurpose::Tick, actions);
    }

    /// Returns the time between two ticks, in microseconds.
    pub(super) fn tick_interval(&self) -> Micros {
        (self.shortest_objective / TICKS_PER_OBJECTIVE)
            .max(self.settings.tick)
            .max(1)
    }

    /// Returns the next random number from 0 (included) to 1 (excluded) of the seeded generator.
    pub(super) fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
