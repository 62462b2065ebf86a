//! The signals: what each one measures, and how far each may pull the weight down.

use std::fmt;

/// What a signal measures. The code is the same in logs, answers to balancers and the operators' table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// Share of the last while in which the loop did not come round in time.
    LoopLate,
    /// Age of the oldest ask in hand over the aim of its class.
    AskAge,
    /// Share of the recent answers that placed no task within its aim.
    OutOfAim,
    /// Share of the recent offers whose answer did not come in time.
    OfferTimeout,
    /// Share of the listed hosts that can't be reached, counted in the zone where it is lowest.
    Unreached,
    /// Seconds since the inventory feed last spoke.
    FeedAge,
    /// Descriptors in use over their budget.
    Descriptors,
    /// Bytes queued for slow peers over their budget.
    Queues,
    /// Share of the recent connections of clients that were turned away.
    TurnedAway,
    /// Not a measurement: the time since the start, or since the return from a drain.
    SlowStart,
}

impl Code {
    /// All signals, in the order in which they are told.
    pub const ALL: [Code; 10] = [
        Code::LoopLate,
        Code::AskAge,
        Code::OutOfAim,
        Code::OfferTimeout,
        Code::Unreached,
        Code::FeedAge,
        Code::Descriptors,
        Code::Queues,
        Code::TurnedAway,
        Code::SlowStart,
    ];

    /// Its name on every surface.
    pub fn as_str(self) -> &'static str {
        match self {
            Code::LoopLate => "loop-late",
            Code::AskAge => "ask-age",
            Code::OutOfAim => "out-of-aim",
            Code::OfferTimeout => "offer-timeout",
            Code::Unreached => "unreached",
            Code::FeedAge => "feed-age",
            Code::Descriptors => "descriptors",
            Code::Queues => "queues",
            Code::TurnedAway => "turned-away",
            Code::SlowStart => "slow-start",
        }
    }

    /// Whether full or broken hosts cause it as well as trouble here does. Such a signal counts only as
    /// far as the fleet does not explain it.
    pub fn shared(self) -> bool {
        matches!(self, Code::AskAge | Code::OutOfAim | Code::OfferTimeout)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// From a reading to a badness between 0 and 1, and from there to the most weight that it leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    /// Up to here all is well.
    pub ok: f64,
    /// From here on it is as bad as it can be.
    pub bad: f64,
    /// The badness just beyond `ok`: a signal that must show at once has a step there.
    pub step: f64,
    /// The part of the weight that it takes at its worst.
    pub reach: f64,
}

impl Ramp {
    /// The badness of a reading. What is no number is as bad as can be: it can't be shown to be well.
    pub fn badness(&self, reading: f64) -> f64 {
        if reading <= self.ok {
            return 0.0;
        }
        if reading.is_nan() || reading >= self.bad {
            return 1.0;
        }
        self.step + (1.0 - self.step) * (reading - self.ok) / (self.bad - self.ok)
    }

    /// The most weight that this badness leaves, of 100.
    pub fn cap(&self, badness: f64) -> f64 {
        100.0 * (1.0 - self.reach * badness.clamp(0.0, 1.0))
    }
}

/// A signal as it stood when the weight was last set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    /// Which.
    pub code: Code,
    /// What was measured, in its own unit.
    pub value: f64,
    /// How bad that is, 0 to 1.
    pub badness: f64,
    /// The part of it that counts as this placer's own trouble.
    pub own: f64,
    /// The most weight that it leaves.
    pub cap: f64,
}

#[cfg(test)]
mod tests;
