//! The generator: requests tasks when they are due, feeds the clients' state machine with responses, and carries its
//! effects out. It runs on one thread; what its tasks share is borrowed one at a time and never over an `await`.

use super::connection::Connection;
use super::{MILLISECOND, SECOND, micros};
use crate::arrivals::Arrival;
use crate::clients::{Clients, Effect, EngineSettings, Event, Fate, Response, WantedTask};
use crate::load_balancer::ZonalLoadBalancer;
use crate::load_profile::{LoadProfile, Micros};
use crate::outcome::TaskRecord;
use crate::plan::Plan;
use async_executor::LocalExecutor;
use async_io::Timer;
use emulator::cluster::describe;
use emulator::event_log::{ClientNotice, Event as LogEvent, EventLog, fingerprint};
use emulator::host_model::Offer;
use emulator::load_balancer::polling::ServerAddresses;
use emulator::{Message, encode_message};
use futures_lite::future;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// The key of the first task; the others follow.
const FIRST_KEY: u64 = 0xabc0_0000;
/// Maximum lateness that is recorded, in microseconds.
const MAX_LATENESS_MICROS: u64 = 60_000_000;
/// Significant digits of the recorded lateness.
const LATENESS_DIGITS: u8 = 3;
/// After so many tasks the sockets get their turn, even if the next tasks are due already.
const TASKS_PER_TURN: usize = 64;
/// How soon clients of lost tasks request them again.
const MIN_RECONNECT_DELAY: Micros = 50 * MILLISECOND;
const MAX_RECONNECT_DELAY: Micros = SECOND;
/// Maximum time between two ticks of the clients, and minimum time.
const MAX_TICK_INTERVAL: Micros = 20 * MILLISECOND;
const MIN_TICK_INTERVAL: Micros = MILLISECOND;
/// How often settling tasks are looked up in the event log.
const SETTLING_CHECK_INTERVAL: Micros = 100 * MILLISECOND;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Message types, parameters and causes of the protocol.
const REQUEST: u8 = 1;
const PLACED: u8 = 9;
const RELEASED: u8 = 12;
const END_ACKNOWLEDGED: u8 = 16;
const MIGRATED: u8 = 51;
const CLASS: u8 = 129;
const WAIT_MS: u8 = 132;
const TENANT: u8 = 135;
const IS_RETRY: u8 = 138;
const KEY: u8 = 141;
const REQUIREMENTS: u8 = 144;
const RETRY_AFTER_MS: u8 = 147;
const CAUSE: u8 = 171;
const DESCRIPTION: u8 = 174;
const CAUSE_COMPLETE: u8 = 16;
const CANCELLED: u8 = 16;

/// Whether a cause says that a request was rejected without effect.
fn is_rejection(cause: u8) -> bool {
    matches!(cause, 34 | 42 | 102)
}

/// The number of a service on the wire.
fn service_number(arrival: &Arrival) -> u64 {
    ((arrival.class as u64 + 1) << 32) | (u64::from(arrival.service) + 1)
}

/// A request as it was sent.
#[derive(Clone)]
pub(super) struct SentRequest {
    key: u64,
    pub(super) bytes: Vec<u8>,
    /// What the event log records once it is written.
    pub(super) event: LogEvent,
    /// Whether it was sent again on another connection.
    pub(super) was_resent: bool,
}

/// An attempt that is about to be sent.
struct Attempt {
    id: u64,
    wait: Micros,
    placer: usize,
    is_retry: bool,
    /// The host that already runs the task.
    running_at: Option<usize>,
    now: Micros,
}

/// What the tasks of the generator share.
pub(super) struct GeneratorState {
    pub(super) clients: Clients,
    pub(super) balancer: ZonalLoadBalancer,
    pub(super) connections: BTreeMap<u64, Connection>,
    pub(super) next_connection: u64,
    pub(super) tasks: HashMap<u64, TaskRecord>,
    pub(super) sent: HashMap<u64, SentRequest>,
    /// How late tasks were requested, in microseconds.
    pub(super) lateness: Histogram<u64>,
    /// Counts requests, to spread those without a placer that is up.
    request_count: usize,
}

