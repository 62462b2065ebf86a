//! Tells whether a client is still waiting for a response, before an attempt for it is sent to a host.

use super::id::ClientId;
use super::table::Clients;
use crate::net::conn::Unread;
use std::collections::BTreeMap;
use task_placer::{HostId, Micros};

/// Limit in bytes of the input that is read from a client before an attempt for it is sent. The limit is larger than
/// the usual socket buffer of an operating system, and keeps a client that sends faster than it is read from delaying
/// its own attempts forever.
const MAX_READ_AHEAD_BYTES: u64 = 256 * 1024;
/// Limit in bytes of the input that is read from a client before an attempt for it is sent, after a stall of this
/// process. It is larger than the largest socket buffer of an operating system, because after a stall all input in the
/// buffer has waited for long and may hold a cancellation.
const MAX_READ_AHEAD_AFTER_STALL_BYTES: u64 = 16 * 1024 * 1024;
/// Waiting time from which unread input counts as old: it may hold a cancellation, which has to take effect within 100
/// ms, as the protocol requires.
const LONG_INPUT_WAIT: Micros = 50_000;

/// The position up to which a client's input must be read before an attempt for it may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadMark {
    /// The connection to which the positions refer.
    pub(super) client: ClientId,
    /// The required position in the input, in bytes from the start of the connection.
    pub(super) position: u64,
    /// Whether no input beyond `position` had arrived when this mark was made.
    pub(super) covers_all: bool,
    /// The position in the input, in bytes, beyond which an attempt no longer waits for unread input.
    pub(super) max_position: u64,
}

/// What is unread on the connections of clients, as found in one pass over the pending attempts of a host. A client may
/// have many of them, and its connection is looked at once.
#[derive(Debug, Default)]
pub struct UnreadInputCache(BTreeMap<ClientId, Unread>);

/// Whether a client that waits for a response is still connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientStatus {
    /// The client is connected, as far as its input shows.
    Connected,
    /// The client has closed its connection, or the connection is closing.
    Disconnected,
    /// The client has sent input that has not been read yet and may cancel the request. The mark, if any, is passed to
    /// the next check.
    UnreadInput(Option<ReadMark>),
}

impl Clients {
    /// Returns whether a client is still connected, before an attempt for it is sent to `host`.
    ///
    /// This prevents an attempt after its client has closed the connection or cancelled the request: a request and its
    /// cancellation may arrive in one read, and after a stall of this process hosts may be read before clients. Input
    /// that the client had sent by the time of the first check (`mark`) is read before the attempt is sent. Later input
    /// is not waited for; otherwise a client that sends without pause would hold up its own attempts. `input_wait` is
    /// the time for which unread input may have been waiting.
    pub fn status(
        &mut self,
        id: ClientId,
        mark: Option<ReadMark>,
        host: &HostId,
        input_wait: Micros,
        cache: &mut UnreadInputCache,
    ) -> ClientStatus {
        let client = self.connections.get_mut(&id);
        let Some(client) = client.filter(|client| !client.conn.is_closing()) else {
            return ClientStatus::Disconnected;
        };
        let mark = mark.filter(|mark| mark.client == id);
        if client.is_processing {
            client.waiting_hosts.insert(host.clone());
            return ClientStatus::UnreadInput(mark);
        }
        let bytes_read = client.bytes_read;
        let is_reached = |mark: ReadMark| {
            mark.covers_all && bytes_read >= mark.position || bytes_read >= mark.max_position
        };
        let unread = cache.0.entry(id).or_insert_with(|| client.conn.unread());
        let unread_bytes = match *unread {
            Unread::EndOfStream => return ClientStatus::Disconnected,
            Unread::Nothing => return ClientStatus::Connected,
            Unread::Bytes(_) if mark.is_some_and(is_reached) => return ClientStatus::Connected,
            Unread::Bytes(count) => count,
        };
        client.waiting_hosts.insert(host.clone());
        if mark.is_some_and(|mark| bytes_read < mark.position) {
            return ClientStatus::UnreadInput(mark);
        }
        let max_read_ahead = if input_wait >= LONG_INPUT_WAIT {
            MAX_READ_AHEAD_AFTER_STALL_BYTES
        } else {
            MAX_READ_AHEAD_BYTES
        };
        let max_position = mark.map_or(bytes_read.saturating_add(max_read_ahead), |mark| {
            mark.max_position
        });
        ClientStatus::UnreadInput(Some(ReadMark {
            client: id,
            position: bytes_read.saturating_add(unread_bytes as u64),
            covers_all: Unread::Bytes(unread_bytes).fits_next_read(),
            max_position,
        }))
    }
}

#[cfg(test)]
mod tests;
