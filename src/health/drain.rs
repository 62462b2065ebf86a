//! Leaving without losing anything: the phases of a drain.
//!
//! ```text
//!          begin             every poller has seen it,        no ask owed for a while
//!  ┌──────┐      ┌─────────┐ or its time is up   ┌─────────┐                ┌──────────┐
//!  │ idle ├─────▶│ telling ├────────────────────▶│ closing ├───────────────▶│ standing │
//!  └──▲───┘      └────┬────┘                     └──┬──┬───┘                └──┬──┬────┘
//!     │ ready         │            asks owed beyond │  │ ready                 │  │ none stand,
//!     ◀───────────────┴──────── their time, or a    │  ◀───────────────────────┤  │ all told, or
//!     │                         second signal       ▼                          │  │ its time is up
//!     │                                       ┌───────────┐  second signal     │  ▼
//!     │                                       │ answering │◀───────────────────┘ ┌─────────┐
//!     │                                       └─────┬─────┘                      │ drained │
//!     │                                             │ all answered               └──┬───┬──┘
//!     │                                             ▼            told to exit       │   │ ready
//!     │                                          ┌──────┐◀─────────────────────────┘   │
//!     ◀──────────────────────────────────────────│ over │                              │
//!     │                                          └──────┘                              │
//!     └────────────────────────────────────────────────────────────────────────────────┘
//! ```
//!
//! *telling*: `drain` is reported, and new work is taken as ever, since balancers that have not polled
//! still send it. *closing*: connections without a task are closed politely; a new one is still served.
//! *standing*: what was asked is answered; the ends of standing tasks are waited for and told.
//! *answering*: the module is told to answer all that it owes within a time. Nothing leaves `answering`
//! but the end: what the module has given up can't be taken back.

use crate::Micros;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// Pollers that are remembered; the one heard longest ago makes room.
const MOST_POLLERS: usize = 64;
/// A poller that has missed so many of its polls is gone.
const MISSED: Micros = 4;
/// What a poller's interval counts as at the least, and before it is known.
const LEAST_INTERVAL: Micros = SECOND;
const UNKNOWN_INTERVAL: Micros = 5 * SECOND;

/// The bounds of a drain.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The longest that balancers are waited for.
    pub notice: Micros,
    /// How long a balancer may take to act on what it has read.
    pub settle: Micros,
    /// Polls of a balancer's agent check after which it has seen the drain.
    pub agent_polls: u32,
    /// Polls of an HTTP check after which it has: its fall count.
    pub http_polls: u32,
    /// No ask owed for so long: none is coming.
    pub quiet: Micros,
    /// The longest that asks in hand are left to their own time.
    pub answer: Micros,
    /// The longest that standing tasks are waited for.
    pub standing: Micros,
    /// What the module gets to answer the rest, and by when the process ends then.
    pub last_answer: Micros,
    /// See `last_answer`.
    pub last_end: Micros,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            notice: 10 * SECOND,
            settle: SECOND / 2,
            agent_polls: 1,
            http_polls: 3,
            quiet: SECOND,
            answer: 15 * SECOND,
            standing: 120 * SECOND,
            last_answer: 3_300_000,
            last_end: 3_500_000,
        }
    }
}

/// Which kind of check polls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Check {
    /// An agent check: acts on the first answer.
    Agent,
    /// An HTTP check: acts once as many answers have failed as its fall count says.
    Http,
}

/// Who polls: its kind of check, and its address with the line that it sends first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Poller(pub Check, pub String);

#[derive(Debug, Clone)]
struct Polls {
    last: Micros,
    interval: Micros,
    /// Answers that told of the drain, and when the latest that it needed was given.
    told: u32,
    seen: Option<Micros>,
}

impl Polls {
    fn alive(&self, now: Micros) -> bool {
        now - self.last <= MISSED * self.interval.max(LEAST_INTERVAL)
    }
}

/// What is still in hand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hand {
    /// Asks whose answer is owed.
    pub owed: usize,
    /// Tasks that stand, or leave.
    pub standing: usize,
    /// Words on ended tasks that no connection has taken yet.
    pub untold: usize,
    /// Connections whose queue is not empty.
    pub unflushed: usize,
}

