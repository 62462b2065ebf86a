//! The subscription to the endpoint list.

use crate::types::Micros;

/// State of the subscription.
#[derive(Debug, Default)]
pub(crate) struct Subscription {
    /// Updates arrive.
    pub active: bool,
    /// When it was last requested or lost.
    pub last_request: Option<Micros>,
    /// Failures in a row.
    pub failures: u32,
}

impl Subscription {
    /// Records that a poll failed or the subscription ended.
    pub fn record_failure(&mut self, now: Micros) {
        self.active = false;
        self.last_request = Some(now);
        self.failures += 1;
    }

    /// Records an update, which confirms a subscription that was requested.
    pub fn record_update(&mut self) {
        if self.last_request.is_some() {
            self.active = true;
            self.failures = 0;
        }
    }
}
