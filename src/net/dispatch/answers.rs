//! Owns the final answers: a set-up that was taken in is answered here and nowhere else, once, since it leaves `Held`
//! and `Out` with its answer. It never decides on an answer, never offers a task, and never tells the end of a task that
//! stood (`standing` does).
//!
//! - `answer`: refused or failed, and the one end that a host gives a task before its answer (its own time is over).
//! - `answer_placed`: a host has started the task; its description goes to the client unchanged.
//! - `answer_unfit`: a set-up that can't be right, which never came into the table.
//!
//! A set-up with `at` names a task that a host holds already: it asks for no answer, and what its client may be told at
//! once is the end of that task (`adopt`).

use super::Dispatch;
use super::requests::State;
use crate::net::clients::ClientId;
use crate::net::codec::{TaskId, binary, cause};
use task_placer::facade::{PlacementEvent, Ticket};
use task_placer::health::Event;
use task_placer::operation::counters::RequestOutcome;
use task_placer::{Micros, Outcome};

impl Dispatch {
    /// The final answer to a request that does not stand: the only place that gives it a refusal or a failure.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        cause: u8,
        away: Option<u64>,
    ) -> Option<PlacementEvent> {
        let news = self.give_up(now, ticket, None, Outcome::Cancelled);
        if self
            .requests
            .get(&ticket)
            .is_some_and(|r| r.state == State::Held)
        {
            self.watch(
                now,
                Event::RequestAnswered {
                    within_objective: false,
                },
            );
            let request = self.remove(ticket)?;
            if let Some(client) = request.client {
                let how = if cause == cause::REFUSED {
                    RequestOutcome::Rejected
                } else {
                    RequestOutcome::Failed
                };
                self.counters.record_response(request.class, how);
                self.clients
                    .send(now, client, &binary::release(request.id, cause, away));
                self.clients.settled(client, ticket);
            }
        }
        news
    }

    /// The final answer to a request whose task a host has started.
    pub(super) fn answer_placed(
        &mut self,
        now: Micros,
        ticket: Ticket,
        client: ClientId,
        class: Option<usize>,
        id: TaskId,
        description: &str,
    ) {
        self.counters
            .record_response(class, RequestOutcome::Started);
        self.clients
            .send(now, client, &binary::answer(id, description));
        self.clients.settled(client, ticket);
    }

    /// The final answer to a set-up that neither the module nor a host hears of.
    pub(super) fn answer_unfit(&mut self, now: Micros, client: ClientId, id: TaskId) {
        self.clients
            .send(now, client, &binary::release(id, cause::FAILED, None));
    }
}
