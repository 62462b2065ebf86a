//! Admission control: decides which tasks are admitted while more tasks are requested than hosts can start.
//!
//! Load is shed by levels. At level `n` the fraction [`LEVEL_FRACTION`]^n of the requests is admitted. Requests
//! are ranked in one order, which is the same at every placer: by priority, then those within their tenant's quota
//! before those beyond it, then first requests before retries, then by a hash of the task and the current epoch,
//! so that each epoch sheds other tasks first. Overload control of large services does the same with one level that all
//! instances share (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018). Placers exchange no
//! messages, so each determines its own level. Since all placers observe the queues of the same hosts, they arrive at
//! similar levels; coarse levels and separate thresholds for rise and fall keep the levels similar.
//!
//! ```text
//!             late starts, or tasks given up:        starts within the objective for a while: falls
//!             rises by at most MAX_RISE levels       by the ratio of earlier starts to requests
//!   level 0 ─────────────────────────────▶ level n ─────────────────────────▶ level m < n
//! ```
//!
//! Only tasks requested after the latest change of the level count for the next change, because earlier requests
//! still show the effect of the previous level.

use super::hash::hash_fraction;
use crate::Micros;
use crate::health::sliding_window::SlidingWindow;

/// The fraction of the requests admitted at one level that the next higher level still admits.
pub const LEVEL_FRACTION: f64 = 0.9;
/// The highest shed level. It admits 3.4 % of the requests, because some tasks must start for the placer to detect
/// that there is capacity again.
pub const MAX_LEVEL: u8 = 32;
/// The most levels by which one adjustment raises the level. After such a rise a third of the requests admitted
/// before is still admitted, until the effect of the new level is known.
const MAX_RISE: f64 = 10.0;
/// The minimum number of outcomes (starts and given-up tasks) from which the level may be raised. Fewer outcomes do not
/// show whether the level is right.
const MIN_OUTCOMES: f64 = 6.0;
/// The length of the window over which requests are counted by bucket (a combination of priority, quota state and
/// client attempt), in multiples of the shortest latency objective.
const MIX_WINDOW_OBJECTIVES: Micros = 1;
/// A backlog cannot be started in time if its oldest task has waited longer than this fraction of the latency
/// objective, and it also holds more tasks than [`BACKLOG_STARTS`] permits.
const BACKLOG_WAIT: f64 = 0.25;
/// The fraction of the latency objective within which all waiting tasks must be able to start, at the current rate of
/// starts. A larger backlog cannot be started in time if its oldest task has also waited longer than [`BACKLOG_WAIT`].
const BACKLOG_STARTS: f64 = 0.4;
/// The fraction of the rate of starts observed under overload that is taken as the capacity.
const CAPACITY_MARGIN: f64 = 0.95;
/// The counts of starts and given-up tasks are reset once a shed level has lasted for this many latency objectives.
const OUTCOME_RESET_OBJECTIVES: Micros = 4;
/// The number of levels by which the shed level may fall at once if the mean delay of starts is at most
/// [`Settings::low_delay`].
const LOW_DELAY_FALL: f64 = 1.0;
/// The number of levels by which the shed level may fall at once if the mean delay of starts is at most half of
/// [`Settings::low_delay`].
const VERY_LOW_DELAY_FALL: f64 = 2.0;
/// Salt of the hash that decides which tasks of a tenant are taken to be within its quota.
pub const QUOTA_SALT: u64 = 0x7368_6172;
const MICROS_PER_SECOND: f64 = 1e6;

/// Settings of admission control. Delays are fractions of a task's latency objective, measured from its request.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The mean delay of starts above which starts are too late and the level may rise.
    pub late: f64,
    /// The mean delay of starts up to which the level may fall further than the observed capacity alone allows.
    pub low_delay: f64,
    /// While load is shed, a task that has waited longer than this fraction is given up, because it cannot start in
    /// time.
    pub give_up_after: f64,
    /// The length of an epoch in microseconds: how long the same tasks are shed first.
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

/// Whether a client sends a request for the first time or retries it. A retry ranks lower, since it can hardly start
/// within the latency objective any more.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientAttempt {
    /// The client's first request for the task.
    #[default]
    First,
    /// A retry whose Retry-After, if any, has passed.
    Retry,
    /// A retry that arrives before its Retry-After has passed.
    EarlyRetry,
}

