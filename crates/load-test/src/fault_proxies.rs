//! The fault proxies of a load test: which links of a plan get one, and what is wrong with each of them when.
//!
//! Only links that a fault of the plan affects get a proxy; all others are direct.

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
    /// It begins.
    Begin,
    /// It ends.
    End,
}

/// A fault of links, with its parties resolved.
struct PlannedFault {
    fault: LinkFault,
    side: BTreeSet<Party>,
    other_side: BTreeSet<Party>,
    links: BTreeSet<Link>,
}

/// The proxies of a load test.
pub struct FaultNetwork {
    proxies: FaultProxies,
    /// All links that have a proxy.
    proxied: BTreeSet<Link>,
    /// By the number of the fault in the plan.
    faults: BTreeMap<usize, PlannedFault>,
    log: EventLog,
}

impl FaultNetwork {
    /// Opens proxies to the hosts and feeds of a cluster for the links that a plan affects, and has placers that
    /// start from now on connect through them; none if the plan affects no links.
    ///
    /// # Errors
    ///
    /// A side of a fault is invalid, or the system has no free port.
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
                        .ok_or_else(|| io::Error::other("no such host"))?;
                    let address = proxies.add_proxy(from, Party::Host(slot), target)?;
                    hosts.insert((placer, slot), address);
                }
                Peer::Feed => {
                    let target = cluster
                        .feed_address(placer)
                        .ok_or_else(|| io::Error::other("no such feed"))?;
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

    /// Returns where clients connect to a placer: a new proxy, if the plan affects that link.
    ///
    /// # Errors
    ///
    /// The system has no free port.
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

    /// Begins or ends a fault of the plan, by its number.
    pub fn apply(&self, number: usize, edge: FaultEdge) {
        let Some(planned) = self.faults.get(&number) else {
            return;
        };
        let set = |fault| {
            let _ = self
                .proxies
                .set_fault(&planned.side, &planned.other_side, fault);
        };
        // The links count as impaired from before the fault until after it.
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

/// The faults of links in a plan, by their numbers.
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
