//! Codecs for the messages that simulated peers exchange with placers: pure functions between bytes and typed
//! messages.
//!
//! The placer has its own codec in `src/net/codec`, which decodes what [`binary`] encodes and the reverse. The two are
//! separate on purpose: the test must not share the code that it tests, and the placer's codec is private to it.

pub mod binary;
pub mod description;
pub mod feed;
pub mod lines;

/// The maximum length of a message of clients and workers, with its length field or line feed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The reason why bytes are not a valid message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The message would be longer than [`MAX_MESSAGE_BYTES`].
    #[error("message exceeds the maximum length")]
    TooLong,
    /// A length field does not match the content that it describes.
    #[error("length field does not match its content")]
    BadLength,
    /// The line is not a message in JSON.
    #[error("not a message in JSON")]
    BadJson,
    /// The named field is missing or invalid.
    #[error("field {0} is missing or invalid")]
    BadField(&'static str),
}

/// The protocol's numbers for the cause of a release.
pub mod cause {
    /// The regular end of a task, or the withdrawal of a request.
    pub const NORMAL: u8 = 16;
    /// The task migrates, or its client cancelled it.
    pub const CANCELLED: u8 = 31;
    /// The worker is full.
    pub const FULL: u8 = 34;
    /// The placer refused the task.
    pub const REFUSED: u8 = 42;
    /// The request failed.
    pub const FAILED: u8 = 47;
    /// The request was never sent to a worker.
    pub const NOT_SENT: u8 = 102;
}

#[cfg(test)]
mod tests;
