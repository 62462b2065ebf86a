//! Reads messages from placers, and writes the replies of workers.

use super::{TimerEvent, WorkerThread};
use crate::identity::{PlacerId, RequestId, WorkerId};
use crate::socket::{Connection, Liveness};
use crate::traffic::TrafficKind;
use crate::wire::lines::{self, Offer, PlacerLine};
use crate::wire::{WireError, cause};
use crate::workers::replies::{OfferReply, ReleaseReply, TaskTimer};
use std::time::Instant;

/// The encoded replies to the messages that were read from a connection at once.
#[derive(Default)]
struct Replies {
    bytes: Vec<u8>,
    messages: u64,
}

impl Replies {
    fn add(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.bytes);
        self.messages += 1;
    }
}

/// The worker and the placer at the ends of a connection, and the slot of the connection.
#[derive(Debug, Clone, Copy)]
struct Route {
    slot: usize,
    worker: WorkerId,
    placer: PlacerId,
}

impl WorkerThread {
    /// Sends task messages on a connection, and closes it if it has ended.
    pub(super) fn send(&mut self, slot: usize, bytes: &[u8], messages: u64) {
        let Some(entry) = self.connections.get_mut(slot) else {
            return;
        };
        entry.connection.assign_kind(TrafficKind::Worker);
        if entry.connection.send(bytes, messages) == Liveness::Ended {
            self.close(slot);
        }
    }

    /// Removes a connection and withdraws the offers that are pending on it.
    fn close(&mut self, slot: usize) {
        let Some(closed) = self.connections.remove(slot) else {
            return;
        };
        if closed.garbage_sent {
            self.fleet.audit.garbage_dropped += 1;
        }
        closed
            .pending_offers
            .iter()
            .for_each(|id| self.fleet.withdraw_offer((closed.worker, *id)));
    }

    /// Reads from and writes to a connection that is ready, and handles the messages that it received.
    pub(super) fn handle_readiness(&mut self, slot: usize) {
        let Some(entry) = self.connections.get_mut(slot) else {
            return;
        };
        let flushed = entry.connection.flush();
        let filled = entry.connection.fill();
        let read = read_lines(&mut entry.connection);
        let route = Route {
            slot,
            worker: entry.worker,
            placer: entry.placer,
        };
        let mut replies = Replies::default();
        match read {
            Ok(lines) => lines
                .into_iter()
                .for_each(|line| self.handle_message(route, line, &mut replies)),
            Err(_) => {
                self.fleet.audit.bad_messages += 1;
                return self.close(slot);
            }
        }
        if flushed == Liveness::Ended || filled == Liveness::Ended {
            return self.close(slot);
        }
        if replies.messages > 0 {
            self.send(slot, &replies.bytes, replies.messages);
        }
    }

    fn handle_message(&mut self, route: Route, line: PlacerLine, replies: &mut Replies) {
        match line {
            PlacerLine::Offer(offer) => self.handle_offer(route, &offer, replies),
            PlacerLine::Release { id } => {
                self.remove_pending_offer(route.slot, id);
                if let ReleaseReply::Ended(cause) = self.fleet.release((route.worker, id)) {
                    replies.add(|bytes| lines::write_release(bytes, id, cause));
                }
            }
            PlacerLine::EndAcknowledged { id } => self
                .fleet
                .acknowledge_end((route.worker, id), Instant::now()),
            PlacerLine::HealthCheck { id } => {
                replies.add(|bytes| lines::write_health_check_passed(bytes, id))
            }
            PlacerLine::Other => {}
        }
    }

    fn handle_offer(&mut self, route: Route, offer: &Offer, replies: &mut Replies) {
        match self.fleet.offer(route.worker, route.placer, offer) {
            OfferReply::Starts { after } => {
                let connection = self.connections.id(route.slot);
                let id = (route.worker, offer.id);
                let event = TimerEvent::Task(TaskTimer::Answer, id, connection);
                self.timers.add(Instant::now() + after, event);
                if let Some(entry) = self.connections.get_mut(route.slot) {
                    entry.pending_offers.push(offer.id);
                    entry.connection.assign_kind(TrafficKind::Worker);
                }
            }
            OfferReply::Full(reason) => {
                replies.add(|bytes| lines::write_no_capacity(bytes, offer.id, reason))
            }
            OfferReply::Unreadable => {
                replies.add(|bytes| lines::write_release(bytes, offer.id, cause::FAILED))
            }
            OfferReply::Silent => {}
        }
    }

    /// Removes an offer that was answered or released from the pending offers of its connection.
    pub(super) fn remove_pending_offer(&mut self, slot: usize, id: RequestId) {
        if let Some(entry) = self.connections.get_mut(slot) {
            entry.pending_offers.retain(|pending| *pending != id);
        }
    }
}

/// Removes the complete lines from a connection's inbox and parses them.
fn read_lines(connection: &mut Connection) -> Result<Vec<PlacerLine>, WireError> {
    let mut messages = Vec::new();
    let mut consumed = 0;
    loop {
        let unread = connection.inbox().get(consumed..).unwrap_or_default();
        let Some(end) = lines::line_end(unread)? else {
            break;
        };
        messages.push(lines::read(unread.get(..end).unwrap_or_default())?);
        consumed += end + 1;
    }
    connection.consume(consumed);
    connection.count_read(messages.len() as u64);
    Ok(messages)
}
