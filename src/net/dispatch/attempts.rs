//! Runs attempts, from the decision to make one until its end. Every attempt is sent by `send_pending_attempts`, which
//! first checks that the client is still connected. Two attempts of one request are never in flight at once:
//! `abandon_attempt` sends a release to the old host before the end of the attempt is reported to the decision module.
//! This module never chooses a host, and never sends a response to a client.

use super::connection_slots::ConnectionUse;
use super::host_connections::SILENCE_TIMEOUT;
use super::request::RequestState;
use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::clients::{ClientStatus, UnreadInputCache};
use crate::net::codec::peer::PeerMessage;
use crate::net::codec::{Cause, TaskId, TaskRequest, lines};
use crate::net::conn::{CloseReason, Unread};
use crate::net::hosts::{ConnectionState, PendingAttempt};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};
use tracing::{debug, info};

/// The result of trying to send a pending attempt.
enum SendResult {
    /// The attempt has been sent, or had already ended.
    Done,
    /// The attempt could not be sent yet, and stays pending.
    Pending(PendingAttempt),
    /// The client has disconnected, so the request is to be cancelled.
    ClientDisconnected,
}

impl Dispatch {
    /// Starts an attempt: sends it, or keeps it pending until there is a connection (which may itself wait for a
    /// descriptor), the connection's write queue is empty, and the client's input has been read. Returns an event if
    /// the host has no known address, which ends the attempt at once.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: HostId,
        timeout: Micros,
    ) -> Option<PlacementEvent> {
        self.pin_memory(ticket);
        let request = self.requests.get_mut(&ticket)?;
        let attempt = request.attempts;
        request.attempts += 1;
        let task = request.id;
        let deadline = now.saturating_add(timeout);
        let state = RequestState::InFlight {
            attempt,
            host: host.clone(),
            since: now,
            deadline,
            sent_on: None,
        };
        self.set_request_state(ticket, state);
        if attempt == 0 {
            self.announce(&PeerMessage::Tried(task));
        }
        self.add_timer(deadline, TimerEvent::AttemptTimeout(ticket, attempt));
        let link = self.hosts.get_mut(&host);
        let Some(link) = link.filter(|link| link.address.is_some()) else {
            return self.end_attempt(now, ticket, Outcome::NotSent, OutcomeDetail::Unknown);
        };
        link.pending_attempts.push(PendingAttempt {
            ticket,
            attempt,
            read_mark: None,
        });
        match link.connection {
            ConnectionState::Connected(_) => self.send_latest_attempt(now, &host),
            ConnectionState::Connecting(_) => {}
            ConnectionState::Disconnected => self.request_connection(now, &host),
        }
        let request = self.requests.get(&ticket);
        if request.is_some_and(|request| request.state.is_unsent()) {
            let timer = TimerEvent::UnsentTimeout(ticket, attempt);
            self.add_timer(now + self.connect_timeout, timer);
        }
        None
    }

    /// Sends the pending attempts of a host whose connection is up.
    ///
    /// If the connection fails during the write, or the host has closed it, an attempt of which nothing has been sent
    /// stays pending for the next connection. No attempt may start for a client that has disconnected: an attempt is
    /// never queued behind data that the host has not read yet, where it could not be withdrawn, and the client's
    /// connection is checked before each attempt is sent.
    pub(super) fn send_pending_attempts(&mut self, now: Micros, host: &HostId) {
        self.send_attempts(now, host, std::mem::take);
    }

    /// Sends the attempt that was added last for a host whose connection is up. The others wait for their clients or for
    /// the connection, and are not tried again for each new one: that would take a time that grows with the square of
    /// their number.
    fn send_latest_attempt(&mut self, now: Micros, host: &HostId) {
        self.send_attempts(now, host, |pending| pending.pop().into_iter().collect());
    }

    fn send_attempts(
        &mut self,
        now: Micros,
        host: &HostId,
        take: impl FnOnce(&mut Vec<PendingAttempt>) -> Vec<PendingAttempt>,
    ) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let ConnectionState::Connected(conn) = &link.connection else {
            return;
        };
        if conn.unread() == Unread::EndOfStream {
            return conn.close(CloseReason::Closed);
        }
        let mut without_client = Vec::new();
        let mut unread_input = UnreadInputCache::default();
        for pending in take(&mut link.pending_attempts) {
            let ticket = pending.ticket;
            match self.send_pending_attempt(now, host, pending, &mut unread_input) {
                SendResult::Done => {}
                SendResult::Pending(pending) => {
                    if let Some(link) = self.hosts.get_mut(host) {
                        link.pending_attempts.push(pending);
                    }
                }
                SendResult::ClientDisconnected => without_client.push(ticket),
            }
        }
        self.update_priorities(now, host, ConnectionUse::JustUsed);
        for ticket in without_client {
            self.cancel_request(now, ticket);
        }
    }

    /// Sends one attempt to a host whose connection is up, if the client is still connected, none of its input is
    /// unread, and the connection's write queue is empty.
    fn send_pending_attempt(
        &mut self,
        now: Micros,
        host: &HostId,
        pending: PendingAttempt,
        unread_input: &mut UnreadInputCache,
    ) -> SendResult {
        let Some(link) = self.hosts.get(host) else {
            return SendResult::Done;
        };
        let ConnectionState::Connected(conn) = &link.connection else {
            return SendResult::Pending(pending);
        };
        let Some(request) = self.requests.get_mut(&pending.ticket) else {
            return SendResult::Done;
        };
        let RequestState::InFlight {
            attempt,
            sent_on: sent_on @ None,
            deadline,
            ..
        } = &mut request.state
        else {
            return SendResult::Done;
        };
        let (true, Some(message), Some(client)) = (
            *attempt == pending.attempt,
            &request.message,
            request.client,
        ) else {
            return SendResult::Done;
        };
        let still_pending = |read_mark| {
            SendResult::Pending(PendingAttempt {
                read_mark,
                ..pending
            })
        };
        let input_wait = self.loop_lag.max_wait(now);
        let status = self
            .clients
            .status(client, pending.read_mark, host, input_wait, unread_input);
        match status {
            ClientStatus::Disconnected => SendResult::ClientDisconnected,
            ClientStatus::UnreadInput(read_mark) => still_pending(read_mark),
            ClientStatus::Connected if !conn.is_flushed() => {
                self.backlogged_hosts.insert(host.clone());
                still_pending(None)
            }
            ClientStatus::Connected => {
                let Some(line) = attempt_line(request.id, message, *deadline - now) else {
                    return SendResult::Done;
                };
                if !conn.send(now, &line) {
                    return still_pending(None);
                }
                debug!(task = %request.id, host = &*host.0, connection = link.connection_id, attempt = pending.attempt, "attempt sent");
                self.counters.record_attempt(request.class);
                *sent_on = Some(link.connection_id);
                let timer = TimerEvent::SilenceCheck(pending.ticket, pending.attempt);
                self.add_timer(now + SILENCE_TIMEOUT, timer);
                SendResult::Done
            }
        }
    }

    /// Ends the attempt in flight and sets the request back to `Queued`. The caller must report the returned event to
    /// the decision module.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: Outcome,
        detail: OutcomeDetail,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get_mut(&ticket)?;
        let RequestState::InFlight {
            attempt,
            host,
            since,
            ..
        } = &request.state
        else {
            return None;
        };
        let (attempt, host, elapsed) = (*attempt, host.clone(), now - since);
        request.may_have_run |= !outcome.never_ran();
        let relative_duration = elapsed as f64 / request.latency_objective as f64;
        info!(task = %request.id, host = &*host.0, attempt, ?outcome, ?detail, elapsed_ms = elapsed / MILLISECOND, "attempt ended");
        self.set_request_state(ticket, RequestState::Queued);
        self.update_priorities(now, &host, ConnectionUse::Unchanged);
        // An attempt cancelled from this side says nothing about the health of the host.
        if outcome != Outcome::Cancelled {
            let event = Event::AttemptEnded {
                outcome,
                detail,
                relative_duration,
            };
            self.record_health_event(now, event);
        }
        Some(PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome,
            detail,
            elapsed,
        })
    }

    /// Releases the attempt in flight at its host and then ends it, so that two attempts are never in flight at once.
    /// If `only_attempt` is given, nothing is done unless the attempt in flight has that number.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        only_attempt: Option<u32>,
        outcome: Outcome,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get(&ticket)?;
        let RequestState::InFlight {
            attempt,
            host,
            sent_on,
            ..
        } = &request.state
        else {
            return None;
        };
        if only_attempt.is_some_and(|number| number != *attempt) {
            return None;
        }
        let link = self.hosts.get(host);
        if let Some(conn) = sent_on.and_then(|id| link.and_then(|link| link.open_connection(id))) {
            conn.send(now, &lines::release(request.id, Cause::NORMAL));
        }
        // An attempt that was never sent cannot have run, so a timeout counts as a failure to connect.
        let outcome = if sent_on.is_none() && outcome == Outcome::Timeout {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown)
    }

    /// Ends an attempt if nothing of it has been sent within the connect timeout, so that it never ran.
    ///
    /// A host that reads nothing of the data queued for it is treated as unreachable. The host is not blamed if no
    /// connect was made for lack of a connection slot, or if the attempt waited for the client's input to be read. The
    /// time limit is needed because the slow-start budget, the time in which a retry is dropped, and the grace period
    /// of a drain count an attempt as sent when it is decided: they would be wrong if it were sent much later.
    pub(super) fn end_unsent_attempt(&mut self, now: Micros, ticket: Ticket, attempt: u32) {
        let Some(RequestState::InFlight {
            attempt: current,
            host,
            since,
            sent_on: None,
            ..
        }) = self.requests.get(&ticket).map(|request| &request.state)
        else {
            return;
        };
        let (host, since) = (host.clone(), *since);
        if *current != attempt {
            return;
        }
        let Some(link) = self.hosts.get_mut(&host) else {
            return;
        };
        let outcome = match &link.connection {
            // This connect began no later than the attempt and is about to time out itself, which ends the attempt.
            ConnectionState::Connecting(_) if link.last_connect_at <= since => return,
            ConnectionState::Connected(conn) if !conn.is_flushed() => Outcome::ConnectFailed,
            ConnectionState::Connected(_)
            | ConnectionState::Connecting(_)
            | ConnectionState::Disconnected => Outcome::NotSent,
        };
        link.pending_attempts
            .retain(|pending| (pending.ticket, pending.attempt) != (ticket, attempt));
        if self.connection_need(&host).is_none() {
            self.connection_pool.cancel_request(&host);
        }
        if outcome == Outcome::ConnectFailed {
            self.suspect_host(now, &host);
        }
        let event = self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown);
        self.report_optional_event(now, event);
    }

    /// Ends those of the given attempts that are still in flight: no connection was established to send them.
    pub(super) fn end_pending_attempts(
        &mut self,
        now: Micros,
        pending_attempts: Vec<PendingAttempt>,
        outcome: Outcome,
    ) {
        for pending in pending_attempts {
            let request = self.requests.get(&pending.ticket);
            let is_current = request.is_some_and(|request| {
                matches!(request.state, RequestState::InFlight { attempt, .. } if attempt == pending.attempt)
            });
            if is_current {
                let detail = OutcomeDetail::Unknown;
                let event = self.end_attempt(now, pending.ticket, outcome, detail);
                self.report_optional_event(now, event);
            }
        }
    }
}

/// Encodes the line that sends a task to a host. Returns `None` if the task does not fit into one line.
pub(super) fn attempt_line(
    id: TaskId,
    message: &TaskRequest,
    time_left: Micros,
) -> Option<Vec<u8>> {
    lines::start_task(
        id,
        &message.placement.class,
        &message.key,
        (time_left / MILLISECOND).max(1),
        &message.description,
    )
}
