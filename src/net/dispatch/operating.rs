//! What operators ask of this process: whether it serves, what it has in hand, and to be emptied.

use super::{Dispatch, Request};
use crate::net::health::watch::Watch;
use anisehead::Micros;
use anisehead::operation::duty::{Effect, Event, Phase};
use tracing::info;

impl Dispatch {
    /// Whether this process takes requests: what every test is told.
    pub fn serves(&self) -> bool {
        let ends = self.closing.is_some();
        self.listens && !ends && self.duty.serves() && self.watch.as_ref().is_none_or(Watch::serves)
    }

    /// Requests taken whose answer is owed.
    pub fn owed(&self) -> usize {
        self.requests.values().filter(|r: &&Request| r.owes()).count()
    }

    /// Requests taken that have not ended: those that wait for their answer, and tasks that stand.
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    /// Listed hosts that get no offers now.
    pub fn hosts_avoided(&self) -> usize {
        self.facade.avoided()
    }

    /// Something has happened that concerns whether this process takes requests.
    pub fn on_duty(&mut self, now: Micros, event: Event) {
        let before = self.duty.phase();
        if let Some(Effect::Empty(empty)) = self.duty.handle(now, event) {
            self.owners.close_idle(empty || self.watch.as_ref().is_some_and(Watch::draining));
        }
        if self.duty.phase() != before {
            info!(phase = self.duty.phase().as_str(), "duty");
        }
        if self.duty.phase() == Phase::Emptying {
            self.owners.close_spare(now);
        }
    }
}
