//! The faults that the workers inject: crashed zones and invalid bytes.

use super::WorkerThread;
use crate::identity::{WorkerId, ZoneId};
use std::collections::BTreeSet;
use std::io;

/// Bytes that do not form a valid message of the protocol.
const GARBAGE: &[u8] = b"\x00\xffnot a message{{{\n";

impl WorkerThread {
    /// Crashes a zone: its listeners refuse connections, and its open connections are reset.
    pub(super) fn crash_zone(&mut self, zone: ZoneId) -> io::Result<()> {
        let zones = self.fleet.setup().zones;
        for listener in self
            .listeners
            .iter_mut()
            .filter(|listener| listener.zone.zone == zone)
        {
            if let Some(mut handle) = listener.handle.take() {
                self.poll.registry().deregister(&mut handle)?;
            }
            listener.zone.socket.refuse()?;
        }
        self.fleet.crash_zone(zone);
        for slot in self
            .connections
            .slots_where(|entry| entry.worker.zone(zones) == zone)
        {
            if let Some(lost) = self.connections.remove(slot) {
                lost.connection.reset();
            }
        }
        Ok(())
    }

    /// Restores the workers of a zone and accepts connections to them again.
    pub(super) fn restore_zone(&mut self, zone: ZoneId) -> io::Result<()> {
        self.fleet.restore_zone(zone);
        for index in 0..self.listeners.len() {
            if self
                .listeners
                .get(index)
                .is_some_and(|listener| listener.zone.zone == zone)
            {
                self.start_listening(index)?;
            }
        }
        Ok(())
    }

    /// Sends invalid bytes on all connections of up to this number of workers, leaving out connections on which
    /// invalid bytes were sent before.
    pub(super) fn send_garbage(&mut self, workers: u32) {
        let slots = self.connections.slots_where(|entry| !entry.garbage_sent);
        let mut chosen: BTreeSet<WorkerId> = slots
            .iter()
            .filter_map(|slot| Some(self.connections.get_mut(*slot)?.worker))
            .collect();
        while chosen.len() > workers as usize {
            chosen.pop_last();
        }
        for slot in slots {
            let Some(entry) = self.connections.get_mut(slot) else {
                continue;
            };
            if chosen.contains(&entry.worker) {
                entry.garbage_sent = true;
                self.fleet.audit.garbage_sent += 1;
                self.send(slot, GARBAGE, 1);
            }
        }
    }
}
