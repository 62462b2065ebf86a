//! The links between the parties of a deployment. A link fault affects every link between a party of one side and a
//! party of the other, no matter which of the two opens the connection.

use super::Plan;
use super::faults::Fault;
use super::parties::InvalidParties;
use emulator::event_log::Peer;
use emulator::fault_proxy::Party;
use std::collections::BTreeSet;

/// A link between a placer and a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// Index of the placer.
    pub placer: usize,
    /// The peer at the other end.
    pub peer: Peer,
}

/// Returns the link on which `from` connects to `to`, if there is one: clients connect to placers; placers connect to
/// hosts and to their own feed.
fn link(from: Party, to: Party) -> Option<Link> {
    let (placer, peer) = match (from, to) {
        (Party::Clients, Party::Placer(placer)) => (placer, Peer::Clients),
        (Party::Placer(placer), Party::Host(slot)) => (placer, Peer::Host(slot)),
        (Party::Placer(placer), Party::Feed(owner)) if placer == owner => (placer, Peer::Feed),
        _ => return None,
    };
    Some(Link { placer, peer })
}

/// Returns the links that a link fault affects.
///
/// # Errors
///
/// The parties of a side are invalid, or there is no link between the two sides.
pub fn affected_links(plan: &Plan, fault: &Fault) -> Result<BTreeSet<Link>, InvalidParties> {
    let from = fault.from.resolve(plan)?;
    let to = fault.to.resolve(plan)?;
    let pairs = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
    let links: BTreeSet<Link> = pairs
        .flat_map(|(a, b)| [link(a, b), link(b, a)])
        .flatten()
        .collect();
    if links.is_empty() {
        return Err(InvalidParties::NotConnected {
            from: fault.from.clone(),
            to: fault.to.clone(),
        });
    }
    Ok(links)
}
