//! A rehearsal: the generator on its one thread, the installation on another, the placers as processes.
//!
//! The generator is open: a task is due when the plan says, whatever became of those before. Bytes that a
//! socket does not take wait in memory, with the time at which their task was due.

use crate::arrivals::{Arrival, arrivals};
use crate::clients::{Clients, Counts, Effect, Event, Fate, Settings, Wanted, Word};
use crate::director::{self, Act};
use crate::front::{Front, Tested};
use crate::harm::Harm;
use crate::network::Network;
use crate::plan::{Plan, Spread};
use crate::shape::{Micros, Shape};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt, future};
use hdrhistogram::Histogram;
use simd_json::{OwnedValue, json};
use standin::audit::{Finding, Note, Rules, Told, check};
use standin::balance::read_agent;
use standin::keeper::{Keeper, Start};
use standin::machine::{Offer, Spec};
use standin::notes::{Notes, fingerprint};
use standin::site::{Layout, Look, Site, describe};
use standin::{Message, bytes};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// A set-up that crosses a placer's close within this goes out again, once.
const CROSSED: Micros = 50 * MILLI;
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Between tests of a placer, and how long one may take.
const TEST_EVERY: Duration = Duration::from_millis(500);
const TEST_LIMIT: Duration = Duration::from_millis(1_000);
/// Wait for all placers before the plan begins.
const READY: Duration = Duration::from_secs(30);

/// What became of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// Its name.
    pub key: u64,
    /// Its place in the plan.
    pub arrival: Arrival,
    /// Index of the phase of the shape in which it was due.
    pub phase: usize,
    /// When it first stood, from when it was due.
    pub started: Option<Micros>,
    /// When its client was first answered at all, likewise.
    pub answered: Option<Micros>,
    /// Attempts of its client.
    pub attempts: u32,
    /// Of those, refused.
    pub refused: u32,
    /// The placer that answered last.
    pub placer: Option<usize>,
    /// How it ended; none where the run ended before it.
    pub fate: Option<Fate>,
}

/// How a run is made.
#[derive(Debug, Clone)]
pub struct Options {
    /// The placer's program.
    pub placer: PathBuf,
    /// This program, as a guard of the placers.
    pub guard: Option<PathBuf>,
    /// Where files of the run go.
    pub folder: PathBuf,
    /// Whether to show how it goes.
    pub progress: bool,
}

/// All that a run has brought.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The plan.
    pub plan: Plan,
    /// Its shape.
    pub shape: Shape,
    /// Every task that was due, in order.
    pub tasks: Vec<Task>,
    /// When the plan began, on the clock of the notes.
    pub begun: Micros,
    /// When clients stopped.
    pub ended: Micros,
    /// How late the generator itself was, in microseconds.
    pub lateness: Histogram<u64>,
    /// What clients did.
    pub counts: Counts,
    /// Broken rules.
    pub findings: Vec<Finding>,
    /// What the placers together did to the hosts.
    pub harm: Harm,
    /// Notes that were taken.
    pub notes: usize,
    /// How the hosts stood.
    pub looks: Vec<Look>,
    /// The most memory that each placer held, in kB.
    pub memory_kb: Vec<u64>,
    /// The most descriptors.
    pub descriptors: Vec<usize>,
    /// What was done to the installation, and when.
    pub acts: Vec<(Micros, Act)>,
    /// It was ended by a signal.
    pub interrupted: bool,
}

impl Outcome {
    /// Whether the generator kept its own bound.
    pub fn in_time(&self) -> bool {
        let bound = u64::try_from(self.plan.aims.own_lateness.as_micros()).unwrap_or(u64::MAX);
        self.lateness.value_at_quantile(0.99) <= bound
    }
}

/// Why a run could not be made.
#[derive(Debug)]
pub struct RunError(pub String);

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RunError {}

fn error(what: &str) -> impl Fn(std::io::Error) -> RunError + '_ {
    move |e| RunError(format!("{what}: {e}"))
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// The number of a service on the wire.
fn service(arrival: &Arrival) -> u64 {
    ((arrival.class as u64 + 1) << 32) | (u64::from(arrival.service) + 1)
}