/// The attributes of a request that determine its rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The priority of the request's class, from 0 (lowest) to 3.
    pub priority: u8,
    /// The fraction of the requests of the same tenant that is within the tenant's quota.
    pub within_quota: f64,
    /// Whether the client sends the request for the first time or retries it.
    pub client_attempt: ClientAttempt,
    /// A hash of the task, which is the same at every placer.
    pub task_hash: u64,
}

const MAX_PRIORITY: u8 = 3;
const QUOTA_STATES: usize = 2;
const CLIENT_ATTEMPTS: usize = 3;
/// The number of buckets: one for each combination of priority, quota state and client attempt.
const BUCKETS: usize = (MAX_PRIORITY as usize + 1) * QUOTA_STATES * CLIENT_ATTEMPTS;
/// A retry is admitted only if the requests that rank before it make up at most this fraction of the requests that the
/// level admits. Otherwise one placer could admit retries while another, whose level is higher by one, sheds first
/// requests.
const RETRY_HEADROOM: f64 = 0.65;
/// The factor by which the epochs of retries are shorter than those of first requests. A retry was shed because of
/// its rank in one epoch, and would be shed again in the same epoch.
const RETRY_EPOCH_DIVISOR: Micros = 4;

impl Candidate {
    /// Returns the bucket of the candidate; lower buckets are admitted first.
    fn bucket(&self) -> usize {
        let beyond_quota = hash_fraction(self.task_hash, QUOTA_SALT) >= self.within_quota;
        let priority = usize::from(MAX_PRIORITY - self.priority.min(MAX_PRIORITY));
        (priority * QUOTA_STATES + usize::from(beyond_quota)) * CLIENT_ATTEMPTS
            + self.client_attempt as usize
    }
}

/// The admitted tasks that were requested after the latest change of the level and have no attempt in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The number of waiting tasks.
    pub tasks: usize,
    /// How long the oldest waiting task has waited, in microseconds.
    pub oldest_wait: Micros,
}

/// Outcomes of the tasks that were requested after the latest change of the level or reset of these counts.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    starts: f64,
    /// The sum of the delays of the starts, each as a fraction of its task's latency objective.
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
    /// The shortest latency objective of any class, in microseconds.
    latency_objective: Micros,
    level: u8,
    /// When the shed level last changed or the counts of outcomes were last reset.
    level_since: Micros,
    /// Recent requests by bucket.
    mix: Vec<SlidingWindow>,
    /// Requests within the last latency objective, whether admitted or not.
    requests: SlidingWindow,
    /// Starts within the last half of a latency objective.
    starts: SlidingWindow,
    outcomes: Outcomes,
    /// The rate of starts per second under overload, as observed when the level last rose.
    capacity_per_second: f64,
}

impl AdmissionController {
    /// Creates a controller that admits every request. `latency_objective` is the shortest of any class.
    pub fn new(settings: Settings, latency_objective: Micros) -> AdmissionController {
        let latency_objective = latency_objective.max(1);
        AdmissionController {
            settings,
            latency_objective,
            level: 0,
            level_since: 0,
            mix: vec![SlidingWindow::new(MIX_WINDOW_OBJECTIVES * latency_objective); BUCKETS],
            requests: SlidingWindow::new(latency_objective),
            starts: SlidingWindow::new(latency_objective / 2),
            outcomes: Outcomes::default(),
            capacity_per_second: 0.0,
        }
    }

    /// Returns the shed level; at level 0 every request is admitted.
    pub fn level(&self) -> u8 {
        self.level
    }

    /// Returns the time of the last change of the level or reset of the counts. Only tasks requested from then on are
    /// counted.
    pub fn level_since(&self) -> Micros {
        self.level_since
    }

    /// Returns the fraction of the requests that is admitted at the current level.
    pub fn admitted_fraction(&self) -> f64 {
        admitted_fraction(self.level)
    }

    /// Counts a request and returns its rank, from 0 (admitted first) to 1 (shed first). The request is admitted if
    /// its rank is below [`AdmissionController::admitted_fraction`].
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

