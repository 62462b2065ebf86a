//! What this placer tells balancers: a state, a weight, and the reasons for both.
//!
//! [`Health`] is a state machine without I/O. Events and the time go in; changes come out, and
//! [`Health::report`] tells what holds. It keeps no clock and the same events give the same reports.
//!
//! ```text
//!               slow start over
//!   ┌──────────┐  weight ≥ 95   ┌────┐ weight < 85  ┌──────────┐
//!   │ starting ├───────────────▶│ up │─────────────▶│ degraded │
//!   └─┬──────▲─┘                └─┬──┘◀─────────────└────┬─────┘
//!     │      │ ready              │      weight ≥ 95     │
//!     │      │                    │ told to drain        │
//!     │   ┌──┴───┐◀───────────────┴──────────────────────┘
//!     └──▶│ drain│── told maint ──▶┌───────┐
//!         │      │◀─ told to drain ─┤ maint │── ready ──▶ starting
//!         └──┬───┘                  └───┬───┘
//!            └───── the process ends ───┴──▶ stopped
//! ```
//!
//! `starting` goes to `degraded` instead of `up` where its slow start ends below 95.

pub mod drain;
mod fleet_evidence;
mod signal;
pub(crate) mod sliding_window;
mod weight;

pub use fleet_evidence::{Zone, unreached};
pub use signal::{Code, Ramp, Reading};
pub use weight::{Pace, Weight};

use crate::{Micros, Outcome, OutcomeDetail};
use fleet_evidence::Fleet;
use sliding_window::Window;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

const SECOND: Micros = 1_000_000;
/// Transitions that are remembered.
const HISTORY: usize = 32;
/// The weight is steered no more often than this.
const LOOK: Micros = 200_000;
/// Answers, and connections, fewer than these tell nothing.
const LEAST_ANSWERS: f64 = 8.0;
const LEAST_CONNECTIONS: f64 = 4.0;
/// Below the first a placer is degraded, from the second on it is up.
const DEGRADED_BELOW: u8 = 85;
const UP_FROM: u8 = 95;
/// Evidence of the fleet's trouble comes a little after the trouble: from here on it also takes back what
/// was learned from signals that it explains.
const EXONERATES: f64 = 0.5;
/// Balancers whose polls are followed, how long an interval counts, and how long a balancer may take to
/// act on what it has read.
const MOST_POLLERS: usize = 16;
const MOST_INTERVAL: Micros = 10 * SECOND;
const ACTS: Micros = SECOND / 2;
/// How far a placer comes up at once, of 100, and how its slow start ends.
const FIRST_WEIGHT: f64 = 10.0;

/// What the engine goes by. Every figure has its reason in `docs/design/health.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How late the loop may come round without that being counted.
    pub turn: Micros,
    /// How long a placer that has just come takes to full weight.
    pub slow_start: Micros,
    /// How long past answers, offers and connections count.
    pub window: Micros,
    /// How long lateness of the loop counts.
    pub loop_window: Micros,
    /// One ramp for each signal, in the order of [`Code::ALL`] without the last.
    pub ramps: [Ramp; 9],
    /// How the weight moves.
    pub pace: Pace,
}

impl Default for Settings {
    fn default() -> Settings {
        let ramp = |ok, bad, step, reach| Ramp {
            ok,
            bad,
            step,
            reach,
        };
        Settings {
            turn: 20_000,
            slow_start: 10 * SECOND,
            window: 5 * SECOND,
            loop_window: 2 * SECOND,
            ramps: [
                ramp(0.05, 0.5, 0.0, 0.95),
                ramp(1.0, 4.0, 0.0, 0.8),
                ramp(0.1, 0.6, 0.0, 0.8),
                ramp(0.1, 0.5, 0.0, 0.8),
                ramp(0.1, 0.6, 0.0, 0.9),
                ramp(2.0, 30.0, 0.25, 0.6),
                ramp(0.8, 1.0, 0.0, 0.7),
                ramp(0.5, 1.0, 0.0, 0.7),
                ramp(0.0, 0.5, 0.1, 0.7),
            ],
            pace: Pace::default(),
        }
    }
}

