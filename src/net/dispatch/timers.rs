//! Owns the passing of time: what the wheel holds, what is done when it is due, and what is looked through again and
//! again. It never decides on a request itself: each timer names the function that does.

use super::requests::State;
use super::{Dispatch, MILLI};
use crate::net::codec::cause;
use crate::net::hosts::{DialError, Link, Phase, Round};
use task_placer::facade::Ticket;
use task_placer::health::Event;
use task_placer::operation::lifecycle;
use task_placer::{HostId, Micros, Outcome, OutcomeDetail};

/// How often connections are looked through.
pub(super) const SWEEP: Micros = 250 * MILLI;
/// How long the end of a task is remembered.
const ENDED: Micros = 10_000 * MILLI;

/// What the wheel holds.
pub(super) enum Due {
    Attempt(Ticket, u32),
    Doubt(Ticket, u32),
    /// An offer of which nothing has left yet.
    Unsent(Ticket, u32),
    Connect(HostId, Round),
    Redial(HostId, Round),
    Unreached(HostId, Micros),
    ReadOff(HostId, Round),
    Left(Ticket),
    Unlisted(Ticket),
    Sweep,
}

impl Dispatch {
    /// One turn of the wheel.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.watch(now, Event::LoopIteration);
        self.on_duty(now, lifecycle::Event::Tick);
        for host in std::mem::take(&mut self.clogged) {
            self.send_waiting(now, &host);
        }
        for due in self.wheel.due(now) {
            self.is_due(now, due);
        }
        let verdicts = self.facade.tick(now);
        self.carry_out(now, verdicts);
    }

    /// The time of a timer has come. What it was set for may be over by now: each looks whether it still holds.
    fn is_due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Attempt(ticket, attempt) => {
                let news = self.give_up(now, ticket, Some(attempt), Outcome::Timeout);
                news.into_iter().for_each(|news| self.tell(now, news));
            }
            Due::Doubt(ticket, attempt) => self.doubt_silent(now, ticket, attempt),
            Due::Unsent(ticket, attempt) => self.end_unsent(now, ticket, attempt),
            Due::Connect(host, round) => {
                if let Some(Link {
                    phase: Phase::Connecting(stop),
                    round: r,
                    ..
                }) = self.hosts.get(&host)
                    && *r == round
                {
                    let _ = stop.try_send(());
                    self.dial_failed(&host, round, DialError::TimedOut);
                }
            }
            Due::Redial(host, round) => {
                if self
                    .hosts
                    .get(&host)
                    .is_some_and(|link| link.round == round)
                {
                    self.redial(now, &host);
                }
            }
            Due::Unreached(host, since) => self.lose_unreached(now, &host, since),
            Due::ReadOff(host, round) => self.end_read_off(&host, round),
            Due::Left(ticket) => {
                if let Some(State::Leaving { .. }) = self.requests.get(&ticket).map(|r| &r.state) {
                    self.end_standing(now, ticket, cause::CANCELLED, OutcomeDetail::Unknown);
                }
            }
            Due::Unlisted(ticket) => self.end_unlisted(now, ticket),
            Due::Sweep => self.sweep(now),
        }
    }

    /// Looks through all connections, and forgets what has been kept for long enough.
    fn sweep(&mut self, now: Micros) {
        self.clients.sweep(now);
        self.sweep_links(now);
        self.gate.evict_overdue(now);
        self.orders.iter().for_each(|gate| gate.evict_overdue(now));
        self.look(now);
        self.log_overload(now);
        self.ended.retain(|_, ended| now - ended.since < ENDED);
        self.wheel.add(now + SWEEP, Due::Sweep);
    }
}
