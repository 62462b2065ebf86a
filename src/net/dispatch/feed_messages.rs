//! Owns whether the feed lives, and what is logged of it. It never changes the list of hosts: `links` does.

use super::Dispatch;
use crate::net::codec::Malformed;
use crate::net::conn::End;
use task_placer::facade::PlacementEvent;
use task_placer::health::Event;
use tracing::{info, warn};

impl Dispatch {
    /// Names the entries of an event that can't be right.
    pub fn name_aside(&self, aside: &[(String, Malformed)]) {
        for (host, why) in aside {
            warn!(host, reason = %why, "entry set aside");
        }
    }

    /// A line of the feed shows that nothing is missing.
    pub fn feed_lives(&mut self) {
        let now = self.clock.now();
        self.watch(now, Event::DiscoveryUpdated);
        if !std::mem::replace(&mut self.feed_up, true) {
            self.tell(now, PlacementEvent::DiscoveryUp);
        }
    }

    /// The feed is dead; it is called again.
    pub fn feed_ended(&mut self, last: u64, end: End) {
        let now = self.clock.now();
        if std::mem::replace(&mut self.feed_up, false) {
            info!(peer = "feed", reason = %end, last, "connection ended");
            self.tell(now, PlacementEvent::DiscoveryDown);
        }
    }
}
