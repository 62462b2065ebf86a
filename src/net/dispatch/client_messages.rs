//! Handles the connections and messages of clients. Each message gets a response, closes its connection, or is one that
//! requires neither. This module never chooses a host and never starts an attempt by itself: it passes valid requests
//! to the decision module.

use super::attempts::attempt_line;
use super::invalid_task_request::InvalidTaskRequest;
use super::request::RequestState;
use super::{Dispatch, MILLISECOND};
use crate::net::clients::{AcceptWait, ClientEvents, ClientId, Clients, ReadSummary};
use crate::net::codec::binary::{self, ClientMessage};
use crate::net::codec::{Cause, Malformed, TaskId, TaskRequest};
use crate::net::conn::{CloseReason, Connection};
use crate::net::peers::forwarded_releases::ReleaseSender;
use std::rc::Rc;
use task_placer::facade::{PlacementEvent, PlacementRequest, RequestKind, Ticket};
use task_placer::health::Event;
use task_placer::operation::counters::RequestOutcome;
use task_placer::operation::lifecycle;
use task_placer::{Micros, Outcome};
use tracing::info;

/// The part of a client's time budget set aside for the transfer of the request, one tick, and the transfer of the
/// response: the budget starts when the client sends its request.
const ROUND_TRIP_ALLOWANCE: Micros = 15 * MILLISECOND;

impl ClientEvents for Dispatch {
    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn clients(&self) -> &Clients {
        &self.clients
    }

    fn clients_mut(&mut self) -> &mut Clients {
        &mut self.clients
    }

    fn accepts_connections(&self) -> bool {
        !self.lifecycle.is_shutting_down()
    }

    fn client_limit_reached(&self) -> bool {
        self.clients.is_full(self.active_host_count())
    }

    fn exit_is_overdue(&self) -> bool {
        self.is_overdue()
    }

    fn client_accepted(&mut self, now: Micros, wait: AcceptWait) {
        let had_to_wait = wait == AcceptWait::Waited;
        self.record_health_event(
            now,
            Event::ClientConnected {
                rejected: had_to_wait,
            },
        );
    }

    fn client_opened(&mut self, conn: Rc<Connection>, waits_since: Option<Micros>) -> ClientId {
        self.clients.insert(self.clock.now(), conn, waits_since)
    }

    fn client_message(&mut self, client: ClientId, id: TaskId, message: ClientMessage) {
        let now = self.clock.now();
        self.clients.message_received(now, client);
        self.clients.input_processing_started(client);
        if !matches!(message, ClientMessage::HealthCheck) {
            self.clients.client_traffic_seen(now, client);
        }
        if matches!(
            message,
            ClientMessage::TaskRequest(_) | ClientMessage::InvalidTaskRequest(_)
        ) {
            self.clients.request_received(now, client);
        }
        self.handle_client_message(now, client, id, message);
    }

    fn client_read(&mut self, client: ClientId, summary: ReadSummary) {
        let now = self.clock.now();
        self.clients.input_read(now, client, summary);
        for host in self.clients.input_processed(client, summary.bytes) {
            self.send_pending_attempts(now, &host);
        }
    }

    fn client_closed(&mut self, client: ClientId, reason: CloseReason) {
        let now = self.clock.now();
        let open = self.clients.remove(now, client);
        self.adopter_disconnected(client);
        info!(peer = "client", connection = %client, %reason, open = open.len(), "connection ended");
        for ticket in open {
            self.cancel_request(now, ticket);
        }
    }
}

impl Dispatch {
    /// Handles a message from a client. Each message gets a response, closes the connection, or requires neither, so
    /// that a client that sends something unusable is not left waiting.
    fn handle_client_message(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        message: ClientMessage,
    ) {
        let known = self.tickets_by_task.get(&id).copied();
        match message {
            ClientMessage::TaskRequest(request) => match (&request.running_on, known) {
                (Some(host), None) => self.adopt_task(now, client, id, &request, &host.clone()),
                (None, None) => self.handle_task_request(now, client, id, request),
                (_, Some(ticket)) => self.handle_repeated_request(client, ticket, &request),
            },
            ClientMessage::InvalidTaskRequest(reason) if known.is_none() => {
                info!(task = %id, %reason, "cannot decode request");
                self.respond_invalid(now, client, id);
            }
            // A failure response with this id could be mistaken for the response to the open request.
            ClientMessage::InvalidTaskRequest(_) => {
                self.clients.close(client, CloseReason::IdInUse);
            }
            ClientMessage::Release(cause) => {
                self.handle_client_release(now, client, id, cause, known);
            }
            ClientMessage::HealthCheck => {
                let is_healthy = self.placer_serves();
                let message = binary::health_check_result(id, is_healthy);
                self.clients.send(now, client, &message);
                self.handle_lifecycle_event(now, lifecycle::Event::Checked);
            }
            ClientMessage::ReleaseAck => self.clients.task_end_acknowledged(client, id),
            ClientMessage::Other => {
                let reason = CloseReason::Malformed(Malformed::Field("type"));
                self.clients.close(client, reason);
            }
        }
    }

