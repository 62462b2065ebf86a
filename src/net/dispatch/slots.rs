//! Owns who gets a slot: for which hosts a connection is wanted, which one makes way for another, and what the clients
//! give back for it. It never makes a connection itself (`links` does), and never decides what is offered.

use super::timers::Due;
use super::{Dispatch, MILLI};
use crate::net::conn::End;
use crate::net::hosts::{Phase, Round};
use task_placer::descriptors::{ConnectPurpose, ConnectionPriority, SlotDecision};
use task_placer::facade::Ticket;
use task_placer::{EndpointState, HostId, Micros};

/// How long what a host still says is read on a connection that makes way.
const READ_OFF: Micros = 200 * MILLI;

impl Dispatch {
    /// The host has not closed in time.
    pub(super) fn end_read_off(&self, host: &HostId, round: Round) {
        if let Some(conn) = self.hosts.get(host).and_then(|link| link.open(round)) {
            conn.stop(End::Shed);
        }
    }

    /// Hosts that may have connections.
    pub fn hosts_in_use(&self) -> usize {
        self.in_use
    }

    /// Shares the descriptors out anew.
    pub(super) fn share_out(&mut self) {
        self.pool
            .set_capacity(self.clients.shares(self.in_use).hosts);
        self.make_way(self.clock.now());
    }

    /// Takes back from clients what hosts need now. Guards against idle clients that hold, from the time when few
    /// hosts were listed, the descriptors which are the hosts' by now: calls to these would fail.
    pub(super) fn reclaim(&mut self, now: Micros) {
        let shares = self.clients.shares(self.in_use);
        let held = self.clients.live() + self.pool.slots_in_use();
        self.clients
            .shed(now, held.saturating_sub(shares.clients + shares.hosts));
    }

    /// What a connection to a host is wanted for, if one more is. Guards against hundreds of placers that
    /// call every host at their start, when each needs a few: where the settings price connections, a host
    /// is called when something is wanted of it.
    pub(super) fn need(&self, host: &HostId) -> Option<ConnectPurpose> {
        let link = self.hosts.get(host)?;
        let beside = match &link.phase {
            Phase::Connecting(_) => return None,
            Phase::Up(_) if !link.doubt => return None,
            Phase::Up(_) => true,
            Phase::Down => false,
        };
        if !link.waiting.is_empty() {
            Some(ConnectPurpose::SendAttempt)
        } else if link.state == EndpointState::Removed {
            None
        } else if !link.unsent.is_empty() || beside {
            Some(ConnectPurpose::ReportRelease)
        } else if self.at_hosts.standing(host).next().is_some() {
            Some(ConnectPurpose::ReadTaskEnds)
        } else {
            (link.state == EndpointState::Up && self.warm).then_some(ConnectPurpose::Prewarm)
        }
    }

    /// Calls a host, if a connection is wanted, as soon as there is a slot for it.
    pub(super) fn call(&mut self, now: Micros, host: &HostId) {
        let Some(want) = self.need(host) else { return };
        if self.pool.request_slot(now, host.clone(), want) == SlotDecision::Connect {
            self.dial(now, host);
        }
        self.make_way(now);
    }

    /// Calls a host again that did not answer. Where nothing is wanted of it any more, what was found out
    /// about it is forgotten.
    pub(super) fn redial(&mut self, now: Micros, host: &HostId) {
        if self.need(host).is_some() {
            return self.call(now, host);
        }
        if let Some(link) = self
            .hosts
            .get_mut(host)
            .filter(|link| matches!(link.phase, Phase::Down))
        {
            (link.failures, link.down_since) = (0, None);
        }
    }

    /// Closes connections that others need more, and calls what has a slot now.
    pub(super) fn make_way(&mut self, now: Micros) {
        while let Some((host, round)) = self.pool.evict(now) {
            let Some(link) = self.hosts.get_mut(&host) else {
                continue;
            };
            // Guards against the end of a task that the host says while we close: our side ends, and what it
            // still has to say is read until it closes, too.
            if link.round == round
                && let Phase::Up(conn) = std::mem::replace(&mut link.phase, Phase::Down)
            {
                conn.finish();
                link.closed = now;
                link.doubted.push((round, conn));
                self.wheel
                    .add(now + READ_OFF, Due::ReadOff(host.clone(), round));
            } else if let Some(conn) = link.open(round) {
                conn.stop(End::Shed);
            }
        }
        while let Some(host) = self.pool.next_to_connect() {
            if self.need(&host).is_some() {
                self.dial(now, &host);
            }
        }
    }

    /// The descriptor of a connection has been given back.
    pub fn slot_freed(&mut self, host: &HostId, round: Round) {
        self.pool.release(&(host.clone(), round));
        self.make_way(self.clock.now());
    }

    /// Tells the pool what the connections to a host are needed for, `used` where one just was.
    pub(super) fn settle(&mut self, now: Micros, host: &HostId, used: bool) {
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        let out_on = |round| {
            let on = |ticket: Ticket| self.requests.get(&ticket).and_then(|r| r.state.out_on());
            self.at_hosts
                .out(host)
                .any(|ticket| on(ticket) == Some(round))
        };
        if let Phase::Up(_) = &link.phase {
            let rank = if out_on(link.round) {
                ConnectionPriority::Busy
            } else if self.at_hosts.standing(host).next().is_some() {
                ConnectionPriority::HasRunningTasks
            } else {
                ConnectionPriority::Idle
            };
            self.pool
                .set_priority(&(host.clone(), link.round), rank, used.then_some(now));
        }
        for (round, _) in &link.doubted {
            let rank = if out_on(*round) {
                ConnectionPriority::Busy
            } else {
                ConnectionPriority::Replaced
            };
            self.pool.set_priority(&(host.clone(), *round), rank, None);
        }
        if self.pool.waiting_requests() > 0 {
            self.make_way(now);
        }
    }
}