/// Where a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// There is none.
    Idle,
    /// Balancers are told.
    Telling,
    /// Connections without a task are closed.
    Closing,
    /// Standing tasks are waited for.
    Standing,
    /// Nothing is in hand.
    Drained,
    /// The module answers all that it owes.
    Answering,
    /// The process may end.
    Over,
}

impl Phase {
    /// Its name on every surface.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Telling => "telling",
            Phase::Closing => "closing",
            Phase::Standing => "standing",
            Phase::Drained => "drained",
            Phase::Answering => "answering",
            Phase::Over => "over",
        }
    }
}

/// What the shell must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Report `drain` from now on, or no more.
    Tell(bool),
    /// Close connections that carry no task, as long as this holds.
    CloseIdle(bool),
    /// Have the module answer all that it owes within this time.
    Answer(Micros),
    /// A phase has begun; why.
    Entered(Phase, &'static str),
    /// End the process: so much is left in hand.
    Exit(Hand),
}

/// The drain of one process.
#[derive(Debug, Clone)]
pub struct Drain {
    bounds: Bounds,
    phase: Phase,
    since: Micros,
    /// When the drain began.
    began: Micros,
    exit: bool,
    quiet_since: Option<Micros>,
    pollers: BTreeMap<Poller, Polls>,
}

impl Drain {
    /// None yet.
    pub fn new(bounds: Bounds) -> Drain {
        let (phase, pollers) = (Phase::Idle, BTreeMap::new());
        Drain {
            bounds,
            phase,
            since: 0,
            began: 0,
            exit: false,
            quiet_since: None,
            pollers,
        }
    }

    /// Where it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the process is to end with it.
    pub fn exits(&self) -> bool {
        self.exit
    }

    /// Balancers that poll, and how many of them have seen the drain.
    pub fn pollers(&self, now: Micros) -> (usize, usize) {
        let live = self.pollers.values().filter(|polls| polls.alive(now));
        live.fold((0, 0), |(all, seen), polls| {
            (all + 1, seen + usize::from(polls.seen.is_some()))
        })
    }

    /// A balancer has been answered.
    pub fn polled(&mut self, now: Micros, poller: Poller) {
        let needed = match poller.0 {
            Check::Agent => self.bounds.agent_polls,
            Check::Http => self.bounds.http_polls,
        };
        let telling = self.phase != Phase::Idle;
        if self.pollers.len() >= MOST_POLLERS && !self.pollers.contains_key(&poller) {
            let oldest = self
                .pollers
                .iter()
                .min_by_key(|(_, polls)| polls.last)
                .map(|(p, _)| p.clone());
            oldest.map(|oldest| self.pollers.remove(&oldest));
        }
        let fresh = Polls {
            last: now,
            interval: UNKNOWN_INTERVAL,
            told: 0,
            seen: None,
        };
        let polls = self.pollers.entry(poller).or_insert(fresh);
        if now > polls.last {
            // The longer of the latest two counts: checks come in pairs and with jitter.
            polls.interval = (now - polls.last).max(if polls.interval == UNKNOWN_INTERVAL {
                0
            } else {
                polls.interval / 2
            });
            polls.last = now;
        }
        if telling {
            polls.told = polls.told.saturating_add(1);
            if polls.told >= needed && polls.seen.is_none() {
                polls.seen = Some(now);
            }
        }
    }

    /// Told to drain, and whether to end the process then. A second order to end does not wait any more.
    pub fn begin(&mut self, now: Micros, exit: bool) -> Vec<Effect> {
        match self.phase {
            Phase::Idle => {
                self.exit = exit;
                self.began = now;
                self.pollers
                    .values_mut()
                    .for_each(|polls| (polls.told, polls.seen) = (0, None));
                let mut effects = vec![Effect::Tell(true)];
                effects.extend(self.enter(
                    now,
                    Phase::Telling,
                    if exit { "signal" } else { "order" },
                ));
                effects
            }
            Phase::Answering | Phase::Over => Vec::new(),
            _ if exit && self.exit => self.answer_now(now, "second-signal"),
            _ => {
                self.exit |= exit;
                Vec::new()
            }
        }
    }

