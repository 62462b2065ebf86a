//! Owns the lists of requests by the host that they are at, so that event of one host does not walk all requests. It
//! never holds a request itself, only its ticket.

use std::collections::{BTreeMap, BTreeSet};
use task_placer::HostId;
use task_placer::facade::Ticket;

#[derive(Default)]
struct HostRequests {
    in_flight: BTreeSet<Ticket>,
    running: BTreeSet<Ticket>,
}

impl HostRequests {
    fn of(&mut self, stands: bool) -> &mut BTreeSet<Ticket> {
        if stands {
            &mut self.running
        } else {
            &mut self.in_flight
        }
    }
}

/// Where an offer is out, and where tasks stand or leave.
#[derive(Default)]
pub struct RequestIndex(BTreeMap<HostId, HostRequests>);

impl RequestIndex {
    /// A request is out or stands there from now on.
    pub fn insert(&mut self, ticket: Ticket, host: &HostId, stands: bool) {
        if !self.0.contains_key(host) {
            self.0.insert(host.clone(), HostRequests::default());
        }
        if let Some(here) = self.0.get_mut(host) {
            here.of(stands).insert(ticket);
        }
    }

    /// It no longer is.
    pub fn remove(&mut self, ticket: Ticket, host: &HostId, stands: bool) {
        let Some(here) = self.0.get_mut(host) else {
            return;
        };
        here.of(stands).remove(&ticket);
        if here.in_flight.is_empty() && here.running.is_empty() {
            self.0.remove(host);
        }
    }

    /// The requests that are out there.
    pub fn in_flight(&self, host: &HostId) -> impl Iterator<Item = Ticket> + '_ {
        self.0
            .get(host)
            .into_iter()
            .flat_map(|here| here.in_flight.iter().copied())
    }

    /// Those that stand there or leave.
    pub fn running(&self, host: &HostId) -> impl Iterator<Item = Ticket> + '_ {
        self.0
            .get(host)
            .into_iter()
            .flat_map(|here| here.running.iter().copied())
    }

    /// The hosts at which any stand.
    pub fn hosts_with_running_tasks(&self) -> impl Iterator<Item = &HostId> {
        self.0
            .iter()
            .filter(|(_, here)| !here.running.is_empty())
            .map(|(host, _)| host)
    }
}
