//! Hashes as fractions, the same at every placer.

use crate::state::hash::combine_hashes;

/// Bits of a hash that an `f64` holds exactly.
const MANTISSA_BITS: u32 = 53;

/// Returns a fraction from 0 to 1 that depends on `hash` and `salt` only.
pub fn hash_fraction(hash: u64, salt: u64) -> f64 {
    let mantissa = combine_hashes(hash, salt) >> (u64::BITS - MANTISSA_BITS);
    mantissa as f64 / (1u64 << MANTISSA_BITS) as f64
}
