//! Owns the way to the decision module and back: event go in by `tell`, and each decision that comes out is handed to the
//! function that carries it out. It never decides anything itself, and never writes to a peer.

use super::{Dispatch, MILLI};
use crate::net::codec::cause;
use std::collections::VecDeque;
use task_placer::facade::{Decision, PlacementEvent};
use task_placer::{Micros, Outcome};
use tracing::info;

impl Dispatch {
    /// Tells the module what has happened, and carries out what it decides.
    pub(super) fn report_event(&mut self, now: Micros, event: PlacementEvent) {
        let decisions = self.facade.report(now, event);
        self.apply_decisions(now, decisions);
    }

    /// Carries out decisions, and those that their instant results bring.
    pub(super) fn apply_decisions(&mut self, now: Micros, decisions: Vec<Decision>) {
        let mut queue = VecDeque::from(decisions);
        while let Some(decision) = queue.pop_front() {
            let event = match decision {
                Decision::SendAttempt {
                    ticket,
                    host,
                    timeout,
                } => self.start_attempt(now, ticket, host, timeout),
                Decision::Reject {
                    ticket,
                    retry_after,
                } => {
                    let away = u64::try_from(retry_after / MILLI).ok().filter(|ms| *ms > 0);
                    self.respond_unplaced(now, ticket, cause::REJECTED, away)
                }
                Decision::Fail { ticket } => {
                    self.respond_unplaced(now, ticket, cause::FAILED, None)
                }
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
            };
            if let Some(event) = event {
                queue.extend(self.facade.report(now, event));
            }
        }
    }
}
