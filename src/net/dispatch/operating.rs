//! Owns what operators ask of this process: whether it serves, what it has in hand, their orders, and to be emptied. It
//! never ends the process: `shutdown` does.

use super::Dispatch;
use super::requests::Request;
use crate::ctl;
use crate::net::health::reporter::HealthReporter;
use simd_json::OwnedValue;
use task_placer::Micros;
use task_placer::operation::lifecycle::{Effect, Event};
use task_placer::operation::process_group::PeerAge;
use tracing::info;

impl Dispatch {
    /// Whether this process takes requests: what every test is told.
    pub fn serves(&self) -> bool {
        self.listens
            && !self.ends()
            && self.lifecycle.is_serving()
            && self.watch.as_ref().is_none_or(HealthReporter::is_serving)
    }

    /// Whether this process has been told to end.
    pub fn ends(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Closes connections that carry no task for as long as balancers' drain or maintenance or this duty wants it.
    pub(super) fn close_idle(&mut self) {
        self.clients
            .close_idle(self.closes_idle || self.lifecycle.closes_idle_connections());
    }

    /// Whether clients' tests pass: the placer serves, if not this process.
    pub fn placer_serves(&self) -> bool {
        self.lifecycle.is_shutting_down() || self.serves()
    }

    /// Whether this process takes connections that wait to be accepted.
    pub fn accepts(&self) -> bool {
        !self.lifecycle.is_shutting_down()
    }

    /// Another process of this placer is running: they count as one, and share
    /// what one may hold and do.
    pub fn peer_joined(&mut self, age: PeerAge) {
        let now = self.clock.now();
        let share = self.process_group.peer_joined(age);
        let verdicts = self.facade.set_share(now, share);
        self.carry_out(now, verdicts);
        self.share_limits();
    }

    /// One of them has ended.
    pub fn peer_exited(&mut self) {
        self.process_group.peer_exited(self.clock.now());
        self.share_limits();
    }

    fn share_limits(&mut self) {
        info!(
            others = self.process_group.live_peers(),
            "processes of this placer"
        );
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
        self.facade.unavailable_hosts()
    }

    /// An order of an operator: what to answer.
    pub fn ordered(&mut self, order: ctl::Order) -> Result<OwnedValue, String> {
        use task_placer::health::Command;
        let (now, hand) = (self.clock.now(), self.hand());
        let order = match order {
            ctl::Order::Overload => return self.tell_overload(now),
            ctl::Order::State => None,
            ctl::Order::Drain => Some(Command::Drain),
            ctl::Order::Ready => Some(Command::Ready),
            ctl::Order::Maint => Some(Command::Maint),
        };
        let watch = self.watch.as_mut().ok_or("nothing is watched here")?;
        if let Some(order) = order {
            info!(?order, "ordered");
            let tasks = watch
                .execute(now, order)
                .map_err(|rejected| rejected.to_string())?;
            self.follow(now, tasks);
        }
        let watch = self.watch.as_mut().ok_or("nothing is watched here")?;
        Ok(watch.state_json(now, hand))
    }

    /// Something has happened that concerns whether this process takes requests.
    pub fn on_duty(&mut self, now: Micros, event: Event) {
        let before = self.lifecycle.phase();
        match self.lifecycle.handle(now, event) {
            Some(Effect::StartClosingIdle | Effect::StopClosingIdle) => self.close_idle(),
            Some(Effect::ShutDown { answer_within }) => {
                self.close_idle();
                self.close_down(now, answer_within);
            }
            None => {}
        }
        if self.lifecycle.phase() != before {
            info!(phase = self.lifecycle.phase().as_str(), "lifecycle");
        }
        if self.lifecycle.closes_idle_connections() {
            self.clients.close_spare(now);
        }
        if let Some(share) = self.process_group.refresh(now) {
            let verdicts = self.facade.set_share(now, share);
            self.carry_out(now, verdicts);
        }
    }
}
