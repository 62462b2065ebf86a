//! The line at one host: how many own offers may be out there at once, so that the lines of all placers
//! together stay short whatever their number.
//!
//! No placer sees the line of the others, and none is told what a host can do. What each sees is how long
//! its own starts take, and that is alike for all who stand in one line. So the window follows a target for
//! that delay, as Swift does for packets (Kumar et al., "Swift: Delay is Simple and Effective for Congestion
//! Control in the Datacenter", SIGCOMM 2020, section 3.2): it grows by a constant part while starts come
//! within the target and is cut in proportion to the excess, at most once in a line's time. Windows under
//! one are kept by pacing: one offer may be out for that part of the time. What is ours: the part by which
//! all windows grow together is one offer, whatever the number of placers; growth is faster while the delay
//! is under half of the target; a host that is slow by itself gets a longer target, up to a bound.
//!
//! ```text
//!              start in time                  late, lost, queue full
//!   ┌──────┐ ───────────────▶ wider    ┌──────┐ ───────────────▶ narrower
//!   │ open │                           │ open │
//!   └──┬───┘ ◀──────── a start ──────┐ └──────┘
//!      │ nothing but losses          │
//!      └───────────────▶ ┌───────────┴┐  own turn: one offer
//!                        │ in doubt   │ ────────────────────▶ (again in doubt, or open)
//!                        └────────────┘
//! ```

use crate::Micros;

/// Starts of so long ago no longer tell what a host takes by itself.
const FLOOR_SPAN: Micros = 30_000_000;
/// The target over what a host takes by itself.
const OVER_FLOOR: f64 = 1.3;
/// The most that one cut takes, and the part of the excess that it takes (Swift's max_mdf and beta).
const MOST_CUT: f64 = 0.5;
const CUT: f64 = 0.8;
/// The weight of a start in the mean delay.
const WEIGHT: f64 = 0.25;
/// The window is taken back to its beginning after a silence of so many mean delays, and not sooner than
/// `IDLE`: what it stood for then is over.
const IDLE_DELAYS: f64 = 20.0;
const IDLE: Micros = 5_000_000;
/// The least that the windows of all placers sink to together, as a part of what they begin with: so many
/// offers keep a host busy, and are a short line.
const LEAST: f64 = 0.25;
/// The part of itself by which a window grows with each start while the line is very short.
const FAST: f64 = 0.5;
/// The shortest delay is taken to be no more than this part of what is aimed at.
const SHORTEST: f64 = 0.25;
/// Losses in a row, with no start between them, from which on a host is in doubt.
const LOSSES: u32 = 2;

/// What lines go by.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The delay of a start that is aimed at, as a part of the aim of its class.
    pub target: f64,
    /// The most that the target becomes at hosts that are slow by themselves.
    pub most_target: f64,
    /// Own offers that may be out at a host, of all placers together, at the beginning.
    pub first: f64,
    /// Own offers that may be out at a host, of this placer.
    pub most: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            target: 0.4,
            most_target: 0.75,
            first: 8.0,
            most: 32.0,
        }
    }
}

/// The least of a figure over the last while, in two halves, so that old news leaves.
#[derive(Debug, Clone, Copy)]
struct Floor {
    since: Micros,
    now: f64,
    before: f64,
}

impl Floor {
    fn see(&mut self, now: Micros, value: f64) {
        if now - self.since > FLOOR_SPAN / 2 {
            let old = now - self.since > FLOOR_SPAN;
            self.before = if old { f64::INFINITY } else { self.now };
            (self.since, self.now) = (now, f64::INFINITY);
        }
        self.now = self.now.min(value);
    }

    fn least(&self) -> f64 {
        self.now.min(self.before)
    }
}

/// The line at one host, as one placer keeps it.
#[derive(Debug, Clone)]
pub struct Line {
    /// Own offers that may be out at once; below 1, for that part of the time.
    window: f64,
    /// The window that it begins with, and its least.
    first: f64,
    least: f64,
    /// What all placers' windows grow by together, as this placer's part.
    step: f64,
    out: u32,
    /// The mean delay of starts, in microseconds, and when the latest was.
    delay: f64,
    started_at: Micros,
    /// The shortest delay that was seen.
    shortest: f64,
    /// The delay that is aimed at, in microseconds.
    aimed: f64,
    floor: Floor,
    /// Offers sent before then were judged by the latest cut.
    cut_at: Micros,
    /// When the part of an offer beyond the whole ones may go out.
    next: Micros,
    /// When an offer last went out, and when one last used the window up.
    offered_at: Micros,
    used_up_at: Micros,
    /// Losses since the last start.
    losses: u32,
}

impl Line {
    /// A line of which nothing is known, among so many placers. `aim` is the shortest aim of a class.
    pub fn new(settings: &Settings, placers: usize, aim: Micros) -> Line {
        let placers = placers.max(1) as f64;
        let first = (settings.first / placers).min(settings.most);
        Line {
            window: first,
            first,
            least: LEAST * first,
            step: 1.0 / placers,
            out: 0,
            delay: settings.target * aim as f64 / 2.0,
            started_at: Micros::MIN,
            shortest: f64::INFINITY,
            aimed: settings.target * aim as f64,
            floor: Floor {
                since: 0,
                now: f64::INFINITY,
                before: f64::INFINITY,
            },
            cut_at: Micros::MIN,
            next: Micros::MIN,
            offered_at: Micros::MIN,
            used_up_at: Micros::MIN,
            losses: 0,
        }
    }

