//! Detects hosts that have gone because another host now has their address.
//!
//! A host is identified by its id. A new host may get the address of one that has gone, and the endpoint list may remove
//! the latter only later. Until then, connects to its address succeed, so it would count as reachable with its tasks
//! running, and attempts and releases for it would go to the new host.

use super::Dispatch;
use crate::net::codec::feed::{DiscoveredEndpoint, EndpointUpdate};
use crate::net::hosts::HostLink;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use task_placer::{Endpoint, EndpointState, HostId};
use tracing::info;

impl Dispatch {
    /// Completes an update that contains only changes: hosts whose address another host gets are marked as removed, and
    /// stay so until the list names them with another address or start.
    pub(super) fn remove_replaced_hosts(&mut self, update: &mut EndpointUpdate) {
        if update.is_complete {
            return;
        }
        for discovered in &mut update.endpoints {
            let link = self.hosts.get(&discovered.endpoint.host);
            if link.is_some_and(|link| link.was_replaced && link.is_listed_as(discovered)) {
                discovered.endpoint.state = EndpointState::Removed;
            }
        }
        let replaced: Vec<DiscoveredEndpoint> = self
            .hosts_at(&self.newly_used_addresses(update))
            .filter(|(host, _)| {
                let mut listed = update.endpoints.iter();
                !listed.any(|discovered| discovered.endpoint.host == **host)
            })
            .map(|(host, link)| removal(host, link))
            .collect();
        for removal in &replaced {
            let host = &removal.endpoint.host;
            info!(host = &*host.0, "host replaced by another at its address");
            if let Some(link) = self.hosts.get_mut(host) {
                link.was_replaced = true;
            }
        }
        update.endpoints.extend(replaced);
    }

    /// Returns the addresses at which a host is in service that was not listed there before.
    fn newly_used_addresses(&self, update: &EndpointUpdate) -> BTreeSet<SocketAddr> {
        let is_new = |discovered: &&DiscoveredEndpoint| {
            let link = self.hosts.get(&discovered.endpoint.host);
            discovered.endpoint.state == EndpointState::Up
                && link.is_none_or(|link| link.address != discovered.address)
        };
        let endpoints = update.endpoints.iter().filter(is_new);
        endpoints
            .filter_map(|discovered| discovered.address)
            .collect()
    }

    /// Returns the listed hosts at these addresses.
    fn hosts_at(
        &self,
        addresses: &BTreeSet<SocketAddr>,
    ) -> impl Iterator<Item = (&HostId, &HostLink)> {
        let hosts = (!addresses.is_empty()).then_some(&self.hosts);
        hosts.into_iter().flatten().filter(|(_, link)| {
            let is_there = |address| addresses.contains(&address);
            link.state != EndpointState::Removed && link.address.is_some_and(is_there)
        })
    }
}

/// Returns the entry that removes a host.
fn removal(host: &HostId, link: &HostLink) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        endpoint: Endpoint {
            host: host.clone(),
            zone: link.zone,
            cell: link.cell,
            kind: link.kind,
            state: EndpointState::Removed,
            started_at: link.listed_start(),
            free_cores: link.free_resources.cores,
            free_memory: link.free_resources.memory,
        },
        address: None,
    }
}
