//! Opens the fault proxies of a load test and applies the link faults of the plan to them.
//!
//! Only links that a fault of the plan affects get a proxy. All other connections are direct.

use crate::plan::{Link, Plan, affected_links};
use emulator::cluster::Cluster;
use emulator::event_log::{Event, EventLog, Peer};
use emulator::fault_proxy::{FaultProxies, LinkFault, Party};
use emulator::supervisor::Supervisor;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

/// Whether a fault begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultEdge {
    /// The fault begins.
    Begin,
    /// The fault ends.
    End,
}

/// A fault of links, with the parties on both sides and the links between them resolved.
struct PlannedFault {
    fault: LinkFault,
    side: BTreeSet<Party>,
    other_side: BTreeSet<Party>,
    links: BTreeSet<Link>,
}

/// The fault proxies of a load test, with the link faults that the plan applies to them.
pub struct FaultNetwork {
    proxies: FaultProxies,
    /// All links that have a proxy.
    proxied: BTreeSet<Link>,
    /// Link faults by their index among the faults of the plan.
    faults: BTreeMap<usize, PlannedFault>,
    log: EventLog,
}

impl FaultNetwork {
    /// Opens proxies to the hosts and feeds of a cluster for the links that a plan affects. Placers that start afterwards
    /// connect through the proxies. Returns `None` if the plan affects no links.
    ///
    /// # Errors
    ///
    /// A side of a fault is invalid, a host or feed does not exist, or a proxy can't be started, for example because the
    /// system has no free port.
    pub fn open(plan: &Plan, cluster: &Cluster, log: EventLog) -> io::Result<Option<FaultNetwork>> {
        let faults = planned_faults(plan)?;
        if faults.is_empty() {
            return Ok(None);
        }
        let proxied: BTreeSet<Link> = faults
            .values()
            .flat_map(|fault| fault.links.iter().copied())
            .collect();
        let proxies = FaultProxies::start()?;
        let (mut hosts, mut feeds) = (BTreeMap::new(), BTreeMap::new());
        for Link { placer, peer } in proxied.iter().copied() {
            let from = Party::Placer(placer);
            match peer {
                Peer::Clients => {}
                Peer::Host(slot) => {
                    let target = cluster
                        .host_address(placer, slot)
                        .ok_or_else(|| io::Error::other("the cluster has no such host"))?;
                    let address = proxies.add_proxy(from, Party::Host(slot), target)?;
                    hosts.insert((placer, slot), address);
                }
                Peer::Feed => {
                    let target = cluster
                        .feed_address(placer)
                        .ok_or_else(|| io::Error::other("the cluster has no such feed"))?;
                    let address = proxies.add_proxy(from, Party::Feed(placer), target)?;
                    feeds.insert(placer, address);
                }
            }
        }
        cluster.set_routes(hosts, feeds);
        Ok(Some(FaultNetwork {
            proxies,
            proxied,
            faults,
            log,
        }))
    }

    /// Returns the address at which clients connect to a placer: that of a new proxy if the plan affects the link, or else
    /// that of the placer. Returns `None` if the placer has no address for clients.
    ///
    /// # Errors
    ///
    /// A proxy can't be added, for example because the system has no free port.
    pub fn client_address(
        &self,
        placer: usize,
        supervisor: &Supervisor,
    ) -> io::Result<Option<SocketAddr>> {
        let Some(direct) = supervisor.client_address(placer) else {
            return Ok(None);
        };
        let peer = Peer::Clients;
        if !self.proxied.contains(&Link { placer, peer }) {
            return Ok(Some(direct));
        }
        self.proxies
            .add_proxy(Party::Clients, Party::Placer(placer), direct)
            .map(Some)
    }

    /// Begins or ends a link fault, which is given by its index among the faults of the plan.
    pub fn apply(&self, number: usize, edge: FaultEdge) {
        let Some(planned) = self.faults.get(&number) else {
            return;
        };
        let set = |fault| {
            let _ = self
                .proxies
                .set_fault(&planned.side, &planned.other_side, fault);
        };
        // The log records links as not intact from just before a fault begins until just after it ends, so that every
        // effect of the fault lies in the recorded time.
        match edge {
            FaultEdge::Begin => {
                self.record(&planned.links, false);
                set(planned.fault);
            }
            FaultEdge::End => {
                set(LinkFault::None);
                self.record(&planned.links, true);
            }
        }
    }

    fn record(&self, links: &BTreeSet<Link>, intact: bool) {
        for Link { placer, peer } in links.iter().copied() {
            self.log.record(Event::LinkChanged {
                placer,
                peer,
                intact,
            });
        }
    }
}

/// Returns the link faults of a plan by their index among all its faults.
fn planned_faults(plan: &Plan) -> io::Result<BTreeMap<usize, PlannedFault>> {
    let mut planned = BTreeMap::new();
    for (number, fault) in plan.faults.iter().enumerate() {
        let Some(link_fault) = fault.link_fault() else {
            continue;
        };
        let fault = PlannedFault {
            fault: link_fault,
            side: fault.from.resolve(plan).map_err(io::Error::other)?,
            other_side: fault.to.resolve(plan).map_err(io::Error::other)?,
            links: affected_links(plan, fault).map_err(io::Error::other)?,
        };
        planned.insert(number, fault);
    }
    Ok(planned)
}