    /// Records that a task has started. `relative_delay` is the time since `requested_at` as a fraction of the task's
    /// latency objective.
    pub fn record_start(&mut self, now: Micros, requested_at: Micros, relative_delay: f64) {
        self.starts.add(now, 1.0, 0.0);
        if requested_at >= self.level_since {
            self.outcomes.starts += 1.0;
            self.outcomes.relative_delays += relative_delay;
        }
    }

    /// Records that an admitted task was given up because it had no time or no attempts left.
    pub fn record_give_up(&mut self, requested_at: Micros) {
        if requested_at >= self.level_since {
            self.outcomes.given_up += 1.0;
        }
    }

    /// Adjusts the level to the outcomes and the backlog. Returns whether the level has changed.
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
        if elapsed >= OUTCOME_RESET_OBJECTIVES * self.latency_objective {
            self.set_level(now, f64::from(self.level));
        }
        false
    }

    /// Returns the higher level that a backlog calls for, or `None` if the backlog can be started in time or calls
    /// for no higher level.
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

    /// Returns whether any task was given up, or tasks started too late on average.
    fn outcomes_show_overload(&self) -> bool {
        self.outcomes.given_up > 0.0 || self.outcomes.mean_relative_delay() > self.settings.late
    }

    /// Returns the level that late starts and given-up tasks call for, or `None` if there are too few outcomes or
    /// they show no overload. If only a small fraction is late or given up, this may be the current level.
    fn level_by_late_outcomes(&self) -> Option<f64> {
        let outcomes = self.outcomes.count();
        if outcomes < MIN_OUTCOMES || !self.outcomes_show_overload() {
            return None;
        }
        // The fraction of the admitted tasks that started. If they started late, the sustainable fraction is also
        // at most the acceptable delay divided by their mean delay.
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

    /// Returns the lower level that suffices once starts are within the objective again, if there is one.
    fn level_after_recovery(&self, elapsed: Micros, requests_per_second: f64) -> Option<f64> {
        if self.level == 0 || self.outcomes_show_overload() || elapsed < self.min_level_duration() {
            return None;
        }
        // The capacity observed under overload may suffice for a larger fraction of the current requests. If the
        // delay of starts has been low for a while, there may be more capacity than was observed.
        let capacity = if requests_per_second > 0.0 {
            (CAPACITY_MARGIN * self.capacity_per_second / requests_per_second).min(1.0)
        } else {
            1.0
        };
        let by_capacity = level_of(capacity.max(f64::MIN_POSITIVE)).round();
        let by_low_delay = f64::from(self.level) - self.max_fall();
        let level = by_capacity.min(by_low_delay);
        (level < f64::from(self.level)).then_some(level)
    }

    /// Returns by how many levels the shed level may fall at once, given the mean delay of the starts.
    fn max_fall(&self) -> f64 {
        let mean_delay = self.outcomes.mean_relative_delay();
        if self.outcomes.starts == 0.0 || mean_delay > self.settings.low_delay {
            0.0
        } else if mean_delay > self.settings.low_delay / 2.0 {
            LOW_DELAY_FALL
        } else {
            VERY_LOW_DELAY_FALL
        }
    }

    /// Returns the shortest time for which a level lasts before it falls, so that the tasks that it admits can start.
    fn min_level_duration(&self) -> Micros {
        self.latency_objective / 2
    }

    /// Sets the level and resets the counts of outcomes. Returns whether the level has changed.
    fn set_level(&mut self, now: Micros, level: f64) -> bool {
        let level = level.clamp(0.0, f64::from(MAX_LEVEL)) as u8;
        let has_changed = level != self.level;
        self.level = level;
        self.level_since = now;
        self.outcomes = Outcomes::default();
        has_changed
    }
}

/// Returns the fraction of the requests that is admitted at the level `level`.
pub fn admitted_fraction(level: u8) -> f64 {
    LEVEL_FRACTION.powi(i32::from(level))
}

/// Returns the level, not rounded, at which this fraction of the requests is admitted.
fn level_of(admitted_fraction: f64) -> f64 {
    admitted_fraction.ln() / LEVEL_FRACTION.ln()
}

fn per_second(now: Micros, window: &SlidingWindow) -> f64 {
    window.sums(now).part * MICROS_PER_SECOND / window.length() as f64
}