impl GeneratorState {
    fn new(plan: &Plan) -> GeneratorState {
        let clients = &plan.clients;
        let settings = EngineSettings {
            policy: clients.retry_policy,
            min_backoff: micros(clients.min_backoff),
            max_backoff: micros(clients.max_backoff),
            retry_budget: clients.retry_budget,
            retry_after_compliance: clients.retry_after_compliance,
            settle_time: micros(clients.settle_time),
            reconnect_delay: (MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY),
        };
        let first_id = (plan.seed.wrapping_mul(0x9e37_79b9) << 24) | 1;
        GeneratorState {
            clients: Clients::new(settings, plan.seed, first_id),
            balancer: ZonalLoadBalancer::new(plan.placers.count, plan.zones.len()),
            connections: BTreeMap::new(),
            next_connection: 0,
            tasks: HashMap::new(),
            sent: HashMap::new(),
            lateness: Histogram::new_with_bounds(1, MAX_LATENESS_MICROS, LATENESS_DIGITS)
                .unwrap_or_else(|_| Histogram::new(LATENESS_DIGITS).expect("3 digits")),
            request_count: 0,
        }
    }
}

/// The generator.
pub(super) struct Generator {
    pub(super) log: EventLog,
    pub(super) plan: Plan,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) placers: Vec<ServerAddresses>,
    pub(super) state: RefCell<GeneratorState>,
    /// When the plan begins.
    pub(super) start: Cell<Micros>,
    pub(super) stopped: Cell<bool>,
}

impl Generator {
    pub(super) fn new(
        plan: &Plan,
        log: EventLog,
        executor: Rc<LocalExecutor<'static>>,
        placers: Vec<ServerAddresses>,
    ) -> Generator {
        Generator {
            log,
            plan: plan.clone(),
            executor,
            placers,
            state: RefCell::new(GeneratorState::new(plan)),
            start: Cell::new(0),
            stopped: Cell::new(false),
        }
    }

    /// Has each task requested when it is due.
    pub(super) async fn run_arrivals(
        self: &Rc<Self>,
        start: Micros,
        arrivals: &[Arrival],
        profile: &LoadProfile,
    ) {
        for (n, arrival) in arrivals.iter().enumerate() {
            let due = start + arrival.due;
            if self.log.now() < due {
                Timer::at(self.log.instant(due)).await;
            }
            self.request_new_task(FIRST_KEY + n as u64, due, arrival, profile);
            if n % TASKS_PER_TURN == TASKS_PER_TURN - 1 {
                future::yield_now().await;
            }
        }
    }

    fn request_new_task(
        self: &Rc<Self>,
        key: u64,
        due: Micros,
        arrival: &Arrival,
        profile: &LoadProfile,
    ) {
        let now = self.log.now();
        let lateness = u64::try_from(now - due).unwrap_or(0);
        let phase = profile
            .phases
            .partition_point(|phase| phase.start <= arrival.due)
            .saturating_sub(1);
        {
            let mut state = self.state.borrow_mut();
            state.lateness.saturating_record(lateness);
            let task = TaskRecord {
                key,
                arrival: arrival.clone(),
                phase,
                started: None,
                answered: None,
                attempts: 0,
                rejections: 0,
                placer: None,
                fate: None,
            };
            state.tasks.insert(key, task);
        }
        let class = self.plan.classes.get(arrival.class);
        let wanted = WantedTask {
            key,
            due,
            ends_at: due + arrival.run_time.max(1),
            timeout: class.map_or(SECOND, |class| micros(class.client_timeout)),
            non_idempotent: class.is_some_and(|class| class.non_idempotent),
        };
        self.notify_clients(now, Event::TaskDue(wanted), None);
    }

