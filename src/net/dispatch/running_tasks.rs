//! Owns the tasks that stand: those a host holds, from the moment a connection is told of them until their end is told.
//! They belong to no connection. It never offers a task again, and never gives a final answer.

use super::invalid_task_request::InvalidTaskRequest;
use super::requests::{Ended, RequestState};
use super::timers::TimerEvent;
use super::{Dispatch, MILLI};
use crate::net::clients::ClientId;
use crate::net::codec::{TaskId, TaskRequest, binary, cause, lines};
use crate::net::hosts::ConnectionState;
use task_placer::facade::{PlacementEvent, RequestKind, Ticket};
use task_placer::{EndpointState, HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// How long a host may take to confirm a release.
const RELEASE_TIMEOUT: Micros = 3_000 * MILLI;
/// How long the list may be late to name a host at which a task is said to stand.
const UNKNOWN_HOST_TIMEOUT: Micros = 2_000 * MILLI;
/// An answer may be on its way to its client for so long.
const RESPONSE_DELIVERY_TIME: Micros = 2_000 * MILLI;

impl Dispatch {
    fn check_adoption(
        &self,
        id: TaskId,
        task_request: &TaskRequest,
    ) -> Result<(), InvalidTaskRequest> {
        self.facade
            .check(&task_request.placement, RequestKind::Adopt)?;
        if id == TaskId(0) {
            return Err(InvalidTaskRequest::MissingId);
        }
        Ok(())
    }

    /// A task that a host holds already. Its release may have come first. The list may be late to name
    /// its host: it gets a while for that.
    pub(super) fn adopt(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        task_request: &TaskRequest,
        host: &HostId,
    ) {
        let invalid = self.check_adoption(id, task_request).err();
        // Guards against a release that came on our new connection before the client told of the task.
        let over = match self.ended_tasks.get(&id) {
            Some(Ended {
                by: Some((by, cause, _)),
                ..
            }) if by == host => Some(*cause),
            _ if self
                .hosts
                .get(host)
                .is_some_and(|l| l.state == EndpointState::Removed) =>
            {
                Some(cause::RESET)
            }
            _ => None,
        };
        if let Some(cause) = over.or(invalid.as_ref().map(|_| cause::RESET)) {
            let reason = invalid.map_or_else(|| "released".to_string(), |why| why.to_string());
            info!(task = %id, reason, host = &*host.0, "does not stand");
            return self
                .clients
                .send(now, client, &binary::release(id, cause, None));
        }
        let state = RequestState::Running {
            attempt: 0,
            host: host.clone(),
            since: now,
        };
        let ticket = self.insert_request(now, id, client, &task_request.placement.class, state);
        self.assign_running_task(ticket, client);
        if self.hosts.contains_key(host) {
            self.clients.prove(client);
            self.update_ranks(now, host, false);
            self.request_connection(now, host);
        } else {
            self.wheel.add(
                now + UNKNOWN_HOST_TIMEOUT,
                TimerEvent::UnknownHostTimeout(ticket),
            );
        }
        let decisions = self
            .facade
            .adopt(now, ticket, &task_request.placement, host)
            .unwrap_or_default();
        self.apply_decisions(now, decisions);
    }

    /// A task stands that was set up or named on this connection.
    pub(super) fn assign_running_task(&mut self, ticket: Ticket, client: ClientId) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.home_client = Some(client);
            self.clients.count_standing(client, true);
        }
    }

    /// MOVE: the task ends, also at its host, and its client comes again.
    pub(super) fn migrate_task(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if let RequestState::Running { since, .. } = request.state {
            let (id, home) = (request.id, request.home_client);
            self.notify_task_end(now, id, home, since, binary::moved(id));
            self.release_running_task(now, ticket, cause::CANCELLED);
        }
    }

    /// Tells that a task which stood since then is over, or moves: in order with its answer, where that went
    /// out only just now.
    fn notify_task_end(
        &mut self,
        now: Micros,
        id: TaskId,
        home: Option<ClientId>,
        since: Micros,
        word: Vec<u8>,
    ) {
        match home {
            Some(client) if now - since < RESPONSE_DELIVERY_TIME => {
                self.clients.send_after(now, client, id, word)
            }
            _ => self.clients.send_any(now, id, word),
        }
    }

    /// Releases a task that stands at its host, on any connection, or on the next to open.
    pub(super) fn release_running_task(&mut self, now: Micros, ticket: Ticket, cause: u8) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let RequestState::Running {
            attempt,
            host,
            since,
        } = &request.state
        else {
            return;
        };
        let line = lines::release(request.id, cause);
        let host = host.clone();
        let state = RequestState::Releasing {
            attempt: *attempt,
            host: host.clone(),
            since: *since,
        };
        let mut sent = true;
        if let Some(link) = self.hosts.get_mut(&host) {
            sent = matches!(&link.connection, ConnectionState::Connected(conn) if conn.send(now, &line));
            if !sent {
                link.unsent_releases.push(line);
            }
        }
        self.set_request_state(ticket, state);
        self.wheel
            .add(now + RELEASE_TIMEOUT, TimerEvent::ReleaseTimeout(ticket));
        if !sent {
            self.request_connection(now, &host);
        }
    }

    /// Guards against tasks named at hosts that no list knows: they would stand for ever.
    pub(super) fn end_task_at_unknown_host(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let RequestState::Running {
            attempt,
            host,
            since,
        } = &request.state
        else {
            return;
        };
        if self.hosts.contains_key(host) {
            return;
        }
        let (attempt, host, elapsed, outcome) =
            (*attempt, host.clone(), now - since, Outcome::Reset);
        info!(task = %request.id, reason = "no-such-host", host = &*host.0, "does not stand");
        if let Some(client) = request.client {
            self.clients.send(
                now,
                client,
                &binary::release(request.id, cause::RESET, None),
            );
        }
        self.remove_request(ticket);
        self.report_event(
            now,
            PlacementEvent::AttemptEnded {
                ticket,
                attempt,
                host,
                outcome,
                detail: OutcomeDetail::Unknown,
                elapsed,
            },
        );
    }

    /// What stood is over: its client is told, unless it ended the task itself.
    pub(super) fn end_running_task(
        &mut self,
        now: Micros,
        ticket: Ticket,
        cause: u8,
        detail: OutcomeDetail,
    ) {
        let Some(request) = self.remove_request(ticket) else {
            return;
        };
        let (attempt, host, since, outcome) = match request.state {
            RequestState::Running {
                attempt,
                host,
                since,
            } => {
                let word = binary::release(request.id, cause, None);
                self.notify_task_end(now, request.id, request.home_client, since, word);
                let outcome = match cause {
                    cause::NORMAL => Outcome::Completed,
                    cause::CANCELLED => Outcome::Cancelled,
                    _ => Outcome::Reset,
                };
                (attempt, host, since, outcome)
            }
            RequestState::Releasing {
                attempt,
                host,
                since,
            } => (attempt, host, since, Outcome::Cancelled),
            RequestState::Queued | RequestState::InFlight { .. } => return,
        };
        self.report_event(
            now,
            PlacementEvent::AttemptEnded {
                ticket,
                attempt,
                host,
                outcome,
                detail,
                elapsed: now - since,
            },
        );
    }

    /// What stood at a host since before then is lost.
    pub(super) fn end_lost_tasks(&mut self, now: Micros, host: &HostId, before: Micros) {
        let there = |ticket: &Ticket| {
            self.requests.get(ticket).is_some_and(|r| match r.state {
                RequestState::Running { since, .. } | RequestState::Releasing { since, .. } => {
                    since < before
                }
                RequestState::Queued | RequestState::InFlight { .. } => false,
            })
        };
        let lost: Vec<Ticket> = self.request_index.running(host).filter(there).collect();
        if !lost.is_empty() {
            info!(host = &*host.0, tasks = lost.len(), "tasks lost");
        }
        lost.into_iter().for_each(|ticket| {
            self.end_running_task(now, ticket, cause::RESET, OutcomeDetail::Unknown)
        });
    }
}
