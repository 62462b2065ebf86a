//! Concurrency limit of one host: how many attempts of this placer may be in flight there, so that the queue of
//! all placers together stays short whatever their number.
//!
//! No placer sees the queue of the others, and none knows a host's capacity. Each sees how long its own starts
//! take, and that delay is common to all who wait in one queue. So a congestion window follows a target delay,
//! as Swift does for packets (Kumar et al., "Swift: Delay is Simple and Effective for Congestion Control in the
//! Datacenter", SIGCOMM 2020, section 3.2): it grows additively while starts come within the target, and is
//! decreased in proportion to the excess, at most once per queueing delay. Windows below one are kept by
//! pacing: one attempt may be in flight for that fraction of the time. Different from Swift: the windows of all
//! placers together grow by one attempt, whatever their number; growth is faster while the delay is below half
//! of the target; and a host that is slow even when idle gets a longer target, up to a limit.
//!
//! ```text
//!             start within the target                late start, loss, or full queue
//!   ┌──────┐ ───────────────▶ wider window    ┌──────┐ ───────────────▶ narrower window
//!   │ open │                                  │ open │
//!   └──┬───┘ ◀────────── a start ──────┐      └──────┘
//!      │ consecutive losses            │
//!      └─────────────────▶ ┌───────────┴┐  own slot: one attempt as a health check
//!                          │  suspect   │ ────────────────────▶ (suspect again, or open)
//!                          └────────────┘
//! ```

use crate::Micros;

/// Starts longer ago than this no longer count for a host's minimum delay.
const DELAY_FLOOR_SPAN: Micros = 30_000_000;
/// The target delay of a slow host, as a multiple of its minimum delay.
const TARGET_OVER_FLOOR: f64 = 1.3;
/// The largest fraction by which one decrease narrows the window (Swift's max_mdf).
const MAX_DECREASE: f64 = 0.5;
/// The fraction of the excess delay by which the window is narrowed (Swift's beta).
const DECREASE_GAIN: f64 = 0.8;
/// The weight of one start in the moving average of the delay.
const DELAY_WEIGHT: f64 = 0.25;
/// The window returns to its initial value after a pause of so many mean delays, and of at least
/// [`MIN_IDLE`]: what it was adapted to is over.
const IDLE_DELAYS: f64 = 20.0;
const MIN_IDLE: Micros = 5_000_000;
/// The minimum window as a fraction of the initial one: so many attempts keep a host busy and its queue short.
const MIN_WINDOW_FRACTION: f64 = 0.25;
/// The largest fraction of itself by which the window grows per start while the queue is very short.
const FAST_GROWTH: f64 = 0.5;
/// The shortest delay is assumed to be at most this fraction of the target delay.
const MAX_SHORTEST_FRACTION: f64 = 0.25;
/// Consecutive losses after which a host is suspect.
const SUSPECT_LOSSES: u32 = 2;
/// A window that was full within so many mean delays may grow.
const RECENTLY_FULL_DELAYS: f64 = 4.0;

/// Settings of all concurrency limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The target delay of a start, as a fraction of the latency objective of its class.
    pub target: f64,
    /// The largest target at hosts that are slow even when idle.
    pub max_target: f64,
    /// The initial window of a host, of all placers together.
    pub initial_window: f64,
    /// The largest window of this placer at a host.
    pub max_window: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            target: 0.4,
            max_target: 0.75,
            initial_window: 8.0,
            max_window: 32.0,
        }
    }
}

/// Whether a lost attempt had been delivered to its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The host had received it, and did not answer in time.
    Delivered,
    /// It may not have been received.
    Unknown,
}

/// Whether an attempt that ended without a start shows that its host answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostResponse {
    /// The host answered.
    Answered,
    /// The end says nothing about the host.
    None,
}

/// The minimum of a value over the last while, in two halves, so that old values expire.
#[derive(Debug, Clone, Copy)]
struct WindowedMinimum {
    half_started_at: Micros,
    current_half: f64,
    previous_half: f64,
}

impl WindowedMinimum {
    const EMPTY: WindowedMinimum = WindowedMinimum {
        half_started_at: 0,
        current_half: f64::INFINITY,
        previous_half: f64::INFINITY,
    };