    /// Feeds the clients an event, and carries the effects out. Reconnections go to `placer` if it is given.
    pub(super) fn notify_clients(
        self: &Rc<Self>,
        now: Micros,
        event: Event,
        placer: Option<usize>,
    ) {
        let effects = self.state.borrow_mut().clients.handle(now, event);
        self.apply_effects(now, effects, placer);
    }

    fn apply_effects(self: &Rc<Self>, now: Micros, effects: Vec<Effect>, placer: Option<usize>) {
        for effect in effects {
            match effect {
                Effect::RequestTask {
                    key,
                    id,
                    wait,
                    is_retry,
                } => self.request_task(now, key, id, wait, is_retry),
                Effect::CancelRequest(id) => {
                    self.log.record(LogEvent::ClientGaveUp { id });
                    let release = encode_message(RELEASED, id, &[(CAUSE, &[CANCELLED])]);
                    self.send_on_request_connection(id, &release);
                }
                Effect::Reconnect { key, id } => self.reconnect(now, key, id, placer),
                // The acknowledgement goes out where the message was read.
                Effect::AcknowledgeEnd(_) => {}
                Effect::TaskDone(key, fate) => self.task_done(key, fate),
            }
        }
    }

    fn task_done(&self, key: u64, fate: Fate) {
        let mut state = self.state.borrow_mut();
        if let Some(task) = state.tasks.get_mut(&key) {
            task.fate = Some(fate);
        }
        state.sent.retain(|_, sent| sent.key != key);
    }

    /// Encodes a request for a task.
    fn encode_request(&self, task: &TaskRecord, attempt: &Attempt) -> SentRequest {
        let arrival = &task.arrival;
        let class = self.plan.classes.get(arrival.class);
        let tenant = self.plan.tenants.get(arrival.tenant);
        let offer = Offer {
            id: attempt.id,
            service: service_number(arrival),
            cores: arrival.cores,
            memory: arrival.memory,
            priority: class.map_or(0, |class| class.priority),
            run_time: self.remaining_run_time(task, attempt.now),
            time_left: 0,
        };
        let description = describe(&offer, task.key);
        let mut requirements = format!(
            "cores:{};memory:{};service:{:016x}",
            offer.cores, offer.memory, offer.service
        );
        let host_name = attempt.running_at.and_then(|host| self.log.host_name(host));
        if let Some(name) = host_name {
            requirements.push_str(&format!(";at:{name}"));
        }
        let wait_ms = (attempt.wait / MILLISECOND).to_string();
        let key = format!("{:016x}", task.key);
        let class_name = class.map_or("", |class| class.name.as_str());
        let tenant_name = tenant.map_or("", |tenant| tenant.name.as_str());
        let mut parameters: Vec<(u8, &[u8])> = vec![
            (CLASS, class_name.as_bytes()),
            (WAIT_MS, wait_ms.as_bytes()),
            (TENANT, tenant_name.as_bytes()),
        ];
        if attempt.is_retry {
            parameters.push((IS_RETRY, b"1"));
        }
        parameters.extend([
            (KEY, key.as_bytes()),
            (REQUIREMENTS, requirements.as_bytes()),
            (DESCRIPTION, description.as_bytes()),
        ]);
        let event = LogEvent::TaskRequested {
            id: attempt.id,
            key: task.key,
            class: arrival.class,
            service: offer.service,
            placer: attempt.placer,
            wait: attempt.wait / MILLISECOND * MILLISECOND,
            description: fingerprint(&description),
            running_at: attempt.running_at,
        };
        SentRequest {
            key: task.key,
            bytes: encode_message(REQUEST, attempt.id, &parameters),
            event,
            was_resent: false,
        }
    }

    fn request_task(self: &Rc<Self>, now: Micros, key: u64, id: u64, wait: Micros, is_retry: bool) {
        let Some((task, placer)) = self.pick_placer(key) else {
            return;
        };
        let sent = self.encode_request(
            &task,
            &Attempt {
                id,
                wait,
                placer,
                is_retry,
                running_at: None,
                now,
            },
        );
        self.state.borrow_mut().sent.insert(id, sent.clone());
        self.send_request(placer, id, &sent.bytes);
    }

