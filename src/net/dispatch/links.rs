//! Owns the connections to hosts: how they are made, what their ends mean, and the list that names the hosts. It never
//! decides which host gets an offer, and makes no connection that `slots` has no slot for.

use super::requests::{Request, State};
use super::timers::Due;
use super::{Dispatch, MILLI};
use crate::net::codec::feed::Listed;
use crate::net::conn::{Conn, End, STUCK};
use crate::net::hosts::{self, DialError, Link, Phase, Round, Waiting};
use std::rc::Rc;
use std::time::Duration;
use task_placer::descriptors::ConnectPurpose;
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::{EndpointState, HostId, Micros, Outcome, OutcomeDetail};
use tracing::info;

/// How long half a line of a host may wait for its rest.
const HALF: Duration = Duration::from_millis(400);
/// How long a host must be out of reach until what stood there counts as lost.
const UNREACHED: Micros = 1_500 * MILLI;
/// And how long nothing may have been heard of it before. A machine that was cut off runs on and comes back,
/// one that has vanished does not, and from here they look alike; the list names what is gone. A task that
/// ended unheard is owed to its client within 8 s of its end (the protocol's figure), and what stands has not
/// ended before its host was last heard. The rest is for a tick and the way to the client.
const UNHEARD: Micros = 7_700 * MILLI;
/// Replaced connections to a host that are kept.
const MOST_DOUBTED: usize = 3;
/// How long a host at which tasks stand is left without a connection. It tells their ends on one only, and
/// they are owed to clients within 8 s (the protocol's figure): of these a visit may wait for a slot, and a
/// host that does not answer it is called until `UNREACHED` has passed.
const VISIT: Micros = 3_000 * MILLI;

impl Dispatch {
    /// How long until this placer's turn to call a host that did not answer, where turns are taken. Where tasks
    /// stand there, their ends are waited for, and the host is called no more seldom than without turns.
    fn turn_in(&self, now: Micros, host: &HostId) -> Micros {
        if self.at_hosts.standing(host).next().is_some() {
            return 0;
        }
        self.facade
            .overload()
            .and_then(|overload| overload.wait_for_turn(now, host))
            .unwrap_or(0)
    }

    // ---- The list ----

    /// News of the list. Tasks at what is gone, or at a process that started after them, are lost.
    pub fn listed(&mut self, whole: bool, hosts: Vec<Listed>) {
        let now = self.clock.now();
        self.watch(now, Event::DiscoveryUpdated);
        let (entries, recalled) = self.update_hosts(now, whole, hosts);
        // Of the others nothing is news.
        let named: Vec<HostId> = if whole {
            self.hosts.keys().cloned().collect()
        } else {
            entries.iter().map(|entry| entry.host.clone()).collect()
        };
        self.tell(
            now,
            PlacementEvent::EndpointsChanged {
                is_complete: whole,
                endpoints: entries,
            },
        );
        self.never_ran(now, recalled, Outcome::NotSent);
        let over = |host: HostId| {
            let link = self.hosts.get(&host)?;
            let gone = link.state == EndpointState::Removed;
            (gone || link.born > 0).then_some((host, if gone { Micros::MAX } else { link.born }))
        };
        let lost: Vec<(HostId, Micros)> = named.into_iter().filter_map(over).collect();
        for (host, before) in lost {
            self.lose(now, &host, before);
        }
    }

