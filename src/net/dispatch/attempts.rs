//! Owns the attempts, from the moment that one is decided until it has ended. Every attempt is sent by
//! `send_pending_attempts`, which makes sure that its client is still there. Two attempts of one request are never in
//! flight at once: `abandon_attempt` writes to the old host before the decision module hears of it. It never chooses a
//! host, and never sends a response to a client.

use super::connection_slots::ConnectionUse;
use super::host_connections::SILENCE_TIMEOUT;
use super::request::RequestState;
use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::clients::ClientStatus;
use crate::net::codec::{Cause, TaskId, TaskRequest, lines};
use crate::net::conn::{CloseReason, Unread};
use crate::net::hosts::{ConnectionState, PendingAttempt};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};
use tracing::{debug, info};

/// What became of a pending attempt that was considered for sending.
enum SendResult {
    /// It has been sent, or has ended already.
    Done,
    /// It stays pending.
    Pending(PendingAttempt),
    /// Its client has gone.
    ClientDisconnected,
}

impl Dispatch {
    /// Starts an attempt: sends it, or keeps it pending for the connection, which may itself wait for a descriptor, for
    /// what is queued on it, or for unread input of its client.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        host: HostId,
        timeout: Micros,
    ) -> Option<PlacementEvent> {
        let request = self.requests.get_mut(&ticket)?;
        let attempt = request.attempts;
        request.attempts += 1;
        let deadline = now.saturating_add(timeout);
        let state = RequestState::InFlight {
            attempt,
            host: host.clone(),
            since: now,
            deadline,
            sent_on: None,
        };
        self.set_request_state(ticket, state);
        self.timer_wheel
            .add(deadline, TimerEvent::AttemptTimeout(ticket, attempt));
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
            ConnectionState::Connected(_) => self.send_pending_attempts(now, &host),
            ConnectionState::Connecting(_) => {}
            ConnectionState::Disconnected => self.request_connection(now, &host),
        }
        let request = self.requests.get(&ticket);
        if request.is_some_and(|request| request.state.is_unsent()) {
            let timer = TimerEvent::UnsentTimeout(ticket, attempt);
            self.timer_wheel.add(now + self.connect_timeout, timer);
        }
        None
    }

    /// Sends the attempts that wait for a connection which is now up.
    ///
    /// Guards against a connection that dies under the write, or that its host has closed: an attempt of which nothing
    /// has been sent waits for the next one. Guards also against an attempt that begins when its client has gone:
    /// nothing is queued behind what the host has not taken, where it can't be taken back, and each client is looked at
    /// before its attempt is sent.
    pub(super) fn send_pending_attempts(&mut self, now: Micros, host: &HostId) {
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
        for pending in std::mem::take(&mut link.pending_attempts) {
            let ticket = pending.ticket;
            match self.send_pending_attempt(now, host, pending) {
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

    /// Sends one attempt to a host whose connection is up, if its client is there and the connection takes it at once.
    fn send_pending_attempt(
        &mut self,
        now: Micros,
        host: &HostId,
        pending: PendingAttempt,
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
            .status(client, pending.read_mark, host, input_wait);
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
                self.timer_wheel.add(now + SILENCE_TIMEOUT, timer);
                SendResult::Done
            }
        }
    }

    /// Ends the attempt that is in flight: the request is queued again at the decision module, and the returned event
    /// is to be reported to it.
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
        let relative_duration = elapsed as f64 / request.latency_objective as f64;
        info!(task = %request.id, host = &*host.0, attempt, ?outcome, ?detail, elapsed_ms = elapsed / MILLISECOND, "attempt ended");
        self.set_request_state(ticket, RequestState::Queued);
        self.update_priorities(now, &host, ConnectionUse::Unchanged);
        // What its client cancelled says nothing about the host.
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

    /// Ends the attempt that is in flight, or only the one of this number, and releases it at its host first: two
    /// attempts are never in flight at once.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        only: Option<u32>,
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
        if only.is_some_and(|number| number != *attempt) {
            return None;
        }
        let link = self.hosts.get(host);
        if let Some(conn) = sent_on.and_then(|id| link.and_then(|link| link.open_connection(id))) {
            conn.send(now, &lines::release(request.id, Cause::NORMAL));
        }
        // What has not been sent never ran.
        let outcome = if sent_on.is_none() && outcome == Outcome::Timeout {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        self.end_attempt(now, ticket, outcome, OutcomeDetail::Unknown)
    }

    /// Ends an attempt of which nothing has been sent for as long as a connection may take to come up: it never ran.
    ///
    /// A host that takes nothing of what is queued for it is as good as unreachable. Where the host was not even
    /// called, for want of a connection slot, or its client was not read, nothing is held against the host. Guards what
    /// is counted as sent when it is decided (the slow-start budget, the time in which a retry is dropped, the grace
    /// period of a drain) against attempts that are sent much later.
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
            // The end of a connect that has had its whole time decides on the attempt.
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

    /// Ends attempts that waited for a connection in vain.
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

/// Encodes the line that sends a task to a host, or returns none if it does not fit into one.
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
