//! FaultProxies between the parties of a rehearsal: which of them a plan strikes, their relays, and what is wrong
//! with them when.
//!
//! Only links that a fault of the plan names get a relay; all others are as without. Parties are written as
//! `placers 0..3, hosts 2`, `rooms 1` (its hosts and its placers), `racks 0`, `feeds` or `clients`; without numbers all
//! of a kind are meant. A fault strikes every link between a party of one side and a party of the other,
//! whoever calls.

use crate::plan::{Fault, FaultKind, Plan, Which};
use emulator::cluster::Cluster;
use emulator::event_log::EventLog;
use emulator::event_log::{Event as LogEvent, Peer};
use emulator::fault_proxy::{FaultProxies, LinkFault, Party};
use emulator::supervisor::Supervisor;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

/// The most links that a plan may strike: each has a listener, and two descriptors a connection.
pub const MOST_LINKS: usize = 1_024;

/// Kinds of parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Clients,
    Placers,
    Hosts,
    Racks,
    Rooms,
    Feeds,
}

impl Kind {
    const ALL: [(&'static str, Kind); 6] = [
        ("clients", Kind::Clients),
        ("placers", Kind::Placers),
        ("hosts", Kind::Hosts),
        ("racks", Kind::Racks),
        ("rooms", Kind::Rooms),
        ("feeds", Kind::Feeds),
    ];

    /// The kind that a plan means; earlier plans call clients `owners`.
    fn named(word: &str) -> Option<Kind> {
        let word = if word == "owners" { "clients" } else { word };
        Kind::ALL
            .iter()
            .find(|(name, _)| *name == word)
            .map(|(_, kind)| *kind)
    }

    fn as_str(self) -> &'static str {
        Kind::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }
}

/// One side of a link fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Parties {
    text: String,
    named: Vec<(Kind, Option<Which>)>,
}

impl TryFrom<String> for Parties {
    type Error = String;

    fn try_from(text: String) -> Result<Parties, String> {
        let named = text.split(',').map(|part| {
            let mut words = part.split_whitespace();
            let kind = words.next().and_then(Kind::named).ok_or_else(|| {
                let known = Kind::ALL.map(|(name, _)| name).join(", ");
                format!("expected one of {known}, found \"{}\"", part.trim())
            })?;
            let which = match (words.next(), words.next()) {
                (None, _) => None,
                (Some(word), None) => Some(match word.parse() {
                    Ok(one) => Which::One(one),
                    Err(_) => Which::Range(word.to_string().try_into()?),
                }),
                (Some(_), Some(_)) => {
                    return Err(format!(
                        "expected one number or range in \"{}\"",
                        part.trim()
                    ));
                }
            };
            Ok((kind, which))
        });
        Ok(Parties {
            named: named.collect::<Result<_, String>>()?,
            text,
        })
    }
}

impl From<Parties> for String {
    fn from(parties: Parties) -> String {
        parties.text
    }
}

impl std::fmt::Display for Parties {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.text)
    }
}

impl Parties {
    /// Whether none is named.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }

    /// The ends that are meant; an error names what is not there.
    pub fn ends(&self, plan: &Plan) -> Result<BTreeSet<Party>, String> {
        let (placers, hosts) = (plan.placers.count, plan.hosts.count);
        let (rooms, rack) = (plan.rooms.len().max(1), plan.hosts.rack.max(1));
        let mut ends = BTreeSet::new();
        for (kind, which) in &self.named {
            let count = match kind {
                Kind::Clients => 1,
                Kind::Placers | Kind::Feeds => placers,
                Kind::Hosts => hosts,
                Kind::Racks => hosts.div_ceil(rack),
                Kind::Rooms => rooms,
            };
            let all = which
                .as_ref()
                .map_or_else(|| (0..count).collect(), Which::all);
            if let Some(beyond) = all.iter().find(|n| **n >= count) {
                return Err(format!(
                    "there are {count} {}, counted from 0, found {beyond}",
                    kind.as_str()
                ));
            }
            for n in all {
                match kind {
                    Kind::Clients => drop(ends.insert(Party::Clients)),
                    Kind::Placers => drop(ends.insert(Party::Placer(n))),
                    Kind::Hosts => drop(ends.insert(Party::Host(n))),
                    Kind::Feeds => drop(ends.insert(Party::Feed(n))),
                    Kind::Racks => {
                        ends.extend((n * rack..hosts.min((n + 1) * rack)).map(Party::Host))
                    }
                    Kind::Rooms => {
                        ends.extend((n..hosts).step_by(rooms).map(Party::Host));
                        ends.extend((n..placers).step_by(rooms).map(Party::Placer));
                    }
                }
            }
        }
        Ok(ends)
    }
}

