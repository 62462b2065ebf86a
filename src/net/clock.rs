//! The one clock: Unix microseconds that do not go back.

use anisehead::Micros;
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the system's Unix clock. Deadlines, drains and cold times all come from here, so that they
/// compare with the Unix times of the feed.
#[derive(Debug, Default)]
pub struct Clock {
    last: Cell<Micros>,
}

impl Clock {
    /// The time now, or the latest time told where the system's clock was set back.
    pub fn now(&self) -> Micros {
        let read = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.last.set(self.last.get().max(Micros::try_from(read.as_micros()).unwrap_or(Micros::MAX)));
        self.last.get()
    }
}
