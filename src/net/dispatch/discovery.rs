//! Owns whether the feed lives, and what is logged of it. It never changes the list of hosts: `links` does.

use super::Dispatch;
use crate::net::codec::Malformed;
use crate::net::conn::CloseReason;
use task_placer::facade::PlacementEvent;
use task_placer::health::Event;
use tracing::{info, warn};

impl Dispatch {
    /// Names the entries of an event that can't be right.
    pub fn log_rejected_endpoints(&self, aside: &[(String, Malformed)]) {
        for (host, why) in aside {
            warn!(host, reason = %why, "entry set aside");
        }
    }

    /// A line of the feed shows that nothing is missing.
    pub fn feed_alive(&mut self) {
        let now = self.clock.now();
        self.record_health_event(now, Event::Feed);
        if !std::mem::replace(&mut self.is_discovery_up, true) {
            self.report_event(now, PlacementEvent::DiscoveryUp);
        }
    }

    /// The feed is dead; it is called again.
    pub fn feed_closed(&mut self, last: u64, end: CloseReason) {
        let now = self.clock.now();
        if std::mem::replace(&mut self.is_discovery_up, false) {
            info!(peer = "feed", reason = %end, last, "connection ended");
            self.report_event(now, PlacementEvent::DiscoveryDown);
        }
    }
}
