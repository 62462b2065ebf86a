//! Owns what clients say: their connections' beginnings and ends, and each of their messages. Whatever a client sends
//! is answered, or ends its connection, or asks for nothing. It never chooses a host, and never lets an offer begin
//! by itself: a set-up that can be right goes to the module.

use super::attempts::attempt_line;
use super::invalid_task_request::InvalidTaskRequest;
use super::requests::RequestState;
use super::{Dispatch, MILLI};
use crate::net::clients::ClientId;
use crate::net::codec::binary::{self, ClientMessage};
use crate::net::codec::{Malformed, TaskId, TaskRequest};
use crate::net::conn::{CloseReason, Conn};
use std::rc::Rc;
use task_placer::facade::{PlacementEvent, PlacementRequest, RequestKind, Ticket};
use task_placer::operation::duty;
use task_placer::operation::tally::Ended as Told;
use task_placer::{Micros, Outcome};
use tracing::info;

/// A client's time runs from when it sent: what the way here, a tick and the way back may take.
const CLIENT_SLACK: Micros = 15 * MILLI;

impl Dispatch {
    /// Whether another connection of a client is beyond the budget.
    pub fn client_limit_reached(&self) -> bool {
        self.clients.crowded(self.active_host_count())
    }

    /// A connection from a client is there.
    pub fn client_opened(&mut self, conn: Rc<Conn>) -> ClientId {
        self.clients.opened(self.clock.now(), conn)
    }

    /// It has ended, and with it the set-ups that are open on it.
    pub fn client_closed(&mut self, client: ClientId, end: CloseReason) {
        let now = self.clock.now();
        let open = self.clients.ended(now, client);
        info!(peer = "client", connection = %client, reason = %end, open = open.len(), "connection ended");
        for ticket in open {
            self.cancel_request(now, ticket);
        }
    }

    /// The client wants no answer any more.
    pub(super) fn cancel_request(&mut self, now: Micros, ticket: Ticket) {
        let event = self.abandon_attempt(now, ticket, None, Outcome::Cancelled);
        if let Some(client) = self.remove_request(ticket).and_then(|r| r.client) {
            self.clients.settled(client, ticket);
        }
        self.report_event(now, PlacementEvent::Cancelled(ticket));
        if let Some(event) = event {
            self.report_event(now, event);
        }
    }

    /// All that came with one read, so many bytes, was taken in: whether whole messages did, and half of another.
    pub fn client_read(&mut self, client: ClientId, bytes: usize, whole: bool, half: bool) {
        let now = self.clock.now();
        self.clients.heard(now, client, whole, half);
        for host in self.clients.read(client, bytes) {
            self.send_pending_attempts(now, &host);
        }
    }

    /// A message of a client. Each is answered, or ends its connection, or asks for nothing: whoever
    /// sends what is no use is not left waiting.
    pub fn client_message(&mut self, client: ClientId, id: TaskId, word: ClientMessage) {
        let now = self.clock.now();
        self.clients.heard(now, client, true, false);
        self.clients.reads(client);
        if !matches!(word, ClientMessage::HealthCheck) {
            self.clients.asked(now, client);
        }
        let held = self.tickets_by_task.get(&id).copied();
        match word {
            ClientMessage::TaskRequest(task_request) => match (&task_request.at, held) {
                (Some(host), None) => self.adopt(now, client, id, &task_request, &host.clone()),
                (None, None) => self.handle_task_request(now, client, id, task_request),
                (_, Some(ticket)) => self.handle_repeated_request(client, ticket, &task_request),
            },
            ClientMessage::InvalidTaskRequest(why) if held.is_none() => {
                info!(task = %id, reason = %why, "set-up not read");
                self.respond_invalid(now, client, id);
            }
            // A failure under this id could be taken for the answer to the one that is open.
            ClientMessage::InvalidTaskRequest(_) => self.clients.stop(client, CloseReason::IdInUse),
            ClientMessage::Release(cause) => {
                self.handle_client_release(now, client, id, cause, held)
            }
            ClientMessage::HealthCheck => {
                let passes = self.placer_serves();
                self.clients.send(now, client, &binary::tested(id, passes));
                self.handle_lifecycle_event(now, duty::Event::Asked);
            }
            ClientMessage::ReleaseAck => self.clients.heard_end(id),
            ClientMessage::Other => self
                .clients
                .stop(client, CloseReason::Malformed(Malformed::Field("type"))),
        }
    }

