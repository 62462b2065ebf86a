//! Feeds random events to overload control, the health monitor and a drain, and checks digests of their outputs.
//!
//! A digest covers ids, codes and numbers as other placers and operators see them, so it does not depend on the names
//! of types. A different digest means that a decision has changed, in which case placers of two versions would disagree
//! during a rolling upgrade.

mod drain;
mod health;
mod overload;

/// A linear congruential generator, which gives the same numbers on every platform and with every version of the
/// dependencies.
struct Numbers(u64);

impl Numbers {
    /// Returns the next number from 0 (included) to `bound` (excluded).
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns the next number from 0 (included) to `max` (excluded).
    fn fraction(&mut self, max: f64) -> f64 {
        max * self.below(1_000) as f64 / 1_000.0
    }

    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }
}

/// Returns the FNV-1a hash of a text.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
