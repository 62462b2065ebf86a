//! One state per request: who is owed what.
//!
//! Everything that happens on a socket or the wheel ends here, is told to the facade, and comes back
//! as verdicts. This is the only place that sends a final answer.

mod answers;
mod at_hosts;
mod bounds;
mod links;
mod offers;
mod operating;
mod requests;
mod timers;
mod verdicts;

use super::clients::{ClientId, Clients};
use super::clock::Clock;
use super::codec::binary::{self, ClientWord};
use super::codec::feed::FeedLine;
use super::codec::lines::{self, HostWord};
use super::codec::{Malformed, SetUp, TaskId, cause};
use super::config::{Config, Limits};
use super::conn::{self, Conn, End};
use super::health::gate::Gate;
use super::health::watch::{Refused, Task, Watch};
use super::hosts::{Link, Phase, Round};
use super::wheel::Wheel;
use crate::ctl;
use crate::operator::Operator;
use anisehead::descriptors::Pool;
use anisehead::facade::{Facade, News, Ticket, Unfit};
use anisehead::health::drain::Hand;
use anisehead::health::{Event, Gauges, Zone};
use anisehead::operation::company::Company;
use anisehead::operation::duty::{self, Duty};
use anisehead::operation::tally::{Ended as Told, Tally};
use anisehead::settings::Names;
use anisehead::{Detail, HostId, HostState, Micros, Outcome};
use async_executor::LocalExecutor;
use at_hosts::AtHosts;
use offers::offer_line;
use requests::{Ended, Request, State};
use simd_json::OwnedValue;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use timers::{Due, SWEEP};
use tracing::{info, warn};

const MILLI: Micros = 1_000;
/// A client's time runs from when it sent: what the way here, a tick and the way back may take.
const CLIENT_SLACK: Micros = 15 * MILLI;
/// After SIGTERM the platform ends the process no sooner than after the longest wait of a client, counted as this
/// at the most, and 700 ms more (the protocol's figures). Of these, what is owed is answered so long after the
/// wait, and the process ends at last so long after it.
const CLOSE_WAIT: Micros = 3_000 * MILLI;
const CLOSE_ANSWER: Micros = 300 * MILLI;
const CLOSE_END: Micros = 500 * MILLI;
/// New work may still arrive for 0.6 s (the protocol's figure): with this the process does not end before.
const CLOSE_OPEN: Micros = 1_000 * MILLI;
/// How long a host may take to confirm a release.
const LEAVING: Micros = 3_000 * MILLI;
/// How long the list may be late to name a host at which a task is said to stand.
const UNLISTED: Micros = 2_000 * MILLI;
/// An answer may be on its way to its client for so long.
const ORDERED: Micros = 2_000 * MILLI;
/// How long a host's word that it is full counts.
const FULL: Micros = 15_000 * MILLI;
/// Operators' callers at a time. Guards the descriptors, which are set apart from the clients' and the hosts'; one
/// that has said half a line makes room for the next.
pub const MOST_CALLERS: usize = 8;
/// The part of the memory that queues may fill.
const QUEUES: usize = 6;

/// The shared dispatch.
pub type Shared = Rc<RefCell<Dispatch>>;

