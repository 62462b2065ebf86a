//! The generator: tells the clients' engine of tasks that are due and of words of placers, and carries out what
//! the engine wants.

use super::connections::Conn;
use super::{MILLI, SECOND, Task, micros};
use crate::arrivals::Arrival;
use crate::clients::{Clients, Effect, Event, Settings, Wanted, Word};
use crate::front::Front;
use crate::plan::Plan;
use crate::shape::{Micros, Shape};
use async_executor::LocalExecutor;
use async_io::Timer;
use emulator::cluster::describe;
use emulator::event_log::{ClientNotice, Event as LogEvent};
use emulator::event_log::{EventLog, fingerprint};
use emulator::host_model::Offer;
use emulator::{Message, encode_message};
use futures_lite::future;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The number of a service on the wire.
fn service(arrival: &Arrival) -> u64 {
    ((arrival.class as u64 + 1) << 32) | (u64::from(arrival.service) + 1)
}

/// A set-up as it was sent.
#[derive(Clone)]
pub(super) struct Sent {
    key: u64,
    pub(super) bytes: Vec<u8>,
    pub(super) note: LogEvent,
    pub(super) again: bool,
}

/// An attempt that is about to be sent.
struct Attempt {
    id: u64,
    wait: Micros,
    placer: usize,
    again: bool,
    /// The host that holds the task already.
    at: Option<usize>,
    now: Micros,
}

/// What the generator's tasks change, one at a time.
pub(super) struct Inner {
    pub(super) clients: Clients,
    pub(super) front: Front,
    pub(super) conns: BTreeMap<u64, Conn>,
    pub(super) next_conn: u64,
    pub(super) tasks: HashMap<u64, Task>,
    pub(super) sent: HashMap<u64, Sent>,
    pub(super) lateness: Histogram<u64>,
    turn: usize,
}

impl Inner {
    pub(super) fn new(plan: &Plan) -> Inner {
        let clients = &plan.clients;
        let settings = Settings {
            policy: clients.policy,
            base: micros(clients.base),
            most: micros(clients.most),
            budget: clients.budget,
            honour: clients.honour,
            settle: micros(clients.settle),
            rejoin: (50 * MILLI, SECOND),
        };
        Inner {
            clients: Clients::new(
                settings,
                plan.seed,
                (plan.seed.wrapping_mul(0x9e37_79b9) << 24) | 1,
            ),
            front: Front::new(plan.placers.count, plan.rooms.len()),
            conns: BTreeMap::new(),
            next_conn: 0,
            tasks: HashMap::new(),
            sent: HashMap::new(),
            // A minute at the most, with three digits: these bounds are known to be good.
            lateness: Histogram::new_with_bounds(1, 60_000_000, 3)
                .unwrap_or_else(|_| Histogram::new(3).expect("3 digits")),
            turn: 0,
        }
    }
}

/// The generator: all that its tasks share.
pub(super) struct World {
    pub(super) log: EventLog,
    pub(super) plan: Plan,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    /// Where each placer listens, and where its agent check is.
    pub(super) placers: Vec<(SocketAddr, SocketAddr)>,
    pub(super) inner: RefCell<Inner>,
    /// When the plan began.
    pub(super) begun: Cell<Micros>,
    pub(super) stop: Cell<bool>,
}

impl World {
    /// Sends each task when it is due.
    pub(super) async fn pace(self: &Rc<Self>, begun: Micros, due: &[Arrival], shape: &Shape) {
        for (n, arrival) in due.iter().enumerate() {
            let at = begun + arrival.due;
            if self.log.now() < at {
                Timer::at(self.log.instant(at)).await;
            }
            let now = self.log.now();
            let late = u64::try_from(now - at).unwrap_or(0);
            let phase = shape
                .phases
                .partition_point(|phase| phase.start <= arrival.due)
                .saturating_sub(1);
            let key = 0xabc0_0000 + n as u64;
            {
                let mut inner = self.inner.borrow_mut();
                inner.lateness.saturating_record(late);
                let task = Task {
                    key,
                    arrival: arrival.clone(),
                    phase,
                    started: None,
                    answered: None,
                    attempts: 0,
                    refused: 0,
                    placer: None,
                    fate: None,
                };
                inner.tasks.insert(key, task);
            }
            let class = self.plan.classes.get(arrival.class);
            let wanted = Wanted {
                key,
                due: at,
                over: at + arrival.life.max(1),
                limit: class.map_or(SECOND, |class| micros(class.limit)),
                once: class.is_some_and(|class| class.once),
            };
            self.tell(now, Event::Due(wanted), None);
            // Late, the next ones are due already: the sockets get their turn all the same.
            if n % 64 == 63 {
                future::yield_now().await;
            }
        }
    }

