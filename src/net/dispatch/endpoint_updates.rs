//! Owns the endpoint list on the network side: which hosts there are, and what a change of the list ends. It never opens
//! a connection (`host_connections` does), and never decides which host gets an attempt.

use super::Dispatch;
use crate::net::codec::feed::{DiscoveredEndpoint, EndpointUpdate};
use crate::net::conn::CloseReason;
use crate::net::hosts::{ConnectionState, HostLink, PendingAttempt};
use std::collections::BTreeSet;
use task_placer::facade::PlacementEvent;
use task_placer::health::Event;
use task_placer::{Endpoint, EndpointState, HostId, Micros, Outcome};

/// What the network side has done for an update of the endpoint list.
pub(super) struct AppliedUpdate {
    /// The endpoints, for the decision module.
    pub(super) endpoints: Vec<Endpoint>,
    /// Attempts that had not been sent, to hosts that are another process now, drain or have been removed.
    pub(super) recalled: Vec<PendingAttempt>,
}

impl Dispatch {
    /// Handles an update of the endpoint list. Tasks at a removed host, or at a process that started after them, are
    /// lost.
    pub(super) fn handle_endpoint_update(&mut self, update: EndpointUpdate) {
        let now = self.clock.now();
        self.record_health_event(now, Event::DiscoveryUpdated);
        let is_complete = update.is_complete;
        let AppliedUpdate {
            endpoints,
            recalled,
        } = self.apply_endpoint_update(now, update);
        // Nothing has changed at the others.
        let named: Vec<HostId> = if is_complete {
            self.hosts.keys().cloned().collect()
        } else {
            endpoints.iter().map(|entry| entry.host.clone()).collect()
        };
        let event = PlacementEvent::EndpointsChanged {
            is_complete,
            endpoints,
        };
        self.report_event(now, event);
        self.end_pending_attempts(now, recalled, Outcome::NotSent);
        let restarts: Vec<(HostId, Micros)> = named
            .into_iter()
            .filter_map(|host| {
                let before = self.tasks_lost_before(&host)?;
                Some((host, before))
            })
            .collect();
        for (host, before) in restarts {
            self.end_lost_tasks(now, &host, before);
        }
    }

    /// Returns the time before which a task must have started at a host to be lost by now, if any can be.
    fn tasks_lost_before(&self, host: &HostId) -> Option<Micros> {
        let link = self.hosts.get(host)?;
        if link.state == EndpointState::Removed {
            return Some(Micros::MAX);
        }
        (link.started_at > 0).then_some(link.started_at)
    }

    /// Applies an update to the hosts and their connections. Recalls unsent attempts that were decided for what a host
    /// was before.
    pub(super) fn apply_endpoint_update(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
    ) -> AppliedUpdate {
        let mut touched = Vec::with_capacity(update.endpoints.len());
        if update.is_complete {
            touched = self.remove_unnamed_hosts(&update.endpoints);
        }
        let mut recalled = Vec::new();
        let mut endpoints = Vec::with_capacity(update.endpoints.len());
        for discovered in update.endpoints {
            let endpoint = self.apply_endpoint(discovered, &mut recalled);
            touched.push(endpoint.host.clone());
            endpoints.push(endpoint);
        }
        self.split_descriptors();
        for host in &touched {
            self.reconcile_connections(now, host, &mut recalled);
        }
        AppliedUpdate {
            endpoints,
            recalled,
        }
    }

    /// Marks the hosts as removed that a complete list does not name, and returns them.
    fn remove_unnamed_hosts(&mut self, endpoints: &[DiscoveredEndpoint]) -> Vec<HostId> {
        let named: BTreeSet<&HostId> = endpoints
            .iter()
            .map(|discovered| &discovered.endpoint.host)
            .collect();
        let mut removed = Vec::new();
        let unnamed = self
            .hosts
            .iter_mut()
            .filter(|(host, _)| !named.contains(host));
        for (host, link) in unnamed {
            self.active_hosts -= usize::from(link.state != EndpointState::Removed);
            link.state = EndpointState::Removed;
            removed.push(host.clone());
        }
        removed
    }

    /// Takes over one endpoint, and closes the connections to an address that is no longer the host's.
    fn apply_endpoint(
        &mut self,
        discovered: DiscoveredEndpoint,
        recalled: &mut Vec<PendingAttempt>,
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
            recalled.append(&mut link.pending_attempts);
        }
        link.state = endpoint.state;
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

    /// Closes the connections to a removed host, and connects to one that has none.
    fn reconcile_connections(
        &mut self,
        now: Micros,
        host: &HostId,
        recalled: &mut Vec<PendingAttempt>,
    ) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.state == EndpointState::Removed {
            // A removed host's address may be a new host's: nothing more is to reach the old one there, nor on a
            // connection that comes up only now.
            link.close_connections(CloseReason::HostRemoved);
            link.abort_connect();
            recalled.append(&mut link.pending_attempts);
            self.connection_pool.cancel_request(host);
        } else if matches!(link.connection, ConnectionState::Disconnected)
            && link.connect_failures == 0
        {
            self.request_connection(now, host);
        }
    }
}
