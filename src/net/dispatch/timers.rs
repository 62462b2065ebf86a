//! Handles ticks: fires due timers of the timer wheel, and sweeps connections at a fixed interval. This module never
//! decides on a request itself: each timer event is passed to the function that does.

use super::Dispatch;
use super::timer_event::{SWEEP_INTERVAL, TimerEvent};
use crate::net::hosts::{ConnectError, ConnectionId, ConnectionState, HostEvents, HostLink};
use task_placer::health::Event;
use task_placer::operation::lifecycle;
use task_placer::{HostId, Micros, Outcome};

/// The number of timers up to which those without effect are kept until they are due.
pub(super) const MIN_TIMERS_TO_COMPACT: usize = 4_096;

impl Dispatch {
    /// Handles one tick of the event loop: retries pending attempts, fires due timers, and applies the decisions of the
    /// decision module.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.loop_lag.tick(now);
        self.record_health_event(now, Event::LoopIteration);
        self.handle_lifecycle_event(now, lifecycle::Event::Tick);
        for host in std::mem::take(&mut self.backlogged_hosts) {
            self.send_pending_attempts(now, &host);
        }
        for timer in self.timer_wheel.due(now) {
            self.fire_timer(now, timer);
        }
        self.clients.resend_task_ends(now);
        self.claim_waiting_ends(now);
        self.announce_task_ends();
        self.close_quiescent_clients(now);
        self.close_retired_clients(now);
        self.enforce_fair_shares(now);
        let decisions = self.facade.tick(now);
        self.apply_decisions(now, decisions);
    }

    /// Adds a timer. Timers of requests that are over are discarded once they are the greater part, so that a client
    /// that ends ever new requests does not fill the memory with timers.
    pub(super) fn add_timer(&mut self, at: Micros, event: TimerEvent) {
        self.timer_wheel.add(at, event);
        if self.timer_wheel.len() >= self.timer_compaction_at {
            let requests = &self.requests;
            self.timer_wheel.retain(|event| {
                let ticket = event.ticket();
                ticket.is_none_or(|ticket| requests.contains_key(&ticket))
            });
            self.timer_compaction_at = (2 * self.timer_wheel.len()).max(MIN_TIMERS_TO_COMPACT);
        }
    }

    /// Handles a due timer, if the situation for which it was set still exists.
    fn fire_timer(&mut self, now: Micros, timer: TimerEvent) {
        match timer {
            TimerEvent::AttemptTimeout(ticket, attempt) => {
                let event = self.abandon_attempt(now, ticket, Some(attempt), Outcome::Timeout);
                self.report_optional_event(now, event);
            }
            TimerEvent::SilenceCheck(ticket, attempt) => {
                self.suspect_silent_host(now, ticket, attempt);
            }
            TimerEvent::UnsentTimeout(ticket, attempt) => {
                self.end_unsent_attempt(now, ticket, attempt);
            }
            TimerEvent::ConnectTimeout(host, id) => self.end_slow_connect(&host, id),
            TimerEvent::Reconnect(host, id) => {
                let link = self.hosts.get(&host);
                if link.is_some_and(|link| link.connection_id == id) {
                    self.reconnect(now, &host);
                }
            }
            TimerEvent::HostUnreachable(host, since) => {
                self.end_unreachable_tasks(now, &host, since);
            }
            TimerEvent::EvictionTimeout(host, id) => self.close_evicted_connection(&host, id),
            TimerEvent::ReleaseCheck(ticket) => self.resend_unconfirmed_release(now, ticket),
            TimerEvent::ReleaseTimeout(ticket) => self.end_unconfirmed_release(now, ticket),
            TimerEvent::UnknownHostTimeout(ticket) => self.end_task_at_unknown_host(now, ticket),
            TimerEvent::RepeatedEnds(host) => self.reconnect_for_repeated_ends(now, &host),
            TimerEvent::Sweep => self.sweep(now),
        }
    }

    /// Aborts a connect that has reached its timeout, and handles it as failed.
    fn end_slow_connect(&mut self, host: &HostId, id: ConnectionId) {
        if let Some(HostLink {
            connection: ConnectionState::Connecting(stop),
            connection_id,
            ..
        }) = self.hosts.get(host)
            && *connection_id == id
        {
            let _ = stop.try_send(());
            self.host_connect_failed(host, id, ConnectError::TimedOut);
        }
    }

    /// Sweeps all connections, updates the health engine, logs overload control, and forgets ended tasks whose
    /// retention time is over.
    fn sweep(&mut self, now: Micros) {
        self.clients.sweep(now);
        self.check_peers(now);
        self.sweep_host_connections(now);
        self.balancer_connections.evict_overdue(now);
        for limiter in &self.operator_connections {
            limiter.evict_overdue(now);
        }
        self.update_health(now);
        self.log_overload(now);
        self.ended_tasks.expire(now);
        self.tried_by_peers.expire(now);
        self.add_timer(now + SWEEP_INTERVAL, TimerEvent::Sweep);
    }
}