fn spec(plan: &Plan) -> Spec {
    let hosts = &plan.hosts;
    Spec {
        cores: hosts.cores,
        memory: hosts.memory,
        look: micros(hosts.look),
        queue: hosts.queue,
        starts: hosts.starts,
        start: micros(hosts.start),
        cold_start: hosts.cold_start,
        kept: hosts.kept,
        preempts: hosts.preempts,
        cold: micros(hosts.cold),
        cold_from: hosts.cold_from,
        overload: 4.0,
        bears: YOUNG,
        drain_pace: micros(hosts.drain_pace),
    }
}

/// Offers that a cold host always bears.
const YOUNG: usize = 22;

/// The settings of the deployment, as placers are told them.
fn settings(plan: &Plan) -> OwnedValue {
    let ms = |span: Duration| span.as_secs_f64() * 1_000.0;
    let of = |value: &dyn Fn(&crate::plan::Class) -> OwnedValue| {
        plan.classes.iter().map(value).collect::<Vec<_>>()
    };
    let classes = of(&|c| {
        json!({
            "name": c.name.as_str(), "aim": ms(c.aim), "hard_limit": ms(c.limit),
            "semantics": if c.once { "unsafe" } else { "safe" }, "group": "all", "worth": c.worth,
            "late_share": 0.2, "memory_span": 5000.0, "long_lived": true
        })
    });
    let rate = plan.shape().most().max(1.0);
    let shares: f64 = plan.tenants.iter().map(|t| t.share).sum();
    let tenants: Vec<OwnedValue> = plan
        .tenants
        .iter()
        .map(|t| json!({ "name": t.name.as_str(), "portion": (t.share / shares), "allowance_per_s": (2.0 * rate * t.share / shares) }))
        .collect();
    let mean = |of: fn(&[f64; 2]) -> f64| {
        let sizes: Vec<f64> = plan.classes.iter().flat_map(|c| c.sizes.iter().map(of)).collect();
        sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
    };
    json!({
        "me": 0, "n_instances": (plan.placers.count), "locality": "", "zones": (plan.rooms.clone()), "step": 2.0,
        "models": ["node"], "membership_mode": "subscribe", "over_share_worth": 0.1,
        "services": classes, "realms": tenants,
        "caps": {
            "cancel": true, "connect_timeout": 250.0, "conn_idle": 30000.0, "max_retry_after": 3000.0,
            "probing": false, "retry_after": true, "send_cap": 4
        },
        "family_info": {
            "accepts_memory": 1.0, "cores_multiple": 1.0, "class_kind": (of(&|_| json!(-1))),
            "class_most": (of(&|c| json!(c.most_in_room.max(1)))), "class_priority": (of(&|c| json!(c.priority))),
            "fades_over": (of(&|_| json!(0.5))), "full_up_to": (of(&|_| json!(1.0))),
            "kind_cores": [(plan.hosts.cores)], "kind_memory": [(plan.hosts.memory)], "lists_free": (!plan.feed.refresh.is_zero()),
            "make_sure": (ms(plan.clients.settle)), "mean_memory": (mean(|s| s[1])), "usual_cores": (mean(|s| s[0])),
            "measured_by": "asked", "no_price": 0.03, "preempts": (plan.hosts.preempts),
            "prompt_start_s": (of(&|_| json!(10.0))),
            "spread_by": (of(&|c| json!(if c.most_in_room > 0 { "zone" } else { "off" }))),
            "yes_at": "running", "young_limit": (YOUNG as f64)
        },
        "prices": { "fleet": 0.15, "moves": 0.07 },
        "report": { "names": [], "via": "off" },
        "rules": {
            "ask_every": 10000.0, "cold": (ms(plan.hosts.cold)), "cold_from": (plan.hosts.cold_from), "drain_grace": 2000.0,
            "grace_to_answer": 8.0, "overload_factor": 4.0, "overload_for": 1000.0
        }
    })
}

/// Runs a plan.
pub fn run(plan: &Plan, options: &Options) -> Result<Outcome, RunError> {
    let shape = plan.shape();
    let due = arrivals(plan, &shape);
    run_arrivals(plan, shape, due, options)
}

