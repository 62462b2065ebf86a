//! Owns the lists of requests by the host that they are at, so that news of one host does not walk all requests. It
//! never holds a request itself, only its ticket.

use std::collections::{BTreeMap, BTreeSet};
use task_placer::HostId;
use task_placer::facade::Ticket;

#[derive(Default)]
struct Here {
    out: BTreeSet<Ticket>,
    standing: BTreeSet<Ticket>,
}

impl Here {
    fn of(&mut self, stands: bool) -> &mut BTreeSet<Ticket> {
        if stands {
            &mut self.standing
        } else {
            &mut self.out
        }
    }
}

/// Where an offer is out, and where tasks stand or leave.
#[derive(Default)]
pub struct AtHosts(BTreeMap<HostId, Here>);

impl AtHosts {
    /// A request is out or stands there from now on.
    pub fn came(&mut self, ticket: Ticket, host: &HostId, stands: bool) {
        if !self.0.contains_key(host) {
            self.0.insert(host.clone(), Here::default());
        }
        if let Some(here) = self.0.get_mut(host) {
            here.of(stands).insert(ticket);
        }
    }

    /// It no longer is.
    pub fn left(&mut self, ticket: Ticket, host: &HostId, stands: bool) {
        let Some(here) = self.0.get_mut(host) else {
            return;
        };
        here.of(stands).remove(&ticket);
        if here.out.is_empty() && here.standing.is_empty() {
            self.0.remove(host);
        }
    }

    /// The requests that are out there.
    pub fn out(&self, host: &HostId) -> impl Iterator<Item = Ticket> + '_ {
        self.0
            .get(host)
            .into_iter()
            .flat_map(|here| here.out.iter().copied())
    }

    /// Those that stand there or leave.
    pub fn standing(&self, host: &HostId) -> impl Iterator<Item = Ticket> + '_ {
        self.0
            .get(host)
            .into_iter()
            .flat_map(|here| here.standing.iter().copied())
    }

    /// The hosts at which any stand.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.0
            .iter()
            .filter(|(_, here)| !here.standing.is_empty())
            .map(|(host, _)| host)
    }
}
