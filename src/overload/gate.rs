//! What is let through while more is asked than can be started.
//!
//! The gate has steps. At step `n` the part `STEP_PART`^n of what is asked is let through, the same part at
//! every placer that is at that step: what is asked is put in one order, by priority, then what is within its
//! tenant's share before what is beyond, then fresh before repeated, then by a hash of the task's name with an epoch, which turns round
//! who comes last. Published overload control of large services does the same with a level shared by all
//! (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018); here nothing is told
//! between placers, so that each finds its own step, and what makes them find the same one is that all see
//! the same hosts' lines. Coarse steps and two thresholds keep them there.
//!
//! ```text
//!            late starts, or tasks given up:           calm for `pause`:
//!            at most RISE steps at once                by what was started before, over what is asked
//!   step 0 ───────────────────────────────▶ step n ───────────────────────────▶ step m < n
//! ```
//!
//! Only what was asked after the latest change of the step counts for the next one: what was asked before
//! still tells of the step before.

use crate::Micros;
use crate::health::window::Window;

/// The part of one step that is let through at the next.
pub const STEP_PART: f64 = 0.9;
/// The last step lets 3.4 % through: some starts are needed to see that there is room again.
pub const MOST_STEP: u8 = 32;
/// The step rises by so many at once: a third is let through at the least, before it is seen what that did.
const RISE: f64 = 10.0;
/// Outcomes fewer than these say nothing of a step.
const ENOUGH: f64 = 6.0;
/// How long the mix of what is asked is looked at, in shortest aims.
const MIX_AIMS: Micros = 1;
/// Tasks that wait here for an offer, the oldest for so long and as many as are started in so long, both in
/// aims, are more than can be started in time.
const HELD: f64 = 0.25;
const MANY: f64 = 0.4;
/// What is said of room before the step falls: starts a second as they were in the trouble, over this.
const MARGIN: f64 = 0.95;

/// What the gate goes by.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Starts later than this part of their aim, from when they were asked, are too late.
    pub high: f64,
    /// Starts within this part are calm.
    pub low: f64,
    /// A task that has waited longer than this part of its aim can't start in time any more, and goes first.
    pub hopeless: f64,
    /// How long an epoch of the order lasts.
    pub epoch: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            high: 0.8,
            low: 0.3,
            hopeless: 0.35,
            epoch: 8_000_000,
        }
    }
}

/// Whether a client asks for the first time. One that asks again can hardly have its task start in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// It does.
    #[default]
    Fresh,
    /// It asks again.
    Again,
    /// It asks again before the time that it was told to stay away.
    Early,
}

/// What is known of a task when it is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    /// 0 (lowest) to 3.
    pub priority: u8,
    /// The part of what its tenant asks that is within its share.
    pub within: f64,
    /// Whether its client has asked before.
    pub turn: Turn,
    /// A hash of the task's name, the same at every placer.
    pub name: u64,
}

/// A priority, within or beyond the share, and a turn: 4 × 2 × 3, the most favoured first.
const BUCKETS: usize = 24;
/// What is asked again is let through only where what is let through is more than all that comes before it by
/// so much: a step up or down at other placers does not turn fresh tasks away there while repeats start here.
const CLEAR: f64 = 0.65;
/// Epochs of what is asked again are so many times shorter: it was shed by the order of its epoch, and would
/// be again.
const TURNS: u64 = 4;

/// The gate of one placer.
#[derive(Debug, Clone)]
pub struct Gate {
    settings: Settings,
    aim: Micros,
    step: u8,
    changed: Micros,
    /// What was asked lately: in each bucket, and altogether.
    mix: Vec<Window>,
    /// What was asked in the last aim, let through or not.
    rate: Window,
    /// Since the latest change, of what was asked since: starts, their delays from when they were asked as
    /// parts of their aims, and tasks given up.
    started: f64,
    delays: f64,
    missed: f64,
    /// Starts a second in the trouble, as of the latest rise.
    able: f64,
    /// All starts of the last half of an aim.
    starts: Window,
}

impl Gate {
    /// A gate that is open. `aim` is the shortest aim of a class.
    pub fn new(settings: Settings, aim: Micros) -> Gate {
        let aim = aim.max(1);
        Gate {
            settings,
            aim,
            step: 0,
            changed: 0,
            mix: vec![Window::new(MIX_AIMS * aim); BUCKETS],
            rate: Window::new(aim),
            started: 0.0,
            delays: 0.0,
            missed: 0.0,
            able: 0.0,
            starts: Window::new(aim / 2),
        }
    }

    /// When the step was last another, or looked at anew.
    pub fn changed(&self) -> Micros {
        self.changed
    }

    /// The step.
    pub fn step(&self) -> u8 {
        self.step
    }

    /// The part of what is asked that is let through.
    pub fn through(&self) -> f64 {
        through(self.step)
    }

