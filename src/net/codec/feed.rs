//! The lines of the service discovery feed, and the same events in the configuration.

use super::Malformed;
use super::lines::number;
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use task_placer::settings::{Names, millis_to_micros};
use task_placer::{CellId, Endpoint, EndpointState, HostId, KindId, ZoneId};

/// Hosts that an endpoint list may name.
const MAX_HOSTS: usize = 16_384;
/// Bytes that an entry of the endpoint list may take; most take some 170.
const MAX_ENTRY_BYTES: usize = 512;
/// No line of the feed is longer: the complete list may be one line.
pub const MAX_LINE_BYTES: usize = MAX_HOSTS * MAX_ENTRY_BYTES;
/// The latest start of a process that is taken over: sums with it stay far from their limits.
const MAX_STARTED_AT_MS: f64 = 1e14;
/// Set in the ids of zones that the settings do not state.
const UNSTATED_ZONE_BIT: usize = 1 << 31;

/// One entry of the endpoint list, and the address where the host listens.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// The entry, for the decision module.
    pub endpoint: Endpoint,
    /// Where it listens ("dial" on the wire); a removed host may have none.
    pub address: Option<SocketAddr>,
}

/// A change of the endpoint list ("members" on the wire).
#[derive(Debug, Clone)]
pub struct EndpointUpdate {
    /// Whether it names all endpoints ("whole" on the wire), or those that changed.
    pub is_complete: bool,
    /// The endpoints ("hosts" on the wire).
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An entry of the endpoint list that cannot be right.
#[derive(Debug, Clone)]
pub struct RejectedEndpoint {
    /// Its host, if it names one.
    pub host: String,
    /// What is wrong.
    pub reason: Malformed,
}

/// One line of the feed: its sequence number and, unless it only shows that the feed is up, an update.
#[derive(Debug, Clone)]
pub struct FeedMessage {
    /// The number of the latest event ("n" on the wire).
    pub sequence: u64,
    /// The update.
    pub update: Option<EndpointUpdate>,
    /// Entries that cannot be right. Guards against one of them taking the event along: all others would be unknown,
    /// and a placer whose configuration names it would not start.
    pub rejected: Vec<RejectedEndpoint>,
}

/// Reads one line.
///
/// # Errors
///
/// Fails if the line is no event.
pub fn read(line: &mut [u8], names: &Names) -> Result<FeedMessage, Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    read_event(&value, names)
}

/// Reads one event, of the feed or of the configuration.
///
/// # Errors
///
/// Fails if the value is no event. Entries that cannot be right don't fail it: see [`FeedMessage::rejected`].
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
    // Of a removed host only its name counts.
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

/// The state of an endpoint ("health" on the wire).
fn endpoint_state(value: &BorrowedValue<'_>) -> Result<EndpointState, Malformed> {
    match value.get_str("health") {
        Some("up") => Ok(EndpointState::Up),
        Some("draining") => Ok(EndpointState::Draining),
        Some("removed") => Ok(EndpointState::Removed),
        _ => Err(Malformed::Field("health")),
    }
}

/// The kind of a host ("class" on the wire), if the settings state it.
fn host_kind(value: &BorrowedValue<'_>, names: &Names) -> Option<KindId> {
    let name = normalized(value.get_str("class")?);
    let index = names.kinds.iter().position(|kind| *kind == name)?;
    Some(KindId(index))
}

/// One of the amounts that no task has requested ("unasked" on the wire: cores, memory).
fn free_amount(value: &BorrowedValue<'_>, index: usize) -> f64 {
    let amounts = value.get_array("unasked");
    let amount = amounts.and_then(|amounts| amounts.get(index));
    amount.and_then(number).unwrap_or(0.0)
}

/// The zone ("site" on the wire) by its name, alike at every placer. Where the settings do not state it, or the entry
/// names none, it is a zone all the same: hosts there are apart from those of all others.
fn zone(name: Option<&str>, stated_zones: &[String]) -> ZoneId {
    let name = normalized(name.unwrap_or_default());
    let stated = stated_zones.iter().position(|stated| *stated == name);
    ZoneId(stated.unwrap_or_else(|| hash_of_name(&name) | UNSTATED_ZONE_BIT))
}

/// A name as the settings hold it, without the characters that separate names there.
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