/// Starts tasks that share the dispatch.
pub struct Tasks {
    shared: Weak<RefCell<Dispatch>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Tasks {
    /// Tasks of this executor.
    pub fn new(shared: Weak<RefCell<Dispatch>>, executor: Rc<LocalExecutor<'static>>) -> Tasks {
        Tasks { shared, executor }
    }

    /// Starts one.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// All requests, and the peers that they concern.
pub struct Dispatch {
    pub(super) clock: Clock,
    pub(super) tasks: Tasks,
    pub(super) clients: Clients,
    name: String,
    facade: Facade,
    wheel: Wheel<Due>,
    hosts: BTreeMap<HostId, Link>,
    /// Hosts that have not taken what is queued for them, while offers wait behind it.
    clogged: BTreeSet<HostId>,
    /// Hosts that are not gone.
    in_use: usize,
    /// Which of them have a connection.
    pool: Pool<HostId, (HostId, Round)>,
    /// The requests by the host that they are at.
    at_hosts: AtHosts,
    requests: BTreeMap<Ticket, Request>,
    by_id: BTreeMap<TaskId, Ticket>,
    ended: BTreeMap<TaskId, Ended>,
    next: u64,
    connect_timeout: Micros,
    /// Hosts are called before anything is wanted of them: where connections have no price.
    warm: bool,
    known: Vec<FeedLine>,
    feed_up: bool,
    closing: Option<Micros>,
    /// What balancers are told, where an operator's file asks for it.
    pub(super) watch: Option<Watch>,
    /// The connections of balancers.
    pub(super) gate: Rc<Gate>,
    /// And of operators.
    pub(super) orders: Vec<Rc<Gate>>,
    /// A drain is over.
    drained: bool,
    /// Whether this process takes requests, by the platform's orders.
    duty: Duty,
    /// What it has done.
    pub(super) tally: Tally,
    /// What the placer may hold, and which other processes of it there are.
    limits: Limits,
    company: Company,
    /// The listening socket is the platform's, and other processes of this placer accept from it.
    pub(super) inherits: bool,
    /// Balancers' drain, or maintenance, wants connections closed that carry no task.
    closes_idle: bool,
    /// Clients can connect.
    pub(super) listens: bool,
    /// What of the engine of overloads was logged.
    logged: bounds::Logged,
}

impl Dispatch {
    /// A dispatch that has yet to take in what the configuration knows.
    pub fn new(config: Config, operator: &Operator, tasks: Tasks) -> Dispatch {
        let clock = Clock::default();
        let now = clock.now();
        let connect_timeout = config.settings.connect_timeout;
        let warm = config.settings.price_handshake <= 0.0;
        let watch = operator.watches().then(|| Watch::new(operator, now));
        // The listeners, their connections, and those that are on their way out.
        let listeners = operator.health.agent.len() + operator.health.http.len();
        let polls = if operator.health.listens() { operator.health.connections + 4 } else { 0 };
        let calls = if config.admin.is_some() { MOST_CALLERS + 1 } else { 0 };
        let apart = listeners + polls + calls + if operator.ctl.is_some() { 6 } else { 0 };
        // What a cold host was sent is looked back on for that time, and counted by clocks that differ.
        let company = Company::new(2 * config.settings.fall.max(config.settings.connect_timeout));
        let tally = Tally::new(config.names.classes.len());
        conn::bound_queues(config.limits.memory / QUEUES);
        Dispatch {
            clock,
            tasks,
            clients: Clients::new(config.limits.sockets, apart),
            name: config.name,
            facade: Facade::bounded(
                config.settings,
                config.names,
                config.seed,
                operator.overload.clone(),
                // The clock is the wall clock already.
                0,
            ),
            wheel: Wheel::new(now),
            hosts: BTreeMap::new(),
            clogged: BTreeSet::new(),
            in_use: 0,
            pool: Pool::new(usize::MAX),
            at_hosts: AtHosts::default(),
            requests: BTreeMap::new(),
            by_id: BTreeMap::new(),
            ended: BTreeMap::new(),
            next: 0,
            connect_timeout,
            warm,
            known: config.known,
            feed_up: false,
            closing: None,
            watch,
            gate: Rc::new(Gate::new(operator.health.connections)),
            orders: Vec::new(),
            duty: Duty::default(),
            tally,
            limits: config.limits,
            company,
            inherits: false,
            closes_idle: false,
            listens: false,
            drained: false,
            logged: bounds::Logged::default(),
        }
    }

    /// Takes in the events that the configuration holds.
    pub fn start(&mut self) {
        let now = self.clock.now();
        self.wheel.add(now + SWEEP, Due::Sweep);
        for (i, event) in std::mem::take(&mut self.known).into_iter().enumerate() {
            self.name_aside(&event.aside);
            let Some((whole, hosts)) = event.members else { continue };
            let (entries, _) = self.update_hosts(now, whole, hosts);
            let news = if i == 0 { News::Known(entries) } else { News::Listed { whole, entries } };
            self.tell(now, news);
        }
        info!(name = self.name, hosts = self.hosts.len(), warm = self.warm, "serves");
    }

    /// Names the entries of an event that can't be right.
    pub fn name_aside(&self, aside: &[(String, Malformed)]) {
        for (host, why) in aside {
            warn!(host, reason = %why, "entry set aside");
        }
    }

    /// Takes over what the process may hold.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
        let processes = 1 + self.company.others() as usize;
        self.clients.limit(limits.sockets / processes);
        self.share_out();
        conn::bound_queues(limits.memory / QUEUES / processes);
    }

    /// The names that the settings state.
    pub fn names(&self) -> &Names {
        self.facade.names()
    }

    /// Tells the health engine, where one runs.
    pub fn watch(&mut self, now: Micros, event: Event) {
        if let Some(watch) = &mut self.watch {
            watch.tell(now, event);
        }
    }

    // ---- Verdicts ----

    /// MOVE: the task ends, also at its host, and its client comes again.
    fn move_away(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if let State::Standing { since, .. } = request.state {
            let (id, home) = (request.id, request.home);
            self.tell_end(now, id, home, since, binary::moved(id));
            self.leave(now, ticket, cause::CANCELLED);
        }
    }

    /// Tells that a task which stood since then is over, or moves: in order with its answer, where that went
    /// out only just now.
    fn tell_end(&mut self, now: Micros, id: TaskId, home: Option<ClientId>, since: Micros, word: Vec<u8>) {
        match home {
            Some(client) if now - since < ORDERED => self.clients.send_after(now, client, id, word),
            _ => self.clients.send_any(now, id, word),
        }
    }

    /// Releases a task that stands at its host, on any connection, or on the next to open.
    fn leave(&mut self, now: Micros, ticket: Ticket, cause: u8) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let State::Standing { attempt, host, since } = &request.state else { return };
        let line = lines::release(request.id, cause);
        let host = host.clone();
        let state = State::Leaving { attempt: *attempt, host: host.clone(), since: *since };
        let mut sent = true;
        if let Some(link) = self.hosts.get_mut(&host) {
            sent = matches!(&link.phase, Phase::Up(conn) if conn.send(now, &line));
            if !sent {
                link.unsent.push(line);
            }
        }
        self.enter(ticket, state);
        self.wheel.add(now + LEAVING, Due::Left(ticket));
        if !sent {
            self.call(now, &host);
        }
    }