/// A link, by its placer and whom it is with.
type Link = (usize, Peer);

/// The links between two sets of ends. Clients call placers; placers call hosts, and their own feed.
fn between(one: &BTreeSet<Party>, other: &BTreeSet<Party>) -> BTreeSet<Link> {
    let mut links = BTreeSet::new();
    for (from, to) in [(one, other), (other, one)] {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            match (a, b) {
                (Party::Clients, Party::Placer(n)) => {
                    links.insert((*n, Peer::Clients));
                }
                (Party::Placer(n), Party::Host(place)) => {
                    links.insert((*n, Peer::Host(*place)));
                }
                (Party::Placer(n), Party::Feed(of)) if n == of => {
                    links.insert((*n, Peer::Feed));
                }
                _ => {}
            }
        }
    }
    links
}

/// What a fault does to its links; none where it is no fault of links.
pub fn fault(fault: &Fault) -> Option<LinkFault> {
    Some(match fault.kind {
        FaultKind::LinkCut => LinkFault::Cut,
        FaultKind::LinkCutTo => LinkFault::CutForward,
        FaultKind::LinkCutFrom => LinkFault::CutBackward,
        FaultKind::LinkStall => LinkFault::Stall,
        FaultKind::LinkSlow => LinkFault::Delay(fault.by),
        FaultKind::LinkReset => LinkFault::Reset,
        FaultKind::LinkBlackHole => LinkFault::BlackHole,
        _ => return None,
    })
}

/// The links that a fault strikes, or what is wrong with it.
pub fn struck(plan: &Plan, fault: &Fault) -> Result<BTreeSet<Link>, String> {
    let (one, other) = (fault.from.ends(plan)?, fault.to.ends(plan)?);
    let links = between(&one, &other);
    if links.is_empty() {
        return Err(format!(
            "nobody of \"{}\" calls anybody of \"{}\", nor the other way",
            fault.from, fault.to
        ));
    }
    Ok(links)
}

/// A fault of links.
struct Strike {
    does: LinkFault,
    between: [BTreeSet<Party>; 2],
    links: BTreeSet<Link>,
}

/// The relays of a rehearsal.
pub struct Network {
    links: FaultProxies,
    /// All links that have a relay.
    relayed: BTreeSet<Link>,
    /// By number of the fault.
    faults: BTreeMap<usize, Strike>,
    log: EventLog,
}

impl Network {
    /// Relays for the links that a plan strikes, to the hosts and feeds of an installation; none where it
    /// strikes none. Placers that start from now on call through them.
    pub fn open(plan: &Plan, cluster: &Cluster, log: EventLog) -> io::Result<Option<Network>> {
        let mut faults = BTreeMap::new();
        for (n, struck_by) in plan.faults.iter().enumerate() {
            let Some(does) = fault(struck_by) else {
                continue;
            };
            let links = struck(plan, struck_by).map_err(io::Error::other)?;
            let between =
                [struck_by.from.ends(plan), struck_by.to.ends(plan)].map(Result::unwrap_or_default);
            faults.insert(
                n,
                Strike {
                    does,
                    between,
                    links,
                },
            );
        }
        if faults.is_empty() {
            return Ok(None);
        }
        let relayed: BTreeSet<Link> = faults
            .values()
            .flat_map(|strike| strike.links.iter().copied())
            .collect();
        let links = FaultProxies::start()?;
        let (mut hosts, mut feeds) = (BTreeMap::new(), BTreeMap::new());
        for (placer, peer) in &relayed {
            let from = Party::Placer(*placer);
            match peer {
                Peer::Clients => {}
                Peer::Host(place) => {
                    let address = cluster.host_address(*placer, *place);
                    let address = address.ok_or_else(|| io::Error::other("no such host"))?;
                    hosts.insert(
                        (*placer, *place),
                        links.add_proxy(from, Party::Host(*place), address)?,
                    );
                }
                Peer::Feed => {
                    let address = cluster
                        .feed_address(*placer)
                        .ok_or_else(|| io::Error::other("no such feed"))?;
                    feeds.insert(
                        *placer,
                        links.add_proxy(from, Party::Feed(*placer), address)?,
                    );
                }
            }
        }
        cluster.set_routes(hosts, feeds);
        Ok(Some(Network {
            links,
            relayed,
            faults,
            log,
        }))
    }

