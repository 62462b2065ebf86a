//! The load generator. It requests tasks when they are due, passes responses to the clients' state machine, and carries
//! out its effects. It runs on one thread; its async tasks share a state that is never borrowed across an `await`.

use super::protocol::{
    Attempt, CANCELLED, CAUSE, DESCRIPTION, END_ACKNOWLEDGED, MIGRATED, PLACED, RELEASED,
    RETRY_AFTER_MS, RunningHost, encode_request, is_rejection, response,
};
use super::state::GeneratorState;
use super::{MILLISECOND, SECOND, micros};
use crate::arrivals::Arrival;
use crate::clients::{Effect, Event, Fate, Response, WantedTask};
use crate::load_profile::{LoadProfile, Micros};
use crate::outcome::TaskRecord;
use crate::plan::Plan;
use async_executor::LocalExecutor;
use async_io::Timer;
use emulator::event_log::{ClientNotice, Event as LogEvent, EventLog, fingerprint};
use emulator::load_balancer::polling::ServerAddresses;
use emulator::{Message, encode_message};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Idempotency key of the first task; the keys of the others are consecutive.
const FIRST_KEY: u64 = 0xabc0_0000;
/// Number of requested tasks after which the generator yields to its connections, even if the next tasks are due.
const TASKS_PER_YIELD: usize = 64;
/// Maximum and minimum time between two ticks of the clients.
const MAX_TICK_INTERVAL: Micros = 20 * MILLISECOND;
const MIN_TICK_INTERVAL: Micros = MILLISECOND;
/// Time between two lookups of the settling tasks in the event log.
const SETTLING_CHECK_INTERVAL: Micros = 100 * MILLISECOND;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Generates the load of a run.
pub(super) struct Generator {
    pub(super) log: EventLog,
    pub(super) plan: Plan,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) placers: Vec<ServerAddresses>,
    pub(super) state: RefCell<GeneratorState>,
    /// When the plan begins, in the time of the event log.
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

    /// Requests each task when it is due.
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
            if n % TASKS_PER_YIELD == TASKS_PER_YIELD - 1 {
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
                start_latency: None,
                answer_latency: None,
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

    /// Has the clients handle an event, and carries out the effects. Reconnections go to `placer` if it is given.
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
                // The acknowledgement is sent on the connection on which the notice was read.
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

    fn request_task(self: &Rc<Self>, now: Micros, key: u64, id: u64, wait: Micros, is_retry: bool) {
        let Some((task, placer)) = self.pick_placer(key) else {
            return;
        };
        let run_time = self.remaining_run_time(&task, now);
        let sent = encode_request(
            &self.plan,
            &task,
            &Attempt {
                id,
                wait,
                placer,
                is_retry,
                running_at: None,
                run_time,
            },
        );
        self.state.borrow_mut().sent.insert(id, sent.clone());
        self.send_request(placer, id, &sent.bytes);
    }

    /// Counts an attempt of a task and picks its placer. If no placer is up, the attempt goes to one in rotation.
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

    /// Returns how long a task is still wanted.
    fn remaining_run_time(&self, task: &TaskRecord, now: Micros) -> Micros {
        let end = self.start.get() + task.arrival.due + task.arrival.run_time;
        (end - now).max(MILLISECOND)
    }

    /// Reconnects to a running task through a placer: the given one, or one that the load balancer picks. A task that
    /// does not run any more is reported to the clients as lost.
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
        let run_time = self.remaining_run_time(&task, now);
        let sent = encode_request(
            &self.plan,
            &task,
            &Attempt {
                id,
                wait: 0,
                placer,
                is_retry: false,
                running_at: Some(RunningHost {
                    number: running.host,
                    name: self.log.host_name(running.host),
                }),
                run_time,
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

    /// Handles a message from a placer. `connection` is none for a message that was read on the connection of the
    /// health checks.
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

    /// Updates which connections carry the task that a message is about.
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

    /// Records the answer to an open request in the record of its task.
    fn record_answer(&self, now: Micros, id: u64, placer: usize, notice: ClientNotice) {
        let mut state = self.state.borrow_mut();
        let key = state.clients.key(id);
        let Some(task) = key.and_then(|key| state.tasks.get_mut(&key)) else {
            return;
        };
        let elapsed = now - self.start.get() - task.arrival.due;
        task.answer_latency = task.answer_latency.or(Some(elapsed));
        task.placer = Some(placer);
        match notice {
            ClientNotice::Placed(_) => task.start_latency = task.start_latency.or(Some(elapsed)),
            ClientNotice::Released(cause) if is_rejection(cause) => task.rejections += 1,
            ClientNotice::Released(_) | ClientNotice::Migrated => {}
        }
    }

    /// Ticks the clients for the whole run, and notifies them of settling tasks that turn out to run.
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

    /// Prints the progress of the run to standard error at regular intervals.
    pub(super) async fn show_progress(self: Rc<Self>, start: Micros, length: Micros, total: usize) {
        loop {
            Timer::after(PROGRESS_INTERVAL).await;
            let state = self.state.borrow();
            let placed = state
                .tasks
                .values()
                .filter(|task| task.start_latency.is_some())
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