    /// Takes the list over: its entries, and the offers that had not left to hosts that are another process now,
    /// drain or are gone. Guards against offers that were decided for what a host was before.
    pub(super) fn update_hosts(
        &mut self,
        now: Micros,
        whole: bool,
        hosts: Vec<Listed>,
    ) -> (Vec<task_placer::Endpoint>, Vec<Waiting>) {
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
                self.in_use -= usize::from(link.state != EndpointState::Removed);
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
                .or_insert_with(|| Link::new(&listed));
            let Listed { entry, dial } = listed;
            self.in_use += usize::from(entry.state != EndpointState::Removed);
            self.in_use -= usize::from(before != EndpointState::Removed);
            if entry.state != EndpointState::Up || link.born != entry.started_at {
                recalled.append(&mut link.waiting);
            }
            (link.state, link.cell, link.born) = (entry.state, entry.cell, entry.started_at);
            link.zone = entry.zone;
            link.free = entry.free();
            if dial.is_some() && link.dial != dial {
                link.dial = dial;
                link.conns().for_each(|conn| conn.stop(End::HostGone));
                if link.hang_up() {
                    (link.failures, link.down_since) = (0, None);
                }
            }
            touched.push(entry.host.clone());
            entries.push(entry);
        }
        self.share_out();
        for host in &touched {
            let Some(link) = self.hosts.get_mut(host) else {
                continue;
            };
            if link.state == EndpointState::Removed {
                // A gone host's address may be a new host's: nothing more is to reach the old one there, nor on a
                // connection that comes up only now.
                link.conns().for_each(|conn| conn.stop(End::HostGone));
                link.hang_up();
                recalled.append(&mut link.waiting);
                self.pool.cancel_request(host);
            } else if matches!(link.phase, Phase::Down) && link.failures == 0 {
                self.call(now, host);
            }
        }
        (entries, recalled)
    }

    // ---- Connections ----

    /// Starts to connect, beside what is up, if anything is.
    pub(super) fn dial(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(address) = link.dial else { return };
        let Some(shared) = self.tasks.shared.upgrade() else {
            return;
        };
        let (stop, stopped) = async_channel::bounded(1);
        if let Phase::Up(conn) = std::mem::replace(&mut link.phase, Phase::Connecting(stop)) {
            link.doubted.push((link.round, conn));
        }
        link.doubt = false;
        link.round += 1;
        link.dialled = now;
        let round = link.round;
        self.pool.occupy(now, (host.clone(), round));
        self.reclaim(now);
        self.wheel.add(
            now + self.connect_timeout,
            Due::Connect(host.clone(), round),
        );
        self.tasks
            .spawn(hosts::serve(host.clone(), round, address, stopped, shared));
        self.settle(now, host, false);
    }

    /// The connection is up; false if it is not wanted any more.
    pub fn host_up(&mut self, host: &HostId, round: Round, conn: Rc<Conn>) -> bool {
        let now = self.clock.now();
        let Some(link) = self.hosts.get_mut(host) else {
            return false;
        };
        if link.round != round || !matches!(link.phase, Phase::Connecting(_)) {
            return false;
        }
        link.unsent.retain(|line| !conn.send(now, line));
        link.phase = Phase::Up(conn);
        (link.failures, link.down_since, link.heard) = (0, None, now);
        self.send_waiting(now, host);
        true
    }

    /// The connection was not made: what waited for it never ran.
    pub fn dial_failed(&mut self, host: &HostId, round: Round, why: DialError) {
        let now = self.clock.now();
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.round != round || !matches!(link.phase, Phase::Connecting(_)) {
            return;
        }
        link.phase = Phase::Down;
        let waiting = std::mem::take(&mut link.waiting);
        if link.state != EndpointState::Removed {
            let pause = link.pause();
            let pause = pause.max(self.turn_in(now, host));
            self.wheel
                .add(now + pause, Due::Redial(host.clone(), round));
        }
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if why == DialError::NoDescriptor {
            // Nothing of it is the host's.
            info!(peer = "host", host = &*host.0, connection = round, reason = %why, "connection ended");
            return self.never_ran(now, waiting, Outcome::NotSent);
        }
        link.refused = why == DialError::Refused;
        link.failures = link.failures.saturating_add(1);
        let down_since = *link.down_since.get_or_insert(now);
        let first = link.failures == 1;
        if first {
            info!(peer = "host", host = &*host.0, connection = round, reason = %why, "connection ended");
        }
        self.never_ran(now, waiting, Outcome::ConnectFailed);
        let Some(link) = self.hosts.get(host) else {
            return;
        };
        if link.heard <= link.dialled {
            // Nothing comes on what is open there. Guards against offers that wait there for an answer until
            // their clients give up: what may be repeated goes elsewhere at once.
            link.conns().for_each(|conn| conn.stop(End::Silent));
            if why == DialError::Refused {
                // Proof that the process is gone, and its tasks with it.
                self.lose(now, host, Micros::MAX);
            } else {
                self.lose_unreached(now, host, down_since);
            }
        }
        if first {
            self.doubt_cell(now, host);
        }
    }

    /// What stands at a host that is out of reach since then is lost once that has lasted.
    pub(super) fn lose_unreached(&mut self, now: Micros, host: &HostId, since: Micros) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if link.down_since != Some(since) {
            return;
        }
        let at = (since + UNREACHED).max(link.heard + UNHEARD);
        if now >= at {
            return self.lose(now, host, Micros::MAX);
        }
        if link.lost_at != Some(at) {
            link.lost_at = Some(at);
            self.wheel.add(at, Due::Unreached(host.clone(), since));
        }
    }

    /// Guards against machines of a cell that died together: where nothing is out on a connection its
    /// end may go unheard, and what stands there would be lost only when the feed tells.
    fn doubt_cell(&mut self, now: Micros, failed: &HostId) {
        let Some(cell) = self.hosts.get(failed).map(|link| link.cell) else {
            return;
        };
        let others = self
            .hosts
            .iter()
            .filter(|(host, link)| *host != failed && link.cell == cell);
        let others: Vec<HostId> = others.map(|(host, _)| host.clone()).collect();
        others.iter().for_each(|host| self.doubt(now, host));
    }

    /// Makes another connection beside the one that is up.
    pub(super) fn doubt(&mut self, now: Micros, host: &HostId) {
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        if let Phase::Up(_) = &link.phase {
            link.doubt = true;
            self.call(now, host);
        }
    }

    /// An offer is out and its host has said nothing since. Guards against a machine that vanished: its
    /// connection stays open and silent. Another is made beside it, so that later offers don't vanish
    /// too; where none comes up either, what stands there is lost. Offers stay out on the silent one.
    pub(super) fn doubt_silent(&mut self, now: Micros, ticket: Ticket, attempt: u32) {
        let Some(Request {
            state:
                State::Out {
                    attempt: n,
                    host,
                    since,
                    round,
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
        if *n == attempt && *round == Some(link.round) && link.heard < *since {
            self.doubt(now, &host);
        }
    }

    /// The connection has ended: what was offered on it may have run. What stands there still does.
    pub fn host_ended(&mut self, host: &HostId, round: Round, end: End) {
        let now = self.clock.now();
        let on = |ticket: &Ticket| {
            self.requests.get(ticket).and_then(|r| r.state.out_on()) == Some(round)
        };
        let cut: Vec<Ticket> = self.at_hosts.out(host).filter(on).collect();
        let out = cut.len();
        info!(peer = "host", host = &*host.0, connection = round, reason = %end, out, "connection ended");
        let Some(link) = self.hosts.get_mut(host) else {
            return;
        };
        let made_way = matches!(link.phase, Phase::Down);
        link.doubted.retain(|(r, _)| *r != round);
        if link.round == round {
            link.phase = Phase::Down;
            link.closed = now;
            if link.state == EndpointState::Removed {
                let waiting = std::mem::take(&mut link.waiting);
                self.never_ran(now, waiting, Outcome::ConnectFailed);
            } else if !made_way || self.need(host) >= Some(ConnectPurpose::ReportRelease) {
                self.call(now, host);
            }
        }
        for ticket in cut {
            let news = self.end_attempt(now, ticket, Outcome::Reset, OutcomeDetail::Unknown);
            news.into_iter().for_each(|news| self.tell(now, news));
        }
    }

    /// Ends connections that are stuck, and the oldest replaced ones on which no offer is out. The latest
    /// stay: the host may have words under way on them, and closes them itself when they idle. Then calls
    /// the hosts that have had no connection for a while: those where tasks stand, and the others while
    /// there is room.
    pub(super) fn sweep_links(&mut self, now: Micros) {
        // Guards against hosts that come and go all day.
        self.hosts.retain(|_, link| !link.over());
        for (host, link) in &self.hosts {
            // Guards also against an answer that stops short: nothing after it can be read.
            link.conns().for_each(|conn| {
                conn.end_if_stuck(now, STUCK);
                conn.end_if_half(HALF);
            });
            for (round, conn) in link.doubted.iter().rev().skip(MOST_DOUBTED) {
                let on = |ticket| {
                    self.requests
                        .get(&ticket)
                        .and_then(|r: &Request| r.state.out_on())
                };
                if !self
                    .at_hosts
                    .out(host)
                    .any(|ticket| on(ticket) == Some(*round))
                {
                    conn.stop(End::Replaced);
                }
            }
        }
        let down = |host: &HostId| {
            let link = self.hosts.get(host)?;
            (matches!(link.phase, Phase::Down) && link.failures == 0).then_some(link)
        };
        let unvisited = |host: &&HostId| down(host).is_some_and(|link| now - link.closed >= VISIT);
        let mut calls: Vec<HostId> = self.at_hosts.hosts().filter(unvisited).cloned().collect();
        if self.pool.has_spare_capacity() {
            calls.extend(
                self.hosts
                    .keys()
                    .filter(|host| down(host).is_some())
                    .cloned(),
            );
        }
        calls.iter().for_each(|host| self.call(now, host));
        self.make_way(now);
    }
}