    /// Takes a task that is asked for, and answers its place in the order: from 0, let through first, to 1.
    /// It is let through where that is less than [`Gate::through`].
    pub fn asked(&mut self, now: Micros, wall: Micros, asked: Asked) -> f64 {
        let beyond = unit(asked.name, 0x7368_6172) >= asked.within;
        let bucket = usize::from(3 - asked.priority.min(3)) * 6
            + usize::from(beyond) * 3
            + asked.turn as usize;
        self.rate.add(now, 1.0, 0.0);
        if let Some(window) = self.mix.get_mut(bucket) {
            window.add(now, 1.0, 0.0);
        }
        let counts: Vec<f64> = self.mix.iter().map(|window| window.sums(now).0).collect();
        let total = counts.iter().sum::<f64>().max(1.0);
        let before = counts.iter().take(bucket).sum::<f64>() / total;
        let own = counts.get(bucket).copied().unwrap_or(0.0) / total;
        let length = self.settings.epoch.max(TURNS as Micros);
        if asked.turn == Turn::Fresh {
            let epoch = wall.div_euclid(length) as u64;
            return before + own * unit(asked.name, epoch);
        }
        let epoch = wall.div_euclid(length / TURNS as Micros) as u64;
        let place = before + own * unit(asked.name, !epoch);
        if before > CLEAR * self.through() {
            place.max(self.through())
        } else {
            place
        }
    }

    /// A task that was asked for at `asked` has started; its delay from then is so many aims.
    pub fn started(&mut self, now: Micros, asked: Micros, stretch: f64) {
        self.starts.add(now, 1.0, 0.0);
        if asked >= self.changed {
            self.started += 1.0;
            self.delays += stretch;
        }
    }

    /// A task that was let through at `asked` was given up, for want of time or of attempts.
    pub fn missed(&mut self, asked: Micros) {
        if asked >= self.changed {
            self.missed += 1.0;
        }
    }

    fn per_second(&self, now: Micros, window: &Window) -> f64 {
        window.sums(now).0 * 1e6 / window.length() as f64
    }

    /// Looks at what has come of the step, and at the tasks that wait for an offer: how many, and for how long
    /// the oldest has, of those asked for after the latest change. True where the step is another now.
    pub fn look(&mut self, now: Micros, held: usize, oldest: Micros) -> bool {
        let passed = now - self.changed;
        let starts = self.per_second(now, &self.starts);
        let asked = self.per_second(now, &self.rate);
        let waits = held as f64 > MANY * starts * self.aim as f64 / 1e6
            && oldest as f64 > HELD * self.aim as f64;
        if waits && starts > 0.0 && asked > 0.0 {
            let steps = (MARGIN * starts / asked).min(1.0).ln() / STEP_PART.ln();
            if steps > f64::from(self.step) {
                self.able = starts;
                return self.change(now, steps.round().min(f64::from(self.step) + RISE));
            }
        }
        let outcomes = self.started + self.missed;
        let mean = if self.started > 0.0 {
            self.delays / self.started
        } else {
            0.0
        };
        let bad = self.missed > 0.0 || mean > self.settings.high;
        if outcomes >= ENOUGH && bad {
            // What was started of what was let through; where all was, and late, by how much.
            let part = self.started / outcomes;
            let part = if mean > self.settings.high {
                part.min(self.settings.high / mean)
            } else {
                part
            };
            let steps = (part.max(f64::MIN_POSITIVE).ln() / STEP_PART.ln())
                .clamp(0.0, RISE)
                .round();
            self.able = starts;
            // A little missed of much is no reason for a whole step.
            return self.change(now, f64::from(self.step) + steps);
        }
        if self.step > 0 && !bad && passed >= self.pause() {
            // What was started in the trouble is enough for what is asked now, or for more of it than is let
            // through; and where starts have been calm for a while, there may be more room than was seen.
            let room = if asked > 0.0 {
                (MARGIN * self.able / asked).min(1.0)
            } else {
                1.0
            };
            let by_room = (room.max(f64::MIN_POSITIVE).ln() / STEP_PART.ln()).round();
            let fall = match mean {
                _ if self.started == 0.0 => 0.0,
                mean if mean <= self.settings.low / 2.0 => 2.0,
                mean if mean <= self.settings.low => 1.0,
                _ => 0.0,
            };
            let by_calm = f64::from(self.step) - fall;
            let step = by_room.min(by_calm);
            if step < f64::from(self.step) {
                return self.change(now, step);
            }
        }
        if passed >= 4 * self.aim {
            self.change(now, f64::from(self.step));
        }
        false
    }

    /// How long a step holds before it falls: half of an aim, in which what it lets through comes to start.
    fn pause(&self) -> Micros {
        self.aim / 2
    }

    /// Begins to count anew, at this step.
    fn change(&mut self, now: Micros, step: f64) -> bool {
        let step = step.clamp(0.0, f64::from(MOST_STEP)) as u8;
        let other = step != self.step;
        (self.step, self.changed) = (step, now);
        (self.started, self.delays, self.missed) = (0.0, 0.0, 0.0);
        other
    }
}

/// The part that is let through at a step.
pub fn through(step: u8) -> f64 {
    STEP_PART.powi(i32::from(step))
}

/// A hash as a number from 0 to 1, alike at every placer.
pub fn unit(name: u64, salt: u64) -> f64 {
    (super::turns::mix(name, salt) >> 11) as f64 / (1u64 << 53) as f64
}