    /// Tells the clients' engine, and does what it wants. `to` is where presented tasks go.
    pub(super) fn tell(self: &Rc<Self>, now: Micros, event: Event, to: Option<usize>) {
        let effects = self.inner.borrow_mut().clients.handle(now, event);
        self.act(now, effects, to);
    }

    fn act(self: &Rc<Self>, now: Micros, effects: Vec<Effect>, to: Option<usize>) {
        for effect in effects {
            match effect {
                Effect::Ask {
                    key,
                    id,
                    wait,
                    again,
                } => self.ask(now, key, id, wait, again),
                Effect::GiveUp(id) => {
                    self.log.record(LogEvent::ClientGaveUp { id });
                    self.say_where_sent(id, &encode_message(12, id, &[(171, &[16])]));
                }
                Effect::Present { key, id } => self.present(now, key, id, to),
                // It goes out with the answer's reader.
                Effect::Heard(_) => {}
                Effect::Done(key, fate) => {
                    let mut inner = self.inner.borrow_mut();
                    if let Some(task) = inner.tasks.get_mut(&key) {
                        task.fate = Some(fate);
                    }
                    inner.sent.retain(|_, sent| sent.key != key);
                }
            }
        }
    }

    /// A set-up: its bytes, and the note of it.
    fn set_up(&self, task: &Task, attempt: Attempt) -> Sent {
        let Attempt {
            id,
            wait,
            placer,
            again,
            at,
            now,
        } = attempt;
        let run_time = self.life_left(task, now);
        let class = self.plan.classes.get(task.arrival.class);
        let tenant = self.plan.tenants.get(task.arrival.tenant);
        let offer = Offer {
            id,
            service: service(&task.arrival),
            cores: task.arrival.cores,
            memory: task.arrival.memory,
            priority: class.map_or(0, |c| c.priority),
            run_time,
            time_left: 0,
        };
        let description = describe(&offer, task.key);
        let mut figures = format!(
            "cores:{};memory:{};service:{:016x}",
            offer.cores, offer.memory, offer.service
        );
        if let Some(name) = at.and_then(|host| self.log.host_name(host)) {
            figures.push_str(&format!(";at:{name}"));
        }
        let (wait_ms, key) = ((wait / MILLI).to_string(), format!("{:016x}", task.key));
        let mut parameters: Vec<(u8, &[u8])> = vec![
            (129, class.map_or("", |c| c.name.as_str()).as_bytes()),
            (132, wait_ms.as_bytes()),
            (135, tenant.map_or("", |t| t.name.as_str()).as_bytes()),
        ];
        if again {
            parameters.push((138, b"1"));
        }
        parameters.extend([
            (141, key.as_bytes()),
            (144, figures.as_bytes()),
            (174, description.as_bytes()),
        ]);
        let note = LogEvent::TaskRequested {
            id,
            key: task.key,
            class: task.arrival.class,
            service: offer.service,
            placer,
            wait: wait / MILLI * MILLI,
            description: fingerprint(&description),
            running_at: at,
        };
        Sent {
            key: task.key,
            bytes: encode_message(1, id, &parameters),
            note,
            again: false,
        }
    }

    fn ask(self: &Rc<Self>, now: Micros, key: u64, id: u64, wait: Micros, again: bool) {
        let picked = {
            let mut inner = self.inner.borrow_mut();
            let room = inner.tasks.get(&key).map_or(0, |task| task.arrival.room);
            let placer = inner.front.pick(room);
            if let Some(task) = inner.tasks.get_mut(&key) {
                task.attempts += 1;
            }
            // Nobody is in: a client tries one all the same.
            let fallback = inner.turn % self.placers.len().max(1);
            inner.turn += 1;
            inner
                .tasks
                .get(&key)
                .cloned()
                .map(|task| (task, placer.unwrap_or(fallback)))
        };
        let Some((task, placer)) = picked else { return };
        let sent = self.set_up(
            &task,
            Attempt {
                id,
                wait,
                placer,
                again,
                at: None,
                now,
            },
        );
        self.inner.borrow_mut().sent.insert(id, sent.clone());
        self.send(now, placer, Some(id), &sent.bytes);
    }

    /// How long a task is still wanted.
    fn life_left(&self, task: &Task, now: Micros) -> Micros {
        let begun = self.begun.get();
        (begun + task.arrival.due + task.arrival.life - now).max(MILLI)
    }

