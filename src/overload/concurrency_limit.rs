//! Concurrency limit of one host: how many attempts of this placer may be in flight there. It keeps the queue of the
//! attempts of all placers short, whatever the number of placers.
//!
//! A placer neither sees the attempts that other placers have queued at a host nor knows the host's capacity. But it
//! measures how long its own tasks take to start, and this delay is the same for all attempts that wait in one queue.
//! So the placer adapts a congestion window to a target delay, as Swift does for packets (Kumar et al., "Swift:
//! Delay is Simple and Effective for Congestion Control in the Datacenter", SIGCOMM 2020, section 3.2): the window
//! grows additively while starts are within the target, and is decreased in proportion to the excess, at most once per
//! queueing delay. A window below one is enforced by pacing: one attempt may be in flight for that fraction of the
//! time. There are three differences from Swift: the windows of all placers together grow by one attempt, whatever
//! the number of placers; a window grows faster while the delay is below half of the target; and a host that is slow
//! even when idle gets a longer target, up to a limit.
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

/// How long the delay of a start is taken into account in the minimum delay of its host, in microseconds.
const MIN_DELAY_EXPIRY: Micros = 30_000_000;
/// The target delay of a host that is slow even when idle, as a multiple of its minimum delay.
const TARGET_PER_MIN_DELAY: f64 = 1.3;
/// The largest fraction by which the congestion window is decreased at once (`max_mdf` in Swift).
const MAX_DECREASE: f64 = 0.5;
/// Factor of a decrease of the congestion window (`beta` in Swift): the window loses this factor times the fraction of
/// the measured delay that exceeds the target.
const DECREASE_GAIN: f64 = 0.8;
/// The weight of one start in the moving average of the delay.
const DELAY_WEIGHT: f64 = 0.25;
/// A window above its initial value returns to that value after a time without attempts of this many mean delays, and
/// of at least [`MIN_IDLE`], since the load that the window was adapted to has passed.
const IDLE_DELAYS: f64 = 20.0;
/// The shortest time without attempts after which a window returns to its initial value, in microseconds.
const MIN_IDLE: Micros = 5_000_000;
/// The minimum window as a fraction of the initial one. The minimum windows of all placers together keep a host busy
/// and its queue short.
const MIN_WINDOW_FRACTION: f64 = 0.25;
/// The largest fraction of a window, or of 1 if the window is larger, by which it grows per start while the host's
/// queue is very short.
const FAST_GROWTH: f64 = 0.5;
/// When the pacing delay is computed, the shortest observed delay is taken to be at most this fraction of the target
/// delay.
const MAX_SHORTEST_DELAY_FRACTION: f64 = 0.25;
/// The number of consecutive losses after which a host is suspect.
const SUSPECT_LOSSES: u32 = 2;
/// A window may grow only if it was full recently, that is, if as many attempts as it allows were in flight. This is
/// the time that counts as recent, as a multiple of the mean delay of starts.
const RECENTLY_FULL_DELAYS: f64 = 4.0;

/// Settings of the concurrency limits of all hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The target delay of a start, as a fraction of the latency objective of its class.
    pub target: f64,
    /// The largest target delay at hosts that are slow even when idle, as a fraction of the latency objective.
    pub max_target: f64,
    /// The sum of the initial windows of all placers at a host.
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
    /// The host received the attempt and did not answer in time.
    Delivered,
    /// The host may not have received the attempt.
    Unknown,
}

/// Whether an attempt that ended without starting its task shows that its host answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostResponse {
    /// The host answered.
    Answered,
    /// The end of the attempt does not show whether the host answers.
    None,
}

/// The minimum of a value over the last [`MIN_DELAY_EXPIRY`]. A separate minimum is kept for each half of that time, so
/// that old values expire.
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
        if elapsed > MIN_DELAY_EXPIRY / 2 {
            let has_expired = elapsed > MIN_DELAY_EXPIRY;
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
    /// The number of attempts that may be in flight at once. Below 1, one attempt may be in flight for that fraction of
    /// the time.
    window: f64,
    initial_window: f64,
    min_window: f64,
    /// This placer's part of the one attempt by which the windows of all placers together grow.
    growth: f64,
    in_flight: u32,
    /// The moving average of the delay of starts, in microseconds.
    mean_delay: f64,
    last_start: Micros,
    /// The shortest delay of any start at this host, in microseconds.
    shortest_delay: f64,
    /// The target delay of the class with the shortest latency objective, in microseconds.
    target_delay: f64,
    /// The minimum of recent delays of starts, each as a fraction of the latency objective of its class.
    min_relative_delay: WindowedMinimum,
    /// When the window was last decreased. Attempts sent earlier do not decrease it again.
    last_decrease: Micros,
    /// When pacing next allows an attempt for the fraction of the window beyond its whole attempts.
    next_paced_attempt: Micros,
    last_attempt: Micros,
    /// When as many attempts as the window allows were last in flight.
    last_full: Micros,
    consecutive_losses: u32,
}

