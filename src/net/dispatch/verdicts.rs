//! Owns the way to the decision module and back: news go in by `tell`, and each verdict that comes out is handed to the
//! function that carries it out. It never decides anything itself, and never writes to a peer.

use super::{Dispatch, MILLI};
use crate::net::codec::cause;
use std::collections::VecDeque;
use task_placer::facade::{Decision, PlacementEvent};
use task_placer::{Micros, Outcome};
use tracing::info;

impl Dispatch {
    /// Tells the module what has happened, and carries out what it decides.
    pub(super) fn tell(&mut self, now: Micros, news: PlacementEvent) {
        let verdicts = self.facade.report(now, news);
        self.carry_out(now, verdicts);
    }

    /// Carries out verdicts, and those that their instant results bring.
    pub(super) fn carry_out(&mut self, now: Micros, verdicts: Vec<Decision>) {
        let mut queue = VecDeque::from(verdicts);
        while let Some(verdict) = queue.pop_front() {
            let news = match verdict {
                Decision::SendAttempt {
                    ticket,
                    host,
                    timeout,
                } => self.offer(now, ticket, host, timeout),
                Decision::Reject {
                    ticket,
                    retry_after,
                } => {
                    let away = u64::try_from(retry_after / MILLI).ok().filter(|ms| *ms > 0);
                    self.answer(now, ticket, cause::REFUSED, away)
                }
                Decision::Fail { ticket } => self.answer(now, ticket, cause::FAILED, None),
                Decision::Migrate { ticket } => {
                    self.move_away(now, ticket);
                    None
                }
                Decision::CancelAttempt { ticket, attempt } => {
                    self.give_up(now, ticket, Some(attempt), Outcome::Cancelled)
                }
                Decision::Log(text) => {
                    info!(text, "module");
                    None
                }
            };
            if let Some(news) = news {
                queue.extend(self.facade.report(now, news));
            }
        }
    }
}
