//! Owns what clients say: their connections' beginnings and ends, and each of their messages. Whatever a client sends
//! is answered, or ends its connection, or asks for nothing. It never chooses a host, and never lets an offer begin
//! by itself: a set-up that can be right goes to the module.

use super::invalid_set_up::InvalidSetUp;
use super::offers::offer_line;
use super::requests::State;
use super::{Dispatch, MILLI};
use crate::net::clients::ClientId;
use crate::net::codec::binary::{self, ClientWord};
use crate::net::codec::{Malformed, SetUp, TaskId};
use crate::net::conn::{Conn, End};
use std::rc::Rc;
use task_placer::facade::{PlacementEvent, PlacementRequest, RequestKind, Ticket};
use task_placer::operation::counters::RequestOutcome;
use task_placer::operation::lifecycle;
use task_placer::{Micros, Outcome};
use tracing::info;

/// A client's time runs from when it sent: what the way here, a tick and the way back may take.
const CLIENT_SLACK: Micros = 15 * MILLI;

impl Dispatch {
    /// Whether another connection of a client is beyond the budget.
    pub fn client_crowds(&self) -> bool {
        self.clients.crowded(self.hosts_in_use())
    }

    /// A connection from a client is there.
    pub fn client_opened(&mut self, conn: Rc<Conn>) -> ClientId {
        self.clients.opened(self.clock.now(), conn)
    }

    /// It has ended, and with it the set-ups that are open on it.
    pub fn client_ended(&mut self, client: ClientId, end: End) {
        let now = self.clock.now();
        let open = self.clients.ended(now, client);
        info!(peer = "client", connection = %client, reason = %end, open = open.len(), "connection ended");
        for ticket in open {
            self.gone(now, ticket);
        }
    }

    /// The client wants no answer any more.
    pub(super) fn gone(&mut self, now: Micros, ticket: Ticket) {
        let news = self.give_up(now, ticket, None, Outcome::Cancelled);
        if let Some(client) = self.remove(ticket).and_then(|r| r.client) {
            self.clients.settled(client, ticket);
        }
        self.tell(now, PlacementEvent::Cancelled(ticket));
        if let Some(news) = news {
            self.tell(now, news);
        }
    }

    /// All that came with one read, so many bytes, was taken in: whether whole messages did, and half of another.
    pub fn client_heard(&mut self, client: ClientId, bytes: usize, whole: bool, half: bool) {
        let now = self.clock.now();
        self.clients.heard(now, client, whole, half);
        for host in self.clients.read(client, bytes) {
            self.send_waiting(now, &host);
        }
    }

    /// A message of a client. Each is answered, or ends its connection, or asks for nothing: whoever
    /// sends what is no use is not left waiting.
    pub fn client_word(&mut self, client: ClientId, id: TaskId, word: ClientWord) {
        let now = self.clock.now();
        self.clients.heard(now, client, true, false);
        self.clients.reads(client);
        if !matches!(word, ClientWord::Test) {
            self.clients.asked(now, client);
        }
        let held = self.by_id.get(&id).copied();
        match word {
            ClientWord::SetUp(set_up) => match (&set_up.at, held) {
                (Some(host), None) => self.adopt(now, client, id, &set_up, &host.clone()),
                (None, None) => self.set_up(now, client, id, set_up),
                (_, Some(ticket)) => self.set_up_again(client, ticket, &set_up),
            },
            ClientWord::BadSetUp(why) if held.is_none() => {
                info!(task = %id, reason = %why, "set-up not read");
                self.answer_unfit(now, client, id);
            }
            // A failure under this id could be taken for the answer to the one that is open.
            ClientWord::BadSetUp(_) => self.clients.stop(client, End::IdInUse),
            ClientWord::Release(cause) => self.client_release(now, client, id, cause, held),
            ClientWord::Test => {
                let passes = self.placer_serves();
                self.clients.send(now, client, &binary::tested(id, passes));
                self.on_duty(now, lifecycle::Event::Checked);
            }
            ClientWord::Heard => self.clients.heard_end(id),
            ClientWord::Other => self
                .clients
                .stop(client, End::Malformed(Malformed::Field("type"))),
        }
    }

    /// A client gives a set-up up, on its connection, or ends a task that stands, on any.
    fn client_release(
        &mut self,
        now: Micros,
        client: ClientId,
        id: TaskId,
        cause: u8,
        held: Option<Ticket>,
    ) {
        let open = held
            .and_then(|ticket| self.requests.get(&ticket))
            .filter(|r| r.awaits_answer());
        match (held, open.map(|r| r.client == Some(client))) {
            (Some(ticket), Some(true)) => return self.gone(now, ticket),
            (Some(ticket), None) => self.release_standing(now, ticket, cause),
            // Of no task here, or of another's set-up: it changes nothing.
            _ => {}
        }
        self.clients.send(now, client, &binary::heard(id));
    }

    /// Guards the module and the hosts against asks that can't be right, which are answered at once:
    /// without an id, or with that of a task that is over, a host takes its connection for broken, and
    /// answers an error that makes it look so; every ask counts as load.
    fn set_up(&mut self, now: Micros, client: ClientId, id: TaskId, set_up: Box<SetUp>) {
        let mut ask = set_up.ask.clone();
        ask.time_budget = (set_up.wait - CLIENT_SLACK).max(0);
        if let Err(why) = self.check_set_up(id, &set_up, &ask) {
            info!(task = %id, reason = %why, "not placed");
            self.counters
                .record_response(self.facade.class_index(&ask.class), RequestOutcome::Failed);
            return self.answer_unfit(now, client, id);
        }
        let ticket = self.admit(now, id, client, &ask.class, State::Held);
        self.clients.waits(client, ticket);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.set_up = Some(set_up);
        }
        let verdicts = self.facade.place(now, ticket, &ask).unwrap_or_default();
        self.carry_out(now, verdicts);
    }

    fn check_set_up(
        &self,
        id: TaskId,
        set_up: &SetUp,
        request: &PlacementRequest,
    ) -> Result<(), InvalidSetUp> {
        self.facade.check(request, RequestKind::Place)?;
        if id == TaskId(0) {
            return Err(InvalidSetUp::MissingId);
        }
        if self.ended.contains_key(&id) {
            return Err(InvalidSetUp::IdUsedBefore);
        }
        if offer_line(id, set_up, set_up.wait).is_none() {
            return Err(InvalidSetUp::TooLongForHost);
        }
        Ok(())
    }

    /// A set-up under an id that is in hand. Guards against a client that sends again because its first
    /// connection broke, before the break is seen here: a second answer would break a rule, so the one
    /// that is owed goes to the connection heard last. Guards also against whoever sends another set-up
    /// under an id that is open, or the same twice on one connection: its connection ends, and an answer
    /// that another is owed does not go there.
    fn set_up_again(&mut self, client: ClientId, ticket: Ticket, set_up: &SetUp) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let known = matches!((&request.state, &set_up.at),
            (State::Standing { host, .. } | State::Leaving { host, .. }, Some(at)) if host == at);
        if known {
            return;
        }
        let same = request.set_up.as_deref() == Some(set_up) && request.client != Some(client);
        if !same {
            return self.clients.stop(client, End::IdInUse);
        }
        if let Some(before) = request.client.replace(client) {
            self.clients.settled(before, ticket);
        }
        self.clients.waits(client, ticket);
        if let (true, Some(host)) = (request.state.unsent(), request.state.at()) {
            self.clients.waits_behind(client, host);
        }
        let id = request.id;
        info!(task = %id, "set up twice");
    }
}
