//! Owns the connections to hosts: how they are made, what their ends mean, and the list that names the hosts. It never
//! decides which host gets an offer, and makes no connection that `slots` has no slot for.

use super::requests::{Request, RequestState};
use super::timers::TimerEvent;
use super::{Dispatch, MILLI};
use crate::net::codec::feed::DiscoveredEndpoint;
use crate::net::conn::{CloseReason, Conn, STUCK};
use crate::net::hosts::{
    self, ConnectError, ConnectionId, ConnectionState, HostLink, PendingAttempt,
};
use std::rc::Rc;
use std::time::Duration;
use task_placer::descriptors::Want;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{EndpointState, HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// How long half a line of a host may wait for its rest.
const HALF: Duration = Duration::from_millis(400);
/// How long a host must be out of reach until what stood there counts as lost.
const UNREACHABLE_TIMEOUT: Micros = 1_500 * MILLI;
/// And how long nothing may have been heard of it before. A machine that was cut off runs on and comes back,
/// one that has vanished does not, and from here they look alike; the list names what is gone. A task that
/// ended unheard is owed to its client within 8 s of its end (the protocol's figure), and what stands has not
/// ended before its host was last heard. The rest is for a tick and the way to the client.
const UNHEARD: Micros = 7_700 * MILLI;
/// Replaced connections to a host that are kept.
const MAX_REPLACED_CONNECTIONS: usize = 3;
/// How long a host at which tasks stand is left without a connection. It tells their ends on one only, and
/// they are owed to clients within 8 s (the protocol's figure): of these a visit may wait for a slot, and a
/// host that does not answer it is called until `UNREACHABLE_TIMEOUT` has passed.
const MAX_TIME_WITHOUT_CONNECTION: Micros = 3_000 * MILLI;

impl Dispatch {
    /// How long until this placer's turn to call a host that did not answer, where turns are taken. Where tasks
    /// stand there, their ends are waited for, and the host is called no more seldom than without turns.
    fn health_check_delay(&self, now: Micros, host: &HostId) -> Micros {
        if self.request_index.running(host).next().is_some() {
            return 0;
        }
        self.facade
            .overload()
            .and_then(|overload| overload.call_in(now, host))
            .unwrap_or(0)
    }

    // ---- The list ----

    /// News of the list. Tasks at what is gone, or at a process that started after them, are lost.
    pub fn endpoints_changed(&mut self, whole: bool, hosts: Vec<DiscoveredEndpoint>) {
        let now = self.clock.now();
        self.record_health_event(now, Event::Feed);
        let (entries, recalled) = self.apply_endpoint_update(now, whole, hosts);
        // Of the others nothing is event.
        let named: Vec<HostId> = if whole {
            self.hosts.keys().cloned().collect()
        } else {
            entries.iter().map(|entry| entry.host.clone()).collect()
        };
        self.report_event(
            now,
            PlacementEvent::EndpointsChanged {
                is_complete: whole,
                endpoints: entries,
            },
        );
        self.end_pending_attempts(now, recalled, Outcome::NotSent);
        let over = |host: HostId| {
            let link = self.hosts.get(&host)?;
            let gone = link.state == EndpointState::Removed;
            (gone || link.started_at > 0)
                .then_some((host, if gone { Micros::MAX } else { link.started_at }))
        };
        let lost: Vec<(HostId, Micros)> = named.into_iter().filter_map(over).collect();
        for (host, before) in lost {
            self.end_lost_tasks(now, &host, before);
        }
    }

    /// Takes the list over: its entries, and the offers that had not left to hosts that are another process now,
    /// drain or are gone. Guards against offers that were decided for what a host was before.
    pub(super) fn apply_endpoint_update(
        &mut self,
        now: Micros,
        whole: bool,
        hosts: Vec<DiscoveredEndpoint>,
    ) -> (Vec<task_placer::Endpoint>, Vec<PendingAttempt>) {
        let mut recalled = Vec::new();
        let mut touched: Vec<HostId> = Vec::with_capacity(hosts.len());
        if whole {
            let named: std::collections::BTreeSet<&HostId> =
                hosts.iter().map(|h| &h.entry.host).collect();
            for (host, link) in self
                .hosts
                .iter_mut()
                .filter(|(host, _)| !named.contains(host))
            {
                self.active_hosts -= usize::from(link.state != EndpointState::Removed);
                link.state = EndpointState::Removed;
                touched.push(host.clone());
            }
        }
        let mut entries = Vec::with_capacity(hosts.len());
        for listed in hosts {
            let before = self
                .hosts
                .get(&listed.entry.host)
                .map_or(EndpointState::Removed, |link| link.state);
            let link = self
                .hosts
                .entry(listed.entry.host.clone())
                .or_insert_with(|| HostLink::new(&listed));
            let DiscoveredEndpoint { entry, dial } = listed;
            self.active_hosts += usize::from(entry.state != EndpointState::Removed);
            self.active_hosts -= usize::from(before != EndpointState::Removed);
            if entry.state != EndpointState::Up || link.started_at != entry.started_at {
                recalled.append(&mut link.pending_attempts);
            }
            (link.state, link.cell, link.started_at) = (entry.state, entry.cell, entry.started_at);
            link.zone = entry.zone;
            link.free_resources = entry.free();
            if dial.is_some() && link.address != dial {
                link.address = dial;
                link.connections()
                    .for_each(|conn| conn.stop(CloseReason::HostRemoved));
                if link.abort_connect() {
                    (link.connect_failures, link.unreachable_since) = (0, None);
                }
            }
            touched.push(entry.host.clone());
            entries.push(entry);
        }
        self.split_descriptors();
        for host in &touched {
            let Some(link) = self.hosts.get_mut(host) else {
                continue;
            };
            if link.state == EndpointState::Removed {
                // A gone host's address may be a new host's: nothing more is to reach the old one there, nor on a
                // connection that comes up only now.
                link.connections()
                    .for_each(|conn| conn.stop(CloseReason::HostRemoved));
                link.abort_connect();
                recalled.append(&mut link.pending_attempts);
                self.connection_pool.forget(host);
            } else if matches!(link.connection, ConnectionState::Disconnected)
                && link.connect_failures == 0
            {
                self.request_connection(now, host);
            }
        }
        (entries, recalled)
    }

    // ---- Connections ----

    /// Starts to connect, beside what is up, if anything is.
    pub(super) fn connect(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(address) = link.address else { return };
        let Some(shared) = self.tasks.shared.upgrade() else {
            return;
        };
        let (stop, stopped) = async_channel::bounded(1);
        if let ConnectionState::Connected(conn) =
            std::mem::replace(&mut link.connection, ConnectionState::Connecting(stop))
        {
            link.replaced.push((link.connection_id, conn));
        }
        link.is_suspect = false;
        link.connection_id += 1;
        link.last_connect_at = now;
        let connection_id = link.connection_id;
        self.connection_pool
            .taken(now, (host.clone(), connection_id));
        self.reclaim_descriptors(now);
        self.wheel.add(
            now + self.connect_timeout,
            TimerEvent::ConnectTimeout(host.clone(), connection_id),
        );
        self.tasks.spawn(hosts::serve(
            host.clone(),
            connection_id,
            address,
            stopped,
            shared,
        ));
        self.update_ranks(now, host, false);
    }

    /// The connection is up; false if it is not wanted any more.
    pub fn host_connected(
        &mut self,
        host: &HostId,
        connection_id: ConnectionId,
        conn: Rc<Conn>,
    ) -> bool {
        let now = self.clock.now();
        let Some(link) = self.hosts.get_mut(host) else {
            return false;
        };
        if link.connection_id != connection_id
            || !matches!(link.connection, ConnectionState::Connecting(_))
        {
            return false;
        }
        link.unsent_releases.retain(|line| !conn.send(now, line));
        link.connection = ConnectionState::Connected(conn);
        (
            link.connect_failures,
            link.unreachable_since,
            link.last_message_at,
        ) = (0, None, now);
        self.send_pending_attempts(now, host);
        true
    }

    /// The connection was not made: what waited for it never ran.
    pub fn host_connect_failed(
        &mut self,
        host: &HostId,
        connection_id: ConnectionId,
        why: ConnectError,
    ) {
        let now = self.clock.now();
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.connection_id != connection_id
            || !matches!(link.connection, ConnectionState::Connecting(_))
        {
            return;
        }
        link.connection = ConnectionState::Disconnected;
        let waiting = std::mem::take(&mut link.pending_attempts);
        if link.state != EndpointState::Removed {
            let pause = link.reconnect_backoff();
            let pause = pause.max(self.health_check_delay(now, host));
            self.wheel.add(
                now + pause,
                TimerEvent::Reconnect(host.clone(), connection_id),
            );
        }
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if why == ConnectError::NoDescriptor {
            // Nothing of it is the host's.
            info!(peer = "host", host = &*host.0, connection = connection_id, reason = %why, "connection ended");
            return self.end_pending_attempts(now, waiting, Outcome::NotSent);
        }
        link.was_refused = why == ConnectError::Refused;
        link.connect_failures = link.connect_failures.saturating_add(1);
        let down_since = *link.unreachable_since.get_or_insert(now);
        let first = link.connect_failures == 1;
        if first {
            info!(peer = "host", host = &*host.0, connection = connection_id, reason = %why, "connection ended");
        }
        self.end_pending_attempts(now, waiting, Outcome::ConnectFailed);
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        if link.last_message_at <= link.last_connect_at {
            // Nothing comes on what is open there. Guards against offers that wait there for an answer until
            // their clients give up: what may be repeated goes elsewhere at once.
            link.connections()
                .for_each(|conn| conn.stop(CloseReason::Silent));
            if why == ConnectError::Refused {
                // Proof that the process is gone, and its tasks with it.
                self.end_lost_tasks(now, host, Micros::MAX);
            } else {
                self.end_unreachable_tasks(now, host, down_since);
            }
        }
        if first {
            self.suspect_cell(now, host);
        }
    }

    /// What stands at a host that is out of reach since then is lost once that has lasted.
    pub(super) fn end_unreachable_tasks(&mut self, now: Micros, host: &HostId, since: Micros) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.unreachable_since != Some(since) {
            return;
        }
        let at = (since + UNREACHABLE_TIMEOUT).max(link.last_message_at + UNHEARD);
        if now >= at {
            return self.end_lost_tasks(now, host, Micros::MAX);
        }
        if link.tasks_lost_at != Some(at) {
            link.tasks_lost_at = Some(at);
            self.wheel
                .add(at, TimerEvent::HostUnreachable(host.clone(), since));
        }
    }

    /// Guards against machines of a cell that died together: where nothing is out on a connection its
    /// end may go unheard, and what stands there would be lost only when the feed tells.
    fn suspect_cell(&mut self, now: Micros, failed: &HostId) {
        let Some(cell) = self.hosts.get(failed).map(|link| link.cell) else {
            return;
        };
        let others = self
            .hosts
            .iter()
            .filter(|(host, link)| *host != failed && link.cell == cell);
        let others: Vec<HostId> = others.map(|(host, _)| host.clone()).collect();
        others.iter().for_each(|host| self.suspect_host(now, host));
    }

    /// Makes another connection beside the one that is up.
    pub(super) fn suspect_host(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if let ConnectionState::Connected(_) = &link.connection {
            link.is_suspect = true;
            self.request_connection(now, host);
        }
    }

    /// An offer is out and its host has said nothing since. Guards against a machine that vanished: its
    /// connection stays open and silent. Another is made beside it, so that later offers don't vanish
    /// too; where none comes up either, what stands there is lost. Offers stay out on the silent one.
    pub(super) fn suspect_silent_host(&mut self, now: Micros, ticket: Ticket, attempt: u32) {
        let Some(Request {
            state:
                RequestState::InFlight {
                    attempt: n,
                    host,
                    since,
                    connection_id,
                    ..
                },
            ..
        }) = self.requests.get(&ticket)
        else {
            return;
        };
        let host = host.clone();
        let Some(link) = self.hosts.get(&host) else {
            return;
        };
        if *n == attempt
            && *connection_id == Some(link.connection_id)
            && link.last_message_at < *since
        {
            self.suspect_host(now, &host);
        }
    }

    /// The connection has ended: what was offered on it may have run. What stands there still does.
    pub fn host_closed(&mut self, host: &HostId, connection_id: ConnectionId, end: CloseReason) {
        let now = self.clock.now();
        let on = |ticket: &Ticket| {
            self.requests.get(ticket).and_then(|r| r.state.out_on()) == Some(connection_id)
        };
        let cut: Vec<Ticket> = self.request_index.in_flight(host).filter(on).collect();
        let out = cut.len();
        info!(peer = "host", host = &*host.0, connection = connection_id, reason = %end, out, "connection ended");
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let made_way = matches!(link.connection, ConnectionState::Disconnected);
        link.replaced.retain(|(r, _)| *r != connection_id);
        if link.connection_id == connection_id {
            link.connection = ConnectionState::Disconnected;
            link.last_closed_at = now;
            if link.state == EndpointState::Removed {
                let waiting = std::mem::take(&mut link.pending_attempts);
                self.end_pending_attempts(now, waiting, Outcome::ConnectFailed);
            } else if !made_way || self.connection_need(host) >= Some(Want::Release) {
                self.request_connection(now, host);
            }
        }
        for ticket in cut {
            let event = self.end_attempt(now, ticket, Outcome::Reset, OutcomeDetail::Unknown);
            event
                .into_iter()
                .for_each(|event| self.report_event(now, event));
        }
    }

    /// Ends connections that are stuck, and the oldest replaced ones on which no offer is out. The latest
    /// stay: the host may have words under way on them, and closes them itself when they idle. Then calls
    /// the hosts that have had no connection for a while: those where tasks stand, and the others while
    /// there is room.
    pub(super) fn sweep_host_connections(&mut self, now: Micros) {
        // Guards against hosts that come and go all day.
        self.hosts.retain(|_, link| !link.can_be_forgotten());
        for (host, link) in &self.hosts {
            // Guards also against an answer that stops short: nothing after it can be read.
            link.connections().for_each(|conn| {
                conn.end_if_stuck(now, STUCK);
                conn.end_if_half(HALF);
            });
            for (connection_id, conn) in link.replaced.iter().rev().skip(MAX_REPLACED_CONNECTIONS) {
                let on = |ticket| {
                    self.requests
                        .get(&ticket)
                        .and_then(|r: &Request| r.state.out_on())
                };
                if !self
                    .request_index
                    .in_flight(host)
                    .any(|ticket| on(ticket) == Some(*connection_id))
                {
                    conn.stop(CloseReason::Replaced);
                }
            }
        }
        let down = |host: &HostId| {
            let link = self.hosts.get(host)?;
            (matches!(link.connection, ConnectionState::Disconnected) && link.connect_failures == 0)
                .then_some(link)
        };
        let unvisited = |host: &&HostId| {
            down(host).is_some_and(|link| now - link.last_closed_at >= MAX_TIME_WITHOUT_CONNECTION)
        };
        let mut calls: Vec<HostId> = self
            .request_index
            .hosts_with_running_tasks()
            .filter(unvisited)
            .cloned()
            .collect();
        if self.connection_pool.spacious() {
            calls.extend(
                self.hosts
                    .keys()
                    .filter(|host| down(host).is_some())
                    .cloned(),
            );
        }
        calls
            .iter()
            .for_each(|host| self.request_connection(now, host));
        self.evict_connections(now);
    }
}
