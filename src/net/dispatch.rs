//! One state per request: who is owed what.
//!
//! Everything that happens on a socket or the wheel ends here, is told to the facade, and comes back
//! as verdicts. This is the only place that sends a final answer.

mod answers;
mod at_hosts;
mod bounds;
mod client_messages;
mod host_messages;
mod links;
mod offers;
mod operating;
mod requests;
mod standing;
mod timers;
mod verdicts;

use super::clients::Clients;
use super::clock::Clock;
use super::codec::feed::FeedLine;
use super::codec::{Malformed, TaskId};
use super::config::{Config, Limits};
use super::conn::{self, End};
use super::health::gate::Gate;
use super::health::watch::{Refused, Task, Watch};
use super::hosts::{Link, Round};
use super::wheel::Wheel;
use crate::ctl;
use crate::operator::Operator;
use anisehead::descriptors::Pool;
use anisehead::facade::{Facade, News, Ticket};
use anisehead::health::drain::Hand;
use anisehead::health::{Event, Gauges, Zone};
use anisehead::operation::company::Company;
use anisehead::operation::duty::{self, Duty};
use anisehead::operation::tally::Tally;
use anisehead::settings::Names;
use anisehead::{HostId, HostState, Micros};
use async_executor::LocalExecutor;
use at_hosts::AtHosts;
use requests::{Ended, Request, State};
use simd_json::OwnedValue;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use timers::{Due, SWEEP};
use tracing::{info, warn};

const MILLI: Micros = 1_000;
/// After SIGTERM the platform ends the process no sooner than after the longest wait of a client, counted as this
/// at the most, and 700 ms more (the protocol's figures). Of these, what is owed is answered so long after the
/// wait, and the process ends at last so long after it.
const CLOSE_WAIT: Micros = 3_000 * MILLI;
const CLOSE_ANSWER: Micros = 300 * MILLI;
const CLOSE_END: Micros = 500 * MILLI;
/// New work may still arrive for 0.6 s (the protocol's figure): with this the process does not end before.
const CLOSE_OPEN: Micros = 1_000 * MILLI;
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
