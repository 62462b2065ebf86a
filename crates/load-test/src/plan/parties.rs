//! The parties of a plan, as faults of links name them.
//!
//! Parties are written as `placers 0..3, hosts 2`, `rooms 1` (the hosts and the placers of a zone), `racks 0`,
//! `feeds` or `clients`; without numbers all of a kind are meant.

use super::Plan;
use super::selection::{InvalidRange, Selection};
use emulator::fault_proxy::Party;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Kinds of parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Clients,
    Placers,
    Hosts,
    Racks,
    Zones,
    Feeds,
}

impl Kind {
    /// The kinds with their names in plans.
    const ALL: [(&'static str, Kind); 6] = [
        ("clients", Kind::Clients),
        ("placers", Kind::Placers),
        ("hosts", Kind::Hosts),
        ("racks", Kind::Racks),
        ("rooms", Kind::Zones),
        ("feeds", Kind::Feeds),
    ];

    /// The kind of a name; earlier plans call clients `owners`.
    fn from_name(name: &str) -> Option<Kind> {
        let name = if name == "owners" { "clients" } else { name };
        Kind::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, kind)| *kind)
    }

    fn as_str(self) -> &'static str {
        Kind::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }
}

/// Why parties of a plan are invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidParties {
    /// No kind of party.
    #[error("expected one of {}, found \"{found}\"", Kind::ALL.map(|(name, _)| name).join(", "))]
    UnknownKind {
        /// The text.
        found: String,
    },
    /// More than one number or range after a kind.
    #[error("expected one number or range in \"{found}\"")]
    TooManyNumbers {
        /// The text.
        found: String,
    },
    /// Neither a number nor a range after a kind.
    #[error(transparent)]
    Range(#[from] InvalidRange),
    /// A number beyond the last.
    #[error("there are {count} {kind}, counted from 0, found {found}")]
    OutOfRange {
        /// How many there are.
        count: usize,
        /// The kind.
        kind: &'static str,
        /// The number.
        found: usize,
    },
    /// No party of one side connects to one of the other.
    #[error("nobody of \"{from}\" calls anybody of \"{to}\", nor the other way")]
    NotConnected {
        /// One side.
        from: Parties,
        /// The other side.
        to: Parties,
    },
}

/// One side of a fault of links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Parties {
    text: String,
    /// Kinds with their numbers; all of a kind where there are none.
    groups: Vec<(Kind, Option<Selection>)>,
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

fn parse_group(text: &str) -> Result<(Kind, Option<Selection>), InvalidParties> {
    let found = text.trim();
    let mut words = text.split_whitespace();
    let kind =
        words
            .next()
            .and_then(Kind::from_name)
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
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the parties in the deployment of a plan.
    ///
    /// # Errors
    ///
    /// A number is beyond the last of its kind.
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

/// How many of a kind a plan has.
fn count(kind: Kind, plan: &Plan) -> usize {
    match kind {
        Kind::Clients => 1,
        Kind::Placers | Kind::Feeds => plan.placers.count,
        Kind::Hosts => plan.hosts.count,
        Kind::Racks => plan.hosts.count.div_ceil(plan.hosts.rack_size.max(1)),
        Kind::Zones => plan.zones.len().max(1),
    }
}

/// The parties of one number of a kind: several for a rack or a zone.
fn members(kind: Kind, number: usize, plan: &Plan) -> Vec<Party> {
    let (placers, hosts) = (plan.placers.count, plan.hosts.count);
    match kind {
        Kind::Clients => vec![Party::Clients],
        Kind::Placers => vec![Party::Placer(number)],
        Kind::Hosts => vec![Party::Host(number)],
        Kind::Feeds => vec![Party::Feed(number)],
        Kind::Racks => {
            let size = plan.hosts.rack_size.max(1);
            (number * size..hosts.min((number + 1) * size))
                .map(Party::Host)
                .collect()
        }
        Kind::Zones => {
            let zones = plan.zones.len().max(1);
            let hosts = (number..hosts).step_by(zones).map(Party::Host);
            let placers = (number..placers).step_by(zones).map(Party::Placer);
            hosts.chain(placers).collect()
        }
    }
}
