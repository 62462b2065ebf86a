//! Owns the passing of time: fires the timers of the wheel and sweeps connections at a fixed interval. It never decides
//! on a request itself: each timer names the function that does.

use super::request::RequestState;
use super::timer_event::{SWEEP_INTERVAL, TimerEvent};
use super::{Dispatch, MILLISECOND};
use crate::net::codec::Cause;
use crate::net::hosts::{ConnectError, ConnectionId, ConnectionState, HostEvents, HostLink};
use task_placer::facade::Ticket;
use task_placer::health::Event;
use task_placer::operation::lifecycle;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

/// How long the end of a task is remembered.
const ENDED_TASK_RETENTION: Micros = 10_000 * MILLISECOND;

impl Dispatch {
    /// Advances the wheel by one tick.
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
        self.close_resting_clients(now);
        let decisions = self.facade.tick(now);
        self.apply_decisions(now, decisions);
    }

    /// Handles a timer whose time has come, if what it was set for still holds.
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
            TimerEvent::Sweep => self.sweep(now),
        }
    }

    /// Stops a connection attempt that has had its time.
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

    /// Ends a task whose host has not confirmed its release in time.
    fn end_unconfirmed_release(&mut self, now: Micros, ticket: Ticket) {
        let state = self.requests.get(&ticket).map(|request| &request.state);
        if let Some(RequestState::Releasing { .. }) = state {
            self.end_running_task(now, ticket, Cause::CANCELLED, OutcomeDetail::Unknown);
        }
    }

    /// Sweeps all connections, and forgets ended tasks after their retention.
    fn sweep(&mut self, now: Micros) {
        self.clients.sweep(now);
        self.sweep_host_connections(now);
        self.balancer_connections.evict_overdue(now);
        for limiter in &self.operator_connections {
            limiter.evict_overdue(now);
        }
        self.update_health(now);
        self.log_overload(now);
        self.ended_tasks
            .retain(|_, ended| now - ended.ended_at < ENDED_TASK_RETENTION);
        self.timer_wheel
            .add(now + SWEEP_INTERVAL, TimerEvent::Sweep);
    }
}