/// What a placer says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It has just come, or come back.
    Starting,
    /// All is well.
    Up,
    /// It serves, and less than its whole portion is good for it.
    Degraded,
    /// It finishes what it has and wants nothing new.
    Drain,
    /// Its operators have taken it out.
    Maint,
    /// It ends.
    Stopped,
}

impl State {
    /// Its name on every surface.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Up => "up",
            State::Degraded => "degraded",
            State::Drain => "drain",
            State::Maint => "maint",
            State::Stopped => "stopped",
        }
    }

    /// Whether it wants new connections.
    pub fn serves(self) -> bool {
        matches!(self, State::Starting | State::Up | State::Degraded)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What an operator, or the system, asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Finish and take nothing new.
    Drain,
    /// Out of service.
    Maint,
    /// Back into service, with a slow start.
    Ready,
    /// The process ends.
    Stop,
}

/// Gauges that are read a few times a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gauges {
    /// Age of the oldest ask in hand over the aim of its class.
    pub oldest: f64,
    /// The listed hosts by zone.
    pub zones: Vec<Zone>,
    /// Share of the listed hosts with room for an ordinary task; none where the list does not tell.
    pub roomy: Option<f64>,
    /// Share of the listed hosts whose last word, not long ago, was that they are full.
    pub full: f64,
    /// Descriptors in use over their budget.
    pub descriptors: f64,
    /// Queued bytes over their budget.
    pub queues: f64,
}

/// What the engine is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The loop has come round.
    Turn,
    /// The gauges.
    Look(Gauges),
    /// An ask got its final answer: whether it was placed within its class's aim.
    Answered {
        /// Placed, and in time.
        in_aim: bool,
    },
    /// An offer ended; `Outcome::Completed` stands for a start.
    Offer {
        /// How.
        outcome: Outcome,
        /// Why.
        detail: OutcomeDetail,
        /// Its time at the host over the aim of its class.
        stretch: f64,
    },
    /// A connection of a client came, and was kept or turned away.
    Connection {
        /// Turned away.
        turned_away: bool,
    },
    /// The inventory feed spoke.
    Feed,
    /// A balancer was answered: whoever it is, by a number of its own.
    Polled(u64),
    /// An order.
    Order(Order),
}

/// A transition, and why it was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// When.
    pub at: Micros,
    /// From where.
    pub from: State,
    /// To where.
    pub to: State,
    /// The signal or order that made it.
    pub why: &'static str,
    /// The weight told from then on.
    pub weight: u8,
}

/// What has changed with an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The state.
    State(Transition),
    /// The weight: before, after, the signal that holds it down, if one does, and how far the fleet
    /// explains what goes badly.
    Weight(u8, u8, Option<Code>, f64),
}

/// All that can be told.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The state.
    pub state: State,
    /// The weight, 1 to 100; of states that serve.
    pub weight: u8,
    /// Since when the state holds.
    pub since: Micros,
    /// The signal that holds the weight down most, if one does.
    pub cause: Option<Code>,
    /// How far the fleet explains what goes badly.
    pub fleet: f64,
    /// Each signal.
    pub signals: Vec<Reading>,
    /// The latest transitions, oldest first.
    pub history: Vec<Transition>,
}

/// The engine.
#[derive(Debug, Clone)]
pub struct Health {
    settings: Settings,
    state: State,
    since: Micros,
    /// When the slow start began.
    came: Micros,
    weight: Weight,
    turned: Micros,
    steered: Option<Micros>,
    late: Window,
    answers: Window,
    connections: Window,
    fleet: Fleet,
    feed_at: Micros,
    /// When each balancer last polled, and after how long.
    polls: BTreeMap<u64, (Micros, Micros)>,
    gauges: Gauges,
    readings: Vec<Reading>,
    explained: f64,
    history: VecDeque<Transition>,
}

