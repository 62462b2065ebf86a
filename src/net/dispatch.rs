//! Owns one state per request: who is owed what. Everything that happens on a socket or the wheel ends here, is told to
//! the facade, and comes back as verdicts. It never waits, and never decides where a task goes.
//!
//! This is the only place that sends a final answer, and of its modules only `answers` does.
//!
//! ```text
//!    client_messages ──┐                            carry_out
//!    host_messages ────┤  tell   ┌──────────┐ ─────────────────▶ offers, answers, standing
//!    feed_messages ────┼───────▶ │ verdicts │                       │
//!    links ────────────┤         └──────────┘                       │ through links (connections to hosts),
//!    timers ───────────┘           │      ▲                         │ of which slots says how many there may be,
//!                             news ▼      │ verdicts                ▼ and clients
//!                                 facade::Facade                   peers
//! ```
//!
//! `requests` holds the states and draws them, `at_hosts` lists them by host. `shutdown`, `operating`, `watching` and
//! `bounds` are what the platform and operators see of the process.

mod answers;
mod at_hosts;
mod bounds;
mod client_messages;
mod feed_messages;
mod host_messages;
mod invalid_set_up;
mod links;
mod offers;
mod operating;
mod requests;
mod shutdown;
mod slots;
mod standing;
mod timers;
mod verdicts;
mod watching;

use super::clients::Clients;
use super::clock::Clock;
use super::codec::TaskId;
use super::codec::feed::FeedLine;
use super::config::{Config, Limits};
use super::conn;
use super::health::connection_limiter::ConnectionLimiter;
use super::health::reporter::HealthReporter;
use super::hosts::{Link, Round};
use super::wheel::Wheel;
use crate::operator::Operator;
use async_executor::LocalExecutor;
use at_hosts::AtHosts;
use requests::{Ended, Request};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use task_placer::descriptors::ConnectionPool;
use task_placer::facade::{Facade, PlacementEvent, Ticket};
use task_placer::operation::counters::RequestCounters;
use task_placer::operation::lifecycle::Lifecycle;
use task_placer::operation::process_group::ProcessGroup;
use task_placer::settings::Names;
use task_placer::{HostId, Micros};
use timers::{Due, SWEEP};
use tracing::info;

const MILLI: Micros = 1_000;
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
    pool: ConnectionPool<HostId, (HostId, Round)>,
    /// The requests by the host that they are at.
    at_hosts: AtHosts,
    requests: BTreeMap<Ticket, Request>,
    by_id: BTreeMap<TaskId, Ticket>,
    ended: BTreeMap<TaskId, Ended>,
    next_ticket: u64,
    connect_timeout: Micros,
    /// Hosts are called before anything is wanted of them: where connections have no price.
    warm: bool,
    known: Vec<FeedLine>,
    feed_up: bool,
    /// When the process began to close.
    closing_since: Option<Micros>,
    /// What balancers are told, where an operator's file asks for it.
    pub(super) watch: Option<HealthReporter>,
    /// The connections of balancers.
    pub(super) gate: Rc<ConnectionLimiter>,
    /// And of operators.
    pub(super) orders: Vec<Rc<ConnectionLimiter>>,
    /// A drain is over.
    drained: bool,
    /// Whether this process takes requests, by the platform's orders.
    lifecycle: Lifecycle,
    /// What it has done.
    pub(super) counters: RequestCounters,
    /// What the placer may hold, and which other processes of it there are.
    limits: Limits,
    process_group: ProcessGroup,
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
        let watch = operator
            .uses_health_monitor()
            .then(|| HealthReporter::new(operator, now));
        // The listeners, their connections, and those that are on their way out.
        let listeners =
            operator.health.agent_addresses.len() + operator.health.http_addresses.len();
        let polls = if operator.health.listens() {
            operator.health.max_connections + 4
        } else {
            0
        };
        let calls = if config.admin.is_some() {
            MOST_CALLERS + 1
        } else {
            0
        };
        let apart = listeners
            + polls
            + calls
            + if operator.control_socket.is_some() {
                6
            } else {
                0
            };
        // What a cold host was sent is looked back on for that time, and counted by clocks that differ.
        let process_group = ProcessGroup::new(
            2 * config
                .settings
                .collapse_window
                .max(config.settings.connect_timeout),
        );
        let counters = RequestCounters::new(config.names.classes.len());
        conn::bound_queues(config.limits.memory / QUEUES);
        Dispatch {
            clock,
            tasks,
            clients: Clients::new(config.limits.sockets, apart),
            name: config.name,
            facade: Facade::with_overload_control(
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
            pool: ConnectionPool::new(usize::MAX),
            at_hosts: AtHosts::default(),
            requests: BTreeMap::new(),
            by_id: BTreeMap::new(),
            ended: BTreeMap::new(),
            next_ticket: 0,
            connect_timeout,
            warm,
            known: config.known,
            feed_up: false,
            closing_since: None,
            watch,
            gate: Rc::new(ConnectionLimiter::new(operator.health.max_connections)),
            orders: Vec::new(),
            lifecycle: Lifecycle::default(),
            counters,
            limits: config.limits,
            process_group,
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
            let Some((whole, hosts)) = event.members else {
                continue;
            };
            let (entries, _) = self.update_hosts(now, whole, hosts);
            let news = if i == 0 {
                PlacementEvent::EndpointsCached(entries)
            } else {
                PlacementEvent::EndpointsChanged {
                    is_complete: whole,
                    endpoints: entries,
                }
            };
            self.tell(now, news);
        }
        info!(
            name = self.name,
            hosts = self.hosts.len(),
            warm = self.warm,
            "serves"
        );
    }

    /// Takes over what the process may hold.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
        let processes = 1 + self.process_group.live_peers() as usize;
        self.clients.limit(limits.sockets / processes);
        self.share_out();
        conn::bound_queues(limits.memory / QUEUES / processes);
    }

    /// The names that the settings state.
    pub fn names(&self) -> &Names {
        self.facade.names()
    }
}