    /// A client gives a set-up up, on its connection, or ends a task that stands, on any.
    fn handle_client_release(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        cause: u8,
        held: Option<Ticket>,
    ) {
        let open = held
            .and_then(|ticket| self.requests.get(&ticket))
            .filter(|r| r.awaits_response());
        match (held, open.map(|r| r.client == Some(client))) {
            (Some(ticket), Some(true)) => return self.cancel_request(now, ticket),
            (Some(ticket), None) => self.release_running_task(now, ticket, cause),
            // Of no task here, or of another's set-up: it changes nothing.
            _ => {}
        }
        self.clients.send(now, client, &binary::heard(id));
    }

    /// Guards the module and the hosts against asks that can't be right, which are answered at once:
    /// without an id, or with that of a task that is over, a host takes its connection for broken, and
    /// answers an error that makes it look so; every ask counts as load.
    fn handle_task_request(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        task_request: Box<TaskRequest>,
    ) {
        let mut ask = task_request.placement.clone();
        ask.time_budget = (task_request.wait - CLIENT_SLACK).max(0);
        if let Err(why) = self.check_task_request(id, &task_request, &ask) {
            info!(task = %id, reason = %why, "not placed");
            self.counters
                .ended(self.facade.class_index(&ask.class), Told::Failed);
            return self.respond_invalid(now, client, id);
        }
        let ticket = self.insert_request(now, id, client, &ask.class, RequestState::Queued);
        self.clients.waits(client, ticket);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.task_request = Some(task_request);
        }
        let decisions = self.facade.place(now, ticket, &ask).unwrap_or_default();
        self.apply_decisions(now, decisions);
    }

    fn check_task_request(
        &self,
        id: TaskId,
        task_request: &TaskRequest,
        request: &PlacementRequest,
    ) -> Result<(), InvalidTaskRequest> {
        self.facade.check(request, RequestKind::Place)?;
        if id == TaskId(0) {
            return Err(InvalidTaskRequest::MissingId);
        }
        if self.ended_tasks.contains_key(&id) {
            return Err(InvalidTaskRequest::IdUsedBefore);
        }
        if attempt_line(id, task_request, task_request.wait).is_none() {
            return Err(InvalidTaskRequest::TooLongForHost);
        }
        Ok(())
    }

    /// A set-up under an id that is in hand. Guards against a client that sends again because its first
    /// connection broke, before the break is seen here: a second answer would break a rule, so the one
    /// that is owed goes to the connection heard last. Guards also against whoever sends another set-up
    /// under an id that is open, or the same twice on one connection: its connection ends, and an answer
    /// that another is owed does not go there.
    fn handle_repeated_request(
        &mut self,
        client: ClientId,
        ticket: Ticket,
        task_request: &TaskRequest,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let known = matches!((&request.state, &task_request.at),
            (RequestState::Running { host, .. } | RequestState::Releasing { host, .. }, Some(at)) if host == at);
        if known {
            return;
        }
        let same =
            request.task_request.as_deref() == Some(task_request) && request.client != Some(client);
        if !same {
            return self.clients.stop(client, CloseReason::IdInUse);
        }
        if let Some(before) = request.client.replace(client) {
            self.clients.settled(before, ticket);
        }
        self.clients.waits(client, ticket);
        if let (true, Some(host)) = (request.state.unsent(), request.state.at()) {
            self.clients.waits_behind(client, host);
        }
        let id = request.id;
        info!(task = %id, "set up twice");
    }
}