    /// Told to come back. False where it is too late: the module has been told to end.
    pub fn cancel(&mut self, now: Micros) -> (bool, Vec<Effect>) {
        match self.phase {
            Phase::Idle => (true, Vec::new()),
            Phase::Answering | Phase::Over => (false, Vec::new()),
            _ => {
                self.exit = false;
                let mut effects = vec![Effect::Tell(false), Effect::CloseIdle(false)];
                effects.extend(self.enter(now, Phase::Idle, "ready"));
                (true, effects)
            }
        }
    }

    /// Time has passed, with so much in hand.
    pub fn look(&mut self, now: Micros, hand: Hand) -> Vec<Effect> {
        self.quiet_since = match self.quiet_since {
            _ if hand.owed > 0 => None,
            None => Some(now),
            since => since,
        };
        let quiet = self
            .quiet_since
            .is_some_and(|since| now - since >= self.bounds.quiet);
        let clear = hand.owed == 0 && hand.unflushed == 0;
        let passed = now - self.since;
        match self.phase {
            Phase::Idle | Phase::Over => Vec::new(),
            Phase::Telling => match self.all_seen(now) {
                Some(why) => {
                    let mut effects = vec![Effect::CloseIdle(true)];
                    effects.extend(self.enter(now, Phase::Closing, why));
                    effects
                }
                None => Vec::new(),
            },
            Phase::Closing if quiet && passed >= self.bounds.quiet => {
                self.enter(now, Phase::Standing, "nothing-owed")
            }
            // Their own time is over by far: something holds them.
            Phase::Closing if passed >= self.bounds.answer => self.answer_now(now, "answer-bound"),
            Phase::Closing => Vec::new(),
            Phase::Standing | Phase::Drained
                if passed >= self.bounds.answer && hand.owed > 0 && self.exit =>
            {
                self.answer_now(now, "answer-bound")
            }
            Phase::Standing if clear && hand.standing == 0 && hand.untold == 0 => {
                let mut effects = self.enter(now, Phase::Drained, "nothing-stands");
                effects.extend(self.exit_if_told(now, hand));
                effects
            }
            Phase::Standing if passed >= self.bounds.standing && hand.owed == 0 => {
                let mut effects = self.enter(now, Phase::Drained, "standing-bound");
                effects.extend(self.exit_if_told(now, hand));
                effects
            }
            Phase::Standing => Vec::new(),
            Phase::Drained if clear => self.exit_if_told(now, hand),
            Phase::Drained => Vec::new(),
            Phase::Answering if passed >= self.bounds.last_end || (clear && quiet) => {
                let mut effects = self.enter(
                    now,
                    Phase::Over,
                    if clear { "all-answered" } else { "end-bound" },
                );
                effects.push(Effect::Exit(hand));
                effects
            }
            Phase::Answering => Vec::new(),
        }
    }

    /// Whether every balancer that still polls has seen the drain and has had time to act, and why the
    /// wait is over. Where none polls, what is on its way is waited for.
    fn all_seen(&self, now: Micros) -> Option<&'static str> {
        if now - self.began >= self.bounds.notice {
            return Some("notice-bound");
        }
        let mut live = self
            .pollers
            .values()
            .filter(|polls| polls.alive(now))
            .peekable();
        if live.peek().is_none() {
            return (now - self.began >= self.bounds.quiet).then_some("nobody-polls");
        }
        let seen = live.all(|polls| polls.seen.is_some_and(|at| now - at >= self.bounds.settle));
        seen.then_some("all-seen")
    }

    fn exit_if_told(&mut self, now: Micros, hand: Hand) -> Vec<Effect> {
        if !self.exit {
            return Vec::new();
        }
        let mut effects = self.enter(now, Phase::Over, "drained");
        effects.push(Effect::Exit(hand));
        effects
    }

    fn answer_now(&mut self, now: Micros, why: &'static str) -> Vec<Effect> {
        // Without an order to end, a stuck ask does not end the process.
        if !self.exit {
            return self.enter(now, Phase::Standing, why);
        }
        self.quiet_since = None;
        let mut effects = self.enter(now, Phase::Answering, why);
        effects.push(Effect::Answer(self.bounds.last_answer));
        effects
    }

    fn enter(&mut self, now: Micros, phase: Phase, why: &'static str) -> Vec<Effect> {
        (self.phase, self.since) = (phase, now);
        vec![Effect::Entered(phase, why)]
    }
}

#[cfg(test)]
mod tests;
