//! Connects dispatch with the decision module: `report_event` passes an event to it, and every decision that it returns
//! is passed to the function that applies it. This module never decides anything itself, and never writes to a peer.

use super::{Dispatch, MILLISECOND};
use crate::net::codec::Cause;
use std::collections::VecDeque;
use task_placer::facade::{Decision, PlacementEvent};
use task_placer::{Micros, Outcome};
use tracing::info;

impl Dispatch {
    /// Reports an event to the decision module, and applies the decisions that it returns.
    pub(super) fn report_event(&mut self, now: Micros, event: PlacementEvent) {
        let decisions = self.facade.report(now, event);
        self.apply_decisions(now, decisions);
    }

    /// Reports an event to the decision module, if there is one.
    pub(super) fn report_optional_event(&mut self, now: Micros, event: Option<PlacementEvent>) {
        if let Some(event) = event {
            self.report_event(now, event);
        }
    }

    /// Applies decisions in order, then the decisions that follow from their immediate results.
    pub(super) fn apply_decisions(&mut self, now: Micros, decisions: Vec<Decision>) {
        let mut queue = VecDeque::from(decisions);
        while let Some(decision) = queue.pop_front() {
            if let Some(event) = self.apply_decision(now, decision) {
                queue.extend(self.facade.report(now, event));
            }
        }
    }

    /// Applies one decision, and returns the event that results from it immediately, if any.
    fn apply_decision(&mut self, now: Micros, decision: Decision) -> Option<PlacementEvent> {
        match decision {
            Decision::SendAttempt {
                ticket,
                host,
                timeout,
            } => self.start_attempt(now, ticket, host, timeout),
            Decision::Reject {
                ticket,
                retry_after,
            } => {
                let retry_after_ms = u64::try_from(retry_after / MILLISECOND)
                    .ok()
                    .filter(|ms| *ms > 0);
                self.respond_unplaced(now, ticket, Cause::REJECTED, retry_after_ms)
            }
            Decision::Fail { ticket } => self.respond_unplaced(now, ticket, Cause::FAILED, None),
            Decision::Migrate { ticket } => {
                self.migrate_task(now, ticket);
                None
            }
            Decision::CancelAttempt { ticket, attempt } => {
                self.abandon_attempt(now, ticket, Some(attempt), Outcome::Cancelled)
            }
            Decision::Log(text) => {
                info!(text, "module");
                None
            }
        }
    }
}