    /// Cancels a request whose client no longer wants a response.
    pub(super) fn cancel_request(&mut self, now: Micros, ticket: Ticket) {
        let event = self.abandon_attempt(now, ticket, None, Outcome::Cancelled);
        let request = self.remove_request(ticket);
        if let Some(client) = request.and_then(|request| request.client) {
            self.clients.response_sent(client, ticket);
        }
        self.report_event(now, PlacementEvent::Cancelled(ticket));
        self.report_optional_event(now, event);
    }

    /// Handles a client's release. It cancels a pending request if it arrives on the connection where the response is
    /// pending, and ends a running task on any connection, also if another process of this placer is responsible for
    /// the task.
    fn handle_client_release(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        cause: Cause,
        known: Option<Ticket>,
    ) {
        let open = known
            .and_then(|ticket| self.requests.get(&ticket))
            .filter(|request| request.awaits_response());
        let is_own = open.map(|request| request.client == Some(client));
        match (known, is_own) {
            (Some(ticket), Some(true)) => return self.cancel_request(now, ticket),
            (Some(ticket), None) => self.release_running_task(now, ticket, cause),
            (None, _) if self.release_untracked_task(now, client, id, cause) => {}
            (None, _) => {
                let sender = ReleaseSender::Client(client);
                if self.release_unknown_task(now, id, cause, sender) {
                    return;
                }
            }
            // The request belongs to another client: the release has no effect.
            (Some(_), Some(false)) => {}
        }
        self.clients.send(now, client, &binary::release_ack(id));
    }

    /// Handles a request to place a task. Invalid requests are answered at once and never reach the decision module or
    /// a host: every request counts as load, and a host treats its connection as broken when it receives id 0 or the id
    /// of an ended task, and answers with an error that makes the host itself look broken.
    fn handle_task_request(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        message: Box<TaskRequest>,
    ) {
        let mut placement = message.placement.clone();
        let spent = ROUND_TRIP_ALLOWANCE + self.max_input_wait(now, client);
        placement.time_budget = (message.wait - spent).max(0);
        if let Err(reason) = self.check_task_request(id, &message, &placement) {
            info!(task = %id, %reason, "request failed validation");
            let class = self.facade.class_index(&placement.class);
            self.counters.record_response(class, RequestOutcome::Failed);
            return self.respond_invalid(now, client, id);
        }
        let is_rejected = self.clients.rejects_requests(now, client)
            || self.clients.has_used_its_share(client)
            || !self.clients.is_within_rate_limit(now, client);
        if is_rejected {
            return self.reject_at_arrival(now, client, id, &message);
        }
        let Some(reserved) = self.reserve_memory(now, client, &message) else {
            return self.reject_at_arrival(now, client, id, &message);
        };
        self.forget_untracked(id);
        let ticket = self.insert_request(
            now,
            id,
            Some(client),
            &placement.class,
            RequestState::Queued,
        );
        self.clients.response_pending(client, ticket);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.message = Some(message);
            request.reserved_memory = Some(reserved);
        }
        let decisions = self.facade.place(now, ticket, &placement);
        self.apply_decisions(now, decisions.unwrap_or_default());
    }

    /// Returns the longest time for which input that is read from a client now may have been waiting.
    fn max_input_wait(&self, now: Micros, client: ClientId) -> Micros {
        let waits_since = self.clients.input_waits_since(client).unwrap_or(now);
        self.loop_lag.max_wait(now).max(now - waits_since)
    }

    fn check_task_request(
        &self,
        id: TaskId,
        message: &TaskRequest,
        placement: &PlacementRequest,
    ) -> Result<(), InvalidTaskRequest> {
        self.facade.check(placement, RequestKind::Place)?;
        if id == TaskId(0) {
            return Err(InvalidTaskRequest::MissingId);
        }
        if self.ended_tasks.contains(id) || self.tried_by_peers.contains(id) {
            return Err(InvalidTaskRequest::IdUsedBefore);
        }
        if attempt_line(id, message, message.wait).is_none() {
            return Err(InvalidTaskRequest::TooLongForHost);
        }
        Ok(())
    }

    /// Handles a request whose id is already in use.
    ///
    /// A client whose connection broke may send its request again before the break is detected here. A second response
    /// would violate the protocol, so the pending response goes to the connection that sent the request last. A client
    /// that sends a different request with an id that is open, or the same request twice on one connection, has its
    /// connection closed, and never receives another client's response.
    fn handle_repeated_request(&mut self, client: ClientId, ticket: Ticket, message: &TaskRequest) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let is_adopted_again = matches!(
            (&request.state, &message.running_on),
            (RequestState::Running { host, .. } | RequestState::Releasing { host, .. }, Some(at))
                if host == at
        );
        if is_adopted_again {
            return;
        }
        let is_resent =
            request.message.as_deref() == Some(message) && request.client != Some(client);
        if !is_resent {
            return self.clients.close(client, CloseReason::IdInUse);
        }
        let is_queued = request.state == RequestState::Queued;
        if let Some(before) = request.client.replace(client) {
            self.clients.response_sent(before, ticket);
            if is_queued {
                self.clients.request_unqueued(before);
                self.clients.request_queued(client);
            }
        }
        self.clients.response_pending(client, ticket);
        if let (true, Some((host, _))) = (request.state.is_unsent(), request.state.assignment()) {
            self.clients.wait_for_input(client, host);
        }
        info!(task = %request.id, "request resent");
    }
}