    /// Names a standing task to a placer.
    pub(super) fn present(self: &Rc<Self>, now: Micros, key: u64, id: u64, to: Option<usize>) {
        let Some(running) = self
            .log
            .running_task(key)
            .filter(|running| running.id == id)
        else {
            return self.tell(now, Event::Word(id, Word::Lost), None);
        };
        let picked = {
            let mut inner = self.inner.borrow_mut();
            let task = inner.tasks.get(&key).cloned();
            let room = task.as_ref().map_or(0, |task| task.arrival.room);
            task.and_then(|task| Some((task, to.or_else(|| inner.front.pick(room))?)))
        };
        let Some((task, placer)) = picked else { return };
        let at = Some(running.host);
        let sent = self.set_up(
            &task,
            Attempt {
                id,
                wait: 0,
                placer,
                again: false,
                at,
                now,
            },
        );
        self.log.record(sent.note.clone());
        self.inner.borrow_mut().clients.sent_to(id, placer);
        let on = self.send(now, placer, None, &sent.bytes);
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&on) {
            conn.stands.insert(id);
        }
    }

    /// A word of a placer.
    pub(super) fn word(self: &Rc<Self>, n: u64, placer: usize, message: &Message) {
        let now = self.log.now();
        let id = message.id;
        let cause = message
            .get(171)
            .and_then(|cause| cause.first().copied())
            .unwrap_or(0);
        let (notice, open) = {
            let mut inner = self.inner.borrow_mut();
            let open = inner.clients.is_open(id);
            if let Some(conn) = inner.conns.get_mut(&n) {
                conn.used = now;
                conn.open.remove(&id);
                if message.kind == 9 {
                    conn.stands.insert(id);
                }
            }
            if message.kind != 9 {
                inner.conns.values_mut().for_each(|conn| {
                    conn.stands.remove(&id);
                });
            }
            let notice = match message.kind {
                9 => ClientNotice::Placed(fingerprint(message.text(174).unwrap_or_default())),
                12 => ClientNotice::Released(cause),
                51 => ClientNotice::Migrated,
                _ => return,
            };
            if open {
                let begun = self.begun.get();
                let key = inner.clients.key(id);
                if let Some(task) = key.and_then(|key| inner.tasks.get_mut(&key)) {
                    let after = now - begun - task.arrival.due;
                    task.answered = task.answered.or(Some(after));
                    task.placer = Some(placer);
                    match notice {
                        ClientNotice::Placed(_) => task.started = task.started.or(Some(after)),
                        ClientNotice::Released(34 | 42 | 102) => task.refused += 1,
                        _ => {}
                    }
                }
            }
            (notice, open)
        };
        self.log
            .record_at(now, LogEvent::ClientNotified { id, notice });
        let away = message
            .text(147)
            .and_then(|ms| ms.parse::<i64>().ok())
            .map(|ms| ms * MILLI);
        let word = match (notice, open) {
            (ClientNotice::Placed(_), _) => Word::Placed,
            (ClientNotice::Migrated, _) => Word::Moved,
            (ClientNotice::Released(34 | 42 | 102), true) => Word::Refused(away),
            (ClientNotice::Released(16), _) => Word::Ended,
            (ClientNotice::Released(_), true) => Word::Failed,
            (ClientNotice::Released(_), false) => Word::Lost,
        };
        self.tell(now, Event::Word(id, word), None);
        if word == Word::Placed {
            self.inner.borrow_mut().clients.sent_to(id, placer);
        }
        if !open && message.kind == 12 {
            let mut inner = self.inner.borrow_mut();
            if let Some(conn) = inner.conns.get_mut(&n) {
                conn.push(&encode_message(16, id, &[]));
            }
        }
    }

    /// Lets clients' alarms go off, and looks for tasks that settle and turn out to run.
    pub(super) async fn tick_on(self: Rc<Self>) {
        let mut looked = 0;
        loop {
            let now = self.log.now();
            let effects = self.inner.borrow_mut().clients.tick(now);
            self.act(now, effects, None);
            if now - looked > 100 * MILLI {
                looked = now;
                let settling = self.inner.borrow().clients.settling();
                for key in settling {
                    if let Some(running) = self.log.running_task(key) {
                        self.tell(
                            now,
                            Event::Found {
                                key,
                                id: running.id,
                            },
                            None,
                        );
                    }
                }
            }
            let next = self
                .inner
                .borrow()
                .clients
                .next()
                .unwrap_or(now + SECOND)
                .min(now + 20 * MILLI);
            Timer::at(self.log.instant(next.max(now + MILLI))).await;
        }
    }

    /// A line on the terminal that tells how it goes.
    pub(super) async fn show_on(self: Rc<Self>, begun: Micros, lasts: Micros, total: usize) {
        loop {
            Timer::after(Duration::from_millis(500)).await;
            let inner = self.inner.borrow();
            let placed = inner
                .tasks
                .values()
                .filter(|task| task.started.is_some())
                .count();
            let (due, open) = (inner.tasks.len(), inner.clients.open());
            let at = (self.log.now() - begun).max(0) / SECOND;
            let late = inner.lateness.value_at_quantile(0.99) as f64 / 1_000.0;
            eprint!(
                "\r{at:>4} of {} s  {due}/{total} due  {placed} started  {open} open  own lateness p99 {late:.1} ms   ",
                lasts / SECOND
            );
        }
    }
}