/// Runs these arrivals in place of the plan's own, as for a trace.
pub fn run_arrivals(
    plan: &Plan,
    shape: Shape,
    due: Vec<Arrival>,
    options: &Options,
) -> Result<Outcome, RunError> {
    let notes = Notes::default();
    let layout = Layout {
        rooms: plan.rooms.clone(),
        hosts: plan.hosts.count,
        rack: plan.hosts.rack,
        spec: spec(plan),
        placers: plan.placers.count,
        late: (micros(plan.feed.late_from), micros(plan.feed.late_to)),
        refresh: micros(plan.feed.refresh),
        seed: plan.seed,
    };
    let site = Arc::new(Site::start(layout, notes.clone()).map_err(error("the installation"))?);
    let network = Network::open(plan, &site, notes.clone()).map_err(error("the links"))?;
    let start = Start {
        binary: options.placer.clone(),
        guard: options.guard.clone(),
        folder: options.folder.clone(),
        settings: settings(plan),
        rooms: plan.rooms.clone(),
        limits: json!({ "cores": 1.0, "memory_mb": (plan.placers.memory_mb), "sockets": (plan.placers.sockets) }),
        operator: plan.placers.operator.clone(),
        seed: plan.seed,
    };
    let what = format!("placers ({})", options.placer.display());
    let keeper = Keeper::start(start, plan.placers.count, &site, notes.clone()).map_err(error(&what))?;
    let mut placers: Vec<(SocketAddr, SocketAddr)> = Vec::new();
    for n in 0..keeper.count() {
        let called = match &network {
            Some(network) => network.clients_call(n, &keeper).map_err(error("the links"))?,
            None => keeper.listen(n),
        };
        placers.extend(called.zip(keeper.agent(n)));
    }

    let executor = Rc::new(LocalExecutor::new());
    let world = Rc::new(World {
        notes: notes.clone(),
        plan: plan.clone(),
        executor: executor.clone(),
        placers,
        inner: RefCell::new(Inner::new(plan)),
        begun: Cell::new(0),
        stop: Cell::new(false),
    });
    let mut signals = Signals::new([Signal::Int, Signal::Term]).map_err(error("signals"))?;
    let stop = Arc::new(AtomicBool::new(false));
    let acts = director::line(plan);
    let lasts = due.last().map_or(0, |a| a.due).max(shape.length());
    let (began, ended, keeper, interrupted) = future::block_on(executor.run(async {
        world.clone().test_all();
        let ready = async {
            while !world.inner.borrow().front.all() {
                Timer::after(Duration::from_millis(5)).await;
            }
            true
        };
        let limit = async {
            Timer::after(READY).await;
            false
        };
        if !ready.or(limit).await {
            return Err(RunError(format!(
                "placers do not pass their tests; see {}",
                options.folder.display()
            )));
        }
        let begun = notes.now() + 100 * MILLI;
        world.begun.set(begun);
        let directing =
            director::direct(acts.clone(), begun, keeper, site.clone(), network, notes.clone(), stop.clone());
        let ticking = world.clone();
        executor.spawn(async move { ticking.tick_on().await }).detach();
        if options.progress {
            let showing = world.clone();
            let total = due.len();
            executor.spawn(async move { showing.show_on(begun, lasts, total).await }).detach();
        }
        let whole = async {
            world.pace(begun, &due, &shape).await;
            let end = notes.instant(begun + lasts + micros(plan.clients.drain));
            while Instant::now() < end && world.inner.borrow().clients.open() > 0 {
                Timer::after(Duration::from_millis(20)).await;
            }
            false
        };
        let signalled = async {
            let _ = signals.next().await;
            true
        };
        let interrupted = whole.or(signalled).await;
        let ended = notes.now();
        world.stop.set(true);
        stop.store(true, Ordering::Relaxed);
        let keeper = directing.join().map_err(|_| RunError("the director ended".into()))?;
        Ok((begun, ended, keeper, interrupted))
    }))?;
    if options.progress {
        eprintln!();
    }
    let memory_kb = (0..keeper.count()).map(|n| keeper.peak_kb(n)).collect();
    let descriptors = (0..keeper.count()).map(|n| keeper.peak_descriptors(n)).collect();
    let (looks, rooms, places) = (site.looks(), site.rooms(), site.places());
    drop(site);
    let all = notes.all();
    // What came after clients had stopped is nobody's to hear; how placers ended counts all the same.
    let kept: Vec<(Micros, Note)> =
        all.into_iter().filter(|(at, note)| *at <= ended || matches!(note, Note::Placer(..))).collect();
    let inner = world.inner.borrow();
    // A generator that was late itself has seen all answers late.
    let own = Micros::try_from(inner.lateness.max()).unwrap_or(0);
    let bound = |most: u32| (most > 0).then_some(most);
    let rules = Rules {
        classes: plan.classes.iter().map(|c| (c.once, bound(c.most_in_room))).collect(),
        rooms,
        places: places.clone(),
        slack: Rules::default().slack + own,
        ..Rules::default()
    };
    let findings = check(&kept, &rules, ended);
    let harm = Harm::of(plan, &kept, began, ended, |host| places.get(host).copied());
    let mut tasks: Vec<Task> = inner.tasks.values().cloned().collect();
    tasks.sort_by_key(|task| task.key);
    Ok(Outcome {
        plan: plan.clone(),
        shape,
        tasks,
        begun: began,
        ended,
        lateness: inner.lateness.clone(),
        counts: inner.clients.counts(),
        findings,
        harm,
        notes: kept.len(),
        looks,
        memory_kb,
        descriptors,
        acts,
        interrupted,
    })
}

