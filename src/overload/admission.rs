//! Admission control: which tasks are admitted while more is requested than can be started.
//!
//! Load is shed by levels. At level `n` the fraction [`LEVEL_FRACTION`]^n of the requests is admitted. Requests
//! are ranked in one order, the same at every placer: by priority, then those within their tenant's quota
//! before those beyond it, then first requests before retries, then by a hash of the task and an epoch, which
//! rotates who comes last. Overload control of large services does the same with a level that all instances
//! share (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018). Here placers exchange
//! no messages, and each finds its own level. All see the queues of the same hosts, so they arrive at similar
//! levels; coarse levels and two thresholds keep them there.
//!
//! ```text
//!             late starts, or tasks given up:        starts within the objective for a while:
//!             at most MAX_RISE levels at once        by earlier starts over requests
//!   level 0 ─────────────────────────────▶ level n ─────────────────────────▶ level m < n
//! ```
//!
//! Only what was requested after the latest change of the level counts for the next change: earlier requests
//! still show the effect of the level before.

use super::hash::hash_fraction;
use crate::Micros;
use crate::health::sliding_window::SlidingWindow;

/// The fraction of one level's admissions that the next level admits.
pub const LEVEL_FRACTION: f64 = 0.9;
/// The highest level admits 3.4 %: some starts are needed to notice that there is capacity again.
pub const MAX_LEVEL: u8 = 32;
/// The level rises by at most this at once: a third is still admitted until the effect is known.
const MAX_RISE: f64 = 10.0;
/// Fewer outcomes than these say nothing about a level.
const MIN_OUTCOMES: f64 = 6.0;
/// How long the mix of requests is observed, in multiples of the shortest latency objective.
const MIX_OBJECTIVES: Micros = 1;
/// A backlog cannot be started in time if its oldest task has waited for this fraction of the latency
/// objective, and it holds more tasks than are started within the second one.
const BACKLOG_WAIT: f64 = 0.25;
const BACKLOG_STARTS: f64 = 0.4;
/// The fraction of the starts observed under overload that counts as capacity.
const CAPACITY_MARGIN: f64 = 0.95;
/// A level that has lasted for so many latency objectives starts new counts.
const RECOUNT_OBJECTIVES: Micros = 4;
/// Levels by which a level falls after calm starts, and after very early ones.
const CALM_FALL: f64 = 1.0;
const VERY_CALM_FALL: f64 = 2.0;
/// Salt of the hash that decides which tasks of a tenant count as within its quota.
pub const QUOTA_SALT: u64 = 0x7368_6172;
const MICROS_PER_SECOND: f64 = 1e6;

/// Settings of admission control. Fractions are of a task's latency objective, from its request on.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Starts later than this are too late.
    pub late: f64,
    /// Starts up to this are calm.
    pub low_delay: f64,
    /// While load is shed, a task that has waited longer than this is given up: it can't start in time.
    pub give_up_after: f64,
    /// How long the same tasks are shed first.
    pub epoch: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            late: 0.8,
            low_delay: 0.3,
            give_up_after: 0.35,
            epoch: 8_000_000,
        }
    }
}

/// Whether a client sends a request for the first time. A retry can hardly start in time any more.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientAttempt {
    /// The first request.
    #[default]
    First,
    /// A retry.
    Retry,
    /// A retry before its Retry-After has passed.
    EarlyRetry,
}

/// What decides the rank of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// 0 (lowest) to 3.
    pub priority: u8,
    /// The fraction of its tenant's requests that is within the quota.
    pub within_quota: f64,
    /// Whether its client has sent it before.
    pub client_attempt: ClientAttempt,
    /// A hash of the task, the same at every placer.
    pub task_hash: u64,
}

const MAX_PRIORITY: u8 = 3;
const QUOTA_STATES: usize = 2;
const CLIENT_ATTEMPTS: usize = 3;
/// One bucket for each priority, quota state and client attempt.
const BUCKETS: usize = (MAX_PRIORITY as usize + 1) * QUOTA_STATES * CLIENT_ATTEMPTS;
/// Retries are admitted only if what ranks before them is at most this fraction of what is admitted, so that
/// no placer admits retries while another, a level apart, sheds first requests.
const RETRY_HEADROOM: f64 = 0.65;
/// The epochs of retries are so many times shorter: a retry was shed by the order of its epoch, and would be
/// again.
const RETRY_EPOCH_DIVISOR: Micros = 4;

impl Candidate {
    /// The bucket of the candidate; lower buckets are admitted first.
    fn bucket(&self) -> usize {
        let beyond_quota = hash_fraction(self.task_hash, QUOTA_SALT) >= self.within_quota;
        let priority = usize::from(MAX_PRIORITY - self.priority.min(MAX_PRIORITY));
        (priority * QUOTA_STATES + usize::from(beyond_quota)) * CLIENT_ATTEMPTS
            + self.client_attempt as usize
    }
}