    /// Where clients call a placer: its relay, if that link has one.
    pub fn clients_call(
        &self,
        placer: usize,
        supervisor: &Supervisor,
    ) -> io::Result<Option<SocketAddr>> {
        let Some(listen) = supervisor.client_address(placer) else {
            return Ok(None);
        };
        if !self.relayed.contains(&(placer, Peer::Clients)) {
            return Ok(Some(listen));
        }
        self.links
            .add_proxy(Party::Clients, Party::Placer(placer), listen)
            .map(Some)
    }

    /// A fault of the plan begins or ends.
    pub fn strike(&self, n: usize, begins: bool) {
        let Some(Strike {
            does,
            between: [one, other],
            links,
        }) = self.faults.get(&n)
        else {
            return;
        };
        let does = if begins { *does } else { LinkFault::None };
        // What is held back counts from before it is, until after it no longer is.
        let note = || {
            for (placer, peer) in links {
                self.log.record(LogEvent::LinkChanged {
                    placer: *placer,
                    peer: *peer,
                    intact: !begins,
                });
            }
        };
        if begins {
            note();
        }
        let _ = self.links.set_fault(one, other, does);
        if !begins {
            note();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(faults: &str) -> Result<Plan, String> {
        let text = format!(
            "rooms = [\"a\", \"b\"]\n[placers]\ncount = 3\n[hosts]\ncount = 5\nrack = 2\n{faults}"
        );
        Plan::parse(&text).map_err(|e| e.to_string())
    }

    fn link(kind: &str, from: &str, to: &str) -> String {
        format!(
            "[[fault]]\nat = \"1s\"\nlength = \"1s\"\nkind = \"{kind}\"\nfrom = \"{from}\"\nto = \"{to}\"\n"
        )
    }

    #[test]
    fn parties_name_the_links_between_them_whoever_calls() {
        let hosts = |placer, places: &[usize]| {
            places
                .iter()
                .map(|p| (placer, Peer::Host(*p)))
                .collect::<Vec<_>>()
        };
        for (from, to, links) in [
            ("placers 1", "hosts 0..2", hosts(1, &[0, 1])),
            ("hosts 0..2", "placers 1", hosts(1, &[0, 1])),
            ("racks 2", "placers 0", hosts(0, &[4])),
            (
                "clients",
                "placers 0..2",
                vec![(0, Peer::Clients), (1, Peer::Clients)],
            ),
            // As plans called clients before.
            (
                "owners",
                "placers 0..2",
                vec![(0, Peer::Clients), (1, Peer::Clients)],
            ),
            ("placers", "feeds 2", vec![(2, Peer::Feed)]),
            // A room is its hosts and its placers: it is parted from the other.
            (
                "rooms 0",
                "rooms 1",
                [hosts(0, &[1, 3]), hosts(1, &[0, 2, 4]), hosts(2, &[1, 3])].concat(),
            ),
            (
                "clients, feeds",
                "placers 2",
                vec![(2, Peer::Clients), (2, Peer::Feed)],
            ),
        ] {
            let plan = plan(&link("link-cut", from, to)).expect(from);
            let found = struck(&plan, &plan.faults[0]).expect(from);
            assert_eq!(found, links.into_iter().collect(), "{from} to {to}");
        }
    }

    #[test]
    fn what_can_not_be_meant_is_named() {
        for (faults, says) in [
            (
                link("link-cut", "placer 0", "hosts"),
                "expected one of clients, placers",
            ),
            (
                link("link-cut", "placers 0 1", "hosts"),
                "expected one number or range",
            ),
            (
                link("link-cut", "placers 3..2", "hosts"),
                "expected a range",
            ),
            (
                link("link-cut", "placers 3", "hosts"),
                "from: there are 3 placers, counted from 0, found 3",
            ),
            (
                link("link-cut", "placers", "racks 3"),
                "to: there are 3 racks",
            ),
            (
                link("link-cut", "clients", "hosts"),
                "nobody of \"clients\" calls anybody of \"hosts\"",
            ),
            (
                link("link-slow", "clients", "placers"),
                "by: expected how late",
            ),
            (
                link("placer-stop", "clients", "placers"),
                "from, to, by: only faults of links",
            ),
            (
                "[[fault]]\nat = \"1s\"\nkind = \"link-cut\"\n".into(),
                "from, to: expected parties",
            ),
            (
                link("link-cut", "clients", "placers") + "which = 1\n",
                "which: links are named by from and to",
            ),
            (
                link("link-cut", "placers", "feeds")
                    + "[[fault]]\nat = \"1s\"\nkind = \"feed-moved\"\n",
                "a feed behind a link does not move",
            ),
        ] {
            let error = plan(&faults).expect_err(&faults);
            assert!(error.contains(says), "{faults}: {error}");
        }
    }
}
