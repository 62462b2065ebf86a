//! The subscription to the endpoint list.

use crate::types::Micros;

/// State of the subscription to the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct Subscription {
    /// Whether the subscription is confirmed, so that updates arrive.
    pub active: bool,
    /// Time at which the subscription was last requested or lost; `None` before the first request or failure.
    pub last_request: Option<Micros>,
    /// Number of consecutive failures to poll the endpoint list or to stay subscribed to it.
    pub failures: u32,
}

impl Subscription {
    /// Records that a poll failed or the subscription ended.
    pub fn record_failure(&mut self, now: Micros) {
        self.active = false;
        self.last_request = Some(now);
        self.failures += 1;
    }

    /// Records an update of the endpoint list. It confirms the subscription if one was requested.
    pub fn record_update(&mut self) {
        if self.last_request.is_some() {
            self.active = true;
            self.failures = 0;
        }
    }
}