/// The admitted tasks that are waiting for an attempt, of those requested after the latest change of the level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Their number.
    pub tasks: usize,
    /// How long the oldest has waited.
    pub oldest_wait: Micros,
}

/// Outcomes of what was requested after the latest change of the level.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    starts: f64,
    /// The delays of the starts, as fractions of their latency objectives.
    relative_delays: f64,
    given_up: f64,
}

impl Outcomes {
    fn count(&self) -> f64 {
        self.starts + self.given_up
    }

    fn mean_relative_delay(&self) -> f64 {
        if self.starts > 0.0 {
            self.relative_delays / self.starts
        } else {
            0.0
        }
    }
}

/// The admission controller of one placer.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    settings: Settings,
    /// The shortest latency objective of any class.
    latency_objective: Micros,
    level: u8,
    level_since: Micros,
    /// Recent requests by bucket.
    mix: Vec<SlidingWindow>,
    /// Requests within the last latency objective, admitted or not.
    requests: SlidingWindow,
    /// Starts within the last half of a latency objective.
    starts: SlidingWindow,
    outcomes: Outcomes,
    /// Starts per second under overload, as of the latest rise.
    capacity_per_second: f64,
}

impl AdmissionController {
    /// Creates a controller that admits everything. `latency_objective` is the shortest of any class.
    pub fn new(settings: Settings, latency_objective: Micros) -> AdmissionController {
        let latency_objective = latency_objective.max(1);
        AdmissionController {
            settings,
            latency_objective,
            level: 0,
            level_since: 0,
            mix: vec![SlidingWindow::new(MIX_OBJECTIVES * latency_objective); BUCKETS],
            requests: SlidingWindow::new(latency_objective),
            starts: SlidingWindow::new(latency_objective / 2),
            outcomes: Outcomes::default(),
            capacity_per_second: 0.0,
        }
    }

    /// Returns the shed level; 0 admits everything.
    pub fn level(&self) -> u8 {
        self.level
    }

    /// Returns since when the outcomes of this level are counted.
    pub fn level_since(&self) -> Micros {
        self.level_since
    }

    /// Returns the fraction of the requests that is admitted.
    pub fn admitted_fraction(&self) -> f64 {
        admitted_fraction(self.level)
    }

    /// Counts a request and returns its rank, from 0 (admitted first) to 1 (shed first). It is admitted if the
    /// rank is below [`AdmissionController::admitted_fraction`].
    pub fn rank(&mut self, now: Micros, wall_clock: Micros, candidate: Candidate) -> f64 {
        let bucket = candidate.bucket();
        self.requests.add(now, 1.0, 0.0);
        if let Some(window) = self.mix.get_mut(bucket) {
            window.add(now, 1.0, 0.0);
        }
        let counts: Vec<f64> = self
            .mix
            .iter()
            .map(|window| window.sums(now).part)
            .collect();
        let total = counts.iter().sum::<f64>().max(1.0);
        let ranked_before = counts.iter().take(bucket).sum::<f64>() / total;
        let in_bucket = counts.get(bucket).copied().unwrap_or(0.0) / total;
        let epoch_length = self.settings.epoch.max(RETRY_EPOCH_DIVISOR);
        if candidate.client_attempt == ClientAttempt::First {
            let epoch = wall_clock.div_euclid(epoch_length) as u64;
            return ranked_before + in_bucket * hash_fraction(candidate.task_hash, epoch);
        }
        let epoch = wall_clock.div_euclid(epoch_length / RETRY_EPOCH_DIVISOR) as u64;
        let rank = ranked_before + in_bucket * hash_fraction(candidate.task_hash, !epoch);
        if ranked_before > RETRY_HEADROOM * self.admitted_fraction() {
            rank.max(self.admitted_fraction())
        } else {
            rank
        }
    }

    /// Records that a task has started, with its delay since `requested_at` as a fraction of its objective.
    pub fn record_start(&mut self, now: Micros, requested_at: Micros, relative_delay: f64) {
        self.starts.add(now, 1.0, 0.0);
        if requested_at >= self.level_since {
            self.outcomes.starts += 1.0;
            self.outcomes.relative_delays += relative_delay;
        }
    }

    /// Records that an admitted task was given up, for lack of time or of attempts.
    pub fn record_give_up(&mut self, requested_at: Micros) {
        if requested_at >= self.level_since {
            self.outcomes.given_up += 1.0;
        }
    }

