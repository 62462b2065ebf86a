//! The messages that hollow peers exchange with placers: pure functions from bytes to typed messages and
//! back.

pub mod binary;
pub mod description;
pub mod feed;
pub mod lines;

/// No message of clients or workers holds more.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// What makes bytes no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Longer than any message may be.
    #[error("longer than any message may be")]
    TooLong,
    /// A length that does not fit what it counts.
    #[error("a length does not fit what it counts")]
    BadLength,
    /// Not the JSON of a message.
    #[error("not the JSON of a message")]
    BadJson,
    /// A field that is missing or can't be read.
    #[error("field {0} is missing or can't be read")]
    BadField(&'static str),
}

/// The causes of releases.
pub mod cause {
    /// The regular end of a task, or a set-up that is given up.
    pub const NORMAL: u8 = 16;
    /// The task moves, or its client ended it.
    pub const CANCELLED: u8 = 31;
    /// The worker is full.
    pub const FULL: u8 = 34;
    /// Refused by the placer.
    pub const REFUSED: u8 = 42;
    /// An error.
    pub const FAILED: u8 = 47;
    /// The set-up never left.
    pub const NOT_SENT: u8 = 102;
}

#[cfg(test)]
mod tests;
