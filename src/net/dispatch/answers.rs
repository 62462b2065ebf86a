//! Owns the final answers.

use super::Dispatch;
use super::requests::State;
use crate::net::codec::{binary, cause};
use anisehead::facade::{News, Ticket};
use anisehead::health::Event;
use anisehead::operation::tally::Ended as Told;
use anisehead::{Micros, Outcome};

impl Dispatch {
    /// The final answer: the only place that gives a refusal or a failure.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        cause: u8,
        away: Option<u64>,
    ) -> Option<News> {
        let news = self.give_up(now, ticket, None, Outcome::Cancelled);
        if self.requests.get(&ticket).is_some_and(|r| r.state == State::Held) {
            self.watch(now, Event::Answered { in_aim: false });
            let request = self.remove(ticket)?;
            if let Some(client) = request.client {
                let how = if cause == cause::REFUSED { Told::Refused } else { Told::Failed };
                self.tally.ended(request.class, how);
                self.clients.send(now, client, &binary::release(request.id, cause, away));
                self.clients.settled(client, ticket);
            }
        }
        news
    }
}
