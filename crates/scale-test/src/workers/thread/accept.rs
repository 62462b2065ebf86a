//! Accepts the connections of placers.

use super::{FIRST_CONNECTION, FIRST_LISTENER, TimerEvent, WorkerThread};
use crate::identity::{PlacerId, WorkerId, ZoneId};
use crate::listener::is_loopback;
use crate::socket::Connection;
use crate::wire::lines;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

/// Maximum number of connections accepted from one listener before other events are handled.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Delay before accepting is retried after an error, such as that the process has no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

impl WorkerThread {
    /// Makes a listener accept connections and registers it with the event loop.
    pub(super) fn start_listening(&mut self, index: usize) -> io::Result<()> {
        let Some(listener) = self.listeners.get_mut(index) else {
            return Ok(());
        };
        listener.zone.socket.listen()?;
        let mut handle = listener.zone.socket.handle()?;
        let token = Token(FIRST_LISTENER + index);
        self.poll
            .registry()
            .register(&mut handle, token, Interest::READABLE)?;
        listener.handle = Some(handle);
        Ok(())
    }

    /// Accepts the connections that are pending at a listener. If more may be pending, a timer continues.
    pub(super) fn accept(&mut self, index: usize) -> io::Result<()> {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listeners.get(index) else {
                return Ok(());
            };
            let Some(handle) = &listener.handle else {
                return Ok(());
            };
            let placer = listener.zone.placer;
            let zone = listener.zone.zone;
            match handle.accept() {
                Ok((stream, _)) => self.add_connection(stream, placer, zone)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    // No descriptor is left. Pending connections trigger no further event, so a timer retries.
                    let retry_at = Instant::now() + ACCEPT_RETRY_DELAY;
                    self.timers.add(retry_at, TimerEvent::RetryAccept(index));
                    return Ok(());
                }
            }
        }
        // More connections may be pending and trigger no further event, so a timer continues after other events.
        self.timers
            .add(Instant::now(), TimerEvent::RetryAccept(index));
        Ok(())
    }

    /// Adds a connection to a running worker of this zone. Any other connection is dropped.
    fn add_connection(
        &mut self,
        stream: TcpStream,
        placer: PlacerId,
        zone: ZoneId,
    ) -> io::Result<()> {
        let setup = self.fleet.setup();
        let Ok(address) = stream.local_addr() else {
            return Ok(());
        };
        let called = WorkerId::from_address(address.ip(), setup.workers)
            .filter(|worker| worker.zone(setup.zones) == zone);
        let (Some(worker), Some(counters)) = (called, self.shared.counters.get(placer.index()))
        else {
            return Ok(());
        };
        if !is_loopback(address.ip()) || self.fleet.is_down(worker) {
            return Ok(());
        }
        let slot = self.connections.next_slot();
        let token = Token(FIRST_CONNECTION + slot);
        let connection =
            Connection::new(stream, token, self.poll.registry(), counters.clone(), None)?;
        self.connections.add(connection, worker, placer);
        self.resend_unacknowledged_ends(slot, worker, placer);
        Ok(())
    }

    /// Sends the task ends that the placer has not acknowledged, as the first messages of a new connection.
    fn resend_unacknowledged_ends(&mut self, slot: usize, worker: WorkerId, placer: PlacerId) {
        let ends = self.fleet.unacknowledged(worker, placer);
        let mut bytes = Vec::new();
        ends.iter()
            .for_each(|(id, cause)| lines::write_release(&mut bytes, *id, *cause));
        if !ends.is_empty() {
            self.send(slot, &bytes, ends.len() as u64);
        }
    }
}
