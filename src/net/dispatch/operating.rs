//! Owns what operators ask of this process: whether it serves, what it has in hand, their orders, and to be emptied. It
//! never ends the process: `shutdown` does.

use super::Dispatch;
use super::requests::Request;
use crate::ctl;
use crate::net::health::watch::{Refused, Watch};
use simd_json::OwnedValue;
use task_placer::Micros;
use task_placer::operation::lifecycle::{Effect, Event};
use tracing::info;

impl Dispatch {
    /// Whether this process takes requests: what every test is told.
    pub fn serves(&self) -> bool {
        self.listens
            && !self.ends()
            && self.duty.serves()
            && self.watch.as_ref().is_none_or(Watch::serves)
    }

    /// Whether this process has been told to end.
    pub fn ends(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Closes connections that carry no task for as long as balancers' drain or maintenance or this duty wants it.
    pub(super) fn close_idle(&mut self) {
        self.clients
            .close_idle(self.closes_idle || self.duty.empties());
    }

    /// Whether clients' tests pass: the placer serves, if not this process.
    pub fn placer_serves(&self) -> bool {
        self.duty.leaves() || self.serves()
    }

    /// Whether this process takes connections that wait to be accepted.
    pub fn accepts(&self) -> bool {
        !self.duty.leaves()
    }

    /// Another process of this placer lives, which was there `first` or came later: they count as one, and share
    /// what one may hold and do.
    pub fn met(&mut self, first: bool) {
        let now = self.clock.now();
        let share = self.company.met(first);
        let verdicts = self.facade.share(now, share);
        self.carry_out(now, verdicts);
        self.share_limits();
    }

    /// One of them has ended.
    pub fn left(&mut self) {
        self.company.left(self.clock.now());
        self.share_limits();
    }

    fn share_limits(&mut self) {
        info!(others = self.company.others(), "processes of this placer");
        self.limit(self.limits);
    }

    /// Requests taken whose answer is owed.
    pub fn owed(&self) -> usize {
        self.requests
            .values()
            .filter(|r: &&Request| r.awaits_answer())
            .count()
    }

    /// Requests taken that have not ended: those that wait for their answer, and tasks that stand.
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    /// Listed hosts that get no offers now.
    pub fn hosts_avoided(&self) -> usize {
        self.facade.avoided()
    }

    /// An order of an operator: what to answer.
    pub fn ordered(&mut self, order: ctl::Order) -> Result<OwnedValue, String> {
        use task_placer::health::Order;
        let (now, hand) = (self.clock.now(), self.hand());
        let order = match order {
            ctl::Order::Overload => return self.tell_overload(now),
            ctl::Order::State => None,
            ctl::Order::Drain => Some(Order::Drain),
            ctl::Order::Ready => Some(Order::Ready),
            ctl::Order::Maint => Some(Order::Maint),
        };
        let watch = self.watch.as_mut().ok_or("nothing is watched here")?;
        if let Some(order) = order {
            info!(?order, "ordered");
            let tasks = watch
                .order(now, order)
                .map_err(|Refused(why)| why.to_string())?;
            self.follow(now, tasks);
        }
        let watch = self.watch.as_mut().ok_or("nothing is watched here")?;
        Ok(watch.state(now, hand))
    }

    /// Something has happened that concerns whether this process takes requests.
    pub fn on_duty(&mut self, now: Micros, event: Event) {
        let before = self.duty.phase();
        match self.duty.handle(now, event) {
            Some(Effect::Empty(_)) => self.close_idle(),
            Some(Effect::Leave(within)) => {
                self.close_idle();
                self.close_down(now, within);
            }
            None => {}
        }
        if self.duty.phase() != before {
            info!(phase = self.duty.phase().as_str(), "duty");
        }
        if self.duty.empties() {
            self.clients.close_spare(now);
        }
        if let Some(share) = self.company.look(now) {
            let verdicts = self.facade.share(now, share);
            self.carry_out(now, verdicts);
        }
    }
}
