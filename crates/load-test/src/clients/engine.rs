//! The state machine of all clients and their tasks.

use super::{Counts, Effect, EngineSettings, Event, Fate, Response, RetryPolicy, WantedTask};
use crate::load_profile::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Combined with the seed of the plan, so that clients draw from another random stream than the arrivals.
const SEED_SALT: u64 = 0x6f77_6e65;
/// How long a client waits for the notice of a task's end after the task's time is over.
const END_NOTICE_TIMEOUT: Micros = 9_000_000;
/// Maximum number of unused retries that accumulate in the retry budget.
pub(super) const MAX_TOKENS: f64 = 100.0;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 20;

/// State of a task; see the table of transitions in the documentation of the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Requested { id: u64, until: Micros },
    Backoff { until: Micros },
    Settling { until: Micros },
    Running { id: u64, placer: Option<usize> },
}

#[derive(Debug, Clone)]
struct Task {
    wanted: WantedTask,
    state: State,
    /// Number of consecutive failed attempts.
    failures: u32,
    attempts: u32,
    respects_retry_after: bool,
    /// Ids of the attempts.
    ids: Vec<u64>,
}

impl Task {
    fn is_requested_as(&self, id: u64) -> bool {
        matches!(self.state, State::Requested { id: open, .. } if open == id)
    }

    fn is_running_as(&self, id: u64) -> bool {
        matches!(self.state, State::Running { id: running, .. } if running == id)
    }
}

/// Whether a failed attempt may have started its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureKind {
    /// The attempt started nothing; the placer may ask the client to wait.
    NotStarted { retry_after: Option<Micros> },
    /// The attempt may have started the task.
    MayHaveStarted,
}

impl FailureKind {
    const NOT_STARTED: FailureKind = FailureKind::NotStarted { retry_after: None };
}

/// The state of all clients.
pub struct Clients {
    settings: EngineSettings,
    rng: ChaCha8Rng,
    tasks: BTreeMap<u64, Task>,
    key_by_id: BTreeMap<u64, u64>,
    /// When a timer of a task fires, and the key of the task.
    timers: BTreeSet<(Micros, u64)>,
    next_id: u64,
    /// Number of retries that the retry budget still allows.
    tokens: f64,
    counts: Counts,
}

