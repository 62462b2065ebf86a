//! Owns the passing of time: what the wheel holds, what is done when it is due, and what is looked through again and
//! again. It never decides on a request itself: each timer names the function that does.

use super::requests::RequestState;
use super::{Dispatch, MILLI};
use crate::net::codec::cause;
use crate::net::hosts::{ConnectError, ConnectionId, ConnectionState, HostLink};
use task_placer::facade::Ticket;
use task_placer::health::Event;
use task_placer::operation::duty;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

/// How often connections are looked through.
pub(super) const SWEEP: Micros = 250 * MILLI;
/// How long the end of a task is remembered.
const ENDED: Micros = 10_000 * MILLI;

/// What the wheel holds.
pub(super) enum TimerEvent {
    AttemptTimeout(Ticket, u32),
    SilenceCheck(Ticket, u32),
    /// An offer of which nothing has left yet.
    UnsentTimeout(Ticket, u32),
    ConnectTimeout(HostId, ConnectionId),
    Reconnect(HostId, ConnectionId),
    HostUnreachable(HostId, Micros),
    DrainReadTimeout(HostId, ConnectionId),
    ReleaseTimeout(Ticket),
    UnknownHostTimeout(Ticket),
    Sweep,
}

impl Dispatch {
    /// One turn of the wheel.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.record_health_event(now, Event::Turn);
        self.handle_lifecycle_event(now, duty::Event::Look);
        for host in std::mem::take(&mut self.backlogged_hosts) {
            self.send_pending_attempts(now, &host);
        }
        for due in self.wheel.due(now) {
            self.fire_timer(now, due);
        }
        let decisions = self.facade.tick(now);
        self.apply_decisions(now, decisions);
    }

    /// The time of a timer has come. What it was set for may be over by now: each looks whether it still holds.
    fn fire_timer(&mut self, now: Micros, due: TimerEvent) {
        match due {
            TimerEvent::AttemptTimeout(ticket, attempt) => {
                let event = self.abandon_attempt(now, ticket, Some(attempt), Outcome::Timeout);
                event
                    .into_iter()
                    .for_each(|event| self.report_event(now, event));
            }
            TimerEvent::SilenceCheck(ticket, attempt) => {
                self.suspect_silent_host(now, ticket, attempt)
            }
            TimerEvent::UnsentTimeout(ticket, attempt) => {
                self.end_unsent_attempt(now, ticket, attempt)
            }
            TimerEvent::ConnectTimeout(host, connection_id) => {
                if let Some(HostLink {
                    connection: ConnectionState::Connecting(stop),
                    connection_id: r,
                    ..
                }) = self.hosts.get(&host)
                    && *r == connection_id
                {
                    let _ = stop.try_send(());
                    self.host_connect_failed(&host, connection_id, ConnectError::TimedOut);
                }
            }
            TimerEvent::Reconnect(host, connection_id) => {
                if self
                    .hosts
                    .get(&host)
                    .is_some_and(|link| link.connection_id == connection_id)
                {
                    self.reconnect(now, &host);
                }
            }
            TimerEvent::HostUnreachable(host, since) => {
                self.end_unreachable_tasks(now, &host, since)
            }
            TimerEvent::DrainReadTimeout(host, connection_id) => {
                self.end_drained_connection(&host, connection_id)
            }
            TimerEvent::ReleaseTimeout(ticket) => {
                if let Some(RequestState::Releasing { .. }) =
                    self.requests.get(&ticket).map(|r| &r.state)
                {
                    self.end_running_task(now, ticket, cause::CANCELLED, OutcomeDetail::Unknown);
                }
            }
            TimerEvent::UnknownHostTimeout(ticket) => self.end_task_at_unknown_host(now, ticket),
            TimerEvent::Sweep => self.sweep(now),
        }
    }

    /// Looks through all connections, and forgets what has been kept for long enough.
    fn sweep(&mut self, now: Micros) {
        self.clients.sweep(now);
        self.sweep_host_connections(now);
        self.gate.sweep(now);
        self.orders.iter().for_each(|gate| gate.sweep(now));
        self.update_health(now);
        self.log_overload(now);
        self.ended_tasks
            .retain(|_, ended| now - ended.since < ENDED);
        self.wheel.add(now + SWEEP, TimerEvent::Sweep);
    }
}
