//! Indexes requests by host, so that an event of one host need not visit all requests. The index holds only tickets,
//! not requests.

use super::request::Assignment;
use std::collections::{BTreeMap, BTreeSet};
use task_placer::HostId;
use task_placer::facade::Ticket;

/// The requests that are assigned to one host.
#[derive(Default)]
struct HostRequests {
    in_flight: BTreeSet<Ticket>,
    started: BTreeSet<Ticket>,
}

impl HostRequests {
    fn tickets_mut(&mut self, assignment: Assignment) -> &mut BTreeSet<Ticket> {
        match assignment {
            Assignment::InFlight => &mut self.in_flight,
            Assignment::Started => &mut self.started,
        }
    }
}

/// The tickets of assigned requests, by host.
#[derive(Default)]
pub(super) struct RequestIndex(BTreeMap<HostId, HostRequests>);

impl RequestIndex {
    /// Adds a request that has been assigned to a host.
    pub(super) fn insert(&mut self, ticket: Ticket, host: &HostId, assignment: Assignment) {
        if !self.0.contains_key(host) {
            self.0.insert(host.clone(), HostRequests::default());
        }
        if let Some(requests) = self.0.get_mut(host) {
            requests.tickets_mut(assignment).insert(ticket);
        }
    }

    /// Removes a request from a host's entry, and the entry once it is empty.
    pub(super) fn remove(&mut self, ticket: Ticket, host: &HostId, assignment: Assignment) {
        let Some(requests) = self.0.get_mut(host) else {
            return;
        };
        requests.tickets_mut(assignment).remove(&ticket);
        if requests.in_flight.is_empty() && requests.started.is_empty() {
            self.0.remove(host);
        }
    }

    /// Returns the requests with an attempt in flight at a host.
    pub(super) fn in_flight(&self, host: &HostId) -> impl Iterator<Item = Ticket> + '_ {
        self.0
            .get(host)
            .into_iter()
            .flat_map(|requests| requests.in_flight.iter().copied())
    }

    /// Returns the requests whose tasks run or are being released at a host.
    pub(super) fn running(&self, host: &HostId) -> impl Iterator<Item = Ticket> + '_ {
        self.0
            .get(host)
            .into_iter()
            .flat_map(|requests| requests.started.iter().copied())
    }

    /// Whether any task runs or is being released at a host.
    pub(super) fn has_running_tasks(&self, host: &HostId) -> bool {
        self.running(host).next().is_some()
    }

    /// Returns the hosts at which at least one task runs or is being released.
    pub(super) fn hosts_with_running_tasks(&self) -> impl Iterator<Item = &HostId> {
        self.0
            .iter()
            .filter(|(_, requests)| !requests.started.is_empty())
            .map(|(host, _)| host)
    }
}
