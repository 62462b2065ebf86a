//! What clients do: a pure engine. Events and the time go in, effects come out; it opens no connection and
//! keeps no clock.
//!
//! ```text
//!            due                 placed                   its time is over
//!  (none) ─────────▶ ┌───────┐ ──────────▶ ┌──────────┐ ──────────────────▶ done
//!                    │ asked │             │ standing │ ◀─┐ presented (`at`)
//!         ┌────────▶ └─┬─┬─┬─┘             └──┬───┬───┘ ──┘ to a placer that restarted
//!         │            │ │ │ no answer        │   │ lost, moved, cut
//!         │    refused │ │ └───────────┐      │   │
//!         │    failed  │ │ no start is │      │   │
//!         │            │ │ possible    │ one  │   │
//!         │            ▼ ▼             ▼ may ▼   ▼
//!         │       ┌─────────┐     ┌──────────┐ run
//!         └───────┤ backoff │◀────┤ settling │
//!       again     └─────────┘     └──────────┘
//! ```
//!
//! A task is known by its name (key) through all its attempts; each attempt has an id of its own. A task
//! that must not start twice *settles* first where an attempt may have run: for that long, a host that
//! turns out to hold it has it presented to a placer; else it is asked for again. The placer's own word
//! 'failed' about such a task means that an attempt may have run.

use crate::shape::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How clients space their repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The same wait each time.
    Fixed,
    /// Twice as long each time.
    Exponential,
    /// Anything up to twice as long each time ('full jitter').
    Jitter,
    /// As `jitter`, and all repeats together stay within a budget of the first tries.
    Budget,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 4] = [
        Policy::Fixed,
        Policy::Exponential,
        Policy::Jitter,
        Policy::Budget,
    ];

    /// Its name in plans.
    pub fn as_str(self) -> &'static str {
        match self {
            Policy::Fixed => "fixed",
            Policy::Exponential => "exponential",
            Policy::Jitter => "jitter",
            Policy::Budget => "budget",
        }
    }
}

/// What the engine goes by.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How repeats are spaced.
    pub policy: Policy,
    /// The least wait.
    pub base: Micros,
    /// The most.
    pub most: Micros,
    /// Repeats for each first try under `Policy::Budget`.
    pub budget: f64,
    /// The share of clients that stay away as long as a refusal asks.
    pub honour: f64,
    /// How long a task that must not start twice settles.
    pub settle: Micros,
    /// How long the client of a task that was lost or moved waits before it comes again.
    pub rejoin: (Micros, Micros),
}

/// A task, as its client knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Wanted {
    /// Its name.
    pub key: u64,
    /// When it was due.
    pub due: Micros,
    /// When its time is over.
    pub over: Micros,
    /// How long its client waits for an answer.
    pub limit: Micros,
    /// Whether it must not start twice.
    pub once: bool,
}

/// What a placer, or the network, has told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// It stands.
    Placed,
    /// It was refused: trying again is harmless; so long it should stay away.
    Refused(Option<Micros>),
    /// It failed.
    Failed,
    /// The task that stood has come to its end.
    Ended,
    /// The task that stood was lost, cut or evicted.
    Lost,
    /// It moves: its client is to come again.
    Moved,
}

/// What the engine is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A task is due.
    Due(Wanted),
    /// A word on an attempt.
    Word(u64, Word),
    /// The set-up could not be sent: nobody has seen it.
    Unsent(u64),
    /// The connection broke on which the set-up was sent.
    Broken(u64),
    /// A placer came back and knows of nothing.
    Restarted(usize),
    /// A host holds a task that nobody stands by: told by the hosts' books.
    Found {
        /// The task.
        key: u64,
        /// The id under which it was set up there.
        id: u64,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Ask for the task under a new id.
    Ask {
        /// The task.
        key: u64,
        /// The new id.
        id: u64,
        /// How long to wait for the answer.
        wait: Micros,
        /// Whether it is a repeat.
        again: bool,
    },
    /// Give an open set-up up.
    GiveUp(u64),
    /// Name a standing task to a placer.
    Present {
        /// The task.
        key: u64,
        /// Its id.
        id: u64,
    },
    /// Tell the placer that the end of a task was heard.
    Heard(u64),
    /// The task is over, and how.
    Done(u64, Fate),
}

/// How a task ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// It ran to its end.
    Ran,
    /// Its time was over while it stood.
    OverStanding,
    /// Its time was over before it ever stood, or before it stood again.
    OverWaiting,
    /// The budget for repeats allowed no more.
    Unbudgeted,
}

impl Fate {
    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Fate::Ran => "ran",
            Fate::OverStanding => "over-standing",
            Fate::OverWaiting => "over-waiting",
            Fate::Unbudgeted => "unbudgeted",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Asked { id: u64, until: Micros },
    Backoff { until: Micros },
    Settling { until: Micros },
    Standing { id: u64, placer: Option<usize> },
}

