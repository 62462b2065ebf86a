//! Limits how many connections hold a large part of an unfinished message at a time, which bounds the memory of their
//! input.
//!
//! A connection needs a permit to hold more than [`SMALL_INPUT_BYTES`]. Without one it is read in small pieces, which
//! is enough for most messages; the rest of a larger message stays in the kernel until a permit is free. A permit is
//! returned with the end of the message, or of the connection.

use super::reading::CHUNK_BYTES;
use std::cell::Cell;

/// The size of unfinished input for which no permit is needed.
pub(super) const SMALL_INPUT_BYTES: usize = 1_024;
/// The number of permits that there are at least.
const MIN_PERMITS: usize = 16;

thread_local! {
    static PERMITS_IN_USE: Cell<usize> = const { Cell::new(0) };
    static MAX_PERMITS: Cell<usize> = const { Cell::new(MIN_PERMITS) };
}

/// Sets the memory that unfinished messages may use on all connections together.
pub fn set_max_unfinished_input(bytes: usize) {
    MAX_PERMITS.set((bytes / CHUNK_BYTES).max(MIN_PERMITS));
}

/// Allows one connection to hold up to [`CHUNK_BYTES`] of an unfinished message.
#[derive(Debug)]
pub(super) struct LargeInputPermit(());

impl LargeInputPermit {
    /// Returns a permit, or `None` if all are in use.
    pub(super) fn acquire() -> Option<LargeInputPermit> {
        let in_use = PERMITS_IN_USE.get();
        if in_use >= MAX_PERMITS.get() {
            return None;
        }
        PERMITS_IN_USE.set(in_use + 1);
        Some(LargeInputPermit(()))
    }
}

impl Drop for LargeInputPermit {
    fn drop(&mut self) {
        PERMITS_IN_USE.set(PERMITS_IN_USE.get().saturating_sub(1));
    }
}
