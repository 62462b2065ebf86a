//! Opens and supervises connections to hosts, and handles their loss. This module never decides which host gets an
//! attempt, and opens a connection only when `connection_slots` has granted a slot for it.

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

/// How long an incomplete line from a host may wait for its remainder.
const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a host must be unreachable before its tasks count as lost.
const UNREACHABLE_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// How long an unreachable host must have been silent before its tasks count as lost.
///
/// A machine that is cut off from the network keeps running and comes back; one that has failed does not. The
/// placer cannot tell them apart, except that the endpoint list marks hosts that were removed. The protocol requires
/// that a client is notified of a task's end within 8 s, and a running task cannot have ended before its host's last
/// message. The remaining time covers one tick and the transfer to the client.
const HOST_SILENCE_TIMEOUT: Micros = 7_700 * MILLISECOND;
/// The maximum number of replaced connections kept open per host.
const MAX_REPLACED_CONNECTIONS: usize = 3;
/// How long an attempt may be in flight on a silent connection before its host becomes suspect.
pub(super) const SILENCE_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// How long a connection to a host with running tasks may be silent before it is checked. This time, `CHECK_TIMEOUT`,
/// one sweep interval, and the transfer of a task's end to its client must fit into the 8 s within which the protocol
/// requires clients to be notified.
const CHECK_AFTER_SILENCE: Duration = Duration::from_secs(3);
/// How long a host may take to answer a connection check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a host with running tasks may be left without a connection.
///
/// A host can report the ends of its tasks only on a connection, and the protocol requires clients to be notified
/// within 8 s. The rest of the 8 s covers the wait for a connection slot, and the connects to a host that does not
/// answer, which go on until `UNREACHABLE_TIMEOUT` has passed.
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

    /// Ends the attempts that were waiting for the connection: they never ran.
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
            self.add_timer(now + backoff, TimerEvent::Reconnect(host.clone(), id));
        }
        if matches!(
            error,
            ConnectError::NoDescriptor | ConnectError::LocalFault(_)
        ) {
            // The failure is local to this machine and says nothing about the host.
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
        // The other processes learn at once of an end that the host may not repeat, in case this process is killed.
        self.announce_task_ends();
    }

    /// Ends the attempts that were sent on the connection, which may have run. Running tasks are not affected.
    fn host_closed(&mut self, host: &HostId, id: ConnectionId, reason: CloseReason) {
        let now = self.clock.now();
        let was_sent_on_it = |ticket: &Ticket| self.in_flight_on(*ticket) == Some(id);
        let interrupted: Vec<Ticket> = self
            .request_index
            .in_flight(host)
            .filter(was_sent_on_it)
            .collect();
        let out = interrupted.len();
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
            // A second connection, on which the host repeats the ends of tasks, is requested even after an orderly
            // close: data sent before the close may have been lost on the network path.
            self.request_repeated_ends(now, host);
        }
        for ticket in interrupted {
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

/// A connect failure that counts against its host.
struct ConnectFailure {
    /// Whether this is the first failure since the host was last reached.
    is_first: bool,
    /// When the first connect to the host failed since the host was last reached.
    unreachable_since: Micros,
}

impl Dispatch {
    /// Starts to connect to a host. An open connection, if there is one, is kept as a replaced connection.
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
        self.add_timer(now + self.connect_timeout, timer);
        self.task_spawner
            .spawn(hosts::serve(host.clone(), id, address, stopped, shared));
        self.update_priorities(now, host, ConnectionUse::Unchanged);
    }

    /// Returns the reason for making a connection to a host now.
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

    /// Returns how long this placer must wait for its slot to connect to a host that did not answer, if overload
    /// control schedules such slots. While tasks run at the host, the delay is 0: the ends of these tasks are awaited,
    /// so connects must be no less frequent than without slots.
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

    /// Closes the open connections to a host after a connect failed, and ends the tasks that the failure proves to be
    /// lost. Nothing is done if a message has arrived from the host since the connect began.
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
        // The open connections are dead too. Closing them lets attempts that may be retried go to another host at once,
        // instead of waiting for an answer until their clients give up. A connect that failed in any other way before
        // its timeout is no evidence of this.
        if matches!(error, ConnectError::Refused | ConnectError::TimedOut) {
            link.close_connections(CloseReason::Silent);
        }
        if error == ConnectError::Refused {
            // A refused connect proves that the host's process has exited, and its tasks with it.
            self.end_lost_tasks(now, host, Micros::MAX);
        } else {
            self.end_unreachable_tasks(now, host, unreachable_since);
        }
    }

    /// Ends the tasks at a host that has been unreachable since `since`, or sets a timer if they do not count as lost
    /// yet.
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
            return self.end_tasks_of_silent_host(now, host);
        }
        if link.tasks_lost_at != Some(lost_at) {
            link.tasks_lost_at = Some(lost_at);
            let timer = TimerEvent::HostUnreachable(host.clone(), since);
            self.add_timer(lost_at, timer);
        }
    }

    /// Marks the other hosts of a failed host's cell as suspect, because machines of a cell may fail together. Without
    /// this, the loss of a connection with nothing in flight may go unnoticed, and the tasks of that host would count
    /// as lost only when the feed reports its removal.
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

    /// Marks a connected host as suspect, and requests a second connection to it.
    pub(super) fn suspect_host(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if let ConnectionState::Connected(_) = &link.connection {
            link.is_suspect = true;
            self.request_connection(now, host);
        }
    }

    /// Requests a second connection to a connected host, if ends of tasks are awaited from it.
    ///
    /// This recovers ends of tasks that were in transit on a connection when it broke: the host repeats them on the
    /// next connection that opens, whichever of its connections they were lost on.
    pub(super) fn request_repeated_ends(&mut self, now: Micros, host: &HostId) {
        if !self.may_read_task_ends(host) {
            return;
        }
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        // A connection that is being made serves the same purpose, so no other is requested.
        if let ConnectionState::Connected(_) = &link.connection {
            link.needs_repeated_ends = true;
            self.request_connection(now, host);
        }
    }

    /// Marks the host of an attempt in flight as suspect if its connection has been silent for `SILENCE_TIMEOUT`.
    ///
    /// When a machine fails, or a connection stops delivering data, the connection stays open and silent. A second
    /// connection is made so that later attempts are not lost too; if it cannot be established either, the tasks at the
    /// host are lost. Attempts already sent stay in flight on the silent connection. The silence of that connection is
    /// what counts, because messages of the host may still arrive on another one.
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
        self.add_timer(now + SILENCE_TIMEOUT - silence, timer);
    }

    /// Sends a check on connections to hosts with running tasks that have been silent for `CHECK_AFTER_SILENCE`, and
    /// closes those on which a check was not answered within `CHECK_TIMEOUT`, unless an attempt is in flight there.
    ///
    /// The ends of tasks would be lost on a connection that stays open but no longer delivers data, and without an
    /// attempt in flight nothing else would reveal that. The check message of the protocol only tests the connection
    /// and requests nothing of the host.
    fn check_silent_connections(&self, now: Micros) {
        for host in self.hosts_of_task_ends() {
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

    /// Closes stalled connections and surplus replaced ones, then connects to hosts without a connection: to those with
    /// running tasks after `MAX_TIME_DISCONNECTED`, and to the others while the connection pool has spare capacity.
    pub(super) fn sweep_host_connections(&mut self, now: Micros) {
        // Without this the table would grow as hosts are added and removed over time.
        self.hosts.retain(|_, link| !link.can_be_forgotten());
        for (host, link) in &self.hosts {
            // An incomplete line blocks all input after it, so a connection that stays in the middle of one is closed.
            for conn in link.connections() {
                conn.close_if_write_stalled(now, MAX_WRITE_STALL);
                conn.close_if_partial(PARTIAL_LINE_TIMEOUT);
            }
            self.close_surplus_replaced(host, link);
        }
        self.check_silent_connections(now);
        let mut to_connect: Vec<HostId> = self
            .hosts_awaiting_task_ends()
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

    /// Closes the oldest replaced connections to a host if no attempt is in flight on them. The latest
    /// `MAX_REPLACED_CONNECTIONS` stay open: messages of the host may be in transit on them, and the host closes them
    /// itself when they become idle.
    fn close_surplus_replaced(&self, host: &HostId, link: &HostLink) {
        for (id, conn) in link.replaced.iter().rev().skip(MAX_REPLACED_CONNECTIONS) {
            if !self.has_attempt_in_flight_on(host, *id) {
                conn.close(CloseReason::Replaced);
            }
        }
    }

    /// Returns the link of a host if it has no connection and its last connect did not fail.
    fn disconnected_link(&self, host: &HostId) -> Option<&HostLink> {
        let link = self.hosts.get(host)?;
        let is_disconnected = matches!(link.connection, ConnectionState::Disconnected);
        (is_disconnected && link.connect_failures == 0).then_some(link)
    }

    /// Whether an attempt is in flight on this connection.
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
