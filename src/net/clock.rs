//! The one clock: microseconds that advance with real time, beginning at the Unix time of the start. It owns the relation
//! of the system's two clocks, and never goes back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use task_placer::Micros;

/// A difference between the system's Unix clock and this one up to this is a matter of precision, and more is a step.
const MAX_DRIFT: Micros = 500_000;

/// The Unix time at the start, advanced by the monotonic clock alone.
///
/// Deadlines, windows, waits and graces are spans of real time, so a step of the system's Unix clock does not touch them:
/// following it, however slowly, would make each of them longer or shorter. Unix times that other machines state are
/// converted when they arrive ([`Clock::convert_unix`]).
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
    /// Returns the time now.
    pub fn now(&self) -> Micros {
        let elapsed = self.started_at.elapsed().as_micros();
        let elapsed = Micros::try_from(elapsed).unwrap_or(Micros::MAX);
        self.unix_at_start.saturating_add(elapsed)
    }

    /// Returns the time on this clock that a Unix time stated by another machine stands for.
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
/// After a step of the system's clock it is unknown whether whoever stated the time counts as before the step or as after
/// it. Of both readings the later one holds that is not in the future: what started appears younger rather than older, and
/// a host that has just started is never taken for one that is warm.
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