/// How late the generator is at a rate, alone on a core: its clients speak to a listener that reads everything
/// and answers nothing, on another thread.
pub fn pace_alone(rate: f64, span: Duration) -> Result<Histogram<u64>, RunError> {
    let text = format!("[placers]\ncount = 1\n[arrivals]\nshape = \"{rate}/s for {}ms\"\n", span.as_millis());
    let plan = Plan::parse(&text).map_err(|e| RunError(e.to_string()))?;
    let shape = plan.shape();
    let due = arrivals(&plan, &shape);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(error("a listener"))?;
    let address = listener.local_addr().map_err(error("a listener"))?;
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
        }
    });
    let notes = Notes::default();
    let executor = Rc::new(LocalExecutor::new());
    let world = Rc::new(World {
        notes: notes.clone(),
        plan: plan.clone(),
        executor: executor.clone(),
        placers: vec![(address, address)],
        inner: RefCell::new(Inner::new(&plan)),
        begun: Cell::new(notes.now()),
        stop: Cell::new(false),
    });
    world.inner.borrow_mut().front.tested(0, Tested::Passed);
    let ticking = world.clone();
    executor.spawn(async move { ticking.tick_on().await }).detach();
    let begun = notes.now() + 100 * MILLI;
    world.begun.set(begun);
    future::block_on(executor.run(world.pace(begun, &due, &shape)));
    world.stop.set(true);
    let late = world.inner.borrow().lateness.clone();
    Ok(late)
}

/// A connection to a placer.
struct Conn {
    placer: usize,
    /// Bytes that the socket has yet to take.
    queue: VecDeque<u8>,
    /// Bytes that were ever queued, and that were taken.
    queued: u64,
    taken: u64,
    /// Set-ups that are not written whole: their ids, and where their last byte is.
    writing: VecDeque<(u64, u64)>,
    /// Set-ups that wait for their answer, and when they were written.
    open: BTreeMap<u64, Micros>,
    /// Tasks that stand and were set up or named on it: while there are any it is kept, since their ends are told
    /// on connections that carry tasks.
    stands: BTreeSet<u64>,
    used: Micros,
    wake: Sender<()>,
}

impl Conn {
    /// Whether it carries no task.
    fn idle(&self) -> bool {
        self.open.is_empty() && self.stands.is_empty() && self.queue.is_empty()
    }
}

