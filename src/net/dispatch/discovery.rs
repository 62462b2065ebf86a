//! Owns whether the service discovery feed is up, and what is logged of it. It never changes the endpoint list:
//! `host_connections` does.

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
            warn!(host = endpoint.host, reason = %endpoint.reason, "entry set aside");
        }
    }

    fn endpoints_changed(&mut self, update: EndpointUpdate) {
        self.handle_endpoint_update(update);
    }

    fn feed_alive(&mut self) {
        let now = self.clock.now();
        self.record_health_event(now, Event::DiscoveryUpdated);
        if !std::mem::replace(&mut self.is_discovery_up, true) {
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
