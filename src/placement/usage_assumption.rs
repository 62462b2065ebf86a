//! What is assumed about usage before any is reported.

use crate::types::Resources;

/// Used as a fraction of requested resources, before any usage is reported.
pub(super) const ASSUMED_USAGE_RATIO: Resources = Resources {
    cores: 0.5,
    memory: 0.7,
};