    /// Guards against tasks named at hosts that no list knows: they would stand for ever.
    fn end_unlisted(&mut self, now: Micros, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let State::Standing { attempt, host, since } = &request.state else { return };
        if self.hosts.contains_key(host) {
            return;
        }
        let (attempt, host, elapsed, outcome) = (*attempt, host.clone(), now - since, Outcome::Reset);
        info!(task = %request.id, reason = "no-such-host", host = &*host.0, "does not stand");
        if let Some(client) = request.client {
            self.clients.send(now, client, &binary::release(request.id, cause::RESET, None));
        }
        self.remove(ticket);
        self.tell(now, News::Ended { ticket, attempt, host, outcome, detail: Detail::None, elapsed });
    }

    /// What stood is over: its client is told, unless it ended the task itself.
    fn end_standing(&mut self, now: Micros, ticket: Ticket, cause: u8, detail: Detail) {
        let Some(request) = self.remove(ticket) else { return };
        let (attempt, host, since, outcome) = match request.state {
            State::Standing { attempt, host, since } => {
                let word = binary::release(request.id, cause, None);
                self.tell_end(now, request.id, request.home, since, word);
                let outcome = match cause {
                    cause::NORMAL => Outcome::Ok,
                    cause::CANCELLED => Outcome::Cancelled,
                    _ => Outcome::Reset,
                };
                (attempt, host, since, outcome)
            }
            State::Leaving { attempt, host, since } => (attempt, host, since, Outcome::Cancelled),
            State::Held | State::Out { .. } => return,
        };
        self.tell(now, News::Ended { ticket, attempt, host, outcome, detail, elapsed: now - since });
    }

