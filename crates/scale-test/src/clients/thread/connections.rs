//! Reads, writes and closes the connections to placers.

use super::ClientThread;
use super::messages::{Reply, read_messages};
use crate::clients::link::PendingRequest;
use crate::clients::tasks::TaskState;
use crate::identity::PlacerId;
use crate::socket::Liveness;
use crate::wire::binary;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// If the connection of a request closes within this time after the request was sent, the client sends the request once
/// more, as the protocol specifies.
const RESEND_WINDOW: Duration = Duration::from_millis(50);

impl ClientThread {
    /// Sends messages on the connection in a slot, if there is one, and closes the connection if it has ended.
    pub(super) fn send(
        &mut self,
        slot: Option<usize>,
        bytes: &[u8],
        messages: u64,
    ) -> io::Result<()> {
        let Some(slot) = slot else { return Ok(()) };
        let Some(entry) = self.links.connection(slot) else {
            return Ok(());
        };
        if entry.connection.send(bytes, messages) == Liveness::Ended {
            self.close(slot)?;
        }
        Ok(())
    }

    /// Reads from and writes to a connection that is ready, and handles the messages that it received.
    pub(super) fn handle_readiness(&mut self, slot: usize) -> io::Result<()> {
        let Some(entry) = self.links.connection(slot) else {
            return Ok(());
        };
        let placer = entry.placer;
        let flushed = entry.connection.flush();
        let filled = entry.connection.fill();
        let Ok(messages) = read_messages(&mut entry.connection) else {
            self.bad_messages += 1;
            return self.close(slot);
        };
        let mut replies = Vec::new();
        let mut reply_count = 0;
        for (id, message) in messages {
            if self.handle_message(slot, placer, id, message)? == Reply::AcknowledgeEnd {
                binary::write_end_acknowledged(&mut replies, id);
                reply_count += 1;
            }
        }
        if flushed == Liveness::Ended || filled == Liveness::Ended {
            return self.close(slot);
        }
        self.send(Some(slot), &replies, reply_count)
    }

    /// Closes a connection. Each request pending on it is sent again, or closed without an answer.
    pub(super) fn close(&mut self, slot: usize) -> io::Result<()> {
        let Some(closed) = self.links.close(slot) else {
            return Ok(());
        };
        let placer = closed.placer;
        let is_killed = self.is_killed(placer);
        for pending in closed.pending {
            let Some(sent) = self.tasks.waiting_since(pending.id) else {
                continue;
            };
            if is_killed {
                self.close_unanswered(pending.id, TaskState::PlacerKilled);
            } else if !pending.is_resent && sent.elapsed() <= RESEND_WINDOW {
                let resent = PendingRequest {
                    is_resent: true,
                    ..pending
                };
                self.send_request(resent, placer)?;
            } else {
                self.close_unanswered(pending.id, TaskState::ConnectionLost);
            }
        }
        Ok(())
    }

    /// Returns whether a placer has been killed or is about to be killed.
    fn is_killed(&self, placer: PlacerId) -> bool {
        let has_address = self
            .links
            .get(placer)
            .is_some_and(|link| link.address.is_some());
        let kill_announced = self
            .shared
            .kill_announced
            .get(placer.index())
            .is_some_and(|announced| announced.load(Ordering::SeqCst));
        !has_address || kill_announced
    }
}
