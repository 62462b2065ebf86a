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
        Drain { bounds, phase, since: 0, began: 0, exit: false, quiet_since: None, pollers }
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
        live.fold((0, 0), |(all, seen), polls| (all + 1, seen + usize::from(polls.seen.is_some())))
    }

    /// A balancer has been answered.
    pub fn polled(&mut self, now: Micros, poller: Poller) {
        let needed = match poller.0 {
            Check::Agent => self.bounds.agent_polls,
            Check::Http => self.bounds.http_polls,
        };
        let telling = self.phase != Phase::Idle;
        if self.pollers.len() >= MOST_POLLERS && !self.pollers.contains_key(&poller) {
            let oldest = self.pollers.iter().min_by_key(|(_, polls)| polls.last).map(|(p, _)| p.clone());
            oldest.map(|oldest| self.pollers.remove(&oldest));
        }
        let fresh = Polls { last: now, interval: UNKNOWN_INTERVAL, told: 0, seen: None };
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
                self.pollers.values_mut().for_each(|polls| (polls.told, polls.seen) = (0, None));
                let mut effects = vec![Effect::Tell(true)];
                effects.extend(self.enter(now, Phase::Telling, if exit { "signal" } else { "order" }));
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
        let quiet = self.quiet_since.is_some_and(|since| now - since >= self.bounds.quiet);
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
                let mut effects =
                    self.enter(now, Phase::Over, if clear { "all-answered" } else { "end-bound" });
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
        let mut live = self.pollers.values().filter(|polls| polls.alive(now)).peekable();
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
mod tests {
    use super::*;

    const MS: Micros = 1_000;
    const START: Micros = 100 * SECOND;

    fn agent(name: &str) -> Poller {
        Poller(Check::Agent, name.to_string())
    }

    /// Runs by 50 ms; `each` polls and tells what is in hand. Answers the phases with their times.
    fn run(
        drain: &mut Drain,
        span: Micros,
        mut each: impl FnMut(&mut Drain, Micros) -> Hand,
    ) -> Vec<(Micros, Phase, &'static str)> {
        let mut entered = Vec::new();
        for n in 1..=span / (50 * MS) {
            let now = START + n * 50 * MS;
            let hand = each(drain, now);
            for effect in drain.look(now, hand) {
                if let Effect::Entered(phase, why) = effect {
                    entered.push(((now - START) / MS, phase, why));
                }
            }
        }
        entered
    }

    fn begun(exit: bool, pollers: &[Poller]) -> Drain {
        let mut drain = Drain::new(Bounds::default());
        for poller in pollers {
            drain.polled(START - 2 * SECOND, poller.clone());
            drain.polled(START - SECOND, poller.clone());
        }
        assert_eq!(drain.begin(START, exit)[0], Effect::Tell(true));
        drain
    }

    #[test]
    fn it_waits_until_every_balancer_that_polls_has_seen_it() {
        let pollers = [agent("a"), agent("b"), Poller(Check::Http, "c".into())];
        let mut drain = begun(true, &pollers);
        let phases = run(&mut drain, 30 * SECOND, |drain, now| {
            let after = now - START;
            // The agents poll each second, the HTTP check every two and needs three.
            if after % SECOND == 0 {
                drain.polled(now, agent("a"));
                drain.polled(now, agent("b"));
            }
            if after % (2 * SECOND) == 0 {
                drain.polled(now, Poller(Check::Http, "c".into()));
            }
            Hand::default()
        });
        assert_eq!(phases[0], (6_500, Phase::Closing, "all-seen"));
        assert_eq!(drain.phase(), Phase::Over);
    }

    #[test]
    fn a_balancer_that_is_gone_is_not_waited_for_and_one_that_never_sees_it_only_so_long() {
        let mut drain = begun(true, &[agent("gone"), agent("here")]);
        let poll = |drain: &mut Drain, now: Micros| {
            if (now - START) % SECOND == 0 {
                drain.polled(now, agent("here"));
            }
            Hand::default()
        };
        let phases = run(&mut drain, 20 * SECOND, poll);
        assert_eq!(phases[0], (3_050, Phase::Closing, "all-seen"), "four of its intervals");
        // A slow HTTP check needs 3 polls of 4 s, more than is waited.
        let slow = Poller(Check::Http, "slow".into());
        let mut drain = Drain::new(Bounds::default());
        for before in [9, 5, 1] {
            drain.polled(START - before * SECOND, slow.clone());
        }
        drain.begin(START, true);
        let phases = run(&mut drain, 20 * SECOND, |drain, now| {
            if (now - START) % (4 * SECOND) == 0 {
                drain.polled(now, slow.clone());
            }
            Hand::default()
        });
        assert_eq!(phases[0], (10_000, Phase::Closing, "notice-bound"));
        let mut drain = begun(true, &[]);
        assert_eq!(
            run(&mut drain, SECOND, |_, _| Hand::default())[0],
            (1_000, Phase::Closing, "nobody-polls")
        );
    }

    #[test]
    fn asks_are_left_their_time_and_standing_tasks_are_waited_for_and_told() {
        let mut drain = begun(true, &[]);
        let phases = run(&mut drain, 60 * SECOND, |_, now| {
            let after = now - START;
            Hand {
                owed: usize::from(after < 6 * SECOND),
                standing: usize::from(after < 30 * SECOND),
                untold: usize::from(after < 31 * SECOND),
                unflushed: 0,
            }
        });
        let expected = [
            (1_000, Phase::Closing, "nobody-polls"),
            (7_000, Phase::Standing, "nothing-owed"),
            (31_000, Phase::Drained, "nothing-stands"),
            (31_000, Phase::Over, "drained"),
        ];
        assert_eq!(phases, expected);
    }

    #[test]
    fn standing_tasks_that_do_not_end_are_left_at_a_bound_and_counted() {
        let mut drain = begun(true, &[]);
        let hand = Hand { standing: 3, ..Hand::default() };
        let mut left = None;
        for n in 1..=4_000 {
            for effect in drain.look(START + n * 50 * MS, hand) {
                if let Effect::Exit(hand) = effect {
                    left = Some((n * 50, hand));
                }
            }
        }
        assert_eq!(left, Some((122_000, hand)));
    }

    #[test]
    fn a_second_signal_has_the_module_answer_at_once_and_can_not_be_taken_back() {
        let mut drain = begun(true, &[agent("a")]);
        let effects = drain.begin(START + SECOND, true);
        assert!(effects.contains(&Effect::Answer(3_300_000)), "{effects:?}");
        assert_eq!(drain.cancel(START + SECOND), (false, vec![]));
        assert_eq!(drain.begin(START + SECOND, true), []);
        // Owed to the end: the process ends all the same.
        let owed = Hand { owed: 1, ..Hand::default() };
        assert_eq!(drain.look(START + SECOND + 3_450 * MS, owed), []);
        let last = drain.look(START + SECOND + 3_500 * MS, owed);
        assert_eq!(last.last(), Some(&Effect::Exit(owed)));
    }

    #[test]
    fn an_order_to_drain_does_not_end_the_process_until_a_signal_comes() {
        let mut drain = begun(false, &[]);
        run(&mut drain, 20 * SECOND, |_, _| Hand::default());
        assert_eq!(drain.phase(), Phase::Drained);
        assert_eq!(drain.begin(START + 21 * SECOND, true), []);
        let effects = drain.look(START + 21 * SECOND, Hand::default());
        assert_eq!(effects, [Effect::Entered(Phase::Over, "drained"), Effect::Exit(Hand::default())]);
        // An ask that is never answered does not end a process that was only told to drain.
        let mut drain = begun(false, &[]);
        let phases = run(&mut drain, 60 * SECOND, |_, _| Hand { owed: 1, ..Hand::default() });
        assert_eq!(phases.last().map(|p| (p.1, p.2)), Some((Phase::Standing, "answer-bound")));
        assert_eq!(drain.phase(), Phase::Standing);
    }

    #[test]
    fn ready_takes_a_drain_back_in_every_phase_but_the_last() {
        for (looks, phase) in [(1, Phase::Telling), (25, Phase::Closing), (45, Phase::Standing)] {
            let mut drain = begun(true, &[]);
            run(&mut drain, looks * 50 * MS, |_, _| Hand { standing: 1, ..Hand::default() });
            assert_eq!(drain.phase(), phase);
            let (taken, effects) = drain.cancel(START + 10 * SECOND);
            assert!(
                taken
                    && effects.contains(&Effect::Tell(false))
                    && effects.contains(&Effect::CloseIdle(false))
            );
            assert_eq!((drain.phase(), drain.exits()), (Phase::Idle, false));
            // It can begin again, and balancers must see it again.
            drain.polled(START + 10 * SECOND, agent("a"));
            drain.begin(START + 11 * SECOND, true);
            assert_eq!(drain.pollers(START + 11 * SECOND), (1, 0));
        }
    }

    #[test]
    fn pollers_are_bounded() {
        let mut drain = Drain::new(Bounds::default());
        for n in 0..1_000 {
            drain.polled(START + n, agent(&n.to_string()));
        }
        assert_eq!(drain.pollers.len(), MOST_POLLERS);
        assert!(drain.pollers.contains_key(&agent("999")) && !drain.pollers.contains_key(&agent("1")));
    }
}
