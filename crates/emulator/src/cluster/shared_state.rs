//! The part of the cluster's state that is shared with other threads.

use super::LoadSample;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The addresses, the endpoint list and the load samples.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// The address at which the feed of each placer listens.
    pub(super) feed_addresses: Vec<SocketAddr>,
    /// The endpoint list, in which the field `place` holds the slot of each host.
    pub(super) endpoints: Vec<OwnedValue>,
    /// The zone of each host, by the number of the host.
    pub(super) host_zones: Vec<usize>,
    /// The slot of each host, by the number of the host.
    pub(super) host_slots: Vec<usize>,
    pub(super) load_samples: Vec<LoadSample>,
    /// The addresses at which the host in each slot listens: one per placer, or one for all placers.
    pub(super) host_addresses: Vec<Vec<SocketAddr>>,
    /// The addresses of the proxies in front of hosts, by placer and slot.
    host_routes: BTreeMap<(usize, usize), SocketAddr>,
    /// The addresses of the proxies in front of feeds, by placer.
    feed_routes: BTreeMap<usize, SocketAddr>,
}

impl SharedState {
    /// Returns an endpoint entry for a placer: with the address at which this placer connects to the host, and without
    /// the slot.
    pub(super) fn routed_endpoint(&self, placer: usize, endpoint: &OwnedValue) -> OwnedValue {
        let mut endpoint = endpoint.clone();
        let slot = endpoint
            .get_u64("place")
            .and_then(|slot| usize::try_from(slot).ok());
        let _ = endpoint.remove("place");
        let route = slot.and_then(|slot| self.host_routes.get(&(placer, slot)).copied());
        if let Some(address) = route.or_else(|| self.host_address(placer, slot?)) {
            let _ = endpoint.insert("dial", address.to_string());
        }
        endpoint
    }

    /// Returns the endpoint list for a placer.
    pub(super) fn endpoint_list(&self, placer: usize) -> Vec<OwnedValue> {
        self.endpoints
            .iter()
            .map(|endpoint| self.routed_endpoint(placer, endpoint))
            .collect()
    }

    /// Returns the address at which the host in a slot listens for a placer.
    pub(super) fn host_address(&self, placer: usize, slot: usize) -> Option<SocketAddr> {
        let addresses = self.host_addresses.get(slot)?;
        addresses.get(placer).or(addresses.first()).copied()
    }

    /// Returns the address at which a placer connects to its feed.
    pub(super) fn feed_address(&self, placer: usize) -> Option<SocketAddr> {
        self.feed_routes
            .get(&placer)
            .or(self.feed_addresses.get(placer))
            .copied()
    }

    /// Replaces the addresses of the proxies in front of hosts and feeds.
    pub(super) fn set_routes(
        &mut self,
        hosts: BTreeMap<(usize, usize), SocketAddr>,
        feeds: BTreeMap<usize, SocketAddr>,
    ) {
        self.host_routes = hosts;
        self.feed_routes = feeds;
    }
}