    fn add(&mut self, now: Micros, value: f64) {
        let elapsed = now - self.half_started_at;
        if elapsed > DELAY_FLOOR_SPAN / 2 {
            let has_expired = elapsed > DELAY_FLOOR_SPAN;
            self.previous_half = if has_expired {
                f64::INFINITY
            } else {
                self.current_half
            };
            self.half_started_at = now;
            self.current_half = f64::INFINITY;
        }
        self.current_half = self.current_half.min(value);
    }

    fn minimum(&self) -> f64 {
        self.current_half.min(self.previous_half)
    }
}

/// The concurrency limit of one host, as one placer keeps it.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    /// Attempts that may be in flight at once; below 1, for that fraction of the time.
    window: f64,
    initial_window: f64,
    min_window: f64,
    /// This placer's part of the one attempt by which the windows of all placers grow together.
    growth: f64,
    in_flight: u32,
    /// Moving average of the delay of starts, in microseconds.
    mean_delay: f64,
    last_start: Micros,
    /// The shortest delay of any start, in microseconds.
    shortest_delay: f64,
    /// The target delay, in microseconds.
    target_delay: f64,
    /// Delays as fractions of their latency objectives.
    delay_floor: WindowedMinimum,
    /// Attempts sent before this were taken into account by the latest decrease.
    last_decrease: Micros,
    /// When the fraction of an attempt beyond the whole ones may be sent.
    next_paced_attempt: Micros,
    last_attempt: Micros,
    last_full: Micros,
    consecutive_losses: u32,
}

impl ConcurrencyLimit {
    /// Creates the limit of an unknown host, for one of `placer_count` placers. `latency_objective` is the
    /// shortest of any class.
    pub fn new(
        settings: &Settings,
        placer_count: usize,
        latency_objective: Micros,
    ) -> ConcurrencyLimit {
        let placer_count = placer_count.max(1) as f64;
        let initial_window = (settings.initial_window / placer_count).min(settings.max_window);
        let target_delay = settings.target * latency_objective as f64;
        ConcurrencyLimit {
            window: initial_window,
            initial_window,
            min_window: MIN_WINDOW_FRACTION * initial_window,
            growth: 1.0 / placer_count,
            in_flight: 0,
            mean_delay: target_delay / 2.0,
            last_start: Micros::MIN,
            shortest_delay: f64::INFINITY,
            target_delay,
            delay_floor: WindowedMinimum::EMPTY,
            last_decrease: Micros::MIN,
            next_paced_attempt: Micros::MIN,
            last_attempt: Micros::MIN,
            last_full: Micros::MIN,
            consecutive_losses: 0,
        }
    }

    /// Returns the window.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Returns the mean delay of starts.
    pub fn mean_delay(&self) -> Micros {
        self.mean_delay as Micros
    }

    /// Returns the number of this placer's attempts that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the last attempts were all lost. A suspect host gets health checks only.
    pub fn is_suspect(&self) -> bool {
        self.consecutive_losses >= SUSPECT_LOSSES
    }

    /// Marks the host as suspect because its neighbours are.
    pub fn mark_suspect(&mut self) {
        self.consecutive_losses = self.consecutive_losses.max(SUSPECT_LOSSES);
    }

    /// Returns how many attempts may be in flight at `now`, including those that are. None at a suspect host;
    /// see [`super::health_check_schedule`].
    pub fn max_in_flight(&self, now: Micros) -> u32 {
        if self.is_suspect() {
            return 0;
        }
        let (whole, fraction) = self.window_parts();
        let paced = u32::from(fraction > 0.0 && now >= self.next_paced_attempt);
        whole + paced
    }

