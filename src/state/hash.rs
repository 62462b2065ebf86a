//! Hashes that are identical in all placers, so that placers rank hosts and tasks identically without exchanging
//! messages.
//!
//! The hash values must not change: placers of different versions would rank hosts and tasks differently during an
//! upgrade.

use crate::types::HostId;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of a host's id.
pub(crate) fn hash_host(host: &HostId) -> u64 {
    host.0.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Combines two hashes into one whose bits are all well mixed. Uses the multipliers of the finalizer of SplitMix64,
/// with shifts that differ from it.
pub(crate) fn combine_hashes(first: u64, second: u64) -> u64 {
    let mut hash = (first ^ second.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 32)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
