//! The faults of a plan: their kinds, targets and times.

use super::duration;
use super::parties::Parties;
use super::selection::Selection;
use emulator::fault_proxy::LinkFault;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fault that is injected during a run, once or several times.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// When the fault begins, from the start of the plan.
    #[serde(rename = "at", with = "duration")]
    pub start: Duration,
    /// How long the fault lasts; zero for a fault without an end.
    #[serde(rename = "length", with = "duration", default)]
    pub duration: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Placers, hosts or racks that the fault affects, counted from 0: a number, a list, or a range such as `"3..12"`.
    #[serde(rename = "which", default)]
    pub selection: Selection,
    /// Time between the beginnings of the fault at one target and at the next.
    #[serde(with = "duration", default)]
    pub stagger: Duration,
    /// Parties on one side of the links that a link fault affects.
    #[serde(default, skip_serializing_if = "Parties::is_empty")]
    pub from: Parties,
    /// Parties on the other side of these links.
    #[serde(default, skip_serializing_if = "Parties::is_empty")]
    pub to: Parties,
    /// Delay of bytes on a slow link, in each direction.
    #[serde(
        rename = "by",
        with = "duration",
        default,
        skip_serializing_if = "Duration::is_zero"
    )]
    pub delay: Duration,
    /// How many times the fault occurs, with pauses that are as long as the fault itself.
    #[serde(rename = "times", default = "once")]
    pub occurrences: u32,
}

fn once() -> u32 {
    1
}

impl Fault {
    /// Returns the numbers of the placers, hosts or racks that the fault affects.
    pub fn targets(&self) -> Vec<usize> {
        self.selection.all()
    }

    /// Returns the effect on links, or none if this is not a link fault.
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

/// Kinds of faults. Plans write their names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A placer is killed (SIGKILL), and started again at the end of the fault.
    PlacerKill,
    /// A placer is stopped by a signal, and continued at the end of the fault.
    PlacerStop,
    /// A placer is terminated (SIGTERM), and started again at the end of the fault.
    PlacerRestart,
    /// A host's process dies. At the end of the fault it comes up cold, with a new id at its old address.
    HostDie,
    /// All hosts of a rack die, and come up like hosts of [`HostDie`](FaultKind::HostDie).
    RackDie,
    /// A host accepts offers but sends no reports.
    HostSilent,
    /// A host rejects all offers.
    HostRefuse,
    /// A host resets each connection before it reads an offer.
    HostResetBefore,
    /// A host resets each connection after it has read an offer.
    HostResetAfter,
    /// A host sends malformed reports.
    HostSpoilt,
    /// A host runs slower than usual.
    HostSlow,
    /// A host drains.
    HostDrain,
    /// The feed of a placer disconnects, and serves no new connections.
    FeedCut,
    /// The feed of a placer stays connected but sends nothing.
    FeedSilent,
    /// The feed of a placer sends each event twice.
    FeedDoubled,
    /// The feed of a placer moves to another address, which the placer learns from its configuration after a SIGHUP.
    FeedMoved,
    /// Nothing arrives on links in either direction, and new connections are not established. What was sent arrives
    /// at the end of the fault.
    LinkCut,
    /// Like [`LinkCut`](FaultKind::LinkCut), but only for what `from` sends to `to`.
    LinkCutTo,
    /// Like [`LinkCut`](FaultKind::LinkCut), but only for what `to` sends to `from`.
    LinkCutFrom,
    /// Bytes on links are held back until the end of the fault.
    LinkStall,
    /// Bytes on links are delayed by [`Fault::delay`].
    LinkSlow,
    /// Connections on links are reset, and new ones as soon as they are established.
    LinkReset,
    /// New connections on links are not established; open ones continue to work.
    LinkBlackHole,
}
