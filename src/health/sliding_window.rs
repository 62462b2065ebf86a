//! Sums over the last while, in a ring of short spans, so that old news leaves bit by bit.

use crate::Micros;

/// Length of one span of the ring.
pub const SPAN: Micros = 250_000;

/// Sums of two figures over the last `spans` × [`SPAN`].
#[derive(Debug, Clone)]
pub struct Window {
    /// The span that the last addition fell in, counted from the epoch.
    at: i64,
    ring: Vec<(f64, f64)>,
}

impl Window {
    /// An empty window of this length, rounded up to whole spans.
    pub fn new(length: Micros) -> Window {
        let spans = (length.max(SPAN) + SPAN - 1) / SPAN;
        Window {
            at: 0,
            ring: vec![(0.0, 0.0); usize::try_from(spans).unwrap_or(1)],
        }
    }

    /// Adds to the sums at `now`. What comes from before the last addition counts as of then.
    pub fn add(&mut self, now: Micros, part: f64, whole: f64) {
        self.pass(now);
        let place = self.place(self.at);
        if let Some((p, w)) = self.ring.get_mut(place) {
            *p += part;
            *w += whole;
        }
    }

    /// The sums of what lies within the window at `now`.
    pub fn sums(&self, now: Micros) -> (f64, f64) {
        let passed = (now / SPAN - self.at).max(0);
        let spans = self.ring.len() as i64;
        let kept = (self.at - spans + 1 + passed..=self.at).filter(|span| *span > self.at - spans);
        kept.filter_map(|span| self.ring.get(self.place(span)))
            .fold((0.0, 0.0), |sum, (part, whole)| {
                (sum.0 + part, sum.1 + whole)
            })
    }

    /// The first sum as a share of the second, or none below `least` of the second.
    pub fn share(&self, now: Micros, least: f64) -> Option<f64> {
        let (part, whole) = self.sums(now);
        (whole >= least && whole > 0.0).then(|| (part / whole).clamp(0.0, 1.0))
    }

    /// Its length.
    pub fn length(&self) -> Micros {
        self.ring.len() as Micros * SPAN
    }

    fn place(&self, span: i64) -> usize {
        span.rem_euclid(self.ring.len().max(1) as i64) as usize
    }

    fn pass(&mut self, now: Micros) {
        let span = now / SPAN;
        let first = (self.at + 1).max(span - self.ring.len() as i64 + 1);
        for empty in first..=span {
            let place = self.place(empty);
            if let Some(slot) = self.ring.get_mut(place) {
                *slot = (0.0, 0.0);
            }
        }
        self.at = self.at.max(span);
    }
}

#[cfg(test)]
mod tests;
