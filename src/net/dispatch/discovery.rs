//! Handles the events of the service discovery feed: tracks whether the feed is up, and logs rejected entries and lost
//! connections. This module never changes the endpoint list: `endpoint_updates` does.

use super::Dispatch;
use crate::net::codec::feed::{EndpointUpdate, RejectedEndpoint};
use crate::net::conn::CloseReason;
use crate::net::feed::FeedEvents;
use task_placer::Micros;
use task_placer::facade::PlacementEvent;
use task_placer::health::Event;
use task_placer::settings::Names;
use tracing::{info, warn};

impl FeedEvents for Dispatch {
    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn names(&self) -> &Names {
        self.facade.names()
    }

    fn endpoints_rejected(&mut self, rejected: &[RejectedEndpoint]) {
        for endpoint in rejected {
            warn!(host = endpoint.host, reason = %endpoint.reason, "endpoint entry rejected");
        }
    }

    fn endpoints_changed(&mut self, update: EndpointUpdate) {
        self.discovery_heard_at = self.clock.now();
        self.handle_endpoint_update(update);
    }

    fn feed_alive(&mut self) {
        let now = self.clock.now();
        self.record_health_event(now, Event::DiscoveryUpdated);
        self.discovery_heard_at = now;
        if !std::mem::replace(&mut self.is_discovery_up, true) {
            self.discovery_up_since = now;
            self.report_event(now, PlacementEvent::DiscoveryUp);
        }
    }

    fn feed_closed(&mut self, last_sequence: u64, reason: CloseReason) {
        let now = self.clock.now();
        if std::mem::replace(&mut self.is_discovery_up, false) {
            info!(peer = "feed", %reason, last = last_sequence, "connection ended");
            self.report_event(now, PlacementEvent::DiscoveryDown);
        }
    }
}
