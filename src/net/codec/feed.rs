//! The lines of the control feed, and the same events in the configuration.

use super::Malformed;
use super::lines::number;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use task_placer::settings::{Names, millis};
use task_placer::{CellId, Endpoint, EndpointState, HostId, KindId, ZoneId};

/// The most hosts that a list may name.
const MOST_HOSTS: usize = 16_384;
/// What an entry of the list may take; most take some 170 bytes.
const MOST_ENTRY_BYTES: usize = 512;
/// No line of the feed holds more: the whole list may be one line.
pub const MAX_MESSAGE_BYTES: usize = MOST_HOSTS * MOST_ENTRY_BYTES;

/// One host of the list, and the address where it listens.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// What the module is told.
    pub entry: Endpoint,
    /// Where it listens; a host that is gone may have none.
    pub dial: Option<SocketAddr>,
}

/// One line of the feed: its number and, unless it only shows that the feed lives, the changes.
#[derive(Debug, Clone)]
pub struct FeedMessage {
    /// The number of the latest event.
    pub number: u64,
    /// Whether the list is whole, and its hosts.
    pub members: Option<(bool, Vec<DiscoveredEndpoint>)>,
    /// Entries that can't be right, by their hosts, and why. Guards against one of them taking the event
    /// along: all others would be unknown, and a placer whose start names it would not start.
    pub aside: Vec<(String, Malformed)>,
}

/// Reads one line.
pub fn read(line: &mut [u8], names: &Names) -> Result<FeedMessage, Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    event(&value, names)
}

/// Reads one event.
pub fn event(value: &BorrowedValue<'_>, names: &Names) -> Result<FeedMessage, Malformed> {
    let number = value.get_u64("n").ok_or(Malformed::Field("n"))?;
    let mut aside = Vec::new();
    let Some(members) = value.get("members") else {
        return Ok(FeedMessage {
            number,
            members: None,
            aside,
        });
    };
    let whole = members.get_bool("whole").ok_or(Malformed::Field("whole"))?;
    let entries = members
        .get_array("hosts")
        .ok_or(Malformed::Field("hosts"))?;
    let mut hosts = Vec::with_capacity(entries.len());
    for entry in entries {
        match listed(entry, names) {
            Ok(host) => hosts.push(host),
            Err(why) => aside.push((entry.get_str("host").unwrap_or_default().to_string(), why)),
        }
    }
    Ok(FeedMessage {
        number,
        members: Some((whole, hosts)),
        aside,
    })
}

/// A zone by its name, alike at every placer. Where the settings do not state it, or the entry names none,
/// it is a zone all the same: hosts there are apart from those of all others.
fn zone(name: Option<&str>, names: &[String]) -> ZoneId {
    let name = name.unwrap_or_default().replace([' ', ','], "_");
    let hash = || {
        name.bytes().fold(1_469_598_103, |h: usize, b| {
            (h ^ usize::from(b)).wrapping_mul(1_099_511)
        })
    };
    ZoneId(
        names
            .iter()
            .position(|n| *n == name)
            .unwrap_or_else(|| hash() | 1 << 31),
    )
}

fn listed(value: &BorrowedValue<'_>, names: &Names) -> Result<DiscoveredEndpoint, Malformed> {
    let host = value.get_str("host").ok_or(Malformed::Field("host"))?;
    let state = match value.get_str("health") {
        Some("up") => EndpointState::Up,
        Some("draining") => EndpointState::Draining,
        Some("removed") => EndpointState::Removed,
        _ => return Err(Malformed::Field("health")),
    };
    let gone = state == EndpointState::Removed;
    // Of a host that is gone only its name counts.
    let kind = value
        .get_str("class")
        .map(|name| name.replace([' ', ','], "_"));
    let kind = kind.and_then(|name| names.kinds.iter().position(|n| *n == name));
    let dial = value.get_str("dial").and_then(|text| text.parse().ok());
    if dial.is_none() && !gone {
        return Err(Malformed::Field("dial"));
    }
    let free = |i: usize| {
        value
            .get_array("unasked")
            .and_then(|v| v.get(i))
            .and_then(number)
            .unwrap_or(0.0)
    };
    Ok(DiscoveredEndpoint {
        entry: Endpoint {
            host: HostId(Arc::from(host)),
            zone: zone(value.get_str("site"), &names.zones),
            cell: CellId(value.get_u64("block").unwrap_or(0)),
            kind: KindId(
                kind.or(gone.then_some(0))
                    .ok_or(Malformed::Field("class"))?,
            ),
            state,
            // Bounded, so that sums with it stay far from their limits.
            started_at: value
                .get("born_ms")
                .and_then(number)
                .map_or(0, |ms| millis(ms.clamp(0.0, 1e14))),
            free_cores: free(0),
            free_memory: free(1),
        },
        dial,
    })
}

#[cfg(test)]
mod tests;
