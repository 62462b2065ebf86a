//! Owns who gets a connection slot: for which hosts a connection is needed, which one is evicted for another, and what
//! clients give back for it. It never makes a connection itself (`host_connections` does), and never decides which host
//! gets an attempt.

use super::timer_event::TimerEvent;
use super::{Dispatch, MILLISECOND};
use crate::net::conn::CloseReason;
use crate::net::hosts::{ConnectionId, ConnectionState};
use task_placer::descriptors::{ConnectPurpose, ConnectionPriority, SlotDecision};
use task_placer::{EndpointState, HostId, Micros};

/// How long what a host still sends is read on an evicted connection.
const EVICTION_READ_TIME: Micros = 200 * MILLISECOND;

/// Whether the open connection to a host was just used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// It was used for what it is needed for.
    JustUsed,
    /// It was not.
    Unchanged,
}

impl Dispatch {
    /// Closes an evicted connection that its host has not closed in time.
    pub(super) fn close_evicted_connection(&self, host: &HostId, id: ConnectionId) {
        let link = self.hosts.get(host);
        if let Some(conn) = link.and_then(|link| link.open_connection(id)) {
            conn.close(CloseReason::Evicted);
        }
    }

    /// Returns the number of hosts that may have connections.
    pub fn active_host_count(&self) -> usize {
        self.active_hosts
    }

    /// Splits the descriptors anew between clients and hosts.
    pub(super) fn split_descriptors(&mut self) {
        let quotas = self.clients.descriptor_quotas(self.active_hosts);
        self.connection_pool.set_capacity(quotas.hosts);
        self.evict_connections(self.clock.now());
    }

    /// Takes back from clients what hosts need now. Guards against idle clients that hold, from the time when few hosts
    /// were listed, the descriptors which are the hosts' by now: connections to these would fail.
    pub(super) fn reclaim_descriptors(&mut self, now: Micros) {
        let quotas = self.clients.descriptor_quotas(self.active_hosts);
        let in_use = self.clients.live_connections() + self.connection_pool.slots_in_use();
        let surplus = in_use.saturating_sub(quotas.clients + quotas.hosts);
        self.clients.evict_idle(now, surplus);
    }

    /// Returns what a connection to a host is needed for, if one more is needed. Guards against hundreds of placers that
    /// connect to every host at their start, when each needs a few: where the settings price connections, one is made
    /// when something is needed of the host.
    pub(super) fn connection_need(&self, host: &HostId) -> Option<ConnectPurpose> {
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
        } else if self.request_index.has_running_tasks(host) {
            Some(ConnectPurpose::ReadTaskEnds)
        } else {
            (link.state == EndpointState::Up && self.preconnects).then_some(ConnectPurpose::Prewarm)
        }
    }

    /// Connects to a host, if a connection is needed, as soon as there is a slot for it.
    pub(super) fn request_connection(&mut self, now: Micros, host: &HostId) {
        let Some(need) = self.connection_need(host) else {
            return;
        };
        if self.connection_pool.request_slot(now, host.clone(), need) == SlotDecision::Connect {
            self.connect(now, host);
        }
        self.evict_connections(now);
    }

    /// Connects again to a host that did not answer. Where nothing is needed of it any more, its failures are forgotten.
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

    /// Evicts connections whose slots are needed more elsewhere, and connects to the hosts that have a slot now.
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

    /// Evicts one connection. Guards against the end of a task that the host reports while we close: our side ends, and
    /// what the host still sends is read until it closes, too.
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
            self.timer_wheel.add(now + EVICTION_READ_TIME, timer);
        } else if let Some(conn) = link.open_connection(id) {
            conn.close(CloseReason::Evicted);
        }
    }

    /// Takes back the slot of a connection whose descriptor has been closed.
    pub(super) fn release_slot(&mut self, host: &HostId, id: ConnectionId) {
        self.connection_pool.release(&(host.clone(), id));
        self.evict_connections(self.clock.now());
    }

    /// Updates in the pool what the connections to a host are needed for.
    pub(super) fn update_priorities(&mut self, now: Micros, host: &HostId, usage: ConnectionUse) {
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        if let ConnectionState::Connected(_) = &link.connection {
            let rank = if self.has_attempt_in_flight_on(host, link.connection_id) {
                ConnectionPriority::Busy
            } else if self.request_index.has_running_tasks(host) {
                ConnectionPriority::HasRunningTasks
            } else {
                ConnectionPriority::Idle
            };
            let used_at = (usage == ConnectionUse::JustUsed).then_some(now);
            let connection = (host.clone(), link.connection_id);
            self.connection_pool
                .set_priority(&connection, rank, used_at);
        }
        for (id, _) in &link.replaced {
            let rank = if self.has_attempt_in_flight_on(host, *id) {
                ConnectionPriority::Busy
            } else {
                ConnectionPriority::Replaced
            };
            self.connection_pool
                .set_priority(&(host.clone(), *id), rank, None);
        }
        if self.connection_pool.waiting_requests() > 0 {
            self.evict_connections(now);
        }
    }
}