    /// The window.
    pub fn window(&self) -> f64 {
        self.window
    }

    /// The mean delay of starts.
    pub fn delay(&self) -> Micros {
        self.delay as Micros
    }

    /// Own offers that are out.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// Whether nothing but losses came of the last offers: the host gets no more than trials.
    pub fn in_doubt(&self) -> bool {
        self.losses >= LOSSES
    }

    /// Puts the host in doubt on the word of its neighbours.
    pub fn doubt(&mut self) {
        self.losses = self.losses.max(LOSSES);
    }

    /// Own offers that may be out at `now`, those that are out among them. Of a host in doubt none; see
    /// [`super::turns`].
    pub fn most(&self, now: Micros) -> u32 {
        if self.in_doubt() {
            return 0;
        }
        let (whole, part) = self.parts();
        whole + u32::from(part > 0.0 && now >= self.next)
    }

    /// When [`Line::most`] is next to change by itself.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        (!self.in_doubt() && self.parts().1 > 0.0 && self.next > now).then_some(self.next)
    }

    fn parts(&self) -> (u32, f64) {
        let whole = self.window.floor();
        (whole as u32, self.window - whole)
    }

    /// An own offer goes out. `spread` from 0 to 1 keeps placers that began together from going on together.
    pub fn offered(&mut self, now: Micros, spread: f64) {
        if now.saturating_sub(self.offered_at) > IDLE.max((IDLE_DELAYS * self.delay) as Micros) {
            self.window = self.window.min(self.first);
        }
        self.offered_at = now;
        let (whole, part) = self.parts();
        if self.out >= whole {
            if part > 0.0 {
                self.next =
                    now.saturating_add((self.pace(now) / part * (0.75 + 0.5 * spread)) as Micros);
            }
            self.used_up_at = now;
        }
        self.out += 1;
        if self.out >= whole {
            self.used_up_at = now;
        }
    }

    /// The time that an offer takes, for pacing: the mean delay, which says less the older it is, down to the
    /// shortest that was seen. A longer one than is aimed at is met by the window.
    fn pace(&self, now: Micros) -> f64 {
        if self.started_at == Micros::MIN {
            return self.delay;
        }
        let age = now.saturating_sub(self.started_at).max(0) as f64 / self.aimed;
        let shortest = self.shortest.min(self.aimed * SHORTEST);
        (self.delay.min(self.aimed) * 0.5f64.powf(age)).max(shortest)
    }

    /// An own offer has started its task, `delay` after it went out.
    pub fn started(&mut self, settings: &Settings, now: Micros, delay: Micros, aim: Micros) {
        self.out = self.out.saturating_sub(1);
        if self.in_doubt() {
            self.window = self.step.clamp(self.least, self.first);
        }
        (self.losses, self.started_at) = (0, now);
        let delay_f = delay.max(1) as f64;
        self.delay += WEIGHT * (delay_f - self.delay);
        self.shortest = self.shortest.min(delay_f);
        let stretch = delay_f / aim.max(1) as f64;
        let target = self.target(settings);
        self.floor.see(now, stretch);
        if stretch > target {
            return self.cut(
                now - delay,
                now,
                (CUT * (stretch - target) / stretch).min(MOST_CUT),
            );
        }
        // A window that was not used up is no reason for a wider one.
        if now.saturating_sub(self.used_up_at) <= (4.0 * self.delay) as Micros {
            let fast = FAST * (1.0 - 2.0 * stretch / target).max(0.0) * self.window.min(1.0);
            // One start is the news of so many lines' times where the window is under one.
            let slow = (self.step / self.window).min(self.window);
            self.window = (self.window + fast.max(slow)).min(settings.most);
        }
    }

    fn target(&self, settings: &Settings) -> f64 {
        let least = self.floor.least();
        let slow = if least.is_finite() {
            OVER_FLOOR * least
        } else {
            0.0
        };
        slow.clamp(settings.target, settings.most_target.max(settings.target))
    }

    /// Nothing came of an own offer that went out at `sent` in the time that it had; `reached` where it had
    /// reached the host, so that one that had less time than starts take is no loss.
    pub fn lost(&mut self, now: Micros, sent: Micros, reached: bool) {
        self.out = self.out.saturating_sub(1);
        if reached && (now - sent) < self.delay.min(self.aimed) as Micros {
            return;
        }
        self.losses = self.losses.saturating_add(1);
        self.cut(sent, now, MOST_CUT);
    }

    /// The host has no place for another offer to look at.
    pub fn crowded(&mut self, now: Micros, sent: Micros) {
        self.out = self.out.saturating_sub(1);
        self.losses = 0;
        self.cut(sent, now, MOST_CUT);
    }

    /// An own offer is over in another way; `heard` where the host answered.
    pub fn ended(&mut self, heard: bool) {
        self.out = self.out.saturating_sub(1);
        if heard {
            self.losses = 0;
        }
    }

    /// Cuts the window, unless the offer that is the reason went out before the cut before.
    fn cut(&mut self, sent: Micros, now: Micros, part: f64) {
        if sent >= self.cut_at {
            self.cut_at = now;
            self.window = (self.window * (1.0 - part)).max(self.least);
        }
    }
}
