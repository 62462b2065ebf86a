//! Decodes the events of the service discovery feed, which come as JSON lines or as a part of the configuration.

use super::Malformed;
use super::lines::number;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use task_placer::settings::{Names, millis_to_micros};
use task_placer::{CellId, Endpoint, EndpointState, HostId, KindId, ZoneId};

/// The maximum number of hosts in an endpoint list.
const MAX_HOSTS: usize = 16_384;
/// The size in bytes that is allowed for an entry of the endpoint list. Most entries take about 170.
const MAX_ENTRY_BYTES: usize = 512;
/// The maximum length of a line of the feed, which may hold a complete endpoint list.
pub const MAX_LINE_BYTES: usize = MAX_HOSTS * MAX_ENTRY_BYTES;
/// The maximum start time of a host process, in milliseconds. Later times are reduced to it, so that sums with it can't
/// overflow.
const MAX_STARTED_AT_MS: f64 = 1e14;
/// Set in the ids of zones that the settings do not list, so that they differ from the ids of those that are listed.
const UNLISTED_ZONE_BIT: usize = 1 << 31;

/// An entry of the endpoint list, with the address on which the host listens.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// The endpoint, as the decision module takes it.
    pub endpoint: Endpoint,
    /// The address on which the host listens ("dial" on the wire). A removed host may have none.
    pub address: Option<SocketAddr>,
}

/// An update of the endpoint list ("members" on the wire).
#[derive(Debug, Clone)]
pub struct EndpointUpdate {
    /// Whether the update lists all endpoints ("whole" on the wire) or only those that changed.
    pub is_complete: bool,
    /// The endpoints that the update lists ("hosts" on the wire).
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An invalid entry of an endpoint list.
#[derive(Debug, Clone)]
pub struct RejectedEndpoint {
    /// The name of the entry's host, or empty if it has none.
    pub host: String,
    /// The fault of the entry.
    pub reason: Malformed,
}

/// An event of the feed: a sequence number and usually an update. An event without an update only shows that the feed
/// is alive.
#[derive(Debug, Clone)]
pub struct FeedMessage {
    /// The sequence number of the latest event ("n" on the wire).
    pub sequence: u64,
    /// The update of the endpoint list, if the event has one.
    pub update: Option<EndpointUpdate>,
    /// Invalid entries of the update. They don't fail the event: otherwise all its valid entries would be lost too, and
    /// a placer whose configuration holds an invalid entry would not start.
    pub rejected: Vec<RejectedEndpoint>,
}

/// Decodes one line of the feed.
///
/// # Errors
///
/// Fails if the line is not a valid event. Invalid entries don't fail it: see [`FeedMessage::rejected`].
pub fn read(line: &mut [u8], names: &Names) -> Result<FeedMessage, Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    read_event(&value, names)
}

/// Decodes an event from a line of the feed or from the configuration.
///
/// # Errors
///
/// Fails if the value is not a valid event. Invalid entries don't fail it: see [`FeedMessage::rejected`].
pub fn read_event(value: &BorrowedValue<'_>, names: &Names) -> Result<FeedMessage, Malformed> {
    let sequence = value.get_u64("n").ok_or(Malformed::Field("n"))?;
    let mut rejected = Vec::new();
    let Some(members) = value.get("members") else {
        return Ok(FeedMessage {
            sequence,
            update: None,
            rejected,
        });
    };
    let is_complete = members.get_bool("whole").ok_or(Malformed::Field("whole"))?;
    let entries = members
        .get_array("hosts")
        .ok_or(Malformed::Field("hosts"))?;
    let mut endpoints = Vec::with_capacity(entries.len());
    for entry in entries {
        match endpoint(entry, names) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(reason) => rejected.push(RejectedEndpoint {
                host: entry.get_str("host").unwrap_or_default().to_string(),
                reason,
            }),
        }
    }
    let update = EndpointUpdate {
        is_complete,
        endpoints,
    };
    Ok(FeedMessage {
        sequence,
        update: Some(update),
        rejected,
    })
}

fn endpoint(value: &BorrowedValue<'_>, names: &Names) -> Result<DiscoveredEndpoint, Malformed> {
    let host = value.get_str("host").ok_or(Malformed::Field("host"))?;
    let state = endpoint_state(value)?;
    let is_removed = state == EndpointState::Removed;
    let address = value.get_str("dial").and_then(|text| text.parse().ok());
    if address.is_none() && !is_removed {
        return Err(Malformed::Field("dial"));
    }
    // Only the name of a removed host is used, so its kind may be missing or unknown.
    let kind = host_kind(value, names)
        .or(is_removed.then_some(KindId(0)))
        .ok_or(Malformed::Field("class"))?;
    let started_at_ms = value.get("born_ms").and_then(number);
    Ok(DiscoveredEndpoint {
        endpoint: Endpoint {
            host: HostId(Arc::from(host)),
            zone: zone(value.get_str("site"), &names.zones),
            cell: CellId(value.get_u64("block").unwrap_or(0)),
            kind,
            state,
            started_at: started_at_ms
                .map_or(0, |ms| millis_to_micros(ms.clamp(0.0, MAX_STARTED_AT_MS))),
            free_cores: free_amount(value, 0),
            free_memory: free_amount(value, 1),
        },
        address,
    })
}

/// Returns the state of an endpoint ("health" on the wire).
fn endpoint_state(value: &BorrowedValue<'_>) -> Result<EndpointState, Malformed> {
    match value.get_str("health") {
        Some("up") => Ok(EndpointState::Up),
        Some("draining") => Ok(EndpointState::Draining),
        Some("removed") => Ok(EndpointState::Removed),
        _ => Err(Malformed::Field("health")),
    }
}

/// Returns the kind of a host ("class" on the wire), or `None` if the settings do not list it.
fn host_kind(value: &BorrowedValue<'_>, names: &Names) -> Option<KindId> {
    let name = normalized(value.get_str("class")?);
    let index = names.kinds.iter().position(|kind| *kind == name)?;
    Some(KindId(index))
}

/// Returns how much of a resource no task has requested ("unasked" on the wire): cores at index 0, memory at index 1.
fn free_amount(value: &BorrowedValue<'_>, index: usize) -> f64 {
    let amounts = value.get_array("unasked");
    let amount = amounts.and_then(|amounts| amounts.get(index));
    amount.and_then(number).unwrap_or(0.0)
}

/// Returns the id of the zone of this name ("site" on the wire), which is the same at every placer. A zone that the
/// settings do not list, or that has no name, gets an id from a hash of its name: its hosts still count as separate
/// from those of all other zones.
fn zone(name: Option<&str>, listed_zones: &[String]) -> ZoneId {
    let name = normalized(name.unwrap_or_default());
    let index = listed_zones.iter().position(|listed| *listed == name);
    ZoneId(index.unwrap_or_else(|| hash_of_name(&name) | UNLISTED_ZONE_BIT))
}

/// Returns the name as the settings hold it, with `_` in place of the characters that separate names there.
fn normalized(name: &str) -> String {
    name.replace([' ', ','], "_")
}

fn hash_of_name(name: &str) -> usize {
    name.bytes().fold(1_469_598_103, |hash: usize, byte| {
        (hash ^ usize::from(byte)).wrapping_mul(1_099_511)
    })
}

#[cfg(test)]
mod tests;
