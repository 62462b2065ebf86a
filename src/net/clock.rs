//! The one clock: Unix microseconds that run on evenly.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use task_placer::Micros;

/// The part of the time by which the clock follows a step of the system's Unix clock, at the most; it never
/// goes back. A step of 5 s is made up for within 5 minutes.
const SLEW: Micros = 20;
/// How often the system's Unix clock is looked at: the clock is read many times for each event.
const CHECK: Micros = 100_000;

/// The Unix time as it was at the start, run on by the monotonic clock, with the system's Unix clock followed
/// slowly. Deadlines, drains and cold times all come from here, so that they compare with the Unix times of
/// the feed. Guards against a system's clock that is stepped: set back, every time-out would wait for it to
/// catch up, and answers would be late; set on, all that is in hand would be given up at once.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    told: Cell<Option<Told>>,
}

/// The latest time told, and when, by the monotonic clock, that was and the Unix clock was looked at.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Micros,
    run: Micros,
    checked: Micros,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            start: Instant::now(),
            told: Cell::new(None),
        }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        let run = Micros::try_from(self.start.elapsed().as_micros()).unwrap_or(Micros::MAX);
        let told = follow(self.told.get(), run, || {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            Micros::try_from(unix.as_micros()).unwrap_or(Micros::MAX)
        });
        self.told.set(Some(told));
        told.at
    }
}

/// What to tell at `run` of the monotonic clock; `unix` reads the system's.
fn follow(before: Option<Told>, run: Micros, unix: impl FnOnce() -> Micros) -> Told {
    let Some(Told {
        at,
        run: then,
        checked,
    }) = before
    else {
        return Told {
            at: unix(),
            run,
            checked: run,
        };
    };
    let even = at.saturating_add((run - then).max(0));
    if run - checked < CHECK {
        return Told {
            at: even,
            run,
            checked,
        };
    }
    let most = (run - checked) / SLEW;
    let at = even
        .saturating_add(unix().saturating_sub(even).clamp(-most, most))
        .max(at);
    Told {
        at,
        run,
        checked: run,
    }
}

#[cfg(test)]
mod tests;
