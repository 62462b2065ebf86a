//! Sums over a sliding time window, kept in a ring of short time spans so that old values expire gradually.

use crate::Micros;

/// The length of one span of the ring, in microseconds.
pub const SPAN: Micros = 250_000;

/// Two sums over the same window, such as failures and attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sums {
    /// The sum of the part, such as the number of failures.
    pub part: f64,
    /// The sum of the whole, such as the number of all attempts.
    pub whole: f64,
}

/// Sums of two values over the most recent spans.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    /// The number of the span that contains the latest addition, counted from time 0.
    current_span: i64,
    /// The sums of each span. A span is stored at the index that is its number modulo the ring's length.
    ring: Vec<Sums>,
}

impl SlidingWindow {
    /// Creates an empty window of the given length, rounded up to whole spans.
    pub fn new(length: Micros) -> SlidingWindow {
        let spans = (length.max(SPAN) + SPAN - 1) / SPAN;
        SlidingWindow {
            current_span: 0,
            ring: vec![Sums::default(); usize::try_from(spans).unwrap_or(1)],
        }
    }

    /// Adds `part` and `whole` to the sums of the span that contains `now`. If `now` is earlier than the latest
    /// addition, the latest span is used.
    pub fn add(&mut self, now: Micros, part: f64, whole: f64) {
        self.advance(now);
        let slot = self.slot(self.current_span);
        if let Some(sums) = self.ring.get_mut(slot) {
            sums.part += part;
            sums.whole += whole;
        }
    }

    /// Adds 1 to the sum of the whole, and 1 to the sum of the part if `is_part` is true.
    pub fn add_one(&mut self, now: Micros, is_part: bool) {
        self.add(now, f64::from(u8::from(is_part)), 1.0);
    }

    /// Returns the sums of the window that ends at `now`.
    pub fn sums(&self, now: Micros) -> Sums {
        let passed = (now / SPAN - self.current_span).max(0);
        let oldest = self.current_span - self.ring.len() as i64 + 1;
        (oldest + passed..=self.current_span)
            .filter_map(|span| self.ring.get(self.slot(span)))
            .fold(Sums::default(), |total, sums| Sums {
                part: total.part + sums.part,
                whole: total.whole + sums.whole,
            })
    }

    /// Returns the part as a fraction of the whole, or `None` if the whole is less than `min_whole`.
    pub fn fraction(&self, now: Micros, min_whole: f64) -> Option<f64> {
        let Sums { part, whole } = self.sums(now);
        (whole >= min_whole && whole > 0.0).then(|| (part / whole).clamp(0.0, 1.0))
    }

    /// Returns the length of the window in microseconds.
    pub fn length(&self) -> Micros {
        self.ring.len() as Micros * SPAN
    }

    fn slot(&self, span: i64) -> usize {
        span.rem_euclid(self.ring.len().max(1) as i64) as usize
    }

    /// Moves the window to `now`, and resets the sums of the spans that began since the latest addition.
    fn advance(&mut self, now: Micros) {
        let span = now / SPAN;
        let first = (self.current_span + 1).max(span - self.ring.len() as i64 + 1);
        for expired in first..=span {
            let slot = self.slot(expired);
            if let Some(sums) = self.ring.get_mut(slot) {
                *sums = Sums::default();
            }
        }
        self.current_span = self.current_span.max(span);
    }
}

#[cfg(test)]
mod tests;
