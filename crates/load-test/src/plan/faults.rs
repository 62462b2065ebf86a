//! The faults of a plan: what goes wrong, where and when.

use super::duration;
use super::parties::Parties;
use super::selection::Selection;
use emulator::fault_proxy::LinkFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// When it begins, from the start of the plan.
    #[serde(rename = "at", with = "duration")]
    pub start: Duration,
    /// How long it lasts; zero for a fault without an end.
    #[serde(rename = "length", with = "duration", default)]
    pub duration: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// Which placers, hosts or racks it affects, counted from 0: a number, a list, or a range such as `"3..12"`.
    #[serde(rename = "which", default)]
    pub selection: Selection,
    /// Time between one of them and the next.
    #[serde(with = "duration", default)]
    pub stagger: Duration,
    /// One side of the links that a fault of links affects.
    #[serde(default, skip_serializing_if = "Parties::is_empty")]
    pub from: Parties,
    /// The other side.
    #[serde(default, skip_serializing_if = "Parties::is_empty")]
    pub to: Parties,
    /// How late bytes are on a slow link, in each direction.
    #[serde(
        rename = "by",
        with = "duration",
        default,
        skip_serializing_if = "Duration::is_zero"
    )]
    pub delay: Duration,
    /// How often it occurs, with a pause of its own duration in between.
    #[serde(rename = "times", default = "once")]
    pub occurrences: u32,
}

fn once() -> u32 {
    1
}

impl Fault {
    /// Returns the placers, hosts or racks that it affects.
    pub fn targets(&self) -> Vec<usize> {
        self.selection.all()
    }

    /// Returns what it does to links; none if it is not a fault of links.
    pub fn link_fault(&self) -> Option<LinkFault> {
        match self.kind {
            FaultKind::LinkCut => Some(LinkFault::Cut),
            FaultKind::LinkCutTo => Some(LinkFault::CutForward),
            FaultKind::LinkCutFrom => Some(LinkFault::CutBackward),
            FaultKind::LinkStall => Some(LinkFault::Stall),
            FaultKind::LinkSlow => Some(LinkFault::Delay(self.delay)),
            FaultKind::LinkReset => Some(LinkFault::Reset),
            FaultKind::LinkBlackHole => Some(LinkFault::BlackHole),
            _ => None,
        }
    }
}

/// Kinds of faults, named as in plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A placer is killed, and started again at the end.
    PlacerKill,
    /// A placer is stopped by a signal, and continued at the end.
    PlacerStop,
    /// A placer is terminated (SIGTERM), and started again at the end.
    PlacerRestart,
    /// A host's process dies. At the end it comes up cold, under a new id at its old address.
    HostDie,
    /// All hosts of a rack die likewise.
    RackDie,
    /// A host accepts offers and reports nothing.
    HostSilent,
    /// A host rejects everything.
    HostRefuse,
    /// A host resets connections before it reads an offer.
    HostResetBefore,
    /// A host resets the connection after it has read an offer.
    HostResetAfter,
    /// A host's reports are malformed.
    HostSpoilt,
    /// A host is slow.
    HostSlow,
    /// A host drains.
    HostDrain,
    /// The feed of a placer disconnects, and serves no new connection.
    FeedCut,
    /// It stays connected and sends nothing.
    FeedSilent,
    /// It sends each event twice.
    FeedDoubled,
    /// It moves to another address; the placer is notified by its configuration and SIGHUP.
    FeedMoved,
    /// Nothing arrives on links in either direction, and new connections do not come up. What was sent arrives at
    /// the end.
    LinkCut,
    /// The same for what `from` sends to `to`.
    LinkCutTo,
    /// The same for what `to` sends to `from`.
    LinkCutFrom,
    /// Bytes wait on links.
    LinkStall,
    /// Bytes are late on links.
    LinkSlow,
    /// Connections are reset, and new ones as soon as they are up.
    LinkReset,
    /// New connections do not come up; open ones go on.
    LinkBlackHole,
}