    /// Adjusts the level to the outcomes and the backlog. Returns whether it has changed.
    pub fn adjust(&mut self, now: Micros, backlog: Backlog) -> bool {
        let elapsed = now - self.level_since;
        let starts_per_second = per_second(now, &self.starts);
        let requests_per_second = per_second(now, &self.requests);
        let by_backlog = self.level_by_backlog(backlog, starts_per_second, requests_per_second);
        if let Some(level) = by_backlog.or_else(|| self.level_by_late_outcomes()) {
            self.capacity_per_second = starts_per_second;
            return self.set_level(now, level);
        }
        if let Some(level) = self.level_after_recovery(elapsed, requests_per_second) {
            return self.set_level(now, level);
        }
        if elapsed >= RECOUNT_OBJECTIVES * self.latency_objective {
            self.set_level(now, f64::from(self.level));
        }
        false
    }

    /// The higher level that a backlog calls for which cannot be started in time.
    fn level_by_backlog(
        &self,
        backlog: Backlog,
        starts_per_second: f64,
        requests_per_second: f64,
    ) -> Option<f64> {
        let objective = self.latency_objective as f64;
        let startable = BACKLOG_STARTS * starts_per_second * objective / MICROS_PER_SECOND;
        let is_too_long = backlog.tasks as f64 > startable
            && backlog.oldest_wait as f64 > BACKLOG_WAIT * objective;
        if !is_too_long || starts_per_second <= 0.0 || requests_per_second <= 0.0 {
            return None;
        }
        let level = level_of((CAPACITY_MARGIN * starts_per_second / requests_per_second).min(1.0));
        let current = f64::from(self.level);
        (level > current).then(|| level.round().min(current + MAX_RISE))
    }

    fn outcomes_are_bad(&self) -> bool {
        self.outcomes.given_up > 0.0 || self.outcomes.mean_relative_delay() > self.settings.late
    }

    /// The level that late starts and given-up tasks call for. A small fraction of them may call for the
    /// current level.
    fn level_by_late_outcomes(&self) -> Option<f64> {
        let outcomes = self.outcomes.count();
        if outcomes < MIN_OUTCOMES || !self.outcomes_are_bad() {
            return None;
        }
        // The fraction of the admitted tasks that started; if those were late, reduced by how much.
        let started = self.outcomes.starts / outcomes;
        let mean_delay = self.outcomes.mean_relative_delay();
        let sustainable = if mean_delay > self.settings.late {
            started.min(self.settings.late / mean_delay)
        } else {
            started
        };
        let rise = level_of(sustainable.max(f64::MIN_POSITIVE))
            .clamp(0.0, MAX_RISE)
            .round();
        Some(f64::from(self.level) + rise)
    }

    /// The lower level that suffices once starts are within the objective again.
    fn level_after_recovery(&self, elapsed: Micros, requests_per_second: f64) -> Option<f64> {
        if self.level == 0 || self.outcomes_are_bad() || elapsed < self.min_level_duration() {
            return None;
        }
        // The capacity observed under overload may suffice for more of the current requests. Where starts have
        // been calm for a while, there may be more capacity than was observed.
        let capacity = if requests_per_second > 0.0 {
            (CAPACITY_MARGIN * self.capacity_per_second / requests_per_second).min(1.0)
        } else {
            1.0
        };
        let by_capacity = level_of(capacity.max(f64::MIN_POSITIVE)).round();
        let by_calm_starts = f64::from(self.level) - self.calm_fall();
        let level = by_capacity.min(by_calm_starts);
        (level < f64::from(self.level)).then_some(level)
    }

    /// How many levels the mean delay of the starts allows to fall.
    fn calm_fall(&self) -> f64 {
        let mean_delay = self.outcomes.mean_relative_delay();
        if self.outcomes.starts == 0.0 || mean_delay > self.settings.low_delay {
            0.0
        } else if mean_delay > self.settings.low_delay / 2.0 {
            CALM_FALL
        } else {
            VERY_CALM_FALL
        }
    }

    /// How long a level lasts before it falls: long enough for what it admits to start.
    fn min_level_duration(&self) -> Micros {
        self.latency_objective / 2
    }

    /// Sets the level and starts new counts. Returns whether the level has changed.
    fn set_level(&mut self, now: Micros, level: f64) -> bool {
        let level = level.clamp(0.0, f64::from(MAX_LEVEL)) as u8;
        let has_changed = level != self.level;
        self.level = level;
        self.level_since = now;
        self.outcomes = Outcomes::default();
        has_changed
    }
}

/// Returns the fraction of the requests that is admitted at a level.
pub fn admitted_fraction(level: u8) -> f64 {
    LEVEL_FRACTION.powi(i32::from(level))
}

/// The level, not rounded, that admits this fraction.
fn level_of(admitted_fraction: f64) -> f64 {
    admitted_fraction.ln() / LEVEL_FRACTION.ln()
}

fn per_second(now: Micros, window: &SlidingWindow) -> f64 {
    window.sums(now).part * MICROS_PER_SECOND / window.length() as f64
}