    /// Returns when [`ConcurrencyLimit::max_in_flight`] next changes by the passing of time.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let waits_for_pace =
            !self.is_suspect() && self.window_parts().1 > 0.0 && self.next_paced_attempt > now;
        waits_for_pace.then_some(self.next_paced_attempt)
    }

    /// Records that an attempt was sent. `jitter`, from 0 to 1, keeps placers from staying in step.
    pub fn attempt_sent(&mut self, now: Micros, jitter: f64) {
        let idle_limit = MIN_IDLE.max((IDLE_DELAYS * self.mean_delay) as Micros);
        if now.saturating_sub(self.last_attempt) > idle_limit {
            self.window = self.window.min(self.initial_window);
        }
        self.last_attempt = now;
        let (whole, fraction) = self.window_parts();
        if self.in_flight >= whole {
            if fraction > 0.0 {
                let pause = self.pacing_delay(now) / fraction * (0.75 + 0.5 * jitter);
                self.next_paced_attempt = now.saturating_add(pause as Micros);
            }
            self.last_full = now;
        }
        self.in_flight += 1;
        if self.in_flight >= whole {
            self.last_full = now;
        }
    }

    /// Records that an attempt started its task, `delay` after it was sent.
    pub fn attempt_started(
        &mut self,
        settings: &Settings,
        now: Micros,
        delay: Micros,
        latency_objective: Micros,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.is_suspect() {
            self.window = self.growth.clamp(self.min_window, self.initial_window);
        }
        self.consecutive_losses = 0;
        self.last_start = now;
        let delay_micros = delay.max(1) as f64;
        self.mean_delay += DELAY_WEIGHT * (delay_micros - self.mean_delay);
        self.shortest_delay = self.shortest_delay.min(delay_micros);
        let relative_delay = delay_micros / latency_objective.max(1) as f64;
        let target = self.target(settings);
        self.delay_floor.add(now, relative_delay);
        if relative_delay > target {
            let fraction = DECREASE_GAIN * (relative_delay - target) / relative_delay;
            return self.decrease(now - delay, now, fraction.min(MAX_DECREASE));
        }
        self.grow(now, relative_delay / target, settings.max_window);
    }

    /// Records that an attempt sent at `sent_at` was lost. One that was delivered, and had less time than
    /// starts take, does not count.
    pub fn attempt_lost(&mut self, now: Micros, sent_at: Micros, delivery: Delivery) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let usual_delay = self.mean_delay.min(self.target_delay) as Micros;
        if delivery == Delivery::Delivered && now - sent_at < usual_delay {
            return;
        }
        self.consecutive_losses = self.consecutive_losses.saturating_add(1);
        self.decrease(sent_at, now, MAX_DECREASE);
    }

    /// Records that the host rejected an attempt because its queue is full.
    pub fn queue_full(&mut self, now: Micros, sent_at: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.consecutive_losses = 0;
        self.decrease(sent_at, now, MAX_DECREASE);
    }

    /// Records that an attempt ended in another way.
    pub fn attempt_ended(&mut self, response: HostResponse) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if response == HostResponse::Answered {
            self.consecutive_losses = 0;
        }
    }

    /// The whole attempts of the window, and the fraction beyond them.
    fn window_parts(&self) -> (u32, f64) {
        let whole = self.window.floor();
        (whole as u32, self.window - whole)
    }

    /// The delay of an attempt, for pacing, in microseconds: the mean, which decays with its age down to the
    /// shortest one seen. A delay beyond the target narrows the window instead.
    fn pacing_delay(&self, now: Micros) -> f64 {
        if self.last_start == Micros::MIN {
            return self.mean_delay;
        }
        let age = now.saturating_sub(self.last_start).max(0) as f64 / self.target_delay;
        let shortest = self
            .shortest_delay
            .min(self.target_delay * MAX_SHORTEST_FRACTION);
        (self.mean_delay.min(self.target_delay) * 0.5f64.powf(age)).max(shortest)
    }

    /// The target delay at this host, as a fraction of the latency objective.
    fn target(&self, settings: &Settings) -> f64 {
        let floor = self.delay_floor.minimum();
        let floor_target = if floor.is_finite() {
            TARGET_OVER_FLOOR * floor
        } else {
            0.0
        };
        floor_target.clamp(settings.target, settings.max_target.max(settings.target))
    }

    /// Widens the window after a start at this fraction of the target delay, if it was full lately.
    fn grow(&mut self, now: Micros, fraction_of_target: f64, max_window: f64) {
        let recently = (RECENTLY_FULL_DELAYS * self.mean_delay) as Micros;
        if now.saturating_sub(self.last_full) > recently {
            return;
        }
        let headroom = (1.0 - 2.0 * fraction_of_target).max(0.0);
        let fast = FAST_GROWTH * headroom * self.window.min(1.0);
        // Below a window of one, a start is the evidence of several queueing delays.
        let additive = (self.growth / self.window).min(self.window);
        self.window = (self.window + fast.max(additive)).min(max_window);
    }

    /// Narrows the window, unless the attempt that is the reason was sent before the latest decrease.
    fn decrease(&mut self, sent_at: Micros, now: Micros, fraction: f64) {
        if sent_at >= self.last_decrease {
            self.last_decrease = now;
            self.window = (self.window * (1.0 - fraction)).max(self.min_window);
        }
    }
}
