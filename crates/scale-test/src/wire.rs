//! The messages that hollow peers exchange with placers: pure functions between bytes and typed messages.
//!
//! The binary codec in [`binary`] has a counterpart in `src/net/codec` of the placer, with the sides exchanged.
//! The two are separate on purpose: the test must not share the code that it tests, and the placer's codec is
//! private to it.

pub mod binary;
pub mod description;
pub mod feed;
pub mod lines;

/// The longest message of clients and workers.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The message would be longer than [`MAX_MESSAGE_BYTES`].
    #[error("longer than any message may be")]
    TooLong,
    /// A length does not match its content.
    #[error("a length does not fit what it counts")]
    BadLength,
    /// The line is not the JSON of a message.
    #[error("not the JSON of a message")]
    BadJson,
    /// A field is missing or cannot be read.
    #[error("field {0} is missing or can't be read")]
    BadField(&'static str),
}

/// The causes of releases, as the protocol numbers them.
pub mod cause {
    /// The regular end of a task, or the withdrawal of a set-up.
    pub const NORMAL: u8 = 16;
    /// The task migrates, or its client cancelled it.
    pub const CANCELLED: u8 = 31;
    /// The worker is full.
    pub const FULL: u8 = 34;
    /// The placer refused the task.
    pub const REFUSED: u8 = 42;
    /// The set-up failed.
    pub const FAILED: u8 = 47;
    /// The set-up was never sent.
    pub const NOT_SENT: u8 = 102;
}

#[cfg(test)]
mod tests;
