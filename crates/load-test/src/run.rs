//! A rehearsal: the generator on its one thread, the installation on another, the placers as processes.
//!
//! The generator is open: a task is due when the plan says, whatever became of those before. Bytes that a
//! socket does not take wait in memory, with the time at which their task was due.

mod connections;
mod deployment;
mod generator;
mod probes;

use crate::arrivals::{Arrival, arrivals};
use crate::clients::{Counts, Fate};
use crate::director::{self, Act};
use crate::front::Tested;
use crate::harm::Harm;
use crate::network::Network;
use crate::plan::Plan;
use crate::shape::{Micros, Shape};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use deployment::{settings, spec};
use emulator::cluster::{Cluster, ClusterConfig, LoadSample};
use emulator::event_log::Event as LogEvent;
use emulator::event_log::EventLog;
use emulator::rule_check::{ClassRules, Finding, RuleSettings, check};
use emulator::supervisor::{LaunchConfig, Supervisor};
use futures_lite::{FutureExt, StreamExt, future};
use generator::{Inner, World};
use hdrhistogram::Histogram;
use simd_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
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
    /// When the plan began, on the clock of the event log.
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
    /// EventLog that were taken.
    pub event_count: usize,
    /// How the hosts stood.
    pub looks: Vec<LoadSample>,
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
    let log = EventLog::default();
    let layout = ClusterConfig {
        zones: plan.rooms.clone(),
        hosts: plan.hosts.count,
        rack_size: plan.hosts.rack,
        host_spec: spec(plan),
        placers: plan.placers.count,
        min_feed_delay: micros(plan.feed.late_from),
        max_feed_delay: micros(plan.feed.late_to),
        refresh_interval: micros(plan.feed.refresh),
        seed: plan.seed,
    };
    let cluster = Arc::new(Cluster::start(layout, log.clone()).map_err(error("the installation"))?);
    let network = Network::open(plan, &cluster, log.clone()).map_err(error("the links"))?;
    let launch = LaunchConfig {
        binary: options.placer.clone(),
        guard: options.guard.clone(),
        folder: options.folder.clone(),
        settings: settings(plan),
        zones: plan.rooms.clone(),
        limits: json!({ "cores": 1.0, "memory_mb": (plan.placers.memory_mb), "sockets": (plan.placers.sockets) }),
        operator_file: plan.placers.operator.clone(),
        seed: plan.seed,
    };
    let what = format!("placers ({})", options.placer.display());
    let supervisor = Supervisor::start(launch, plan.placers.count, &cluster, log.clone())
        .map_err(error(&what))?;
    let mut placers: Vec<(SocketAddr, SocketAddr)> = Vec::new();
    for n in 0..supervisor.count() {
        let called = match &network {
            Some(network) => network
                .clients_call(n, &supervisor)
                .map_err(error("the links"))?,
            None => supervisor.client_address(n),
        };
        placers.extend(called.zip(supervisor.agent_address(n)));
    }

    let executor = Rc::new(LocalExecutor::new());
    let world = Rc::new(World {
        log: log.clone(),
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
    let (began, ended, supervisor, interrupted) = future::block_on(executor.run(async {
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
        let begun = log.now() + 100 * MILLI;
        world.begun.set(begun);
        let directing = director::direct(
            acts.clone(),
            begun,
            supervisor,
            cluster.clone(),
            network,
            log.clone(),
            stop.clone(),
        );
        let ticking = world.clone();
        executor
            .spawn(async move { ticking.tick_on().await })
            .detach();
        if options.progress {
            let showing = world.clone();
            let total = due.len();
            executor
                .spawn(async move { showing.show_on(begun, lasts, total).await })
                .detach();
        }
        let whole = async {
            world.pace(begun, &due, &shape).await;
            let end = log.instant(begun + lasts + micros(plan.clients.drain));
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
        let ended = log.now();
        world.stop.set(true);
        stop.store(true, Ordering::Relaxed);
        let supervisor = directing
            .join()
            .map_err(|_| RunError("the director ended".into()))?;
        Ok((begun, ended, supervisor, interrupted))
    }))?;
    if options.progress {
        eprintln!();
    }
    let memory_kb = (0..supervisor.count())
        .map(|n| supervisor.peak_memory_kb(n))
        .collect();
    let descriptors = (0..supervisor.count())
        .map(|n| supervisor.peak_descriptors(n))
        .collect();
    let (looks, rooms, places) = (
        cluster.load_samples(),
        cluster.host_zones(),
        cluster.host_slots(),
    );
    drop(cluster);
    let all = log.events();
    // What came after clients had stopped is nobody's to hear; how placers ended counts all the same.
    let kept: Vec<(Micros, LogEvent)> = all
        .into_iter()
        .filter(|(at, note)| *at <= ended || matches!(note, LogEvent::PlacerChanged { .. }))
        .collect();
    let inner = world.inner.borrow();
    // A generator that was late itself has seen all answers late.
    let own = Micros::try_from(inner.lateness.max()).unwrap_or(0);
    let bound = |most: u32| (most > 0).then_some(most);
    let rules = RuleSettings {
        classes: plan
            .classes
            .iter()
            .map(|class| ClassRules {
                non_idempotent: class.once,
                max_per_zone: bound(class.most_in_room),
            })
            .collect(),
        host_zones: rooms,
        host_slots: places.clone(),
        time_tolerance: RuleSettings::default().time_tolerance + own,
        ..RuleSettings::default()
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
        event_count: kept.len(),
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
    let text = format!(
        "[placers]\ncount = 1\n[arrivals]\nshape = \"{rate}/s for {}ms\"\n",
        span.as_millis()
    );
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
    let log = EventLog::default();
    let executor = Rc::new(LocalExecutor::new());
    let world = Rc::new(World {
        log: log.clone(),
        plan: plan.clone(),
        executor: executor.clone(),
        placers: vec![(address, address)],
        inner: RefCell::new(Inner::new(&plan)),
        begun: Cell::new(log.now()),
        stop: Cell::new(false),
    });
    world.inner.borrow_mut().front.tested(0, Tested::Passed);
    let ticking = world.clone();
    executor
        .spawn(async move { ticking.tick_on().await })
        .detach();
    let begun = log.now() + 100 * MILLI;
    world.begun.set(begun);
    future::block_on(executor.run(world.pace(begun, &due, &shape)));
    world.stop.set(true);
    let late = world.inner.borrow().lateness.clone();
    Ok(late)
}
