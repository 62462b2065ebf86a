//! Owns what operators ask of this process: whether it serves, what it has in hand, their orders, and to be emptied. It
//! never ends the process: `shutdown` does.

use super::Dispatch;
use super::requests::Request;
use crate::ctl;
use crate::net::health::watch::{Refused, Watch};
use simd_json::OwnedValue;
use task_placer::Micros;
use task_placer::operation::duty::{Effect, Event};
use tracing::info;

impl Dispatch {
    /// Whether this process takes requests: what every test is told.
    pub fn serves(&self) -> bool {
        self.is_listening
            && !self.ends()
            && self.lifecycle.serves()
            && self.watch.as_ref().is_none_or(Watch::serves)
    }

    /// Whether this process has been told to end.
    pub fn ends(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Closes connections that carry no task for as long as balancers' drain or maintenance or this duty wants it.
    pub(super) fn close_idle(&mut self) {
        self.clients
            .close_idle(self.closes_idle_clients || self.lifecycle.empties());
    }

    /// Whether clients' tests pass: the placer serves, if not this process.
    pub fn placer_serves(&self) -> bool {
        self.lifecycle.leaves() || self.serves()
    }

    /// Whether this process takes connections that wait to be accepted.
    pub fn accepts(&self) -> bool {
        !self.lifecycle.leaves()
    }

    /// Another process of this placer lives, which was there `first` or came later: they count as one, and share
    /// what one may hold and do.
    pub fn peer_joined(&mut self, first: bool) {
        let now = self.clock.now();
        let share = self.process_group.met(first);
        let decisions = self.facade.set_share(now, share);
        self.apply_decisions(now, decisions);
        self.apply_shared_limits();
    }

    /// One of them has ended.
    pub fn peer_exited(&mut self) {
        self.process_group.left(self.clock.now());
        self.apply_shared_limits();
    }

    fn apply_shared_limits(&mut self) {
        info!(
            others = self.process_group.others(),
            "processes of this placer"
        );
        self.limit(self.limits);
    }

    /// Requests taken whose answer is owed.
    pub fn pending_responses(&self) -> usize {
        self.requests
            .values()
            .filter(|r: &&Request| r.awaits_response())
            .count()
    }

    /// Requests taken that have not ended: those that wait for their answer, and tasks that stand.
    pub fn unfinished_requests(&self) -> usize {
        self.requests.len()
    }

    /// DiscoveredEndpoint hosts that get no offers now.
    pub fn unavailable_hosts(&self) -> usize {
        self.facade.unavailable_hosts()
    }

    /// An order of an operator: what to answer.
    pub fn run_order(&mut self, order: ctl::Order) -> Result<OwnedValue, String> {
        use task_placer::health::Order;
        let (now, hand) = (self.clock.now(), self.pending_work());
        let order = match order {
            ctl::Order::Overload => return self.overload_report(now),
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
            self.run_drain_tasks(now, tasks);
        }
        let watch = self.watch.as_mut().ok_or("nothing is watched here")?;
        Ok(watch.state(now, hand))
    }

    /// Something has happened that concerns whether this process takes requests.
    pub fn handle_lifecycle_event(&mut self, now: Micros, event: Event) {
        let before = self.lifecycle.phase();
        match self.lifecycle.handle(now, event) {
            Some(Effect::Empty(_)) => self.close_idle(),
            Some(Effect::Leave(within)) => {
                self.close_idle();
                self.begin_shutdown(now, within);
            }
            None => {}
        }
        if self.lifecycle.phase() != before {
            info!(phase = self.lifecycle.phase().as_str(), "duty");
        }
        if self.lifecycle.empties() {
            self.clients.close_spare(now);
        }
        if let Some(share) = self.process_group.look(now) {
            let decisions = self.facade.set_share(now, share);
            self.apply_decisions(now, decisions);
        }
    }
}