/// A set-up as it was sent.
#[derive(Clone)]
struct Sent {
    key: u64,
    bytes: Vec<u8>,
    note: Note,
    again: bool,
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

struct Inner {
    clients: Clients,
    front: Front,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    tasks: HashMap<u64, Task>,
    sent: HashMap<u64, Sent>,
    lateness: Histogram<u64>,
    turn: usize,
}

impl Inner {
    fn new(plan: &Plan) -> Inner {
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
            clients: Clients::new(settings, plan.seed, (plan.seed.wrapping_mul(0x9e37_79b9) << 24) | 1),
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
struct World {
    notes: Notes,
    plan: Plan,
    executor: Rc<LocalExecutor<'static>>,
    /// Where each placer listens, and where its agent check is.
    placers: Vec<(SocketAddr, SocketAddr)>,
    inner: RefCell<Inner>,
    /// When the plan began.
    begun: Cell<Micros>,
    stop: Cell<bool>,
}

impl World {
    /// Sends each task when it is due.
    async fn pace(self: &Rc<Self>, begun: Micros, due: &[Arrival], shape: &Shape) {
        for (n, arrival) in due.iter().enumerate() {
            let at = begun + arrival.due;
            if self.notes.now() < at {
                Timer::at(self.notes.instant(at)).await;
            }
            let now = self.notes.now();
            let late = u64::try_from(now - at).unwrap_or(0);
            let phase = shape.phases.partition_point(|phase| phase.start <= arrival.due).saturating_sub(1);
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
    fn tell(self: &Rc<Self>, now: Micros, event: Event, to: Option<usize>) {
        let effects = self.inner.borrow_mut().clients.handle(now, event);
        self.act(now, effects, to);
    }

    fn act(self: &Rc<Self>, now: Micros, effects: Vec<Effect>, to: Option<usize>) {
        for effect in effects {
            match effect {
                Effect::Ask { key, id, wait, again } => self.ask(now, key, id, wait, again),
                Effect::GiveUp(id) => {
                    self.notes.add(Note::GaveUp(id));
                    self.say_where_sent(id, &bytes(12, id, &[(171, &[16])]));
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
        let Attempt { id, wait, placer, again, at, now } = attempt;
        let life = self.life_left(task, now);
        let class = self.plan.classes.get(task.arrival.class);
        let tenant = self.plan.tenants.get(task.arrival.tenant);
        let offer = Offer {
            id,
            service: service(&task.arrival),
            cores: task.arrival.cores,
            memory: task.arrival.memory,
            priority: class.map_or(0, |c| c.priority),
            life,
            left: 0,
        };
        let description = describe(&offer, task.key);
        let mut figures =
            format!("cores:{};memory:{};service:{:016x}", offer.cores, offer.memory, offer.service);
        if let Some(name) = at.and_then(|host| self.notes.host_name(host)) {
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
        parameters.extend([(141, key.as_bytes()), (144, figures.as_bytes()), (174, description.as_bytes())]);
        let note = Note::Sent {
            id,
            key: task.key,
            class: task.arrival.class,
            service: offer.service,
            placer,
            wait: wait / MILLI * MILLI,
            description: fingerprint(&description),
            at,
        };
        Sent { key: task.key, bytes: bytes(1, id, &parameters), note, again: false }
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
            inner.tasks.get(&key).cloned().map(|task| (task, placer.unwrap_or(fallback)))
        };
        let Some((task, placer)) = picked else { return };
        let sent = self.set_up(&task, Attempt { id, wait, placer, again, at: None, now });
        self.inner.borrow_mut().sent.insert(id, sent.clone());
        self.send(now, placer, Some(id), &sent.bytes);
    }

    /// How long a task is still wanted.
    fn life_left(&self, task: &Task, now: Micros) -> Micros {
        let begun = self.begun.get();
        (begun + task.arrival.due + task.arrival.life - now).max(MILLI)
    }

    /// Names a standing task to a placer.
    fn present(self: &Rc<Self>, now: Micros, key: u64, id: u64, to: Option<usize>) {
        let Some(running) = self.notes.running(key).filter(|running| running.id == id) else {
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
        let sent = self.set_up(&task, Attempt { id, wait: 0, placer, again: false, at, now });
        self.notes.add(sent.note.clone());
        self.inner.borrow_mut().clients.sent_to(id, placer);
        let on = self.send(now, placer, None, &sent.bytes);
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&on) {
            conn.stands.insert(id);
        }
    }

    /// Writes to the placer that a set-up went to, on the connection where it is open.
    fn say_where_sent(&self, id: u64, words: &[u8]) {
        let mut inner = self.inner.borrow_mut();
        if let Some(conn) = inner.conns.values_mut().find(|conn| conn.open.contains_key(&id)) {
            conn.open.remove(&id);
            conn.push(words);
        }
    }

    /// Queues bytes on a connection to a placer: the least busy one, or another where there may be more. Says which.
    fn send(self: &Rc<Self>, now: Micros, placer: usize, id: Option<u64>, words: &[u8]) -> u64 {
        let chosen = {
            let inner = self.inner.borrow();
            let mut theirs: Vec<(usize, u64)> = inner
                .conns
                .iter()
                .filter(|(_, conn)| conn.placer == placer)
                .map(|(n, conn)| (conn.open.len() + conn.writing.len(), *n))
                .collect();
            theirs.sort_unstable();
            let full = theirs.len() >= self.plan.clients.connections;
            theirs.first().filter(|(busy, _)| full || *busy == 0).map(|(_, n)| *n)
        };
        let n = chosen.unwrap_or_else(|| self.connect(now, placer));
        let mut inner = self.inner.borrow_mut();
        if let Some(conn) = inner.conns.get_mut(&n) {
            conn.used = now;
            conn.push(words);
            if let Some(id) = id {
                let end = conn.queued;
                conn.writing.push_back((id, end));
            }
        }
        n
    }

    /// Opens a connection; what is sent meanwhile waits for it.
    fn connect(self: &Rc<Self>, now: Micros, placer: usize) -> u64 {
        let (wake, woken) = async_channel::bounded(1);
        let n = {
            let mut inner = self.inner.borrow_mut();
            let n = inner.next_conn;
            inner.next_conn += 1;
            let conn = Conn {
                placer,
                queue: VecDeque::new(),
                queued: 0,
                taken: 0,
                writing: VecDeque::new(),
                open: BTreeMap::new(),
                stands: BTreeSet::new(),
                used: now,
                wake,
            };
            inner.conns.insert(n, conn);
            n
        };
        let world = self.clone();
        self.executor.spawn(async move { world.serve(n, placer, woken).await }).detach();
        n
    }

    async fn serve(self: Rc<Self>, n: u64, placer: usize, woken: Receiver<()>) {
        let Some((address, _)) = self.placers.get(placer).copied() else { return };
        let connecting = async { Async::<TcpStream>::connect(address).await.ok() };
        let limit = async {
            Timer::after(CONNECT).await;
            None
        };
        let mut polite = false;
        if let Some(stream) = connecting.or(limit).await {
            let _ = stream.get_ref().set_nodelay(true);
            polite = self.read(n, placer, &stream).or(self.write(n, &stream, woken)).await;
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        self.ended(n, placer, polite);
    }

    /// Reads until the end; true where the placer closed without an error.
    async fn read(self: &Rc<Self>, n: u64, placer: usize, mut stream: &Async<TcpStream>) -> bool {
        let (mut inbox, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            match stream.read(&mut chunk).await {
                Ok(0) => return true,
                Ok(count) => inbox.extend_from_slice(chunk.get(..count).unwrap_or_default()),
                Err(_) => return false,
            }
            let mut read = 0;
            while let Some((message, length)) = Message::read(inbox.get(read..).unwrap_or_default()) {
                read += length;
                self.word(n, placer, &message);
            }
            inbox.drain(..read.min(inbox.len()));
        }
    }

    /// Writes what is queued, and notes the set-ups that are written whole. Ends where nothing has happened
    /// for a while.
    async fn write(self: &Rc<Self>, n: u64, stream: &Async<TcpStream>, woken: Receiver<()>) -> bool {
        let idle = self.plan.clients.idle;
        loop {
            let chunk: Vec<u8> = {
                let inner = self.inner.borrow();
                let Some(conn) = inner.conns.get(&n) else { return true };
                let (front, _) = conn.queue.as_slices();
                front.get(..front.len().min(16 * 1024)).unwrap_or_default().to_vec()
            };
            if chunk.is_empty() {
                let wake = async { woken.recv().await.is_ok() };
                let rest = async {
                    Timer::after(idle).await;
                    false
                };
                if !wake.or(rest).await {
                    let inner = self.inner.borrow();
                    let quiet = inner.conns.get(&n).is_none_or(Conn::idle);
                    if quiet {
                        return true;
                    }
                }
                continue;
            }
            let mut out = stream;
            let Ok(count) = out.write(&chunk).await else { return false };
            let now = self.notes.now();
            let mut inner = self.inner.borrow_mut();
            let mut written = Vec::new();
            if let Some(conn) = inner.conns.get_mut(&n) {
                conn.queue.drain(..count.min(conn.queue.len()));
                conn.taken += count as u64;
                while let Some((id, _)) = conn.writing.front().copied().filter(|(_, end)| *end <= conn.taken)
                {
                    conn.writing.pop_front();
                    conn.open.insert(id, now);
                    written.push(id);
                }
            }
            for id in written {
                if let Some(sent) = inner.sent.get(&id) {
                    self.notes.add_at(now, sent.note.clone());
                }
            }
        }
    }

    /// A connection has ended. What was written whole may have been taken; what was not has not.
    fn ended(self: &Rc<Self>, n: u64, placer: usize, polite: bool) {
        let now = self.notes.now();
        let Some(conn) = self.inner.borrow_mut().conns.remove(&n) else { return };
        if self.stop.get() {
            return;
        }
        for (id, _) in conn.writing {
            self.tell(now, Event::Unsent(id), None);
        }
        for (id, written) in conn.open {
            let crossed = polite && now - written <= CROSSED;
            let again = {
                let mut inner = self.inner.borrow_mut();
                inner.sent.get_mut(&id).filter(|sent| crossed && !sent.again).map(|sent| {
                    sent.again = true;
                    sent.bytes.clone()
                })
            };
            match again {
                Some(words) => drop(self.send(now, placer, Some(id), &words)),
                None => {
                    self.notes.add(Note::Broken(id));
                    self.tell(now, Event::Broken(id), None);
                }
            }
        }
    }

    /// A word of a placer.
    fn word(self: &Rc<Self>, n: u64, placer: usize, message: &Message) {
        let now = self.notes.now();
        let id = message.id;
        let cause = message.get(171).and_then(|cause| cause.first().copied()).unwrap_or(0);
        let (told, open) = {
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
            let told = match message.kind {
                9 => Told::Placed(fingerprint(message.text(174).unwrap_or_default())),
                12 => Told::Released(cause),
                51 => Told::Moved,
                _ => return,
            };
            if open {
                let begun = self.begun.get();
                let key = inner.clients.key(id);
                if let Some(task) = key.and_then(|key| inner.tasks.get_mut(&key)) {
                    let after = now - begun - task.arrival.due;
                    task.answered = task.answered.or(Some(after));
                    task.placer = Some(placer);
                    match told {
                        Told::Placed(_) => task.started = task.started.or(Some(after)),
                        Told::Released(34 | 42 | 102) => task.refused += 1,
                        _ => {}
                    }
                }
            }
            (told, open)
        };
        self.notes.add_at(now, Note::Told(id, told));
        let away = message.text(147).and_then(|ms| ms.parse::<i64>().ok()).map(|ms| ms * MILLI);
        let word = match (told, open) {
            (Told::Placed(_), _) => Word::Placed,
            (Told::Moved, _) => Word::Moved,
            (Told::Released(34 | 42 | 102), true) => Word::Refused(away),
            (Told::Released(16), _) => Word::Ended,
            (Told::Released(_), true) => Word::Failed,
            (Told::Released(_), false) => Word::Lost,
        };
        self.tell(now, Event::Word(id, word), None);
        if word == Word::Placed {
            self.inner.borrow_mut().clients.sent_to(id, placer);
        }
        if !open && message.kind == 12 {
            let mut inner = self.inner.borrow_mut();
            if let Some(conn) = inner.conns.get_mut(&n) {
                conn.push(&bytes(16, id, &[]));
            }
        }
    }

    /// Lets clients' alarms go off, and looks for tasks that settle and turn out to run.
    async fn tick_on(self: Rc<Self>) {
        let mut looked = 0;
        loop {
            let now = self.notes.now();
            let effects = self.inner.borrow_mut().clients.tick(now);
            self.act(now, effects, None);
            if now - looked > 100 * MILLI {
                looked = now;
                let settling = self.inner.borrow().clients.settling();
                for key in settling {
                    if let Some(running) = self.notes.running(key) {
                        self.tell(now, Event::Found { key, id: running.id }, None);
                    }
                }
            }
            let next = self.inner.borrow().clients.next().unwrap_or(now + SECOND).min(now + 20 * MILLI);
            Timer::at(self.notes.instant(next.max(now + MILLI))).await;
        }
    }

    /// Tests every placer for the life of the run, and asks its agent where clients go by it.
    fn test_all(self: Rc<Self>) {
        for n in 0..self.placers.len() {
            let testing = self.clone();
            self.executor.spawn(async move { testing.test_on(n).await }).detach();
            if self.plan.clients.spread == Spread::Agent {
                let asking = self.clone();
                self.executor.spawn(async move { asking.ask_agent_on(n).await }).detach();
            }
        }
    }

    async fn test_on(self: Rc<Self>, n: usize) {
        let Some((address, _)) = self.placers.get(n).copied() else { return };
        // A test on a connection that was made anew, after one before it broke, means a new process.
        let mut stream: Option<Async<TcpStream>> = None;
        let (mut was_in, mut renewed) = (false, false);
        loop {
            let tested = async {
                if stream.is_none() {
                    stream = Async::<TcpStream>::connect(address).await.ok();
                    renewed = true;
                }
                let Some(open) = &stream else { return Tested::Failed };
                let mut open = open;
                let mut inbox = Vec::new();
                if open.write_all(&bytes(52, 0xfe, &[(171, &[0])])).await.is_err() {
                    stream = None;
                    return Tested::Failed;
                }
                loop {
                    if let Some((message, length)) = Message::read(&inbox) {
                        inbox.drain(..length);
                        match message.kind {
                            53 if message.get(171) == Some(&[1]) => return Tested::Passed,
                            53 => return Tested::Closing,
                            // The end of a task may be told on any connection.
                            _ => {
                                self.word(u64::MAX, n, &message);
                                if message.kind == 12 {
                                    let _ = open.write_all(&bytes(16, message.id, &[])).await;
                                }
                                continue;
                            }
                        }
                    }
                    let mut chunk = [0; 1024];
                    match open.read(&mut chunk).await {
                        Ok(count) if count > 0 => {
                            inbox.extend_from_slice(chunk.get(..count).unwrap_or_default())
                        }
                        _ => {
                            stream = None;
                            return Tested::Failed;
                        }
                    }
                }
            };
            let limit = async {
                Timer::after(TEST_LIMIT).await;
                Tested::Failed
            };
            let tested = tested.or(limit).await;
            self.inner.borrow_mut().front.tested(n, tested);
            if tested == Tested::Passed {
                if was_in && renewed {
                    let now = self.notes.now();
                    self.tell(now, Event::Restarted(n), Some(n));
                }
                (was_in, renewed) = (true, false);
            }
            Timer::after(if was_in { TEST_EVERY } else { Duration::from_millis(20) }).await;
        }
    }

    async fn ask_agent_on(self: Rc<Self>, n: usize) {
        let Some((_, agent)) = self.placers.get(n).copied() else { return };
        loop {
            let asked = async {
                let mut stream = Async::<TcpStream>::connect(agent).await.ok()?;
                stream.write_all(b"rehearsal\n").await.ok()?;
                let mut answer = String::new();
                stream.read_to_string(&mut answer).await.ok()?;
                read_agent(&answer).ok()
            };
            let limit = async {
                Timer::after(TEST_LIMIT).await;
                None
            };
            if let Some(advice) = asked.or(limit).await {
                self.inner.borrow_mut().front.advised(n, advice);
            }
            Timer::after(TEST_EVERY).await;
        }
    }

    /// A line on the terminal that tells how it goes.
    async fn show_on(self: Rc<Self>, begun: Micros, lasts: Micros, total: usize) {
        loop {
            Timer::after(Duration::from_millis(500)).await;
            let inner = self.inner.borrow();
            let placed = inner.tasks.values().filter(|task| task.started.is_some()).count();
            let (due, open) = (inner.tasks.len(), inner.clients.open());
            let at = (self.notes.now() - begun).max(0) / SECOND;
            let late = inner.lateness.value_at_quantile(0.99) as f64 / 1_000.0;
            eprint!(
                "\r{at:>4} of {} s  {due}/{total} due  {placed} started  {open} open  own lateness p99 {late:.1} ms   ",
                lasts / SECOND
            );
        }
    }
}

impl Conn {
    fn push(&mut self, words: &[u8]) {
        self.queue.extend(words);
        self.queued += words.len() as u64;
        let _ = self.wake.try_send(());
    }
}