    /// Counts an attempt of a task and picks its placer. Where none is up, clients try one all the same.
    fn pick_placer(&self, key: u64) -> Option<(TaskRecord, usize)> {
        let mut state = self.state.borrow_mut();
        let zone = state.tasks.get(&key).map_or(0, |task| task.arrival.zone);
        let placer = state.balancer.pick(zone);
        if let Some(task) = state.tasks.get_mut(&key) {
            task.attempts += 1;
        }
        let fallback = state.request_count % self.placers.len().max(1);
        state.request_count += 1;
        let task = state.tasks.get(&key).cloned()?;
        Some((task, placer.unwrap_or(fallback)))
    }

    /// How long a task is still wanted.
    fn remaining_run_time(&self, task: &TaskRecord, now: Micros) -> Micros {
        let end = self.start.get() + task.arrival.due + task.arrival.run_time;
        (end - now).max(MILLISECOND)
    }

    /// Reconnects to a running task through a placer.
    fn reconnect(self: &Rc<Self>, now: Micros, key: u64, id: u64, placer: Option<usize>) {
        let running = self.log.running_task(key).filter(|task| task.id == id);
        let Some(running) = running else {
            return self.notify_clients(now, Event::Response(id, Response::Lost), None);
        };
        let picked = {
            let mut state = self.state.borrow_mut();
            let task = state.tasks.get(&key).cloned();
            let zone = task.as_ref().map_or(0, |task| task.arrival.zone);
            task.and_then(|task| Some((task, placer.or_else(|| state.balancer.pick(zone))?)))
        };
        let Some((task, placer)) = picked else { return };
        let sent = self.encode_request(
            &task,
            &Attempt {
                id,
                wait: 0,
                placer,
                is_retry: false,
                running_at: Some(running.host),
                now,
            },
        );
        self.log.record(sent.event.clone());
        self.state.borrow_mut().clients.assign_placer(id, placer);
        let connection = self.send_message(placer, &sent.bytes);
        let mut state = self.state.borrow_mut();
        if let Some(connection) = state.connections.get_mut(&connection) {
            connection.running_tasks.insert(id);
        }
    }

    /// Handles a message of a placer, on a connection of its own or of the health checks.
    pub(super) fn handle_message(
        self: &Rc<Self>,
        connection: Option<u64>,
        placer: usize,
        message: &Message,
    ) {
        let now = self.log.now();
        let id = message.id;
        let cause = message
            .get(CAUSE)
            .and_then(|cause| cause.first().copied())
            .unwrap_or(0);
        self.update_connections(connection, message);
        let notice = match message.kind {
            PLACED => {
                let description = message.text(DESCRIPTION).unwrap_or_default();
                ClientNotice::Placed(fingerprint(description))
            }
            RELEASED => ClientNotice::Released(cause),
            MIGRATED => ClientNotice::Migrated,
            _ => return,
        };
        let was_open = self.state.borrow().clients.is_open(id);
        if was_open {
            self.record_answer(now, id, placer, notice);
        }
        self.log
            .record_at(now, LogEvent::ClientNotified { id, notice });
        let retry_after = message
            .text(RETRY_AFTER_MS)
            .and_then(|ms| ms.parse::<i64>().ok())
            .map(|ms| ms * MILLISECOND);
        let response = response(notice, was_open, retry_after);
        self.notify_clients(now, Event::Response(id, response), None);
        let mut state = self.state.borrow_mut();
        if response == Response::Placed {
            state.clients.assign_placer(id, placer);
        }
        if !was_open && message.kind == RELEASED {
            let connection = connection.and_then(|id| state.connections.get_mut(&id));
            if let Some(connection) = connection {
                connection.push(&encode_message(END_ACKNOWLEDGED, id, &[]));
            }
        }
    }

