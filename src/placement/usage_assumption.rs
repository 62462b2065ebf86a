//! The assumption about the resources that tasks use, before any usage is reported.

use crate::types::Resources;

/// Assumed ratio of used to requested resources, before any usage is reported.
pub(super) const ASSUMED_USAGE_RATIO: Resources = Resources {
    cores: 0.5,
    memory: 0.7,
};