#[derive(Debug, Clone)]
struct Task {
    wanted: Wanted,
    state: State,
    /// Attempts that brought nothing, in a row.
    failures: u32,
    attempts: u32,
    honours: bool,
    /// The ids of its attempts.
    ids: Vec<u64>,
}

/// Counts of what clients did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// First tries.
    pub first: u64,
    /// Repeats.
    pub again: u64,
    /// Attempts that brought nothing.
    pub wasted: u64,
    /// Repeats that the budget did not allow.
    pub unbudgeted: u64,
    /// Standing tasks presented to a placer.
    pub presented: u64,
}

/// All clients.
pub struct Clients {
    settings: Settings,
    rng: ChaCha8Rng,
    tasks: BTreeMap<u64, Task>,
    by_id: BTreeMap<u64, u64>,
    /// When each waiting task wants to be looked at, and its key.
    alarms: BTreeSet<(Micros, u64)>,
    next_id: u64,
    /// Repeats that are still allowed.
    tokens: f64,
    counts: Counts,
}

/// The most repeats that the budget saves up.
const MOST_TOKENS: f64 = 100.0;

impl Clients {
    /// Clients that have yet to want anything. Ids begin at `first_id`.
    pub fn new(settings: Settings, seed: u64, first_id: u64) -> Clients {
        Clients {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x6f77_6e65),
            tasks: BTreeMap::new(),
            by_id: BTreeMap::new(),
            alarms: BTreeSet::new(),
            next_id: first_id,
            tokens: MOST_TOKENS / 4.0,
            counts: Counts::default(),
        }
    }

    /// What clients have done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Tasks that are not done.
    pub fn open(&self) -> usize {
        self.tasks.len()
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        self.alarms.first().map(|(at, _)| *at)
    }

    /// Which placer a set-up went to, for tasks that stand: told by the shell once it has chosen.
    pub fn sent_to(&mut self, id: u64, placer: usize) {
        let key = self.by_id.get(&id).copied();
        if let Some(task) = key.and_then(|key| self.tasks.get_mut(&key))
            && let State::Standing { placer: p, .. } = &mut task.state
        {
            *p = Some(placer);
        }
    }

    /// Whether a set-up waits for its answer.
    pub fn is_open(&self, id: u64) -> bool {
        let task = self.by_id.get(&id).and_then(|key| self.tasks.get(key));
        task.is_some_and(|task| matches!(task.state, State::Asked { id: open, .. } if open == id))
    }

    /// Tasks that settle.
    pub fn settling(&self) -> Vec<u64> {
        let settling = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task.state, State::Settling { .. }));
        settling.map(|(key, _)| *key).collect()
    }

    /// The key of a task by the id of one of its attempts.
    pub fn key(&self, id: u64) -> Option<u64> {
        self.by_id.get(&id).copied()
    }

    /// Lets what is due by now happen.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(&(at, key)) = self.alarms.first() {
            if at > now {
                break;
            }
            self.alarms.pop_first();
            self.alarm(now, key, &mut effects);
        }
        effects
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Due(wanted) => {
                let key = wanted.key;
                let honours = self.rng.random::<f64>() < self.settings.honour;
                let state = State::Backoff { until: now };
                self.tasks.insert(
                    key,
                    Task {
                        wanted,
                        state,
                        failures: 0,
                        attempts: 0,
                        honours,
                        ids: Vec::new(),
                    },
                );
                self.ask(now, key, &mut effects);
            }
            Event::Word(id, word) => self.word(now, id, word, &mut effects),
            Event::Unsent(id) => self.nothing_came(now, id, false, None, &mut effects),
            Event::Broken(id) => {
                // The placer gives an open set-up up with its connection; an attempt may have run all the same.
                self.nothing_came(now, id, true, None, &mut effects);
            }
            Event::Restarted(placer) => {
                let theirs = self
                    .tasks
                    .iter()
                    .filter_map(|(key, task)| match task.state {
                        State::Standing { id, placer: p } if p == Some(placer) => Some((*key, id)),
                        _ => None,
                    });
                for (key, id) in theirs.collect::<Vec<_>>() {
                    self.counts.presented += 1;
                    effects.push(Effect::Present { key, id });
                }
            }
            Event::Found { key, id } => {
                let Some(task) = self.tasks.get_mut(&key) else {
                    return effects;
                };
                if matches!(task.state, State::Settling { .. }) {
                    task.state = State::Standing { id, placer: None };
                    let over = task.wanted.over;
                    task.ids.push(id);
                    self.by_id.insert(id, key);
                    self.alarms.insert((over, key));
                    self.counts.presented += 1;
                    effects.push(Effect::Present { key, id });
                }
            }
        }
        effects
    }

    fn word(&mut self, now: Micros, id: u64, word: Word, effects: &mut Vec<Effect>) {
        let Some(&key) = self.by_id.get(&id) else {
            // An end that was told before is told again until it is heard.
            if matches!(word, Word::Ended | Word::Lost) {
                effects.push(Effect::Heard(id));
            }
            return;
        };
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        let open = matches!(task.state, State::Asked { id: open, .. } if open == id);
        let stands = matches!(task.state, State::Standing { id: s, .. } if s == id);
        match word {
            Word::Placed if open => {
                task.state = State::Standing { id, placer: None };
                task.failures = 0;
                let over = task.wanted.over;
                self.alarms.insert((over, key));
            }
            Word::Refused(away) if open => self.nothing_came(now, id, false, away, effects),
            Word::Failed if open => {
                let may_run = task.wanted.once;
                self.nothing_came(now, id, may_run, None, effects);
            }
            // The task's own time was over, seen from a host.
            Word::Ended if open || stands => {
                effects.push(Effect::Heard(id));
                self.done(key, Fate::Ran, effects);
            }
            Word::Lost if stands => {
                effects.push(Effect::Heard(id));
                self.come_again(now, key);
            }
            Word::Moved if stands => self.come_again(now, key),
            Word::Lost | Word::Ended => effects.push(Effect::Heard(id)),
            _ => {}
        }
    }

    /// An attempt brought nothing; it may have run where `may_run`.
    fn nothing_came(
        &mut self,
        now: Micros,
        id: u64,
        may_run: bool,
        away: Option<Micros>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.by_id.get(&id) else {
            return;
        };
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        if !matches!(task.state, State::Asked { id: open, .. } if open == id) {
            return;
        }
        self.counts.wasted += 1;
        task.failures += 1;
        if may_run && task.wanted.once {
            let until = now + self.settings.settle;
            task.state = State::Settling { until };
            self.alarms.insert((until, key));
            return;
        }
        let honours = task.honours;
        let failures = task.failures;
        let wait = self
            .wait(failures)
            .max(away.filter(|_| honours).unwrap_or(0));
        if self.settings.policy == Policy::Budget {
            if self.tokens < 1.0 {
                self.counts.unbudgeted += 1;
                return self.done(key, Fate::Unbudgeted, effects);
            }
            self.tokens -= 1.0;
        }
        self.back_off(now + wait, key);
    }

    /// What stood is no more: its client comes again soon.
    fn come_again(&mut self, now: Micros, key: u64) {
        let (least, most) = self.settings.rejoin;
        let wait = self.rng.random_range(least..=most.max(least));
        self.back_off(now + wait, key);
    }

    fn back_off(&mut self, until: Micros, key: u64) {
        if let Some(task) = self.tasks.get_mut(&key) {
            task.state = State::Backoff { until };
            self.alarms.insert((until, key));
        }
    }

    /// The wait before the next repeat, after so many failures in a row.
    fn wait(&mut self, failures: u32) -> Micros {
        let (base, most) = (self.settings.base, self.settings.most);
        let doubled = base
            .saturating_mul(1 << failures.saturating_sub(1).min(20))
            .min(most);
        match self.settings.policy {
            Policy::Fixed => base,
            Policy::Exponential => doubled,
            // Never at once: a wait of nothing is no wait.
            Policy::Jitter | Policy::Budget => self
                .rng
                .random_range(base / 4..=doubled.saturating_mul(2).min(most).max(base)),
        }
    }

    fn ask(&mut self, now: Micros, key: u64, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        let wait = task.wanted.limit;
        if now >= task.wanted.over {
            return self.done(key, Fate::OverWaiting, effects);
        }
        let again = task.attempts > 0;
        task.attempts += 1;
        let id = self.next_id;
        self.next_id += 1;
        task.state = State::Asked {
            id,
            until: now + wait,
        };
        task.ids.push(id);
        self.by_id.insert(id, key);
        self.alarms.insert((now + wait, key));
        if again {
            self.counts.again += 1;
        } else {
            self.counts.first += 1;
            self.tokens = (self.tokens + self.settings.budget).min(MOST_TOKENS);
        }
        effects.push(Effect::Ask {
            key,
            id,
            wait,
            again,
        });
    }

    fn alarm(&mut self, now: Micros, key: u64, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get(&key) else {
            return;
        };
        match task.state {
            State::Asked { id, until } if until <= now => {
                effects.push(Effect::GiveUp(id));
                // Given up, it may have run: the answer may be on its way.
                self.nothing_came(now, id, true, None, effects);
            }
            State::Backoff { until } | State::Settling { until } if until <= now => {
                self.ask(now, key, effects)
            }
            State::Standing { .. } if task.wanted.over <= now => {
                // Its host ends it; a word that never comes is waited for a little.
                let late = task.wanted.over + END_SLACK;
                if late <= now {
                    self.done(key, Fate::OverStanding, effects);
                } else {
                    self.alarms.insert((late, key));
                }
            }
            _ => {}
        }
    }

    fn done(&mut self, key: u64, fate: Fate, effects: &mut Vec<Effect>) {
        if let Some(task) = self.tasks.remove(&key) {
            for id in &task.ids {
                self.by_id.remove(id);
            }
            effects.push(Effect::Done(key, fate));
        }
    }
}

/// How long after a task's time the word of its end is waited for.
const END_SLACK: Micros = 9_000_000;

#[cfg(test)]
mod tests;
