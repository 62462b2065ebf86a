//! Tells whether a client that waits for a response is still there, before an attempt for it is sent.

use super::id::ClientId;
use super::table::Clients;
use crate::net::conn::Unread;
use task_placer::{HostId, Micros};

/// How much of what a client has sent may be read before an attempt for it is sent: more than a system's usual buffer.
/// Guards the attempts of a client that sends faster than it is read.
const MAX_READ_AHEAD_BYTES: u64 = 256 * 1024;
/// The same after a stall of this process: more than a system's largest buffer, since all that waits in it is old.
const MAX_READ_AHEAD_AFTER_STALL_BYTES: u64 = 16 * 1024 * 1024;
/// Input that has waited for so long may hold a cancellation that has to take effect at once: within 100 ms (the
/// protocol's figure).
const LONG_INPUT_WAIT: Micros = 50_000;

/// How far a client must be read until an attempt for it may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadMark {
    /// The connection that it is about.
    pub(super) client: ClientId,
    /// The position in its input, in bytes from the start.
    pub(super) position: u64,
    /// Whether nothing beyond the position had arrived at that time.
    pub(super) covers_all: bool,
    /// The position from which on nothing is waited for.
    pub(super) max_position: u64,
}

/// Whether a client that waits for a response is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientStatus {
    /// It is, as far as its input shows.
    Connected,
    /// It has closed its connection, or the connection is closing.
    Disconnected,
    /// It has sent something that was not read yet: it may have cancelled the request.
    UnreadInput(Option<ReadMark>),
}

impl Clients {
    /// Returns whether a client is still there, for an attempt at a host.
    ///
    /// Guards against an attempt that begins after its client has closed the connection or cancelled the request: a
    /// request and its cancellation arrive in one read, and after a stall of this process hosts may be read before
    /// clients are. What the client had sent by the time of the first look (`mark`) is read before the attempt is sent;
    /// what it sends later is not waited for, or one that never pauses would hold up its own attempts.
    /// `input_wait` is for how long unread input may have been waiting.
    pub fn status(
        &mut self,
        id: ClientId,
        mark: Option<ReadMark>,
        host: &HostId,
        input_wait: Micros,
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
        let unread_bytes = match client.conn.unread() {
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
