//! The clock of the process, in microseconds: it starts at the Unix time of the process start, advances with real time,
//! and never goes back. It also keeps the relation between the system's Unix clock and monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use task_placer::Micros;

/// Limit of a difference between the system's Unix clock and this clock that counts as imprecision; a larger difference
/// counts as a clock step.
const MAX_DRIFT: Micros = 500_000;

/// A clock that starts at the Unix time of the process start and is advanced by the monotonic clock alone.
///
/// Deadlines, windows, waits and grace periods are spans of real time, so a step of the system's Unix clock does not
/// affect them. Following the step, however slowly, would make each of them longer or shorter. Unix times stated by
/// other machines are converted when they arrive ([`Clock::convert_unix`]).
#[derive(Debug)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: Micros,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            started_at: Instant::now(),
            unix_at_start: unix_now(),
        }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Micros {
        let elapsed = self.started_at.elapsed().as_micros();
        let elapsed = Micros::try_from(elapsed).unwrap_or(Micros::MAX);
        self.unix_at_start.saturating_add(elapsed)
    }

    /// Converts a Unix time stated by another machine to a time on this clock.
    pub fn convert_unix(&self, unix: Micros) -> Micros {
        let now = self.now();
        convert_unix(unix, now, unix_now())
    }
}

fn unix_now() -> Micros {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Micros::try_from(unix.as_micros()).unwrap_or(Micros::MAX)
}

/// Converts a Unix time to this clock, which reads `now` while the system's Unix clock reads `unix_now`.
///
/// After a step of the system's clock, it is unknown whether the machine that stated the time measured it before or
/// after the step. Of the two possible readings, the later one that is not in the future is used: a start then appears
/// more recent rather than longer ago, and a host that has just started is never taken for one that is warmed up.
fn convert_unix(unix: Micros, now: Micros, unix_now: Micros) -> Micros {
    let step = unix_now.saturating_sub(now);
    if step.abs() <= MAX_DRIFT {
        return unix;
    }
    let after_step = unix.saturating_sub(step);
    let (earlier, later) = (unix.min(after_step), unix.max(after_step));
    if later <= now { later } else { earlier }
}

#[cfg(test)]
mod tests;