impl ConcurrencyLimit {
    /// Creates the limit of a host about which nothing is known yet, for one of `placer_count` placers.
    /// `latency_objective` is the shortest of any class.
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
            min_relative_delay: WindowedMinimum::EMPTY,
            last_decrease: Micros::MIN,
            next_paced_attempt: Micros::MIN,
            last_attempt: Micros::MIN,
            last_full: Micros::MIN,
            consecutive_losses: 0,
        }
    }

    /// Returns the congestion window, in attempts.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Returns the moving average of the delay of starts.
    pub fn mean_delay(&self) -> Micros {
        self.mean_delay as Micros
    }

    /// Returns the number of this placer's attempts that are in flight at the host.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the host is suspect because the latest attempts were all lost. It then gets only health checks.
    pub fn is_suspect(&self) -> bool {
        self.consecutive_losses >= SUSPECT_LOSSES
    }

    /// Marks the host as suspect because other hosts of its zone are suspect.
    pub fn mark_suspect(&mut self) {
        self.consecutive_losses = self.consecutive_losses.max(SUSPECT_LOSSES);
    }

    /// Returns how many attempts may be in flight at `now`, including those in flight already. For a suspect host this
    /// is 0; [`super::health_check_schedule`] decides when it gets an attempt.
    pub fn max_in_flight(&self, now: Micros) -> u32 {
        if self.is_suspect() {
            return 0;
        }
        let (whole, fraction) = self.window_parts();
        let paced = u32::from(fraction > 0.0 && now >= self.next_paced_attempt);
        whole + paced
    }

    /// Returns when [`ConcurrencyLimit::max_in_flight`] next changes by the passage of time alone, or `None` if it does
    /// not.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let waits_for_pace =
            !self.is_suspect() && self.window_parts().1 > 0.0 && self.next_paced_attempt > now;
        waits_for_pace.then_some(self.next_paced_attempt)
    }

    /// Records that an attempt was sent. `jitter`, from 0 to 1, varies the pacing so that placers do not stay
    /// synchronized.
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
        self.min_relative_delay.add(now, relative_delay);
        if relative_delay > target {
            let fraction = DECREASE_GAIN * (relative_delay - target) / relative_delay;
            return self.decrease(now - delay, now, fraction.min(MAX_DECREASE));
        }
        self.grow(now, relative_delay / target, settings.max_window);
    }

    /// Records that an attempt sent at `sent_at` was lost. A loss does not count if the attempt was delivered and had
    /// less time than starts usually take.
    pub fn attempt_lost(&mut self, now: Micros, sent_at: Micros, delivery: Delivery) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let usual_delay = self.mean_delay.min(self.target_delay) as Micros;
        if delivery == Delivery::Delivered && now - sent_at < usual_delay {
            return;
        }
        self.consecutive_losses = self.consecutive_losses.saturating_add(1);
        self.decrease(sent_at, now, MAX_DECREASE);
    }

    /// Records that the host rejected an attempt sent at `sent_at` because the host's queue is full.
    pub fn queue_full(&mut self, now: Micros, sent_at: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.consecutive_losses = 0;
        self.decrease(sent_at, now, MAX_DECREASE);
    }

    /// Records that an attempt ended in a way other than a start, a loss or a rejection by a full queue.
    pub fn attempt_ended(&mut self, response: HostResponse) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if response == HostResponse::Answered {
            self.consecutive_losses = 0;
        }
    }

    /// Returns the window as a number of whole attempts and the remaining fraction of an attempt.
    fn window_parts(&self) -> (u32, f64) {
        let whole = self.window.floor();
        (whole as u32, self.window - whole)
    }

    /// Returns the delay that is assumed for an attempt when attempts are paced, in microseconds. It is the mean delay
    /// of starts, reduced with the time since the latest start down to the shortest delay observed. It is at most the
    /// target, since a delay beyond the target narrows the window instead.
    fn pacing_delay(&self, now: Micros) -> f64 {
        if self.last_start == Micros::MIN {
            return self.mean_delay;
        }
        let age = now.saturating_sub(self.last_start).max(0) as f64 / self.target_delay;
        let shortest = self
            .shortest_delay
            .min(self.target_delay * MAX_SHORTEST_DELAY_FRACTION);
        (self.mean_delay.min(self.target_delay) * 0.5f64.powf(age)).max(shortest)
    }

    /// Returns the target delay at this host, as a fraction of the latency objective.
    fn target(&self, settings: &Settings) -> f64 {
        let min_delay = self.min_relative_delay.minimum();
        let slow_host_target = if min_delay.is_finite() {
            TARGET_PER_MIN_DELAY * min_delay
        } else {
            0.0
        };
        slow_host_target.clamp(settings.target, settings.max_target.max(settings.target))
    }

    /// Widens the window after a start whose delay was `fraction_of_target` of the target, if the window was full
    /// recently.
    fn grow(&mut self, now: Micros, fraction_of_target: f64, max_window: f64) {
        let recent_span = (RECENTLY_FULL_DELAYS * self.mean_delay) as Micros;
        if now.saturating_sub(self.last_full) > recent_span {
            return;
        }
        let headroom = (1.0 - 2.0 * fraction_of_target).max(0.0);
        let fast = FAST_GROWTH * headroom * self.window.min(1.0);
        // While the window is below one, attempts are several queueing delays apart, and so one start stands for
        // several queueing delays.
        let additive = (self.growth / self.window).min(self.window);
        self.window = (self.window + fast.max(additive)).min(max_window);
    }

    /// Narrows the window because of an attempt sent at `sent_at`, unless the attempt was sent before the latest
    /// decrease.
    fn decrease(&mut self, sent_at: Micros, now: Micros, fraction: f64) {
        if sent_at >= self.last_decrease {
            self.last_decrease = now;
            self.window = (self.window * (1.0 - fraction)).max(self.min_window);
        }
    }
}
