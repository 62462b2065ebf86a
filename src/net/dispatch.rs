//! Owns one state per request: who is owed what. Everything that happens on a socket or the wheel ends here, is told to
//! the facade, and comes back as decisions. It never waits, and never decides where a task goes.
//!
//! This is the only place that sends a final answer, and of its modules only `answers` does.
//!
//! ```text
//!    client_messages ──┐                            apply_decisions
//!    host_messages ────┤  tell   ┌──────────┐ ─────────────────▶ offers, answers, standing
//!    feed_messages ────┼───────▶ │ decisions │                       │
//!    links ────────────┤         └──────────┘                       │ through links (connections to hosts),
//!    timers ───────────┘           │      ▲                         │ of which slots says how many there may be,
//!                             event ▼      │ decisions                ▼ and clients
//!                                 facade::Facade                   peers
//! ```
//!
//! `requests` holds the states and draws them, `at_hosts` lists them by host. `shutdown`, `operating`, `watching` and
//! `bounds` are what the platform and operators see of the process.

mod admin_commands;
mod attempts;
mod client_messages;
mod connection_slots;
mod decisions;
mod discovery;
mod health_inputs;
mod host_connections;
mod host_messages;
mod invalid_task_request;
mod overload_report;
mod request_index;
mod requests;
mod responses;
mod running_tasks;
mod shutdown;
mod timers;

use super::clients::Clients;
use super::clock::Clock;
use super::codec::TaskId;
use super::codec::feed::FeedMessage;
use super::config::{Config, Limits};
use super::conn;
use super::health::gate::Gate;
use super::health::watch::Watch;
use super::hosts::{ConnectionId, HostLink};
use super::wheel::Wheel;
use crate::operator::Operator;
use async_executor::LocalExecutor;
use request_index::RequestIndex;
use requests::{Ended, Request};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use task_placer::descriptors::Pool;
use task_placer::facade::{Facade, PlacementEvent, Ticket};
use task_placer::operation::company::Company;
use task_placer::operation::duty::Duty;
use task_placer::operation::tally::Tally;
use task_placer::settings::Names;
use task_placer::{HostId, Micros};
use timers::{SWEEP, TimerEvent};
use tracing::info;

const MILLI: Micros = 1_000;
/// Operators' callers at a time. Guards the descriptors, which are set apart from the clients' and the hosts'; one
/// that has said half a line makes room for the next.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;
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
    wheel: Wheel<TimerEvent>,
    hosts: BTreeMap<HostId, HostLink>,
    /// Hosts that have not taken what is queued for them, while offers wait behind it.
    backlogged_hosts: BTreeSet<HostId>,
    /// Hosts that are not gone.
    active_hosts: usize,
    /// Which of them have a connection.
    connection_pool: Pool<HostId, (HostId, ConnectionId)>,
    /// The requests by the host that they are at.
    request_index: RequestIndex,
    requests: BTreeMap<Ticket, Request>,
    tickets_by_task: BTreeMap<TaskId, Ticket>,
    ended_tasks: BTreeMap<TaskId, Ended>,
    next_ticket: u64,
    connect_timeout: Micros,
    /// Hosts are called before anything is wanted of them: where connections have no price.
    preconnects: bool,
    cached_updates: Vec<FeedMessage>,
    is_discovery_up: bool,
    /// When the process began to close.
    shutdown_since: Option<Micros>,
    /// What balancers are told, where an operator's file asks for it.
    pub(super) watch: Option<Watch>,
    /// The connections of balancers.
    pub(super) gate: Rc<Gate>,
    /// And of operators.
    pub(super) orders: Vec<Rc<Gate>>,
    /// A drain is over.
    is_drained: bool,
    /// Whether this process takes requests, by the platform's orders.
    lifecycle: Duty,
    /// What it has done.
    pub(super) counters: Tally,
    /// What the placer may hold, and which other processes of it there are.
    limits: Limits,
    process_group: Company,
    /// The listening socket is the platform's, and other processes of this placer accept from it.
    pub(super) shares_listener: bool,
    /// Balancers' drain, or maintenance, wants connections closed that carry no task.
    closes_idle_clients: bool,
    /// Clients can connect.
    pub(super) is_listening: bool,
    /// What of the engine of overloads was logged.
    overload_log: overload_report::OverloadLog,
}

impl Dispatch {
    /// A dispatch that has yet to take in what the configuration knows.
    pub fn new(config: Config, operator: &Operator, tasks: Tasks) -> Dispatch {
        let clock = Clock::default();
        let now = clock.now();
        let connect_timeout = config.settings.connect_timeout;
        let preconnects = config.settings.price_handshake <= 0.0;
        let watch = operator.watches().then(|| Watch::new(operator, now));
        // The listeners, their connections, and those that are on their way out.
        let listeners = operator.health.agent.len() + operator.health.http.len();
        let polls = if operator.health.listens() {
            operator.health.connections + 4
        } else {
            0
        };
        let calls = if config.admin.is_some() {
            MAX_ADMIN_CONNECTIONS + 1
        } else {
            0
        };
        let apart = listeners + polls + calls + if operator.ctl.is_some() { 6 } else { 0 };
        // What a cold host was sent is looked back on for that time, and counted by clocks that differ.
        let process_group = Company::new(
            2 * config
                .settings
                .collapse_window
                .max(config.settings.connect_timeout),
        );
        let counters = Tally::new(config.names.classes.len());
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
            backlogged_hosts: BTreeSet::new(),
            active_hosts: 0,
            connection_pool: Pool::new(usize::MAX),
            request_index: RequestIndex::default(),
            requests: BTreeMap::new(),
            tickets_by_task: BTreeMap::new(),
            ended_tasks: BTreeMap::new(),
            next_ticket: 0,
            connect_timeout,
            preconnects,
            cached_updates: config.known,
            is_discovery_up: false,
            shutdown_since: None,
            watch,
            gate: Rc::new(Gate::new(operator.health.connections)),
            orders: Vec::new(),
            lifecycle: Duty::default(),
            counters,
            limits: config.limits,
            process_group,
            shares_listener: false,
            closes_idle_clients: false,
            is_listening: false,
            is_drained: false,
            overload_log: overload_report::OverloadLog::default(),
        }
    }

    /// Takes in the events that the configuration holds.
    pub fn start(&mut self) {
        let now = self.clock.now();
        self.wheel.add(now + SWEEP, TimerEvent::Sweep);
        for (i, event) in std::mem::take(&mut self.cached_updates)
            .into_iter()
            .enumerate()
        {
            self.log_rejected_endpoints(&event.aside);
            let Some((whole, hosts)) = event.members else {
                continue;
            };
            let (entries, _) = self.apply_endpoint_update(now, whole, hosts);
            let event = if i == 0 {
                PlacementEvent::EndpointsCached(entries)
            } else {
                PlacementEvent::EndpointsChanged {
                    is_complete: whole,
                    endpoints: entries,
                }
            };
            self.report_event(now, event);
        }
        info!(
            name = self.name,
            hosts = self.hosts.len(),
            warm = self.preconnects,
            "serves"
        );
    }

    /// Takes over what the process may hold.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
        let processes = 1 + self.process_group.others() as usize;
        self.clients.limit(limits.sockets / processes);
        self.split_descriptors();
        conn::bound_queues(limits.memory / QUEUES / processes);
    }

    /// The names that the settings state.
    pub fn names(&self) -> &Names {
        self.facade.names()
    }
}
