//! Summary of one read from a client connection.

/// Describes the data that one read from a client returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSummary {
    /// Number of bytes read.
    pub bytes: usize,
    /// Whether the read completed at least one message.
    pub has_message: bool,
    /// Whether an incomplete message is left in the buffer.
    pub has_partial_message: bool,
}
