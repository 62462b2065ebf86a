//! Histograms of times.

use hdrhistogram::Histogram;
use std::io;
use std::time::Duration;

/// The longest time that is told apart, in microseconds: above all waits.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits.
const DIGITS: u8 = 3;

/// A histogram of times, in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// None yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created with its bounds.
    pub fn new() -> io::Result<LatencyHistogram> {
        Histogram::new_with_bounds(1, MAX_MICROS, DIGITS)
            .map(LatencyHistogram)
            .map_err(io::Error::other)
    }

    /// Adds a time; one beyond the longest counts as the longest.
    pub fn add(&mut self, time: Duration) {
        self.0
            .saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    /// Adds all of others.
    pub fn merge(&mut self, others: &LatencyHistogram) {
        // Both have the same bounds, so that it does not fail.
        let _ = self.0.add(&others.0);
    }

    /// All of them.
    pub fn histogram(&self) -> &Histogram<u64> {
        &self.0
    }
}
