//! Tracks every request and its state, and connects the sockets and timers with the decision module. Dispatch never
//! blocks, and never decides where a task is placed.
//!
//! Socket events and expired timers arrive here and are reported to the facade, which returns decisions for dispatch to
//! apply. Only dispatch sends final responses to clients, and within it only the module `responses` does.
//!
//! ```text
//!    client_messages ──────┐                               apply_decisions
//!    host_messages ────────┤ report_event ┌───────────┐ ──────────────────▶ attempts, responses, running_tasks
//!    discovery, endpoint_  │              │ decisions │                                  │
//!      updates ────────────┼────────────▶ └───────────┘                                  │ host_connections (within the
//!    host_connections ─────┤                │       ▲                                    │ slots of connection_slots),
//!    timers ───────────────┘          event ▼       │ decisions                          ▼ clients
//!                                       facade::Facade                                  peers
//! ```
//!
//! `request` and `timer_event` define the data types. `requests` maintains the table of requests and has a diagram of
//! their states; `request_index` finds requests by host. `peer_processes` and `peer_task_ends` cooperate with the
//! placer's other processes. `shutdown`, `admin_commands`, `health_inputs` and `overload_report` implement what the platform and
//! operators control and observe. The connection modules (`clients`,
//! `hosts`, `feed`, `peers`) do not depend on dispatch, which implements their event traits.

mod address_reuse;
mod admin_commands;
mod adoption_memory;
mod attempts;
mod client_messages;
mod connection_slots;
mod decisions;
mod discovery;
mod ended_tasks;
mod endpoint_updates;
mod health_inputs;
mod host_connections;
mod host_messages;
mod invalid_task_request;
mod loop_lag;
mod overload_log;
mod overload_report;
mod peer_processes;
mod peer_task_ends;
mod request;
mod request_index;
mod request_memory;
mod requests;
mod responses;
mod running_tasks;
mod shutdown;
mod timer_event;
mod timers;
mod untracked_tasks;

use super::clients::Clients;
use super::clock::Clock;
use super::codec::TaskId;
use super::codec::feed::FeedMessage;
use super::config::{Config, Limits};
use super::conn;
use super::feed::FeedEvents;
use super::health::connection_limiter::ConnectionLimiter;
use super::health::reporter::HealthReporter;
use super::hosts::{ConnectCounters, ConnectionId, HostLink};
use super::peers::PeerId;
use super::peers::forwarded_releases::ForwardedReleases;
use super::peers::remote_tasks::RemoteTasks;
use super::timer_wheel::TimerWheel;
use crate::operator::Operator;
use adoption_memory::AdoptionMemory;
use async_executor::LocalExecutor;
use ended_tasks::EndedTasks;
use loop_lag::LoopLag;
use overload_log::OverloadLog;
use peer_processes::PeerProcess;
use request::Request;
use request_index::RequestIndex;
use request_memory::RequestMemory;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use task_placer::descriptors::ConnectionPool;
use task_placer::facade::{Facade, PlacementEvent, Ticket};
use task_placer::operation::counters::RequestCounters;
use task_placer::operation::lifecycle::Lifecycle;
use task_placer::operation::process_group::ProcessGroup;
use task_placer::{HostId, Micros, Settings};
use timer_event::{SWEEP_INTERVAL, TimerEvent};
use tracing::info;

const MILLISECOND: Micros = 1_000;
/// The maximum number of concurrent admin connections. It bounds their descriptors, which are reserved separately from
/// those of clients and hosts. At the limit, a connection that has sent only part of a line is evicted for the next
/// one.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;
/// Descriptors reserved for health check connections that are still closing while new ones replace them.
const CLOSING_HEALTH_CONNECTIONS: usize = 4;
/// Descriptors reserved for the control socket: its listener, its connections, and one connection that is closing.
const CTL_DESCRIPTORS: usize = 6;
/// The offset of the clock from Unix time, which it already returns.
const UNIX_CLOCK_OFFSET: Micros = 0;
/// Write queues may use at most the memory limit divided by this.
const QUEUE_MEMORY_DIVISOR: usize = 6;
/// Unfinished messages of clients may use at most the memory limit divided by this.
const INPUT_MEMORY_DIVISOR: usize = 8;

/// The dispatch, shared by all tasks of the executor.
pub type SharedDispatch = Rc<RefCell<Dispatch>>;

