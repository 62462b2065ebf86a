//! Hashes scaled to fractions. Every placer computes the same fraction from the same values.

use crate::state::hash::combine_hashes;

/// The number of bits of a hash that an `f64` holds exactly.
const MANTISSA_BITS: u32 = 53;

/// Returns a fraction from 0 (inclusive) to 1 (exclusive) that depends only on `hash` and `salt`.
pub fn hash_fraction(hash: u64, salt: u64) -> f64 {
    let mantissa = combine_hashes(hash, salt) >> (u64::BITS - MANTISSA_BITS);
    mantissa as f64 / (1u64 << MANTISSA_BITS) as f64
}
