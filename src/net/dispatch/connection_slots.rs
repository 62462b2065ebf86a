//! Owns who gets a slot: for which hosts a connection is wanted, which one makes way for another, and what the clients
//! give back for it. It never makes a connection itself (`links` does), and never decides what is offered.

use super::timers::TimerEvent;
use super::{Dispatch, MILLI};
use crate::net::conn::CloseReason;
use crate::net::hosts::{ConnectionId, ConnectionState};
use task_placer::descriptors::{Answer, Rank, Want};
use task_placer::facade::Ticket;
use task_placer::{EndpointState, HostId, Micros};

/// How long what a host still says is read on a connection that makes way.
const DRAIN_READ_TIME: Micros = 200 * MILLI;

impl Dispatch {
    /// The host has not closed in time.
    pub(super) fn end_drained_connection(&self, host: &HostId, connection_id: ConnectionId) {
        if let Some(conn) = self
            .hosts
            .get(host)
            .and_then(|link| link.open_connection(connection_id))
        {
            conn.stop(CloseReason::Evicted);
        }
    }

    /// Hosts that may have connections.
    pub fn active_host_count(&self) -> usize {
        self.active_hosts
    }

    /// Shares the descriptors out anew.
    pub(super) fn split_descriptors(&mut self) {
        self.connection_pool
            .resize(self.clients.shares(self.active_hosts).hosts);
        self.evict_connections(self.clock.now());
    }

    /// Takes back from clients what hosts need now. Guards against idle clients that hold, from the time when few
    /// hosts were listed, the descriptors which are the hosts' by now: calls to these would fail.
    pub(super) fn reclaim_descriptors(&mut self, now: Micros) {
        let shares = self.clients.shares(self.active_hosts);
        let held = self.clients.live() + self.connection_pool.held();
        self.clients
            .shed(now, held.saturating_sub(shares.clients + shares.hosts));
    }

    /// What a connection to a host is wanted for, if one more is. Guards against hundreds of placers that
    /// call every host at their start, when each needs a few: where the settings price connections, a host
    /// is called when something is wanted of it.
    pub(super) fn connection_need(&self, host: &HostId) -> Option<Want> {
        let link = self.hosts.get(host)?;
        let beside = match &link.connection {
            ConnectionState::Connecting(_) => return None,
            ConnectionState::Connected(_) if !link.is_suspect => return None,
            ConnectionState::Connected(_) => true,
            ConnectionState::Disconnected => false,
        };
        if !link.pending_attempts.is_empty() {
            Some(Want::Offer)
        } else if link.state == EndpointState::Removed {
            None
        } else if !link.unsent_releases.is_empty() || beside {
            Some(Want::Release)
        } else if self.request_index.running(host).next().is_some() {
            Some(Want::Visit)
        } else {
            (link.state == EndpointState::Up && self.preconnects).then_some(Want::Warm)
        }
    }

    /// Calls a host, if a connection is wanted, as soon as there is a slot for it.
    pub(super) fn request_connection(&mut self, now: Micros, host: &HostId) {
        let Some(want) = self.connection_need(host) else {
            return;
        };
        if self.connection_pool.ask(now, host.clone(), want) == Answer::Call {
            self.connect(now, host);
        }
        self.evict_connections(now);
    }

    /// Calls a host again that did not answer. Where nothing is wanted of it any more, what was found out
    /// about it is forgotten.
    pub(super) fn reconnect(&mut self, now: Micros, host: &HostId) {
        if self.connection_need(host).is_some() {
            return self.request_connection(now, host);
        }
        if let Some(link) = self
            .hosts
            .get_mut(host)
            .filter(|link| matches!(link.connection, ConnectionState::Disconnected))
        {
            (link.connect_failures, link.unreachable_since) = (0, None);
        }
    }

    /// Closes connections that others need more, and calls what has a slot now.
    pub(super) fn evict_connections(&mut self, now: Micros) {
        while let Some((host, connection_id)) = self.connection_pool.make_way(now) {
            let Some(link) = self.hosts.get_mut(&host) else {
                continue;
            };
            // Guards against the end of a task that the host says while we close: our side ends, and what it
            // still has to say is read until it closes, too.
            if link.connection_id == connection_id
                && let ConnectionState::Connected(conn) =
                    std::mem::replace(&mut link.connection, ConnectionState::Disconnected)
            {
                conn.finish();
                link.last_closed_at = now;
                link.replaced.push((connection_id, conn));
                self.wheel.add(
                    now + DRAIN_READ_TIME,
                    TimerEvent::DrainReadTimeout(host.clone(), connection_id),
                );
            } else if let Some(conn) = link.open_connection(connection_id) {
                conn.stop(CloseReason::Evicted);
            }
        }
        while let Some(host) = self.connection_pool.call_next() {
            if self.connection_need(&host).is_some() {
                self.connect(now, &host);
            }
        }
    }

    /// The descriptor of a connection has been given back.
    pub fn host_slot_freed(&mut self, host: &HostId, connection_id: ConnectionId) {
        self.connection_pool.freed(&(host.clone(), connection_id));
        self.evict_connections(self.clock.now());
    }

    /// Tells the pool what the connections to a host are needed for, `used` where one just was.
    pub(super) fn update_ranks(&mut self, now: Micros, host: &HostId, used: bool) {
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        let out_on = |connection_id| {
            let on = |ticket: Ticket| self.requests.get(&ticket).and_then(|r| r.state.out_on());
            self.request_index
                .in_flight(host)
                .any(|ticket| on(ticket) == Some(connection_id))
        };
        if let ConnectionState::Connected(_) = &link.connection {
            let rank = if out_on(link.connection_id) {
                Rank::Busy
            } else if self.request_index.running(host).next().is_some() {
                Rank::Stands
            } else {
                Rank::Idle
            };
            self.connection_pool.rank(
                &(host.clone(), link.connection_id),
                rank,
                used.then_some(now),
            );
        }
        for (connection_id, _) in &link.replaced {
            let rank = if out_on(*connection_id) {
                Rank::Busy
            } else {
                Rank::Spare
            };
            self.connection_pool
                .rank(&(host.clone(), *connection_id), rank, None);
        }
        if self.connection_pool.waiting() > 0 {
            self.evict_connections(now);
        }
    }
}