/// Spawns asynchronous tasks that share the dispatch.
pub struct TaskSpawner {
    shared: Weak<RefCell<Dispatch>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl TaskSpawner {
    /// Creates a spawner that runs tasks on `executor`.
    pub fn new(
        shared: Weak<RefCell<Dispatch>>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> TaskSpawner {
        TaskSpawner { shared, executor }
    }

    /// Spawns a detached task, which runs until it completes.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}

/// The state of the network side: all requests, the connections to clients and hosts, and the lifecycle of the process.
pub struct Dispatch {
    pub(super) clock: Clock,
    pub(super) task_spawner: TaskSpawner,
    pub(super) clients: Clients,
    /// The placer's name, used in the log.
    name: String,
    facade: Facade,
    timer_wheel: TimerWheel<TimerEvent>,
    /// The number of timers at which those without effect are discarded.
    timer_compaction_at: usize,
    hosts: BTreeMap<HostId, HostLink>,
    /// Hosts with pending attempts that wait because the connection's write queue is not empty.
    backlogged_hosts: BTreeSet<HostId>,
    /// The number of hosts that have not been removed.
    active_hosts: usize,
    /// Decides which hosts have a connection.
    connection_pool: ConnectionPool<HostId, (HostId, ConnectionId)>,
    request_index: RequestIndex,
    requests: BTreeMap<Ticket, Request>,
    request_memory: RequestMemory,
    adoptions: AdoptionMemory,
    tickets_by_task: BTreeMap<TaskId, Ticket>,
    ended_tasks: EndedTasks,
    /// The tasks that other processes have lately sent to a host.
    tried_by_peers: EndedTasks,
    next_ticket: u64,
    connect_timeout: Micros,
    /// Whether hosts are connected to before a connection is needed, which is so if the settings put no price on
    /// connections.
    preconnects: bool,
    /// The feed messages stored in the configuration, until [`Dispatch::start`] consumes them.
    cached_updates: Vec<FeedMessage>,
    is_discovery_up: bool,
    /// When the feed last became available, or became so for the first time.
    discovery_up_since: Micros,
    /// When the last message of the feed arrived.
    discovery_heard_at: Micros,
    /// When the shutdown began, if it has begun.
    shutdown_since: Option<Micros>,
    /// The health engine, if the operator's file enables it.
    pub(super) health_reporter: Option<HealthReporter>,
    /// Limits the connections from load balancers.
    pub(super) balancer_connections: Rc<ConnectionLimiter>,
    /// The limiters of the connections from operators and from the platform, one for each listener.
    pub(super) operator_connections: Vec<Rc<ConnectionLimiter>>,
    /// Whether a drain is complete, so that the process may exit.
    is_drained: bool,
    /// Whether the process is about to exit, so that no further connection to a host is made.
    is_exiting: bool,
    /// Whether this process accepts requests, according to the platform's commands.
    lifecycle: Lifecycle,
    /// Counts requests and attempts by class.
    pub(super) counters: RequestCounters,
    /// Counts the established connections to hosts by reason.
    connect_counters: ConnectCounters,
    /// The limits of the placer, shared by all its processes.
    limits: Limits,
    process_group: ProcessGroup,
    /// The other processes of this placer that are connected.
    peers: BTreeMap<PeerId, PeerProcess>,
    next_peer: u64,
    /// The tasks that other processes are responsible for.
    remote_tasks: RemoteTasks,
    /// Tasks that have ended since the other processes were last told so.
    ended_since_announcement: Vec<TaskId>,
    /// Releases of tasks that this process does not know.
    forwarded_releases: ForwardedReleases,
    /// Whether the listening socket was inherited from the platform, so that other processes of this placer accept from
    /// it too.
    pub(super) shares_listener: bool,
    /// Whether a drain for load balancers, or maintenance, requires connections without a task to be closed.
    closes_idle_clients: bool,
    /// Whether clients can connect.
    pub(super) is_listening: bool,
    overload_log: OverloadLog,
    loop_lag: LoopLag,
}

impl Dispatch {
    /// Creates a dispatch without hosts; [`Dispatch::start`] applies the cached endpoint list.
    pub fn new(config: Config, operator: &Operator, task_spawner: TaskSpawner) -> Dispatch {
        let clock = Clock::default();
        let now = clock.now();
        let reserved = reserved_descriptors(&config, operator);
        let accounting_window = slow_start_accounting_window(&config.settings);
        Dispatch {
            clock,
            task_spawner,
            clients: Clients::new(config.limits.descriptors, reserved),
            name: config.name,
            connect_timeout: config.settings.connect_timeout,
            preconnects: config.settings.price_handshake <= 0.0,
            counters: RequestCounters::new(config.names.classes.len()),
            connect_counters: ConnectCounters::default(),
            facade: Facade::with_overload_control(
                config.settings,
                config.names,
                config.seed,
                operator.overload.clone(),
                UNIX_CLOCK_OFFSET,
            ),
            timer_wheel: TimerWheel::new(now),
            timer_compaction_at: timers::MIN_TIMERS_TO_COMPACT,
            hosts: BTreeMap::new(),
            backlogged_hosts: BTreeSet::new(),
            active_hosts: 0,
            connection_pool: ConnectionPool::new(usize::MAX),
            request_index: RequestIndex::default(),
            requests: BTreeMap::new(),
            request_memory: RequestMemory::new(config.limits.memory_bytes),
            adoptions: AdoptionMemory::new(config.limits.memory_bytes),
            tickets_by_task: BTreeMap::new(),
            ended_tasks: EndedTasks::new(config.limits.memory_bytes),
            tried_by_peers: EndedTasks::new(config.limits.memory_bytes),
            next_ticket: 0,
            cached_updates: config.cached_updates,
            is_discovery_up: false,
            discovery_up_since: 0,
            discovery_heard_at: 0,
            shutdown_since: None,
            health_reporter: operator
                .uses_health_monitor()
                .then(|| HealthReporter::new(operator, now)),
            balancer_connections: Rc::new(ConnectionLimiter::new(operator.health.max_connections)),
            operator_connections: Vec::new(),
            is_drained: false,
            is_exiting: false,
            lifecycle: Lifecycle::default(),
            limits: config.limits,
            process_group: ProcessGroup::new(accounting_window),
            peers: BTreeMap::new(),
            next_peer: 0,
            remote_tasks: RemoteTasks::default(),
            ended_since_announcement: Vec::new(),
            forwarded_releases: ForwardedReleases::default(),
            shares_listener: false,
            closes_idle_clients: false,
            is_listening: false,
            overload_log: OverloadLog::default(),
            loop_lag: LoopLag::new(now),
        }
    }

    /// Starts the periodic sweep, and applies the endpoint list that is stored in the configuration.
    pub fn start(&mut self) {
        limit_connection_memory(self.limits.memory_bytes);
        let now = self.clock.now();
        self.add_timer(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        let cached_updates = std::mem::take(&mut self.cached_updates);
        for (index, message) in cached_updates.into_iter().enumerate() {
            self.endpoints_rejected(&message.rejected);
            let Some(update) = message.update else {
                continue;
            };
            let is_complete = update.is_complete;
            let endpoints = self.apply_endpoint_update(now, update).endpoints;
            let event = if index == 0 {
                PlacementEvent::EndpointsCached(endpoints)
            } else {
                PlacementEvent::EndpointsChanged {
                    is_complete,
                    endpoints,
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

    /// Applies the limits of the placer, of which this process and each live peer process use an equal share.
    pub fn apply_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let processes = 1 + self.process_group.live_peers() as usize;
        self.clients
            .set_descriptor_limit(limits.descriptors / processes);
        self.split_descriptors();
        let memory_bytes = limits.memory_bytes / processes;
        limit_connection_memory(memory_bytes);
        self.limit_request_memory(self.clock.now(), memory_bytes);
        self.limit_adoption_memory(self.clock.now(), memory_bytes);
        self.ended_tasks.set_memory_limit(memory_bytes);
        self.tried_by_peers.set_memory_limit(memory_bytes);
    }
}

/// Sets the memory that the data of all connections may use, for a process that may use `memory_bytes` in all.
fn limit_connection_memory(memory_bytes: usize) {
    conn::set_max_queued_bytes(memory_bytes / QUEUE_MEMORY_DIVISOR);
    conn::set_max_unfinished_input(memory_bytes / INPUT_MEMORY_DIVISOR);
}

/// Returns how many descriptors are reserved for load balancers, operators and the platform.
fn reserved_descriptors(config: &Config, operator: &Operator) -> usize {
    let health = &operator.health;
    let health_listeners = health.agent_addresses.len() + health.http_addresses.len();
    let health_connections = if health.listens() {
        health.max_connections + CLOSING_HEALTH_CONNECTIONS
    } else {
        0
    };
    let admin = if config.admin.is_some() {
        MAX_ADMIN_CONNECTIONS + 1
    } else {
        0
    };
    let ctl = if operator.control_socket.is_some() {
        CTL_DESCRIPTORS
    } else {
        0
    };
    health_listeners + health_connections + admin + ctl
}

/// Returns how long an attempt counts against the slow-start budget: twice the nominal time, because the placers that
/// count it have different clocks.
fn slow_start_accounting_window(settings: &Settings) -> Micros {
    2 * settings.collapse_window.max(settings.connect_timeout)
}
