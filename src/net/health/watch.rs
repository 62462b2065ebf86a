//! The engine and the drain of this process: what dispatch tells them, and what they make dispatch do.

use crate::operator;
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use task_placer::Micros;
use task_placer::health::drain::{Drain, Effect, Hand, Phase, Poller};
use task_placer::health::{Change, Event, Health, Order, Report, State};
use tracing::{debug, info, warn};

/// What dispatch has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Close connections that carry no task, from now on or no more.
    CloseIdle(bool),
    /// Have the module answer all that it owes within this time.
    Answer(Micros),
    /// End the process; so much is left.
    Exit(Hand),
}

/// An order that can't be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused(pub &'static str);

/// What this process says of itself.
pub struct Watch {
    health: Health,
    drain: Drain,
    /// Whether SIGTERM drains.
    drains: bool,
    /// The inventory has been heard.
    started: bool,
    pub settings: operator::Health,
}

impl Watch {
    /// For a process that starts now.
    pub fn new(operator: &operator::Operator, now: Micros) -> Watch {
        Watch {
            health: Health::new(operator.health.engine.clone(), now),
            drain: Drain::new(operator.drain.clone().unwrap_or_default()),
            drains: operator.drain.is_some(),
            started: false,
            settings: operator.health.clone(),
        }
    }

    /// Whether clients' tests pass.
    pub fn serves(&self) -> bool {
        self.health.state().serves()
    }

    /// Whether a drain is under way.
    pub fn draining(&self) -> bool {
        self.drain.phase() != Phase::Idle
    }

    /// Whether the inventory has ever been heard.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Takes an event.
    pub fn tell(&mut self, now: Micros, event: Event) {
        self.started |= event == Event::Feed;
        let changes = self.health.handle(now, event);
        log(&changes);
    }

    /// A balancer asks: what holds. The answer counts as given.
    pub fn polled(&mut self, now: Micros, poller: Poller) -> Report {
        let mut hasher = DefaultHasher::new();
        poller.hash(&mut hasher);
        self.tell(now, Event::Polled(hasher.finish()));
        let report = self.report(now);
        debug!(check = ?poller.0, peer = poller.1, state = %report.state, weight = report.weight, "polled");
        self.drain.polled(now, poller);
        report
    }

    /// What holds, for whoever is no balancer.
    pub fn report(&mut self, now: Micros) -> Report {
        let (report, changes) = self.health.report(now);
        log(&changes);
        report
    }

    /// SIGTERM: false where it ends the process as without an operator's file.
    pub fn terminate(&mut self, now: Micros) -> Option<Vec<Task>> {
        if !self.drains {
            self.tell(now, Event::Order(Order::Stop));
            return None;
        }
        let effects = self.drain.begin(now, true);
        Some(self.carry_out(now, effects))
    }

    /// An order of an operator.
    pub fn order(&mut self, now: Micros, order: Order) -> Result<Vec<Task>, Refused> {
        let idle = self.drain.phase() == Phase::Idle;
        match order {
            Order::Drain => {
                let effects = self.drain.begin(now, false);
                Ok(self.carry_out(now, effects))
            }
            Order::Ready => {
                let (taken, effects) = self.drain.cancel(now);
                if !taken || self.health.state() == State::Stopped {
                    return Err(Refused("too late: the process ends"));
                }
                let mut tasks = self.carry_out(now, effects);
                self.tell(now, Event::Order(Order::Ready));
                tasks.push(Task::CloseIdle(false));
                Ok(tasks)
            }
            Order::Maint if idle => {
                self.tell(now, Event::Order(Order::Maint));
                Ok(vec![Task::CloseIdle(true)])
            }
            Order::Maint => Err(Refused(
                "a drain is under way; take it back with ready first",
            )),
            Order::Stop => Err(Refused("send SIGTERM to end the process")),
        }
    }

    /// Time has passed, with so much in hand.
    pub fn look(&mut self, now: Micros, hand: Hand) -> Vec<Task> {
        let effects = self.drain.look(now, hand);
        self.carry_out(now, effects)
    }

    fn carry_out(&mut self, now: Micros, effects: Vec<Effect>) -> Vec<Task> {
        let mut tasks = Vec::new();
        for effect in effects {
            match effect {
                Effect::Tell(true) => self.tell(now, Event::Order(Order::Drain)),
                Effect::Tell(false) => self.tell(now, Event::Order(Order::Ready)),
                Effect::CloseIdle(close) => tasks.push(Task::CloseIdle(close)),
                Effect::Answer(within) => tasks.push(Task::Answer(within)),
                Effect::Entered(phase, why) => {
                    let (pollers, seen) = self.drain.pollers(now);
                    info!(phase = phase.as_str(), reason = why, pollers, seen, "drain");
                }
                Effect::Exit(hand) => {
                    self.tell(now, Event::Order(Order::Stop));
                    tasks.push(Task::Exit(hand));
                }
            }
        }
        tasks
    }

    /// All of it, for operators.
    pub fn state(&mut self, now: Micros, hand: Hand) -> OwnedValue {
        let report = self.report(now);
        let finite = |value: f64| if value.is_finite() { value } else { f64::MAX };
        let signals: Vec<OwnedValue> = report
            .signals
            .iter()
            .map(|s| {
                json!({
                    "code": s.code.as_str(), "value": finite(s.value), "badness": s.badness,
                    "own": s.own, "leaves": s.cap
                })
            })
            .collect();
        let history: Vec<OwnedValue> = report
            .history
            .iter()
            .map(|t| {
                json!({
                    "at_ms": (t.at / 1_000), "from": t.from.as_str(), "to": t.to.as_str(), "reason": t.why,
                    "weight": t.weight
                })
            })
            .collect();
        let (pollers, seen) = self.drain.pollers(now);
        json!({
            "state": report.state.as_str(),
            "weight": report.weight,
            "since_ms": (report.since / 1_000),
            "now_ms": (now / 1_000),
            "reason": report.cause.map_or("", task_placer::health::Code::as_str),
            "fleet": report.fleet,
            "signals": signals,
            "drain": {
                "phase": self.drain.phase().as_str(), "exits": self.drain.exits(), "pollers": pollers,
                "seen": seen, "owed": hand.owed, "standing": hand.standing, "untold": hand.untold
            },
            "history": history
        })
    }
}

fn log(changes: &[Change]) {
    for change in changes {
        match change {
            Change::State(t) => {
                info!(from = %t.from, to = %t.to, reason = t.why, weight = t.weight, "health state");
            }
            Change::Weight(before, after, cause, fleet) => {
                let fleet = (100.0 * fleet).round() / 100.0;
                let reason = cause.map_or("signals-clear", task_placer::health::Code::as_str);
                if after < before {
                    warn!(before, after, reason, fleet, "health weight");
                } else {
                    info!(before, after, reason, fleet, "health weight");
                }
            }
        }
    }
}
