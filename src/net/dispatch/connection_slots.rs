//! Assigns connection slots: determines which hosts need a connection, evicts connections in favor of others, and
//! reclaims descriptors from clients. This module never opens a connection itself (`host_connections` does), and never
//! decides which host gets an attempt.

use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::conn::CloseReason;
use crate::net::hosts::{ConnectionId, ConnectionState};
use task_placer::descriptors::{ConnectPurpose, ConnectionPriority, SlotDecision};
use task_placer::{EndpointState, HostId, Micros};

/// How long an evicted connection is still read, so that messages already sent by the host are received.
const EVICTION_READ_TIME: Micros = 200 * MILLISECOND;

/// Whether a change of priorities counts as a use of the open connection to the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// The connection was just used for an attempt or its answer.
    JustUsed,
    /// The connection was not used.
    Unchanged,
}

impl Dispatch {
    /// Closes an evicted connection if its host has not closed it within `EVICTION_READ_TIME`.
    pub(super) fn close_evicted_connection(&self, host: &HostId, id: ConnectionId) {
        let link = self.hosts.get(host);
        if let Some(conn) = link.and_then(|link| link.open_connection(id)) {
            conn.close(CloseReason::Evicted);
        }
    }

    /// Returns the number of hosts that have not been removed, which may have connections.
    pub fn active_host_count(&self) -> usize {
        self.active_hosts
    }

    /// Recomputes how the descriptors are split between clients and hosts, and evicts connections that exceed the
    /// split.
    pub(super) fn split_descriptors(&mut self) {
        let quotas = self.clients.descriptor_quotas(self.active_hosts);
        self.connection_pool.set_capacity(quotas.hosts);
        self.evict_connections(self.clock.now());
    }

    /// Evicts idle client connections while clients and hosts together use more descriptors than their quotas allow.
    /// Idle clients may still hold descriptors from a time when fewer hosts were listed. These descriptors now belong
    /// to the hosts' quota, and connections to hosts would fail without them.
    pub(super) fn reclaim_descriptors(&mut self, now: Micros) {
        let quotas = self.clients.descriptor_quotas(self.active_hosts);
        let in_use = self.clients.live_connections() + self.connection_pool.slots_in_use();
        let surplus = in_use.saturating_sub(quotas.clients + quotas.hosts);
        self.clients.evict_idle(now, surplus);
    }

    /// Returns the purpose of a further connection to a host, or `None` if no further one is needed. If the settings
    /// put a price on connections, a connection is made only when the host is needed for something: otherwise hundreds
    /// of placers would connect to every host when they start, although each of them needs only a few.
    pub(super) fn connection_need(&self, host: &HostId) -> Option<ConnectPurpose> {
        if self.is_exiting {
            return None;
        }
        let link = self.hosts.get(host)?;
        let is_second = match &link.connection {
            ConnectionState::Connecting(_) => return None,
            ConnectionState::Connected(_) if !link.wants_second_connection() => return None,
            ConnectionState::Connected(_) => true,
            ConnectionState::Disconnected => false,
        };
        if !link.pending_attempts.is_empty() {
            Some(ConnectPurpose::SendAttempt)
        } else if link.state == EndpointState::Removed {
            None
        } else if is_second || self.has_unconfirmed_releases(host) {
            Some(ConnectPurpose::ReportRelease)
        } else if self.awaits_task_ends(host) {
            Some(ConnectPurpose::ReadTaskEnds)
        } else {
            (link.state == EndpointState::Up && self.preconnects).then_some(ConnectPurpose::Prewarm)
        }
    }

    /// Connects to a host as soon as a slot is available, if a connection is needed.
    pub(super) fn request_connection(&mut self, now: Micros, host: &HostId) {
        let Some(need) = self.connection_need(host) else {
            return;
        };
        if self.connection_pool.request_slot(now, host.clone(), need) == SlotDecision::Connect {
            self.connect(now, host);
        }
        self.evict_connections(now);
    }

    /// Connects again to a host after a failed connect. If no connection is needed any more, the recorded failures are
    /// cleared instead.
    pub(super) fn reconnect(&mut self, now: Micros, host: &HostId) {
        if self.connection_need(host).is_some() {
            return self.request_connection(now, host);
        }
        if let Some(link) = self.hosts.get_mut(host)
            && matches!(link.connection, ConnectionState::Disconnected)
        {
            link.connect_failures = 0;
            link.unreachable_since = None;
        }
    }

    /// Evicts connections whose slots are needed for requests of higher priority, and connects to the hosts that have
    /// been granted a slot.
    pub(super) fn evict_connections(&mut self, now: Micros) {
        while let Some((host, id)) = self.connection_pool.evict(now) {
            self.evict_connection(now, &host, id);
        }
        while let Some(host) = self.connection_pool.next_to_connect() {
            if self.connection_need(&host).is_some() {
                self.connect(now, &host);
            }
        }
    }

    /// Evicts one connection. A current connection is only shut down for writing and is read until the host closes it
    /// too, so that the end of a task that the host reports during the close is not lost.
    fn evict_connection(&mut self, now: Micros, host: &HostId, id: ConnectionId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.connection_id == id
            && let ConnectionState::Connected(conn) =
                std::mem::replace(&mut link.connection, ConnectionState::Disconnected)
        {
            conn.shutdown_write();
            link.last_closed_at = now;
            link.replaced.push((id, conn));
            let timer = TimerEvent::EvictionTimeout(host.clone(), id);
            self.add_timer(now + EVICTION_READ_TIME, timer);
        } else if let Some(conn) = link.open_connection(id) {
            conn.close(CloseReason::Evicted);
        }
    }

    /// Releases the slot of a connection whose descriptor has been closed.
    pub(super) fn release_slot(&mut self, host: &HostId, id: ConnectionId) {
        self.connection_pool.release(&(host.clone(), id));
        self.evict_connections(self.clock.now());
    }

    /// Updates the eviction priorities of the connections to a host in the connection pool.
    pub(super) fn update_priorities(&mut self, now: Micros, host: &HostId, usage: ConnectionUse) {
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        if let ConnectionState::Connected(_) = &link.connection {
            let priority = if self.has_attempt_in_flight_on(host, link.connection_id) {
                ConnectionPriority::Busy
            } else if self.awaits_task_ends(host) {
                ConnectionPriority::HasRunningTasks
            } else {
                ConnectionPriority::Idle
            };
            let used_at = (usage == ConnectionUse::JustUsed).then_some(now);
            let connection = (host.clone(), link.connection_id);
            self.connection_pool
                .set_priority(&connection, priority, used_at);
        }
        for (id, _) in &link.replaced {
            let priority = if self.has_attempt_in_flight_on(host, *id) {
                ConnectionPriority::Busy
            } else {
                ConnectionPriority::Replaced
            };
            self.connection_pool
                .set_priority(&(host.clone(), *id), priority, None);
        }
        if self.connection_pool.waiting_requests() > 0 {
            self.evict_connections(now);
        }
    }
}
