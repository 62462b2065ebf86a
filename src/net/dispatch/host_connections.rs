//! Owns the connections to hosts: how they are made, and what their ends mean. It never decides which host gets an
//! attempt, and makes no connection that `connection_slots` has no slot for.

use super::connection_slots::ConnectionUse;
use super::request::RequestState;
use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::codec::TaskId;
use crate::net::codec::lines::{self, HostMessage};
use crate::net::conn::{CloseReason, Connection, MAX_WRITE_STALL};
use crate::net::hosts::{
    self, ConnectError, ConnectOutcome, ConnectReason, ConnectionId, ConnectionState, HostEvents,
    HostLink,
};
use std::rc::Rc;
use std::time::Duration;
use task_placer::descriptors::ConnectPurpose;
use task_placer::facade::Ticket;
use task_placer::{EndpointState, HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// How long part of a line of a host may wait for its rest.
const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a host must be unreachable until the tasks there count as lost.
const UNREACHABLE_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// How long nothing may have arrived from an unreachable host before its tasks count as lost.
///
/// A machine that was cut off runs on and comes back, one that has vanished does not, and from here they look alike;
/// the endpoint list names what was removed. The client is to be notified of a task's end within 8 s (the protocol's
/// figure), and a running task has not ended before its host's last message. The rest is for a tick and the way to the
/// client.
const HOST_SILENCE_TIMEOUT: Micros = 7_700 * MILLISECOND;
/// Replaced connections to a host that are kept open.
const MAX_REPLACED_CONNECTIONS: usize = 3;
/// How long an attempt may be in flight on a connection on which nothing arrives.
pub(super) const SILENCE_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// How long nothing may arrive on a connection of a host with running tasks until the connection is checked, and how long
/// the answer may take. Both, a sweep, and the way of an end to its client are to fit into the 8 s in which clients are
/// notified (the protocol's figure).
const CHECK_AFTER_SILENCE: Duration = Duration::from_secs(3);
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a host with running tasks is left without a connection.
///
/// It reports their ends on one only, and clients are to be notified within 8 s (the protocol's figure): of these the
/// connection may wait for a slot, and a host that does not answer is called until `UNREACHABLE_TIMEOUT` has passed.
const MAX_TIME_DISCONNECTED: Micros = 3_000 * MILLISECOND;

impl HostEvents for Dispatch {
    fn host_connected(
        &mut self,
        host: &HostId,
        id: ConnectionId,
        conn: Rc<Connection>,
    ) -> ConnectOutcome {
        let now = self.clock.now();
        let Some(link) = self.hosts.get_mut(host) else {
            return ConnectOutcome::NotWanted;
        };
        if !link.is_connecting(id) {
            return ConnectOutcome::NotWanted;
        }
        link.connection = ConnectionState::Connected(conn);
        link.connect_failures = 0;
        link.unreachable_since = None;
        link.last_message_at = now;
        self.connect_counters.record(link.connect_reason);
        info!(
            peer = "host",
            host = &*host.0,
            connection = id,
            reason = %link.connect_reason,
            replaced = link.replaced.len(),
            "connection opened"
        );
        self.send_unconfirmed_releases(now, host);
        self.send_pending_attempts(now, host);
        ConnectOutcome::InUse
    }

    /// What waited for the connection never ran.
    fn host_connect_failed(&mut self, host: &HostId, id: ConnectionId, error: ConnectError) {
        let now = self.clock.now();
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if !link.is_connecting(id) {
            return;
        }
        link.connection = ConnectionState::Disconnected;
        let pending_attempts = std::mem::take(&mut link.pending_attempts);
        if link.state != EndpointState::Removed {
            let backoff = link.reconnect_backoff();
            let backoff = backoff.max(self.health_check_delay(now, host));
            self.timer_wheel
                .add(now + backoff, TimerEvent::Reconnect(host.clone(), id));
        }
        if matches!(
            error,
            ConnectError::NoDescriptor | ConnectError::LocalFault(_)
        ) {
            // The fault is here, not at the host.
            info!(peer = "host", host = &*host.0, connection = id, reason = %error, "connection ended");
            return self.end_pending_attempts(now, pending_attempts, Outcome::NotSent);
        }
        let Some(failure) = self.record_connect_failure(now, host, id, error) else {
            return;
        };
        self.end_pending_attempts(now, pending_attempts, Outcome::ConnectFailed);
        self.handle_unreachable_host(now, host, error, failure.unreachable_since);
        if failure.is_first && self.hosts.contains_key(host) {
            self.suspect_cell(now, host);
        }
    }

    fn host_message(&mut self, host: &HostId, id: TaskId, message: HostMessage) {
        self.handle_host_message(host, id, message);
    }

    /// What was sent on it may have run. What runs there still does.
    fn host_closed(&mut self, host: &HostId, id: ConnectionId, reason: CloseReason) {
        let now = self.clock.now();
        let is_on_it = |ticket: &Ticket| self.in_flight_on(*ticket) == Some(id);
        let cut: Vec<Ticket> = self
            .request_index
            .in_flight(host)
            .filter(is_on_it)
            .collect();
        let out = cut.len();
        info!(peer = "host", host = &*host.0, connection = id, %reason, out, "connection ended");
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let was_evicted = matches!(link.connection, ConnectionState::Disconnected);
        link.replaced.retain(|(replaced, _)| *replaced != id);
        if link.connection_id == id {
            link.connection = ConnectionState::Disconnected;
            link.last_closed_at = now;
            if link.state == EndpointState::Removed {
                let pending_attempts = std::mem::take(&mut link.pending_attempts);
                self.end_pending_attempts(now, pending_attempts, Outcome::ConnectFailed);
            } else if !was_evicted
                || self.connection_need(host) >= Some(ConnectPurpose::ReportRelease)
            {
                self.request_connection(now, host);
            }
        } else if reason != CloseReason::Replaced {
            // Also after an orderly close: something on the way may have swallowed what was sent before it.
            self.request_repeated_ends(now, host);
        }
        for ticket in cut {
            let event = self.end_attempt(now, ticket, Outcome::Reset, OutcomeDetail::Unknown);
            self.report_optional_event(now, event);
        }
    }

    fn host_stopped_sending(&mut self, host: &HostId) {
        self.request_repeated_ends(self.clock.now(), host);
    }

    fn host_descriptor_released(&mut self, host: &HostId, id: ConnectionId) {
        self.release_slot(host, id);
    }
}

/// What a failed connect means for its host.
struct ConnectFailure {
    /// It is the first one since the host was last reached.
    is_first: bool,
    /// When that first one failed.
    unreachable_since: Micros,
}

impl Dispatch {
    /// Starts to connect, beside an open connection if there is one.
    pub(super) fn connect(&mut self, now: Micros, host: &HostId) {
        let reason = self.connect_reason(host);
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(address) = link.address else { return };
        let Some(shared) = self.task_spawner.shared.upgrade() else {
            return;
        };
        let (stop, stopped) = async_channel::bounded(1);
        let connecting = ConnectionState::Connecting(stop);
        if let ConnectionState::Connected(conn) =
            std::mem::replace(&mut link.connection, connecting)
        {
            link.replaced.push((link.connection_id, conn));
        }
        link.is_suspect = false;
        link.needs_repeated_ends = false;
        link.connection_id += 1;
        link.connect_reason = reason;
        link.last_connect_at = now;
        let id = link.connection_id;
        self.connection_pool.occupy(now, (host.clone(), id));
        self.reclaim_descriptors(now);
        let timer = TimerEvent::ConnectTimeout(host.clone(), id);
        self.timer_wheel.add(now + self.connect_timeout, timer);
        self.task_spawner
            .spawn(hosts::serve(host.clone(), id, address, stopped, shared));
        self.update_priorities(now, host, ConnectionUse::Unchanged);
    }

    /// Returns why a connection to a host is made now.
    fn connect_reason(&self, host: &HostId) -> ConnectReason {
        let link = self.hosts.get(host);
        if link.is_some_and(|link| link.needs_repeated_ends) {
            return ConnectReason::RepeatedEnds;
        }
        if link.is_some_and(|link| link.is_suspect) {
            return ConnectReason::Suspicion;
        }
        match self.connection_need(host) {
            Some(ConnectPurpose::SendAttempt) => ConnectReason::Attempt,
            Some(ConnectPurpose::ReportRelease) => ConnectReason::Release,
            Some(ConnectPurpose::ReadTaskEnds) => ConnectReason::RunningTasks,
            Some(ConnectPurpose::Prewarm) | None => ConnectReason::Prewarm,
        }
    }

    /// Returns how long this placer waits for its slot to call a host that did not answer, where slots are taken. While
    /// tasks run there, their ends are awaited, and the host is called no more seldom than without slots.
    fn health_check_delay(&self, now: Micros, host: &HostId) -> Micros {
        if self.request_index.has_running_tasks(host) {
            return 0;
        }
        self.facade
            .overload()
            .and_then(|overload| overload.time_until_slot(now, host))
            .unwrap_or(0)
    }

    fn record_connect_failure(
        &mut self,
        now: Micros,
        host: &HostId,
        id: ConnectionId,
        error: ConnectError,
    ) -> Option<ConnectFailure> {
        let link = self.hosts.get_mut(host)?;
        link.was_refused = error == ConnectError::Refused;
        link.connect_failures = link.connect_failures.saturating_add(1);
        let unreachable_since = *link.unreachable_since.get_or_insert(now);
        let is_first = link.connect_failures == 1;
        if is_first {
            info!(peer = "host", host = &*host.0, connection = id, reason = %error, "connection ended");
        }
        Some(ConnectFailure {
            is_first,
            unreachable_since,
        })
    }

    /// Closes what is open to a host that can't be reached, unless something has arrived on it since, and ends the tasks
    /// there as far as the failure proves that they are lost.
    fn handle_unreachable_host(
        &mut self,
        now: Micros,
        host: &HostId,
        error: ConnectError,
        unreachable_since: Micros,
    ) {
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        if link.last_message_at > link.last_connect_at {
            return;
        }
        // Nothing arrives on what is open there. Guards against attempts that wait there for an answer until their
        // clients give up: what may be retried goes elsewhere at once. A connect that failed without its whole time says
        // nothing of that.
        if matches!(error, ConnectError::Refused | ConnectError::TimedOut) {
            link.close_connections(CloseReason::Silent);
        }
        if error == ConnectError::Refused {
            // Proof that the process has ended, and its tasks with it.
            self.end_lost_tasks(now, host, Micros::MAX);
        } else {
            self.end_unreachable_tasks(now, host, unreachable_since);
        }
    }

    /// Ends the tasks at a host that has been unreachable since then, once that has lasted long enough.
    pub(super) fn end_unreachable_tasks(&mut self, now: Micros, host: &HostId, since: Micros) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.unreachable_since != Some(since) {
            return;
        }
        let lost_at =
            (since + UNREACHABLE_TIMEOUT).max(link.last_message_at + HOST_SILENCE_TIMEOUT);
        if now >= lost_at {
            return self.end_lost_tasks(now, host, Micros::MAX);
        }
        if link.tasks_lost_at != Some(lost_at) {
            link.tasks_lost_at = Some(lost_at);
            let timer = TimerEvent::HostUnreachable(host.clone(), since);
            self.timer_wheel.add(lost_at, timer);
        }
    }

    /// Suspects the other hosts of a cell. Guards against machines of a cell that failed together: where nothing is in
    /// flight on a connection its end may go unnoticed, and the tasks there would be lost only when the feed says so.
    fn suspect_cell(&mut self, now: Micros, failed: &HostId) {
        let Some(cell) = self.hosts.get(failed).map(|link| link.cell) else {
            return;
        };
        let others: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(host, link)| *host != failed && link.cell == cell)
            .map(|(host, _)| host.clone())
            .collect();
        others.iter().for_each(|host| self.suspect_host(now, host));
    }

    /// Suspects a host: requests another connection beside the one that is up.
    pub(super) fn suspect_host(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if let ConnectionState::Connected(_) = &link.connection {
            link.is_suspect = true;
            self.request_connection(now, host);
        }
    }

    /// Makes another connection beside the one that is up, if tasks run at the host.
    ///
    /// Guards against ends of tasks that were under way on a connection which broke: the host repeats them on the next
    /// connection that opens, whichever of its connections they were lost with.
    fn request_repeated_ends(&mut self, now: Micros, host: &HostId) {
        if !self.request_index.has_running_tasks(host) {
            return;
        }
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        // A connection that is being made serves as well.
        if let ConnectionState::Connected(_) = &link.connection {
            link.needs_repeated_ends = true;
            self.request_connection(now, host);
        }
    }

    /// Suspects the host of an attempt in flight if nothing has arrived on its connection for a while.
    ///
    /// Guards against a machine that vanished, and a connection that carries nothing more: it stays open and silent.
    /// Another is made beside it, so that later attempts don't vanish too; where none comes up either, the tasks there are
    /// lost. Attempts stay in flight on the silent one. It is the connection that is looked at: the host may still be heard
    /// on another.
    pub(super) fn suspect_silent_host(&mut self, now: Micros, ticket: Ticket, attempt: u32) {
        let Some(RequestState::InFlight {
            attempt: current,
            host,
            sent_on,
            ..
        }) = self.requests.get(&ticket).map(|request| &request.state)
        else {
            return;
        };
        let host = host.clone();
        let Some(link) = self.hosts.get(&host) else {
            return;
        };
        let ConnectionState::Connected(conn) = &link.connection else {
            return;
        };
        if *current != attempt || *sent_on != Some(link.connection_id) {
            return;
        }
        let silence = micros(conn.silent_for());
        if silence >= SILENCE_TIMEOUT {
            return self.suspect_host(now, &host);
        }
        let timer = TimerEvent::SilenceCheck(ticket, attempt);
        self.timer_wheel.add(now + SILENCE_TIMEOUT - silence, timer);
    }

    /// Checks the connections of hosts with running tasks on which nothing has arrived for a while, and closes those that
    /// did not answer.
    ///
    /// Guards the ends of tasks against connections that stay open and carry nothing more, where no attempt is in flight
    /// that would show it. The protocol's test tells only that the connection works: it asks the host for nothing.
    fn check_silent_connections(&self, now: Micros) {
        for host in self.request_index.hosts_with_running_tasks() {
            let Some(link) = self.hosts.get(host) else {
                continue;
            };
            for (id, conn) in link.numbered_connections() {
                if conn.check_failed(CHECK_TIMEOUT) {
                    if !self.has_attempt_in_flight_on(host, id) {
                        conn.close(CloseReason::Silent);
                    }
                } else if conn.silent_for() >= CHECK_AFTER_SILENCE {
                    conn.send_check(now, &lines::connection_check());
                }
            }
        }
    }

    /// Closes stalled connections and surplus replaced ones, then connects to hosts that have had no connection for a
    /// while: those with running tasks, and the others while there is spare capacity.
    pub(super) fn sweep_host_connections(&mut self, now: Micros) {
        // Guards against hosts that come and go all day.
        self.hosts.retain(|_, link| !link.can_be_forgotten());
        for (host, link) in &self.hosts {
            // Guards also against an answer that stops short: nothing after it can be read.
            for conn in link.connections() {
                conn.close_if_write_stalled(now, MAX_WRITE_STALL);
                conn.close_if_partial(PARTIAL_LINE_TIMEOUT);
            }
            self.close_surplus_replaced(host, link);
        }
        self.check_silent_connections(now);
        let mut to_connect: Vec<HostId> = self
            .request_index
            .hosts_with_running_tasks()
            .filter(|host| {
                self.disconnected_link(host)
                    .is_some_and(|link| now - link.last_closed_at >= MAX_TIME_DISCONNECTED)
            })
            .cloned()
            .collect();
        if self.connection_pool.has_spare_capacity() {
            let disconnected = self.hosts.keys();
            let disconnected = disconnected.filter(|host| self.disconnected_link(host).is_some());
            to_connect.extend(disconnected.cloned());
        }
        to_connect
            .iter()
            .for_each(|host| self.request_connection(now, host));
        self.evict_connections(now);
    }

    /// Closes the oldest replaced connections to a host on which no attempt is in flight. The latest stay: the host may
    /// have messages under way on them, and closes them itself when they idle.
    fn close_surplus_replaced(&self, host: &HostId, link: &HostLink) {
        for (id, conn) in link.replaced.iter().rev().skip(MAX_REPLACED_CONNECTIONS) {
            if !self.has_attempt_in_flight_on(host, *id) {
                conn.close(CloseReason::Replaced);
            }
        }
    }

    /// Returns a host that has no connection, and whose last connect did not fail.
    fn disconnected_link(&self, host: &HostId) -> Option<&HostLink> {
        let link = self.hosts.get(host)?;
        let is_disconnected = matches!(link.connection, ConnectionState::Disconnected);
        (is_disconnected && link.connect_failures == 0).then_some(link)
    }

    /// Whether an attempt is in flight on a connection.
    pub(super) fn has_attempt_in_flight_on(&self, host: &HostId, id: ConnectionId) -> bool {
        self.request_index
            .in_flight(host)
            .any(|ticket| self.in_flight_on(ticket) == Some(id))
    }

    fn in_flight_on(&self, ticket: Ticket) -> Option<ConnectionId> {
        let request = self.requests.get(&ticket)?;
        request.state.in_flight_on()
    }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
