//! Applies the endpoint list to the network side: tracks which hosts exist, and ends the attempts, tasks and
//! connections that a change of the list invalidates. This module never opens a connection (`host_connections` does),
//! and never decides which host gets an attempt.

use super::Dispatch;
use crate::net::codec::feed::{DiscoveredEndpoint, EndpointUpdate};
use crate::net::conn::CloseReason;
use crate::net::hosts::{ConnectionState, HostLink, PendingAttempt};
use std::collections::BTreeSet;
use task_placer::facade::PlacementEvent;
use task_placer::health::Event;
use task_placer::{Endpoint, EndpointState, HostId, Micros, Outcome};

/// The result of applying an update of the endpoint list to the network side.
pub(super) struct AppliedUpdate {
    /// The endpoints of the update, to be reported to the decision module.
    pub(super) endpoints: Vec<Endpoint>,
    /// Unsent attempts to hosts whose process has been replaced, or that are draining or removed.
    pub(super) withdrawn: Vec<PendingAttempt>,
}

impl Dispatch {
    /// Handles an update of the endpoint list. Tasks at a removed host, or at a host whose process started after they
    /// did, are lost.
    pub(super) fn handle_endpoint_update(&mut self, mut update: EndpointUpdate) {
        self.remove_replaced_hosts(&mut update);
        let now = self.clock.now();
        self.record_health_event(now, Event::DiscoveryUpdated);
        let is_complete = update.is_complete;
        let AppliedUpdate {
            endpoints,
            withdrawn,
        } = self.apply_endpoint_update(now, update);
        // A delta leaves the hosts that it does not list unchanged.
        let listed: Vec<HostId> = if is_complete {
            self.hosts.keys().cloned().collect()
        } else {
            endpoints.iter().map(|entry| entry.host.clone()).collect()
        };
        let event = PlacementEvent::EndpointsChanged {
            is_complete,
            endpoints,
        };
        self.report_event(now, event);
        self.end_pending_attempts(now, withdrawn, Outcome::NotSent);
        let hosts_with_lost_tasks: Vec<(HostId, Micros)> = listed
            .into_iter()
            .filter_map(|host| {
                let before = self.tasks_lost_before(&host)?;
                Some((host, before))
            })
            .collect();
        for (host, before) in hosts_with_lost_tasks {
            self.end_lost_tasks(now, &host, before);
        }
    }

    /// Returns the time before which a task at this host must have started to count as lost: `Micros::MAX` if the host
    /// was removed, or `None` if no task is known to be lost.
    fn tasks_lost_before(&self, host: &HostId) -> Option<Micros> {
        let link = self.hosts.get(host)?;
        if link.state == EndpointState::Removed {
            return Some(Micros::MAX);
        }
        (link.started_at > 0).then_some(link.started_at)
    }

    /// Applies an update to the hosts and their connections. Withdraws the unsent attempts that were assigned to a host
    /// before its process was replaced, or before it began to drain or was removed.
    pub(super) fn apply_endpoint_update(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
    ) -> AppliedUpdate {
        let mut touched = Vec::with_capacity(update.endpoints.len());
        if update.is_complete {
            touched = self.remove_unlisted_hosts(&update.endpoints);
        }
        let mut withdrawn = Vec::new();
        let mut endpoints = Vec::with_capacity(update.endpoints.len());
        for discovered in update.endpoints {
            let endpoint = self.apply_endpoint(discovered, &mut withdrawn);
            touched.push(endpoint.host.clone());
            endpoints.push(endpoint);
        }
        self.split_descriptors();
        for host in &touched {
            self.reconcile_connections(now, host, &mut withdrawn);
        }
        AppliedUpdate {
            endpoints,
            withdrawn,
        }
    }

    /// Marks the hosts that a complete list does not include as removed, and returns them.
    fn remove_unlisted_hosts(&mut self, endpoints: &[DiscoveredEndpoint]) -> Vec<HostId> {
        let listed: BTreeSet<&HostId> = endpoints
            .iter()
            .map(|discovered| &discovered.endpoint.host)
            .collect();
        let mut removed = Vec::new();
        let unlisted = self
            .hosts
            .iter_mut()
            .filter(|(host, _)| !listed.contains(host));
        for (host, link) in unlisted {
            self.active_hosts -= usize::from(link.state != EndpointState::Removed);
            link.state = EndpointState::Removed;
            removed.push(host.clone());
        }
        removed
    }

    /// Applies one endpoint of an update, and closes the host's connections if its address has changed.
    fn apply_endpoint(
        &mut self,
        discovered: DiscoveredEndpoint,
        withdrawn: &mut Vec<PendingAttempt>,
    ) -> Endpoint {
        let host = &discovered.endpoint.host;
        let state_before = self
            .hosts
            .get(host)
            .map_or(EndpointState::Removed, |link| link.state);
        let link = self
            .hosts
            .entry(host.clone())
            .or_insert_with(|| HostLink::new(&discovered));
        let DiscoveredEndpoint {
            mut endpoint,
            address,
        } = discovered;
        endpoint.started_at = link.local_start(endpoint.started_at, &self.clock);
        self.active_hosts += usize::from(endpoint.state != EndpointState::Removed);
        self.active_hosts -= usize::from(state_before != EndpointState::Removed);
        if endpoint.state != EndpointState::Up || link.started_at != endpoint.started_at {
            withdrawn.append(&mut link.pending_attempts);
        }
        link.was_replaced &= endpoint.state == EndpointState::Removed;
        link.state = endpoint.state;
        link.kind = endpoint.kind;
        link.cell = endpoint.cell;
        link.started_at = endpoint.started_at;
        link.zone = endpoint.zone;
        link.free_resources = endpoint.free();
        if address.is_some() && link.address != address {
            link.address = address;
            link.close_connections(CloseReason::HostRemoved);
            if link.abort_connect() {
                link.connect_failures = 0;
                link.unreachable_since = None;
            }
        }
        endpoint
    }

    /// Closes the connections to a removed host, and requests a connection to any other host that has none.
    fn reconcile_connections(
        &mut self,
        now: Micros,
        host: &HostId,
        withdrawn: &mut Vec<PendingAttempt>,
    ) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.state == EndpointState::Removed {
            // The address of a removed host may be reused by a new one, so nothing more may be sent to that address for
            // the removed host, not even on a connection that is just being established.
            link.close_connections(CloseReason::HostRemoved);
            link.abort_connect();
            withdrawn.append(&mut link.pending_attempts);
            self.connection_pool.cancel_request(host);
        } else if matches!(link.connection, ConnectionState::Disconnected)
            && link.connect_failures == 0
        {
            self.request_connection(now, host);
        }
    }
}
