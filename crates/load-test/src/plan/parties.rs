//! Parties of a deployment, as the `from` and `to` keys of link faults name them.
//!
//! Parties are written as `placers 0..3, hosts 2`, `rooms 1` (the hosts and the placers of a zone), `racks 0`,
//! `feeds` or `clients`; a kind without numbers stands for all of its parties.

use super::Plan;
use super::selection::{InvalidRange, Selection};
use emulator::fault_proxy::Party;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// A kind of party.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartyKind {
    Clients,
    Placers,
    Hosts,
    Racks,
    Zones,
    Feeds,
}

impl PartyKind {
    /// All kinds with their names in plans.
    const ALL: [(&'static str, PartyKind); 6] = [
        ("clients", PartyKind::Clients),
        ("placers", PartyKind::Placers),
        ("hosts", PartyKind::Hosts),
        ("racks", PartyKind::Racks),
        ("rooms", PartyKind::Zones),
        ("feeds", PartyKind::Feeds),
    ];

    /// Returns the kind with a name. `owners` is the name of clients in earlier plans.
    fn from_name(name: &str) -> Option<PartyKind> {
        let name = if name == "owners" { "clients" } else { name };
        PartyKind::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, kind)| *kind)
    }

    fn as_str(self) -> &'static str {
        PartyKind::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }
}

/// Why the parties of a link fault are invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidParties {
    /// The text does not begin with a kind of party.
    #[error("expected one of {}, found \"{found}\"", PartyKind::ALL.map(|(name, _)| name).join(", "))]
    UnknownKind {
        /// The invalid text.
        found: String,
    },
    /// More than one number or range follows a kind.
    #[error("expected one number or range in \"{found}\"")]
    TooManyNumbers {
        /// The invalid text.
        found: String,
    },
    /// The text after a kind is neither a number nor a range.
    #[error(transparent)]
    Range(#[from] InvalidRange),
    /// The number of a party is not less than the count of its kind.
    #[error("there are {count} {kind}, counted from 0, found {found}")]
    OutOfRange {
        /// Count of the parties of the kind.
        count: usize,
        /// Name of the kind in plans.
        kind: &'static str,
        /// The invalid number.
        found: usize,
    },
    /// There is no link between a party of one side and a party of the other.
    #[error("no party of \"{from}\" connects to one of \"{to}\", nor the reverse")]
    NotConnected {
        /// Parties of one side.
        from: Parties,
        /// Parties of the other side.
        to: Parties,
    },
}

/// The parties on one side of a link fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Parties {
    text: String,
    /// Kinds with the selected numbers; without a selection, all parties of the kind.
    groups: Vec<(PartyKind, Option<Selection>)>,
}

impl TryFrom<String> for Parties {
    type Error = InvalidParties;

    fn try_from(text: String) -> Result<Parties, InvalidParties> {
        let groups = text
            .split(',')
            .map(parse_group)
            .collect::<Result<_, InvalidParties>>()?;
        Ok(Parties { text, groups })
    }
}

fn parse_group(text: &str) -> Result<(PartyKind, Option<Selection>), InvalidParties> {
    let found = text.trim();
    let mut words = text.split_whitespace();
    let kind =
        words
            .next()
            .and_then(PartyKind::from_name)
            .ok_or_else(|| InvalidParties::UnknownKind {
                found: found.to_string(),
            })?;
    let selection = match (words.next(), words.next()) {
        (None, _) => None,
        (Some(word), None) => Some(match word.parse() {
            Ok(number) => Selection::One(number),
            Err(_) => Selection::Range(word.to_string().try_into()?),
        }),
        (Some(_), Some(_)) => {
            return Err(InvalidParties::TooManyNumbers {
                found: found.to_string(),
            });
        }
    };
    Ok((kind, selection))
}

impl From<Parties> for String {
    fn from(parties: Parties) -> String {
        parties.text
    }
}

impl fmt::Display for Parties {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Parties {
    /// Returns whether no parties are named.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the parties in the deployment of a plan.
    ///
    /// # Errors
    ///
    /// The number of a party is not less than the count of its kind.
    pub fn resolve(&self, plan: &Plan) -> Result<BTreeSet<Party>, InvalidParties> {
        let mut parties = BTreeSet::new();
        for (kind, selection) in &self.groups {
            let count = count(*kind, plan);
            let numbers = selection
                .as_ref()
                .map_or_else(|| (0..count).collect(), Selection::all);
            if let Some(found) = numbers.iter().find(|number| **number >= count) {
                return Err(InvalidParties::OutOfRange {
                    count,
                    kind: kind.as_str(),
                    found: *found,
                });
            }
            for number in numbers {
                parties.extend(members(*kind, number, plan));
            }
        }
        Ok(parties)
    }
}

/// Returns how many numbers of a kind a plan has.
fn count(kind: PartyKind, plan: &Plan) -> usize {
    match kind {
        PartyKind::Clients => 1,
        PartyKind::Placers | PartyKind::Feeds => plan.placers.count,
        PartyKind::Hosts => plan.hosts.count,
        PartyKind::Racks => plan.hosts.count.div_ceil(plan.hosts.rack_size.max(1)),
        PartyKind::Zones => plan.zones.len().max(1),
    }
}

/// Returns the parties that a kind and a number stand for: one, or all those of a rack or a zone.
fn members(kind: PartyKind, number: usize, plan: &Plan) -> Vec<Party> {
    let (placers, hosts) = (plan.placers.count, plan.hosts.count);
    match kind {
        PartyKind::Clients => vec![Party::Clients],
        PartyKind::Placers => vec![Party::Placer(number)],
        PartyKind::Hosts => vec![Party::Host(number)],
        PartyKind::Feeds => vec![Party::Feed(number)],
        PartyKind::Racks => {
            let size = plan.hosts.rack_size.max(1);
            (number * size..hosts.min((number + 1) * size))
                .map(Party::Host)
                .collect()
        }
        PartyKind::Zones => {
            let zones = plan.zones.len().max(1);
            let hosts = (number..hosts).step_by(zones).map(Party::Host);
            let placers = (number..placers).step_by(zones).map(Party::Placer);
            hosts.chain(placers).collect()
        }
    }
}
