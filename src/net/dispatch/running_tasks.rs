//! Tracks running tasks, from the time that their start is known to this placer until their end has been sent to a
//! client. Running tasks are not bound to a connection. This module never sends a task to a host again, and never sends
//! a final response.

use super::connection_slots::ConnectionUse;
use super::invalid_task_request::InvalidTaskRequest;
use super::request::RequestState;
use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::clients::ClientId;
use crate::net::codec::{Cause, TaskEnd, TaskId, TaskRequest, binary, lines};
use crate::net::hosts::HostLink;
use task_placer::facade::{PlacementEvent, RequestKind, Ticket};
use task_placer::{EndpointState, HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// How long a host that is heard may take to confirm a release before the task counts as ended.
const RELEASE_TIMEOUT: Micros = 3_000 * MILLISECOND;
/// How long a release is kept for a host that cannot be reached. A host that was cut off from the network comes back with
/// its tasks running.
const RELEASE_RETENTION: Micros = 30_000 * MILLISECOND;
/// How long a host may take to confirm a release before the release is sent again on another connection.
const RELEASE_RESEND_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// The interval between two checks whether a host has had the time to confirm a release.
const RELEASE_RECHECK_INTERVAL: Micros = 500 * MILLISECOND;
/// How long after the adoption of a task the endpoint list may take to include the task's host.
const UNKNOWN_HOST_TIMEOUT: Micros = 2_000 * MILLISECOND;
/// The interval between two checks whether the endpoint list is up to date.
const UNKNOWN_HOST_RECHECK_INTERVAL: Micros = 250 * MILLISECOND;
/// The longest time assumed for the delivery of a response to its client.
const RESPONSE_DELIVERY_TIME: Micros = 2_000 * MILLISECOND;

impl Dispatch {
    /// Adopts a task that a host already runs.
    ///
    /// If the host's release of the task has arrived before, the client is sent the end of the task instead. If the
    /// host is not in the endpoint list yet, the task is kept for `UNKNOWN_HOST_TIMEOUT` until the list includes it. A
    /// task for which there is no memory is not tracked (`adoption_memory`).
    pub(super) fn adopt_task(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        message: &TaskRequest,
        host: &HostId,
    ) {
        if let Err(reason) = self.check_adoption(id, message) {
            info!(task = %id, %reason, host = &*host.0, "task not running");
            let message = binary::release(id, Cause::RESET, None);
            return self.clients.send(now, client, &message);
        }
        let end = self
            .take_over_adopted(id)
            .or_else(|| self.end_before_adoption(id, host).map(TaskEnd::Released));
        if let Some(end) = end {
            info!(task = %id, reason = "released", host = &*host.0, "task not running");
            return self.clients.send_task_end_to(now, client, id, end);
        }
        if !self.make_room_for_adoption(now, client, id, host) {
            return;
        }
        let listed = self.hosts.get_key_value(host);
        let host = listed.map_or(host, |(listed, _)| listed).clone();
        let state = RequestState::Running {
            attempt: 0,
            host: host.clone(),
            since: now,
        };
        let ticket = self.insert_request(now, id, Some(client), &message.placement.class, state);
        info!(task = %id, host = &*host.0, connection = %client, "task adopted");
        self.assign_running_task(ticket, client);
        self.charge_adoption(client, ticket, &host);
        if self.hosts.contains_key(&host) {
            self.clients.record_task_run(client);
            self.update_priorities(now, &host, ConnectionUse::Unchanged);
            self.request_connection(now, &host);
        } else {
            let timer = TimerEvent::UnknownHostTimeout(ticket);
            self.add_timer(now + UNKNOWN_HOST_TIMEOUT, timer);
        }
        let decisions = self.facade.adopt(now, ticket, &message.placement, &host);
        self.apply_decisions(now, decisions.unwrap_or_default());
    }

    fn check_adoption(&self, id: TaskId, message: &TaskRequest) -> Result<(), InvalidTaskRequest> {
        self.facade.check(&message.placement, RequestKind::Adopt)?;
        if id == TaskId(0) {
            return Err(InvalidTaskRequest::MissingId);
        }
        Ok(())
    }

    /// Returns the cause with which a task has ended, if it ended before its client asked to adopt it. The host's
    /// release may arrive on a new connection before the client's message.
    fn end_before_adoption(&self, id: TaskId, host: &HostId) -> Option<Cause> {
        if let Some(cause) = self.cause_of_release(host, id) {
            return Some(cause);
        }
        let link = self.hosts.get(host);
        let is_removed = link.is_some_and(|link| link.state == EndpointState::Removed);
        is_removed.then_some(Cause::RESET)
    }

    /// Records the connection on which a running task was requested or adopted.
    pub(super) fn assign_running_task(&mut self, ticket: Ticket, client: ClientId) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.origin_client = Some(client);
            self.clients.running_task_started(client);
        }
    }

    /// Migrates a task: notifies the client, which will request the task again, and releases the task at its host.
    pub(super) fn migrate_task(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if let RequestState::Running { since, .. } = request.state {
            let (id, origin_client) = (request.id, request.origin_client);
            self.notify_task_end(now, id, origin_client, since, TaskEnd::Migrated);
            self.release_running_task(now, ticket, Cause::CANCELLED);
        }
    }

    /// Notifies a client that a task which has run since `since` has ended or is migrated. If the response was sent
    /// less than `RESPONSE_DELIVERY_TIME` ago, the notification is sent after it on the same connection.
    fn notify_task_end(
        &mut self,
        now: Micros,
        id: TaskId,
        origin_client: Option<ClientId>,
        since: Micros,
        end: TaskEnd,
    ) {
        match origin_client {
            Some(client) if now - since < RESPONSE_DELIVERY_TIME => {
                self.clients
                    .send_task_end_after_response(now, client, id, end);
            }
            _ => self.clients.send_task_end(now, id, end),
        }
    }

    /// Releases a running task at its host, on the open connection or the next one to be established.
    pub(super) fn release_running_task(&mut self, now: Micros, ticket: Ticket, cause: Cause) {
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
            released_at: now,
            sent_at: None,
            cause,
        };
        self.set_request_state(ticket, state);
        self.send_release(now, ticket, &host, &line);
        self.add_timer(
            now + RELEASE_RESEND_TIMEOUT,
            TimerEvent::ReleaseCheck(ticket),
        );
        self.add_timer(now + RELEASE_TIMEOUT, TimerEvent::ReleaseTimeout(ticket));
        self.request_connection(now, &host);
    }

    /// Writes a release to the connection of a host, if there is one.
    fn send_release(&mut self, now: Micros, ticket: Ticket, host: &HostId, line: &[u8]) {
        let conn = self.hosts.get(host).and_then(HostLink::current_connection);
        if conn.is_some_and(|conn| conn.send(now, line))
            && let Some(request) = self.requests.get_mut(&ticket)
            && let RequestState::Releasing { sent_at, .. } = &mut request.state
        {
            *sent_at = Some(now);
        }
    }

    /// Sends the releases that a host has not confirmed on a connection that has just been established. They may have
    /// been lost with the previous connection, or there was no connection to send them on.
    pub(super) fn send_unconfirmed_releases(&mut self, now: Micros, host: &HostId) {
        let releases: Vec<(Ticket, Vec<u8>)> = self
            .unconfirmed_releases(host)
            .map(|(ticket, id, cause)| (ticket, lines::release(id, cause)))
            .collect();
        for (ticket, line) in releases {
            self.send_release(now, ticket, host, &line);
        }
    }

    /// Whether a host has not confirmed all releases of its tasks.
    pub(super) fn has_unconfirmed_releases(&self, host: &HostId) -> bool {
        self.unconfirmed_releases(host).next().is_some()
    }

    fn unconfirmed_releases(
        &self,
        host: &HostId,
    ) -> impl Iterator<Item = (Ticket, TaskId, Cause)> + '_ {
        let tickets = self.request_index.running(host);
        tickets.filter_map(|ticket| {
            let request = self.requests.get(&ticket)?;
            match request.state {
                RequestState::Releasing { cause, .. } => Some((ticket, request.id, cause)),
                _ => None,
            }
        })
    }

    /// Requests another connection to a host that has not confirmed a release yet; the release is sent again on it.
    pub(super) fn resend_unconfirmed_release(&mut self, now: Micros, ticket: Ticket) {
        let state = self.requests.get(&ticket).map(|request| &request.state);
        if let Some(RequestState::Releasing { host, .. }) = state {
            let host = host.clone();
            self.suspect_host(now, &host);
        }
    }

    /// Ends a task whose host has not confirmed its release, if it had the time for that: it was heard for
    /// `RELEASE_TIMEOUT` after the release was sent. A host that cannot be reached may still run the task, so the release
    /// is kept for the next connection.
    pub(super) fn end_unconfirmed_release(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let RequestState::Releasing {
            host,
            released_at,
            sent_at,
            ..
        } = &request.state
        else {
            return;
        };
        let conn = self.hosts.get(host).and_then(HostLink::current_connection);
        let was_heard = |sent_at: Micros| {
            let elapsed = now - sent_at;
            let silence = conn.map(|conn| conn.silent_for().as_micros());
            elapsed >= RELEASE_TIMEOUT
                && silence.is_some_and(|silence| (silence as Micros) < elapsed)
        };
        if now - released_at >= RELEASE_RETENTION || sent_at.is_some_and(was_heard) {
            return self.end_running_task(now, ticket, Cause::CANCELLED, OutcomeDetail::Unknown);
        }
        let timer = TimerEvent::ReleaseTimeout(ticket);
        self.add_timer(now + RELEASE_RECHECK_INTERVAL, timer);
    }

    /// Ends an adopted task if its host is still not in the endpoint list, since the task would otherwise be kept
    /// forever. While the feed is not heard, the host may be new, so the task is kept until the list is up to date.
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
        if !self.list_is_up_to_date(now, *since) {
            let timer = TimerEvent::UnknownHostTimeout(ticket);
            return self.add_timer(now + UNKNOWN_HOST_RECHECK_INTERVAL, timer);
        }
        let (id, client) = (request.id, request.client);
        let (attempt, host, elapsed) = (*attempt, host.clone(), now - since);
        info!(task = %id, reason = "unknown-host", host = &*host.0, "task not running");
        if let Some(client) = client {
            let end = TaskEnd::Released(Cause::RESET);
            self.clients
                .send_task_end_after_response(now, client, id, end);
        }
        self.remove_request(ticket);
        let event = PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome: Outcome::Reset,
            detail: OutcomeDetail::Unknown,
            elapsed,
        };
        self.report_event(now, event);
    }

    /// Whether the endpoint list would include a host that was new when a task was adopted at `adopted_at`: the feed has
    /// been available for `UNKNOWN_HOST_TIMEOUT`, and was heard in the latter half of the time since the adoption.
    fn list_is_up_to_date(&self, now: Micros, adopted_at: Micros) -> bool {
        let is_stable = now - self.discovery_up_since >= UNKNOWN_HOST_TIMEOUT;
        let heard_since = adopted_at + UNKNOWN_HOST_TIMEOUT / 2;
        self.is_discovery_up && is_stable && self.discovery_heard_at >= heard_since
    }

    /// Ends a task that runs or is being released. The client is notified, unless the task was being released already:
    /// by the client, or in a migration that it was notified of.
    pub(super) fn end_running_task(
        &mut self,
        now: Micros,
        ticket: Ticket,
        cause: Cause,
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
                let end = TaskEnd::Released(cause);
                self.notify_task_end(now, request.id, request.origin_client, since, end);
                (attempt, host, since, outcome_of_release(cause))
            }
            RequestState::Releasing {
                attempt,
                host,
                since,
                ..
            } => (attempt, host, since, Outcome::Cancelled),
            RequestState::Queued | RequestState::InFlight { .. } => return,
        };
        info!(task = %request.id, host = &*host.0, cause = cause.0, ?detail, ran_ms = (now - since) / MILLISECOND, "task ended");
        let event = PlacementEvent::AttemptEnded {
            ticket,
            attempt,
            host,
            outcome,
            detail,
            elapsed: now - since,
        };
        self.report_event(now, event);
    }

    /// Ends the tasks that started at a host before the time `before`: they are lost.
    pub(super) fn end_lost_tasks(&mut self, now: Micros, host: &HostId, before: Micros) {
        self.end_lost_untracked_tasks(now, host, before);
        self.end_lost(now, host, |state| match state {
            RequestState::Running { since, .. } | RequestState::Releasing { since, .. } => {
                *since < before
            }
            RequestState::Queued | RequestState::InFlight { .. } => false,
        });
    }

    /// Ends the tasks at a host that has been silent for too long: they count as lost. Releases are kept, because the host
    /// may only be cut off and come back with the tasks running.
    pub(super) fn end_tasks_of_silent_host(&mut self, now: Micros, host: &HostId) {
        self.end_lost_untracked_tasks(now, host, now);
        self.end_lost(now, host, |state| {
            matches!(state, RequestState::Running { .. })
        });
    }

    fn end_lost(&mut self, now: Micros, host: &HostId, is_lost: impl Fn(&RequestState) -> bool) {
        let is_lost = |ticket: &Ticket| {
            let request = self.requests.get(ticket);
            request.is_some_and(|request| is_lost(&request.state))
        };
        let lost: Vec<Ticket> = self.request_index.running(host).filter(is_lost).collect();
        if !lost.is_empty() {
            info!(host = &*host.0, tasks = lost.len(), "tasks lost");
        }
        for ticket in lost {
            self.end_running_task(now, ticket, Cause::RESET, OutcomeDetail::Unknown);
        }
    }
}

/// Returns the outcome that corresponds to the cause of a host's release of a running task.
fn outcome_of_release(cause: Cause) -> Outcome {
    match cause {
        Cause::NORMAL => Outcome::Completed,
        Cause::CANCELLED => Outcome::Cancelled,
        _ => Outcome::Reset,
    }
}
