//! A histogram of latencies.

use hdrhistogram::Histogram;
use std::io;
use std::time::Duration;

/// The maximum time that the histogram records, in microseconds. It is longer than any wait in a run.
const MAX_MICROS: u64 = 600_000_000;
/// The precision of the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Returns an empty histogram.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created with its bounds.
    pub fn new() -> io::Result<LatencyHistogram> {
        Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
            .map(LatencyHistogram)
            .map_err(io::Error::other)
    }

    /// Adds a time. A time above the histogram's maximum is recorded as the maximum.
    pub fn add(&mut self, time: Duration) {
        self.0
            .saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    /// Adds all times of another histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        // Merging cannot fail, because both histograms have the same bounds.
        let _ = self.0.add(&other.0);
    }

    /// Returns the underlying histogram, with times in microseconds.
    pub fn histogram(&self) -> &Histogram<u64> {
        &self.0
    }
}