    /// Updates which connections carry the task of a message.
    fn update_connections(&self, connection: Option<u64>, message: &Message) {
        let id = message.id;
        let mut state = self.state.borrow_mut();
        let connection = connection.and_then(|id| state.connections.get_mut(&id));
        if let Some(connection) = connection {
            connection.open_requests.remove(&id);
            if message.kind == PLACED {
                connection.running_tasks.insert(id);
            }
        }
        if message.kind != PLACED {
            for connection in state.connections.values_mut() {
                connection.running_tasks.remove(&id);
            }
        }
    }

    /// Records the answer to an open request with its task.
    fn record_answer(&self, now: Micros, id: u64, placer: usize, notice: ClientNotice) {
        let mut state = self.state.borrow_mut();
        let key = state.clients.key(id);
        let Some(task) = key.and_then(|key| state.tasks.get_mut(&key)) else {
            return;
        };
        let elapsed = now - self.start.get() - task.arrival.due;
        task.answered = task.answered.or(Some(elapsed));
        task.placer = Some(placer);
        match notice {
            ClientNotice::Placed(_) => task.started = task.started.or(Some(elapsed)),
            ClientNotice::Released(cause) if is_rejection(cause) => task.rejections += 1,
            ClientNotice::Released(_) | ClientNotice::Migrated => {}
        }
    }

    /// Ticks the clients for the whole run, and looks up settling tasks that turn out to run.
    pub(super) async fn tick_clients(self: Rc<Self>) {
        let mut checked_at = 0;
        loop {
            let now = self.log.now();
            let effects = self.state.borrow_mut().clients.tick(now);
            self.apply_effects(now, effects, None);
            if now - checked_at > SETTLING_CHECK_INTERVAL {
                checked_at = now;
                self.find_settling_tasks(now);
            }
            let next_due = self.state.borrow().clients.next_due();
            let next = next_due
                .unwrap_or(now + SECOND)
                .min(now + MAX_TICK_INTERVAL)
                .max(now + MIN_TICK_INTERVAL);
            Timer::at(self.log.instant(next)).await;
        }
    }

    fn find_settling_tasks(self: &Rc<Self>, now: Micros) {
        let settling = self.state.borrow().clients.settling_tasks();
        for key in settling {
            if let Some(running) = self.log.running_task(key) {
                let id = running.id;
                self.notify_clients(now, Event::RunningTaskFound { key, id }, None);
            }
        }
    }

    /// Shows the progress of the run on the terminal.
    pub(super) async fn show_progress(self: Rc<Self>, start: Micros, length: Micros, total: usize) {
        loop {
            Timer::after(PROGRESS_INTERVAL).await;
            let state = self.state.borrow();
            let placed = state
                .tasks
                .values()
                .filter(|task| task.started.is_some())
                .count();
            let (due, open) = (state.tasks.len(), state.clients.open_count());
            let elapsed = (self.log.now() - start).max(0) / SECOND;
            let lateness = state.lateness.value_at_quantile(0.99) as f64 / 1_000.0;
            eprint!(
                "\r{elapsed:>4} of {} s  {due}/{total} due  {placed} started  {open} open  own lateness p99 {lateness:.1} ms   ",
                length / SECOND
            );
        }
    }
}

/// What a notice means for the client of a request.
fn response(notice: ClientNotice, was_open: bool, retry_after: Option<Micros>) -> Response {
    match notice {
        ClientNotice::Placed(_) => Response::Placed,
        ClientNotice::Migrated => Response::Migrated,
        ClientNotice::Released(cause) if was_open && is_rejection(cause) => {
            Response::Rejected(retry_after)
        }
        ClientNotice::Released(CAUSE_COMPLETE) => Response::Ended,
        ClientNotice::Released(_) if was_open => Response::Failed,
        ClientNotice::Released(_) => Response::Lost,
    }
}