impl Clients {
    /// Returns clients without tasks. The ids of their attempts begin at `first_id`.
    pub fn new(settings: EngineSettings, seed: u64, first_id: u64) -> Clients {
        Clients {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT),
            tasks: BTreeMap::new(),
            key_by_id: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_id: first_id,
            tokens: MAX_TOKENS / 4.0,
            counts: Counts::default(),
        }
    }

    /// Returns the numbers of attempts and reconnections so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of tasks that are not done.
    pub fn open_count(&self) -> usize {
        self.tasks.len()
    }

    /// Returns when the next timer fires.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Sets the placer that a running task is connected to.
    pub fn assign_placer(&mut self, id: u64, placer: usize) {
        let key = self.key_by_id.get(&id).copied();
        if let Some(task) = key.and_then(|key| self.tasks.get_mut(&key))
            && let State::Running {
                placer: assigned, ..
            } = &mut task.state
        {
            *assigned = Some(placer);
        }
    }

    /// Returns whether the request with this id waits for its answer.
    pub fn is_open(&self, id: u64) -> bool {
        let task = self.key_by_id.get(&id).and_then(|key| self.tasks.get(key));
        task.is_some_and(|task| task.is_requested_as(id))
    }

    /// Returns the keys of the tasks that are settling.
    pub fn settling_tasks(&self) -> Vec<u64> {
        let settling = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(task.state, State::Settling { .. }));
        settling.map(|(key, _)| *key).collect()
    }

    /// Returns the key of the task to which the attempt with this id belongs.
    pub fn key(&self, id: u64) -> Option<u64> {
        self.key_by_id.get(&id).copied()
    }

    /// Handles all timers that are due, and returns their effects.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(&(at, key)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.handle_timer(now, key, &mut effects);
        }
        effects
    }

    /// Handles an event, and returns its effects.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::TaskDue(wanted) => {
                let key = wanted.key;
                let respects_retry_after =
                    self.rng.random::<f64>() < self.settings.retry_after_compliance;
                let state = State::Backoff { until: now };
                self.tasks.insert(
                    key,
                    Task {
                        wanted,
                        state,
                        failures: 0,
                        attempts: 0,
                        respects_retry_after,
                        ids: Vec::new(),
                    },
                );
                self.request(now, key, &mut effects);
            }
            Event::Response(id, response) => self.handle_response(now, id, response, &mut effects),
            Event::RequestUnsent(id) => {
                self.attempt_failed(now, id, FailureKind::NOT_STARTED, &mut effects)
            }
            Event::Disconnected(id) => {
                // The placer cancels an open request when its connection ends, but the attempt may already have started
                // the task.
                self.attempt_failed(now, id, FailureKind::MayHaveStarted, &mut effects);
            }
            Event::PlacerRestarted(placer) => {
                let running = self
                    .tasks
                    .iter()
                    .filter_map(|(key, task)| match task.state {
                        State::Running {
                            id,
                            placer: assigned,
                        } if assigned == Some(placer) => Some((*key, id)),
                        _ => None,
                    });
                for (key, id) in running.collect::<Vec<_>>() {
                    self.counts.reconnections += 1;
                    effects.push(Effect::Reconnect { key, id });
                }
            }
            Event::RunningTaskFound { key, id } => {
                let Some(task) = self.tasks.get_mut(&key) else {
                    return effects;
                };
                if matches!(task.state, State::Settling { .. }) {
                    task.state = State::Running { id, placer: None };
                    let ends_at = task.wanted.ends_at;
                    task.ids.push(id);
                    self.key_by_id.insert(id, key);
                    self.timers.insert((ends_at, key));
                    self.counts.reconnections += 1;
                    effects.push(Effect::Reconnect { key, id });
                }
            }
        }
        effects
    }

    fn handle_response(
        &mut self,
        now: Micros,
        id: u64,
        response: Response,
        effects: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.key_by_id.get(&id) else {
            // A placer repeats the notice of a task's end until it is acknowledged.
            if matches!(response, Response::Ended | Response::Lost) {
                effects.push(Effect::AcknowledgeEnd(id));
            }
            return;
        };
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        let open = task.is_requested_as(id);
        let running = task.is_running_as(id);
        match response {
            Response::Placed if open => {
                task.state = State::Running { id, placer: None };
                task.failures = 0;
                let ends_at = task.wanted.ends_at;
                self.timers.insert((ends_at, key));
            }
            Response::Rejected(retry_after) if open => {
                self.attempt_failed(now, id, FailureKind::NotStarted { retry_after }, effects)
            }
            Response::Failed if open => {
                self.attempt_failed(now, id, FailureKind::MayHaveStarted, effects);
            }
            // The host reported the task as complete.
            Response::Ended if open || running => {
                effects.push(Effect::AcknowledgeEnd(id));
                self.finish(key, Fate::Completed, effects);
            }
            Response::Lost if running => {
                effects.push(Effect::AcknowledgeEnd(id));
                self.rerequest_later(now, key);
            }
            Response::Migrated if running => self.rerequest_later(now, key),
            Response::Lost | Response::Ended => effects.push(Effect::AcknowledgeEnd(id)),
            _ => {}
        }
    }

    /// Handles a failed attempt: the task settles, backs off, or is done if the retry budget is exhausted.
    fn attempt_failed(
        &mut self,
        now: Micros,
        id: u64,
        failure: FailureKind,
        effects: &mut Vec<Effect>,
    ) {
        let Some(&key) = self.key_by_id.get(&id) else {
            return;
        };
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        if !task.is_requested_as(id) {
            return;
        }
        self.counts.failed_attempts += 1;
        task.failures += 1;
        if failure == FailureKind::MayHaveStarted && task.wanted.non_idempotent {
            let until = now + self.settings.settle_time;
            task.state = State::Settling { until };
            self.timers.insert((until, key));
            return;
        }
        let retry_after = match failure {
            FailureKind::NotStarted { retry_after } if task.respects_retry_after => retry_after,
            _ => None,
        };
        let failures = task.failures;
        let wait = self.backoff(failures).max(retry_after.unwrap_or(0));
        if self.settings.policy == RetryPolicy::Budget {
            if self.tokens < 1.0 {
                self.counts.retries_over_budget += 1;
                return self.finish(key, Fate::OverBudget, effects);
            }
            self.tokens -= 1.0;
        }
        self.back_off(now + wait, key);
    }

    /// Schedules a new request for a lost or migrated task after a short random delay.
    fn rerequest_later(&mut self, now: Micros, key: u64) {
        let (min, max) = self.settings.rerequest_delay;
        let wait = self.rng.random_range(min..=max.max(min));
        self.back_off(now + wait, key);
    }

    /// Puts a task into backoff until a time.
    fn back_off(&mut self, until: Micros, key: u64) {
        if let Some(task) = self.tasks.get_mut(&key) {
            task.state = State::Backoff { until };
            self.timers.insert((until, key));
        }
    }

    /// Draws the backoff after a number of consecutive failures.
    fn backoff(&mut self, failures: u32) -> Micros {
        let (min_backoff, max_backoff) = (self.settings.min_backoff, self.settings.max_backoff);
        let doubled = min_backoff
            .saturating_mul(1 << failures.saturating_sub(1).min(MAX_DOUBLINGS))
            .min(max_backoff);
        match self.settings.policy {
            RetryPolicy::Fixed => min_backoff,
            RetryPolicy::Exponential => doubled,
            // The lower bound of a quarter of the minimum backoff prevents immediate retries.
            RetryPolicy::Jitter | RetryPolicy::Budget => self.rng.random_range(
                min_backoff / 4..=doubled.saturating_mul(2).min(max_backoff).max(min_backoff),
            ),
        }
    }

    /// Makes the next attempt of a task, or finishes the task if its time is over.
    fn request(&mut self, now: Micros, key: u64, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        let wait = task.wanted.timeout;
        if now >= task.wanted.ends_at {
            return self.finish(key, Fate::ExpiredWaiting, effects);
        }
        let is_retry = task.attempts > 0;
        task.attempts += 1;
        let id = self.next_id;
        self.next_id += 1;
        task.state = State::Requested {
            id,
            until: now + wait,
        };
        task.ids.push(id);
        self.key_by_id.insert(id, key);
        self.timers.insert((now + wait, key));
        if is_retry {
            self.counts.retries += 1;
        } else {
            self.counts.first_attempts += 1;
            self.tokens = (self.tokens + self.settings.retry_budget).min(MAX_TOKENS);
        }
        effects.push(Effect::RequestTask {
            key,
            id,
            wait,
            is_retry,
        });
    }

    fn handle_timer(&mut self, now: Micros, key: u64, effects: &mut Vec<Effect>) {
        let Some(task) = self.tasks.get(&key) else {
            return;
        };
        match task.state {
            State::Requested { id, until } if until <= now => {
                effects.push(Effect::CancelRequest(id));
                // The attempt may have started the task, since the answer may be in flight.
                self.attempt_failed(now, id, FailureKind::MayHaveStarted, effects);
            }
            State::Backoff { until } | State::Settling { until } if until <= now => {
                self.request(now, key, effects)
            }
            State::Running { .. } if task.wanted.ends_at <= now => {
                // The host ends the task at this time, so the client waits a little longer for the notice of its end.
                let notice_deadline = task.wanted.ends_at + END_NOTICE_TIMEOUT;
                if notice_deadline <= now {
                    self.finish(key, Fate::ExpiredRunning, effects);
                } else {
                    self.timers.insert((notice_deadline, key));
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, key: u64, fate: Fate, effects: &mut Vec<Effect>) {
        if let Some(task) = self.tasks.remove(&key) {
            for id in &task.ids {
                self.key_by_id.remove(id);
            }
            effects.push(Effect::TaskDone(key, fate));
        }
    }
}
