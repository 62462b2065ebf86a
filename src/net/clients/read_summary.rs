//! What a read from a client brought.

/// What one read from a client brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSummary {
    /// Bytes that were read.
    pub bytes: usize,
    /// Whether it completed at least one message.
    pub has_message: bool,
    /// Whether part of another message is left.
    pub has_partial_message: bool,
}
