//! The one clock: Unix time in microseconds that advances evenly. It owns the relation of the system's two clocks, and
//! never goes back.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use task_placer::Micros;

/// The clock follows a step of the system's Unix clock by at most one part in this many of the time that passes. A step
/// of 5 s is made up for within 5 minutes.
const MAX_SLEW_DIVISOR: Micros = 20;
/// How often the system's Unix clock is read: this clock is read many times for each event.
const UNIX_CHECK_INTERVAL: Micros = 100_000;

/// The Unix time at the start, advanced by the monotonic clock, with the system's Unix clock followed slowly.
///
/// Deadlines, drains and slow-start times all come from here, so that they compare with the Unix times of the feed.
/// Guards against a step of the system's clock: after a step back, every timeout would wait for it to catch up, and
/// responses would be late; after a step forward, all that is in hand would be given up at once.
#[derive(Debug)]
pub struct Clock {
    started_at: Instant,
    last_reading: Cell<Option<Reading>>,
}

/// A reading of the clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    /// The time that was returned.
    time: Micros,
    /// The monotonic clock at that moment.
    monotonic: Micros,
    /// The monotonic clock when the system's Unix clock was last read.
    unix_checked_at: Micros,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            started_at: Instant::now(),
            last_reading: Cell::new(None),
        }
    }
}

impl Clock {
    /// Returns the time now.
    pub fn now(&self) -> Micros {
        let elapsed = self.started_at.elapsed().as_micros();
        let monotonic = Micros::try_from(elapsed).unwrap_or(Micros::MAX);
        let reading = next_reading(self.last_reading.get(), monotonic, unix_now);
        self.last_reading.set(Some(reading));
        reading.time
    }
}

fn unix_now() -> Micros {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Micros::try_from(unix.as_micros()).unwrap_or(Micros::MAX)
}

/// Returns the reading at this moment of the monotonic clock; `unix_now` reads the system's Unix clock.
fn next_reading(
    before: Option<Reading>,
    monotonic: Micros,
    unix_now: impl FnOnce() -> Micros,
) -> Reading {
    let Some(before) = before else {
        return Reading {
            time: unix_now(),
            monotonic,
            unix_checked_at: monotonic,
        };
    };
    let elapsed = (monotonic - before.monotonic).max(0);
    let even = before.time.saturating_add(elapsed);
    let since_check = monotonic - before.unix_checked_at;
    if since_check < UNIX_CHECK_INTERVAL {
        return Reading {
            time: even,
            monotonic,
            unix_checked_at: before.unix_checked_at,
        };
    }
    let max_slew = since_check / MAX_SLEW_DIVISOR;
    let slew = unix_now().saturating_sub(even).clamp(-max_slew, max_slew);
    Reading {
        time: even.saturating_add(slew).max(before.time),
        monotonic,
        unix_checked_at: monotonic,
    }
}

#[cfg(test)]
mod tests;