    // ---- Clients ----

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
    fn gone(&mut self, now: Micros, ticket: Ticket) {
        let news = self.give_up(now, ticket, None, Outcome::Cancelled);
        if let Some(client) = self.remove(ticket).and_then(|r| r.client) {
            self.clients.settled(client, ticket);
        }
        self.tell(now, News::GivenUp(ticket));
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
                self.clients.send(now, client, &binary::release(id, cause::FAILED, None));
            }
            // A failure under this id could be taken for the answer to the one that is open.
            ClientWord::BadSetUp(_) => self.clients.stop(client, End::IdInUse),
            ClientWord::Release(cause) => self.client_release(now, client, id, cause, held),
            ClientWord::Test => {
                let passes = self.placer_serves();
                self.clients.send(now, client, &binary::tested(id, passes));
                self.on_duty(now, duty::Event::Asked);
            }
            ClientWord::Heard => self.clients.heard_end(id),
            ClientWord::Other => self.clients.stop(client, End::Malformed(Malformed::Field("type"))),
        }
    }

    /// A client gives a set-up up, on its connection, or ends a task that stands, on any.
    fn client_release(&mut self, now: Micros, client: ClientId, id: TaskId, cause: u8, held: Option<Ticket>) {
        let open = held.and_then(|ticket| self.requests.get(&ticket)).filter(|r| r.owes());
        match (held, open.map(|r| r.client == Some(client))) {
            (Some(ticket), Some(true)) => return self.gone(now, ticket),
            (Some(ticket), None) => self.leave(now, ticket, cause),
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
        ask.budget = (set_up.wait - CLIENT_SLACK).max(0);
        let unfit = match self.facade.check(&ask, false) {
            Err(Unfit(why)) => Some(why),
            Ok(()) if id == TaskId(0) => Some("no id"),
            Ok(()) if self.ended.contains_key(&id) => Some("id used before"),
            Ok(()) if offer_line(id, &set_up, set_up.wait).is_none() => Some("too long for a host"),
            Ok(()) => None,
        };
        if let Some(why) = unfit {
            info!(task = %id, reason = why, "not placed");
            self.tally.ended(self.facade.class(&ask.class), Told::Failed);
            return self.clients.send(now, client, &binary::release(id, cause::FAILED, None));
        }
        let ticket = self.take(now, id, client, &ask.class, State::Held);
        self.clients.waits(client, ticket);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.set_up = Some(set_up);
        }
        let verdicts = self.facade.pick(now, ticket, &ask).unwrap_or_default();
        self.carry_out(now, verdicts);
    }

    /// A set-up under an id that is in hand. Guards against a client that sends again because its first
    /// connection broke, before the break is seen here: a second answer would break a rule, so the one
    /// that is owed goes to the connection heard last. Guards also against whoever sends another set-up
    /// under an id that is open, or the same twice on one connection: its connection ends, and an answer
    /// that another is owed does not go there.
    fn set_up_again(&mut self, client: ClientId, ticket: Ticket, set_up: &SetUp) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
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

    /// A task that a host holds already. Its release may have come first. The list may be late to name
    /// its host: it gets a while for that.
    fn adopt(&mut self, now: Micros, client: ClientId, id: TaskId, set_up: &SetUp, host: &HostId) {
        let unfit = match self.facade.check(&set_up.ask, true) {
            Err(Unfit(why)) => Some(why),
            Ok(()) if id == TaskId(0) => Some("no id"),
            Ok(()) => None,
        };
        // Guards against a release that came on our new connection before the client told of the task.
        let over = match self.ended.get(&id) {
            Some(Ended { by: Some((by, cause, _)), .. }) if by == host => Some(*cause),
            _ if self.hosts.get(host).is_some_and(|l| l.state == HostState::Gone) => Some(cause::RESET),
            _ => None,
        };
        if let Some(cause) = over.or(unfit.map(|_| cause::RESET)) {
            info!(task = %id, reason = unfit.unwrap_or("released"), host = &*host.0, "does not stand");
            return self.clients.send(now, client, &binary::release(id, cause, None));
        }
        let state = State::Standing { attempt: 0, host: host.clone(), since: now };
        let ticket = self.take(now, id, client, &set_up.ask.class, state);
        self.stands_for(ticket, client);
        if self.hosts.contains_key(host) {
            self.clients.prove(client);
            self.settle(now, host, false);
            self.call(now, host);
        } else {
            self.wheel.add(now + UNLISTED, Due::Unlisted(ticket));
        }
        let verdicts = self.facade.adopt(now, ticket, &set_up.ask, host).unwrap_or_default();
        self.carry_out(now, verdicts);
    }

    /// A task stands that was set up or named on this connection.
    fn stands_for(&mut self, ticket: Ticket, client: ClientId) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.home = Some(client);
            self.clients.count_standing(client, true);
        }
    }

    // ---- Hosts ----

    /// What stood at a host since before then is lost.
    fn lose(&mut self, now: Micros, host: &HostId, before: Micros) {
        let there = |ticket: &Ticket| {
            self.requests.get(ticket).is_some_and(|r| match r.state {
                State::Standing { since, .. } | State::Leaving { since, .. } => since < before,
                State::Held | State::Out { .. } => false,
            })
        };
        let lost: Vec<Ticket> = self.at_hosts.standing(host).filter(there).collect();
        if !lost.is_empty() {
            info!(host = &*host.0, tasks = lost.len(), "tasks lost");
        }
        lost.into_iter().for_each(|ticket| self.end_standing(now, ticket, cause::RESET, Detail::None));
    }

    /// A message of a host. It counts only for the attempt that is out there or the task that stands
    /// there: a late word on an attempt given up is never passed on.
    pub fn host_word(&mut self, host: &HostId, id: TaskId, word: HostWord) {
        let now = self.clock.now();
        if let Some(link) = self.hosts.get_mut(host) {
            (link.heard, link.doubt) = (now, false);
        }
        let ticket = self.by_id.get(&id).copied();
        let known = ticket.and_then(|ticket| Some((ticket, self.requests.get_mut(&ticket)?)));
        let Some((ticket, request)) = known else {
            if let HostWord::Down(cause, detail) = word {
                self.heard(now, host, id);
                self.ended.insert(id, Ended { by: Some((host.clone(), cause, detail)), since: now });
            }
            return;
        };
        match (&request.state, word) {
            (State::Out { attempt, host: h, since, .. }, HostWord::Up(description)) if h == host => {
                let (attempt, elapsed) = (*attempt, now - since);
                request.set_up = None;
                let (stretch, in_aim) =
                    (elapsed as f64 / request.aim as f64, now - request.since <= request.aim);
                let (client, class) = (request.client.take(), request.class);
                self.enter(ticket, State::Standing { attempt, host: host.clone(), since: now });
                self.settle(now, host, true);
                if let Some(client) = client {
                    self.tally.ended(class, Told::Served);
                    self.clients.send(now, client, &binary::answer(id, &description));
                    self.clients.settled(client, ticket);
                    self.clients.prove(client);
                    self.stands_for(ticket, client);
                }
                if let Some(link) = self.hosts.get_mut(host) {
                    link.full_at = None;
                }
                self.watch(now, Event::Offer { outcome: Outcome::Ok, detail: Detail::None, stretch });
                self.watch(now, Event::Answered { in_aim });
                self.tell(now, News::Placed { ticket, attempt, host: host.clone(), elapsed });
            }
            // The task's own time is over: hosts release it so wherever it is offered. Guards against
            // offering it again and holding each of these hosts for broken; its client is told the cause.
            (State::Out { attempt, host: h, since, .. }, HostWord::Down(cause::NORMAL, detail))
                if h == host =>
            {
                let (attempt, host, elapsed, outcome) = (*attempt, host.clone(), now - since, Outcome::Ok);
                self.enter(ticket, State::Held);
                self.settle(now, &host, true);
                self.answer(now, ticket, cause::NORMAL, None);
                self.tell(now, News::Ended { ticket, attempt, host, outcome, detail, elapsed });
            }
            (State::Out { host: h, .. }, HostWord::Down(cause, detail)) if h == host => {
                let outcome = match cause {
                    cause::FULL => Outcome::Full,
                    cause::FAILED => Outcome::Error,
                    cause::MOOT => Outcome::Moot,
                    _ => Outcome::Reset,
                };
                if outcome == Outcome::Full && detail != Detail::NotHere {
                    self.hosts.get_mut(host).into_iter().for_each(|link| link.full_at = Some(now));
                }
                let news = self.end_attempt(now, ticket, outcome, detail);
                news.into_iter().for_each(|news| self.tell(now, news));
            }
            (State::Standing { host: h, .. } | State::Leaving { host: h, .. }, word) if h == host => {
                match word {
                    HostWord::Down(cause, detail) => {
                        self.heard(now, host, id);
                        self.end_standing(now, ticket, cause, detail);
                    }
                    HostWord::Tell(note, value) => {
                        self.tell(now, News::Noted { ticket, host: host.clone(), note, value });
                    }
                    HostWord::Up(_) | HostWord::Other => {}
                }
            }
            _ => {}
        }
    }

    /// Tells a host that its release was heard.
    fn heard(&self, now: Micros, host: &HostId, id: TaskId) {
        if let Some(Phase::Up(conn)) = self.hosts.get(host).map(|link| &link.phase) {
            conn.send(now, &lines::heard(id));
        }
    }

    // ---- Feed and time ----

    /// A line of the feed shows that nothing is missing.
    pub fn feed_lives(&mut self) {
        let now = self.clock.now();
        self.watch(now, Event::Feed);
        if !std::mem::replace(&mut self.feed_up, true) {
            self.tell(now, News::FeedUp);
        }
    }

    /// The feed is dead; it is called again.
    pub fn feed_ended(&mut self, last: u64, end: End) {
        let now = self.clock.now();
        if std::mem::replace(&mut self.feed_up, false) {
            info!(peer = "feed", reason = %end, last, "connection ended");
            self.tell(now, News::FeedDown);
        }
    }

    /// SIGTERM: without an operator's word on drains, the process ends as the platform wants it.
    pub fn terminate(&mut self) {
        let now = self.clock.now();
        match self.watch.as_mut().and_then(|watch| watch.terminate(now)) {
            Some(tasks) => self.follow(now, tasks),
            None if self.inherits => self.on_duty(now, duty::Event::Leave(self.facade.longest())),
            None => self.close_down(now, self.closing_wait() + CLOSE_ANSWER),
        }
    }

    /// An order of an operator: what to answer.
    pub fn ordered(&mut self, order: ctl::Order) -> Result<OwnedValue, String> {
        use anisehead::health::Order;
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
            let tasks = watch.order(now, order).map_err(|Refused(why)| why.to_string())?;
            self.follow(now, tasks);
        }
        let watch = self.watch.as_mut().ok_or("nothing is watched here")?;
        Ok(watch.state(now, hand))
    }

    /// Does what the drain asks for.
    fn follow(&mut self, now: Micros, tasks: Vec<Task>) {
        for task in tasks {
            match task {
                Task::CloseIdle(close) => {
                    self.closes_idle = close;
                    self.close_idle();
                }
                Task::Answer(within) => self.close_down(now, within),
                Task::Exit(left) => {
                    self.drained = true;
                    self.name_what_is_left(left);
                }
            }
        }
    }

    /// Who is owed what, for a drain.
    fn hand(&self) -> Hand {
        let now = self.clock.now();
        let owed = self.owed();
        Hand {
            owed,
            standing: self.requests.len() - owed,
            untold: self.clients.untold(now),
            unflushed: self.clients.unflushed(),
        }
    }

    /// What a drain could not wait for, task by task.
    fn name_what_is_left(&self, left: Hand) {
        info!(owed = left.owed, standing = left.standing, untold = left.untold, "drained");
        for request in self.requests.values() {
            if let State::Standing { host, .. } | State::Leaving { host, .. } = &request.state {
                warn!(task = %request.id, host = &*host.0, "left standing");
            }
        }
    }

    /// What the health engine looks at, and the drain.
    fn look(&mut self, now: Micros) {
        if self.watch.is_none() {
            return;
        }
        let mut zones: BTreeMap<anisehead::ZoneId, Zone> = BTreeMap::new();
        let (mut listed, mut roomy, mut full) = (0u32, 0u32, 0u32);
        let ordinary = self.facade.ordinary();
        for link in self.hosts.values().filter(|link| link.state == HostState::Up) {
            let zone = zones.entry(link.zone).or_default();
            zone.listed += 1;
            zone.refused += u32::from(link.down_since.is_some() && link.refused);
            zone.silent += u32::from(link.down_since.is_some() && !link.refused);
            listed += 1;
            let fits =
                ordinary.is_none_or(|size| link.free.iter().zip(size).all(|(free, asked)| *free >= asked));
            roomy += u32::from(fits);
            full += u32::from(link.full_at.is_some_and(|at| now - at < FULL));
        }
        let ages = self.requests.values().filter(|r| r.owes()).map(|r| (now - r.since) as f64 / r.aim as f64);
        let gauges = Gauges {
            oldest: ages.fold(0.0, f64::max),
            zones: zones.into_values().collect(),
            roomy: ordinary.filter(|_| listed > 0).map(|_| f64::from(roomy) / f64::from(listed)),
            full: f64::from(full) / f64::from(listed.max(1)),
            descriptors: self.clients.live() as f64 / self.clients.budget(self.hosts_in_use()) as f64,
            queues: conn::queued_share(),
        };
        let hand = self.hand();
        if let Some(watch) = &mut self.watch {
            watch.tell(now, Event::Look(gauges));
            let tasks = watch.look(now, hand);
            self.follow(now, tasks);
        }
    }

    fn close_down(&mut self, now: Micros, within: Micros) {
        if self.closing.is_none() {
            self.closing = Some(now);
            info!(requests = self.requests.len(), "closing");
            self.tell(now, News::Closing(within));
        }
    }

    /// The longest wait of a client, as the platform counts it at an end of the process.
    fn closing_wait(&self) -> Micros {
        self.facade.longest().clamp(0, CLOSE_WAIT)
    }

    /// Whether the process must end, whatever is left.
    pub fn overdue(&self) -> bool {
        let now = self.clock.now();
        let end = self.closing_wait() + CLOSE_END;
        let ends = |since| if self.duty.leaves() { self.duty.overdue(now) } else { now - since >= end };
        self.drained || self.closing.is_some_and(ends)
    }

    /// Whether the process may end.
    pub fn finished(&self) -> bool {
        let now = self.clock.now();
        if self.drained {
            return true;
        }
        let Some(since) = self.closing else { return false };
        // A drain that has come to this tells itself when it is over.
        if self.watch.as_ref().is_some_and(Watch::draining) {
            return false;
        }
        let clear = !self.requests.values().any(Request::owes) && self.clients.flushed();
        if self.duty.leaves() {
            return (clear && self.clients.at_rest(now)) || self.duty.overdue(now);
        }
        let end = self.closing_wait() + CLOSE_END;
        now - since >= end || (now - since >= CLOSE_OPEN.min(end) && clear)
    }
}
