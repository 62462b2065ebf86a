//! Whose turn it is to call a host that is in doubt, or to let one offer through to it.
//!
//! A host, cell or room that falls silent is found out by every placer by itself. If each then calls and
//! tries as it sees fit, the harm grows with their number. Here they are ranked by rendezvous hashing
//! (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998) of placer and host, in
//! groups of `callers`, and each group has one step of the clock. At most one group's turn is on at any
//! moment, and every group's comes round, so that groups that are dead cost one step each. No placer knows
//! more of the others than their number.
//!
//! The clock is the wall clock, run on evenly where the system's is stepped (`net::clock`). Where the clocks of two placers differ by
//! up to a step, two groups may overlap: the bound is then twice `callers`.

use crate::Micros;

/// A placer whose trials fail takes no less than every eighth of its turns.
const MOST_DOUBLINGS: u32 = 3;

/// What turns go by.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Placers whose turn it is at a time.
    pub callers: usize,
    /// How long a turn lasts.
    pub step: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            callers: 2,
            step: 250_000,
        }
    }
}

/// The turns of one placer.
#[derive(Debug, Clone)]
pub struct Turns {
    settings: Settings,
    me: usize,
    placers: usize,
}

impl Turns {
    /// The turns of placer `me` of `placers`.
    pub fn new(settings: Settings, me: usize, placers: usize) -> Turns {
        let settings = Settings {
            callers: settings.callers.max(1),
            step: settings.step.max(1),
        };
        Turns {
            settings,
            me,
            placers: placers.max(me + 1),
        }
    }

    /// The rank of this placer at a host, counted from 0: as many placers go before it.
    pub fn rank(&self, host: u64) -> usize {
        let score = |placer: usize| (mix(host, placer as u64), placer);
        let own = score(self.me);
        (0..self.placers)
            .filter(|placer| score(*placer) < own)
            .count()
    }

    fn groups(&self) -> i64 {
        self.placers.div_ceil(self.settings.callers) as i64
    }

    /// The time between two own turns at a host, from the beginning of one to that of the next.
    pub fn round(&self) -> Micros {
        self.groups() * self.settings.step
    }

    /// Where `wall` is, against this placer's turn at a host: whether it is on, and when the next begins.
    pub fn turn(&self, host: u64, wall: Micros) -> (bool, Micros) {
        self.turn_after(host, wall, 0)
    }

    /// The same after so many trials in a row that failed: only every second, fourth, eighth turn is taken, so
    /// that a host that stays away costs few tasks their time. At most so many rounds pass by.
    pub fn turn_after(&self, host: u64, wall: Micros, failed: u32) -> (bool, Micros) {
        let (on, next) = self.every_turn(host, wall);
        let every = 1i64 << failed.min(MOST_DOUBLINGS);
        // Groups skip different rounds.
        let skew = self.rank(host) as i64 / self.settings.callers as i64;
        let taken = |at: Micros| (self.number(host, at) + skew).rem_euclid(every) == 0;
        let mut from = next;
        while !taken(from) {
            from += self.round();
        }
        (on && taken(wall), from)
    }

    /// The round that a time falls in.
    fn number(&self, host: u64, wall: Micros) -> i64 {
        (wall + self.offset(host)).div_euclid(self.round())
    }

    /// Rounds of different hosts begin at different times.
    fn offset(&self, host: u64) -> Micros {
        (mix(host, 0x7475_726e) % self.round().unsigned_abs().max(1)) as Micros
    }

    fn every_turn(&self, host: u64, wall: Micros) -> (bool, Micros) {
        let group = (self.rank(host) / self.settings.callers) as i64;
        let at = (wall + self.offset(host)).rem_euclid(self.round());
        let begins = group * self.settings.step;
        let on = at >= begins && at < begins + self.settings.step;
        let wait = (begins - at).rem_euclid(self.round());
        (on, wall + if wait == 0 { self.round() } else { wait })
    }
}

/// Mixes two hashes into one whose bits are all of use.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    crate::state::hash::combine_hashes(a, b)
}