impl Health {
    /// An engine that starts at `now`. The list that a placer is started with counts as news.
    pub fn new(settings: Settings, now: Micros) -> Health {
        let window = || Window::new(settings.window);
        Health {
            weight: Weight::new(settings.pace, FIRST_WEIGHT, now),
            late: Window::new(settings.loop_window),
            answers: window(),
            connections: window(),
            settings,
            state: State::Starting,
            since: now,
            came: now,
            turned: now,
            steered: None,
            fleet: Fleet::default(),
            feed_at: now,
            polls: BTreeMap::new(),
            gauges: Gauges::default(),
            readings: Vec::new(),
            explained: 0.0,
            history: VecDeque::new(),
        }
    }

    /// Takes an event, and answers what it has changed.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Change> {
        self.turn(now);
        match event {
            Event::Turn => {}
            Event::Look(gauges) => {
                let (_, theirs) = unreached(&gauges.zones);
                self.fleet.looked(gauges.roomy, gauges.full, theirs);
                self.gauges = gauges;
            }
            Event::Answered { in_aim } => self.answers.add(now, f64::from(u8::from(!in_aim)), 1.0),
            Event::Offer {
                outcome,
                detail,
                stretch,
            } => self.fleet.offer(now, outcome, detail, stretch),
            Event::Connection { turned_away } => {
                self.connections
                    .add(now, f64::from(u8::from(turned_away)), 1.0);
            }
            Event::Feed => self.feed_at = self.feed_at.max(now),
            Event::Polled(poller) => self.polled(now, poller),
            Event::Order(order) => return self.obey(now, order),
        }
        self.steer(now)
    }

    fn polled(&mut self, now: Micros, poller: u64) {
        self.polls
            .retain(|_, (last, _)| now - *last < 2 * MOST_INTERVAL);
        if self.polls.len() < MOST_POLLERS || self.polls.contains_key(&poller) {
            let polls = self.polls.entry(poller).or_insert((now, 0));
            *polls = (now, (now - polls.0).min(MOST_INTERVAL));
        }
    }

    /// How long the slowest balancer takes to act on what is told: it must poll first.
    fn reaction(&self) -> Micros {
        self.polls
            .values()
            .map(|(_, interval)| interval + ACTS)
            .max()
            .unwrap_or(0)
    }

    /// What holds now. A loop that has stood still until this very moment counts as late at once.
    pub fn report(&mut self, now: Micros) -> (Report, Vec<Change>) {
        let changes = self.handle(now, Event::Turn);
        let worst = self.worst().map(|reading| reading.code);
        let report = Report {
            state: self.state,
            weight: self.weight.told(),
            since: self.since,
            cause: worst,
            fleet: self.explained,
            signals: self.readings.clone(),
            history: self.history.iter().copied().collect(),
        };
        (report, changes)
    }

    /// The state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The weight that is told.
    pub fn weight(&self) -> u8 {
        self.weight.told()
    }

    /// Time beyond what a turn of the loop may take was lost to whoever had the core.
    fn turn(&mut self, now: Micros) {
        let gap = now - self.turned;
        if gap > self.settings.turn {
            self.late.add(now, gap as f64, 0.0);
        }
        self.turned = self.turned.max(now);
    }

    fn obey(&mut self, now: Micros, order: Order) -> Vec<Change> {
        let (to, why) = match (order, self.state) {
            (_, State::Stopped) => return Vec::new(),
            (Order::Stop, _) => (State::Stopped, "told-stop"),
            (Order::Drain, State::Drain) | (Order::Maint, State::Maint) => return Vec::new(),
            (Order::Drain, _) => (State::Drain, "told-drain"),
            (Order::Maint, _) => (State::Maint, "told-maint"),
            // Balancers that took it out give it their whole portion back at once: it starts slowly.
            (Order::Ready, State::Drain | State::Maint) => {
                self.came = now;
                self.weight = Weight::new(self.settings.pace, FIRST_WEIGHT, now);
                (State::Starting, "told-ready")
            }
            (Order::Ready, _) => return Vec::new(),
        };
        vec![self.go(now, to, why)]
    }

    fn go(&mut self, now: Micros, to: State, why: &'static str) -> Change {
        let from = std::mem::replace(&mut self.state, to);
        self.since = now;
        let transition = Transition {
            at: now,
            from,
            to,
            why,
            weight: self.weight.told(),
        };
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(transition);
        Change::State(transition)
    }

    /// The tightest signal that leaves less than the whole weight.
    fn worst(&self) -> Option<&Reading> {
        let tight = self.readings.iter().filter(|reading| reading.cap < 100.0);
        tight.min_by(|a, b| a.cap.total_cmp(&b.cap))
    }

    fn read(&mut self, now: Micros) {
        let (late, _) = self.late.sums(now);
        let (unreached, _) = unreached(&self.gauges.zones);
        let measured = [
            (Code::LoopLate, (late / self.late.length() as f64).min(1.0)),
            (Code::AskAge, self.gauges.oldest),
            (
                Code::OutOfAim,
                self.answers.share(now, LEAST_ANSWERS).unwrap_or(0.0),
            ),
            (Code::OfferTimeout, self.fleet.timeouts(now).unwrap_or(0.0)),
            (Code::Unreached, unreached),
            (
                Code::FeedAge,
                (now - self.feed_at).max(0) as f64 / SECOND as f64,
            ),
            (Code::Descriptors, self.gauges.descriptors),
            (Code::Queues, self.gauges.queues),
            (
                Code::TurnedAway,
                self.connections
                    .share(now, LEAST_CONNECTIONS)
                    .unwrap_or(0.0),
            ),
        ];
        let badness = |code: Code| {
            let found = measured
                .iter()
                .zip(&self.settings.ramps)
                .find(|((c, _), _)| *c == code);
            found.map_or(0.0, |((_, value), ramp)| ramp.badness(*value))
        };
        self.explained = self
            .fleet
            .explains(now, badness(Code::LoopLate), badness(Code::FeedAge));
        let unexplained = 1.0 - self.explained;
        self.readings.clear();
        for ((code, value), ramp) in measured.into_iter().zip(&self.settings.ramps) {
            let badness = ramp.badness(value);
            let own = if code.shared() {
                badness * unexplained
            } else {
                badness
            };
            self.readings.push(Reading {
                code,
                value,
                badness,
                own,
                cap: ramp.cap(own),
            });
        }
        let age = (now - self.came) as f64 / self.settings.slow_start.max(1) as f64;
        let young = (1.0 - age).clamp(0.0, 1.0);
        let cap = FIRST_WEIGHT + (100.0 - FIRST_WEIGHT) * (1.0 - young);
        self.readings.push(Reading {
            code: Code::SlowStart,
            value: young,
            badness: young,
            own: young,
            cap,
        });
    }

    fn steer(&mut self, now: Micros) -> Vec<Change> {
        if self.steered.is_some_and(|at| now - at < LOOK) {
            return Vec::new();
        }
        self.steered = Some(now);
        self.read(now);
        let (target, cause) = self
            .worst()
            .map_or((100.0, None), |worst| (worst.cap, Some(worst.code)));
        let before = self.weight.told();
        if self.explained >= EXONERATES {
            self.weight.exonerate();
        }
        let mut changes = Vec::new();
        if self.weight.steer(now, target, cause, self.reaction()) {
            changes.push(Change::Weight(
                before,
                self.weight.told(),
                cause,
                self.explained,
            ));
        }
        let (weight, started) = (
            self.weight.told(),
            now - self.came >= self.settings.slow_start,
        );
        let why = cause.map_or("signals-clear", Code::as_str);
        match self.state {
            State::Starting if started && weight >= UP_FROM => {
                changes.push(self.go(now, State::Up, "slow-start-over"));
            }
            // What holds it below is no slow start any more.
            State::Starting if now - self.came >= 2 * self.settings.slow_start => {
                changes.push(self.go(now, State::Degraded, why));
            }
            State::Up if weight < DEGRADED_BELOW => {
                changes.push(self.go(now, State::Degraded, why))
            }
            State::Degraded if weight >= UP_FROM => {
                changes.push(self.go(now, State::Up, "signals-clear"));
            }
            _ => {}
        }
        changes
    }
}

#[cfg(test)]
mod tests;
