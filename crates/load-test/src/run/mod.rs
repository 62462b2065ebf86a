//! Runs a load test: the generator on one thread, the emulated cluster on another, and the placers as processes.
//!
//! The generator is an open loop: each task is requested when the plan says, whatever the outcome of earlier tasks.
//! Bytes that a socket does not accept yet are queued in memory, and latencies are measured from when tasks were due.

mod connection;
mod deployment;
mod evaluation;
mod generator;
mod health_checks;
mod protocol;
mod state;
mod transport;

use crate::arrivals::{Arrival, arrivals};
use crate::fault_injector::{FaultInjector, schedule};
use crate::load_balancer::HealthCheckResult;
use crate::load_profile::{LoadProfile, Micros};
use crate::outcome::Outcome;
use crate::plan::{Plan, PlanError};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use deployment::Deployment;
use emulator::event_log::EventLog;
use emulator::load_balancer::polling::ServerAddresses;
use emulator::supervisor::Supervisor;
use evaluation::{FinishedRun, evaluate};
use futures_lite::{FutureExt, StreamExt, future};
use generator::Generator;
use hdrhistogram::Histogram;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Maximum time until all placers pass their health checks.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between the readiness of all placers and the start of the plan.
const START_DELAY: Micros = 100 * MILLISECOND;
const END_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a run that are not part of the plan.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the placer's executable.
    pub placer: PathBuf,
    /// Path of the program whose `guard` command starts placers so that they are killed with this process, if any.
    pub guard: Option<PathBuf>,
    /// Folder for the configurations and logs of the placers.
    pub folder: PathBuf,
    /// Whether to show the progress on the terminal.
    pub progress: bool,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A component of the run could not be started.
    #[error("cannot start {component}: {source}")]
    NotStarted {
        /// Name of the component.
        component: String,
        /// The I/O error.
        source: io::Error,
    },
    /// Not all placers passed their health checks in time.
    #[error("placers do not pass their health checks; see the logs in {}", folder.display())]
    NotReady {
        /// Folder of the placers' logs.
        folder: PathBuf,
    },
    /// The thread of the fault injector panicked.
    #[error("the fault injector panicked")]
    FaultInjectorPanicked,
    /// The plan for the measurement of the generator is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// Returns a function that converts an I/O error to the error that a component could not be started.
fn not_started(component: &str) -> impl FnOnce(io::Error) -> RunError {
    let component = component.to_string();
    move |source| RunError::NotStarted { component, source }
}

fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Durations of a run, from the start of the plan.
#[derive(Debug, Clone, Copy)]
struct RunLength {
    /// Time until the last arrival and the end of the load profile.
    load: Micros,
    /// Time until clients stop waiting for open tasks.
    with_drain: Micros,
}

impl RunLength {
    fn new(plan: &Plan, profile: &LoadProfile, arrivals: &[Arrival]) -> RunLength {
        let last_due = arrivals.last().map_or(0, |arrival| arrival.due);
        let load = last_due.max(profile.length());
        RunLength {
            load,
            with_drain: load + micros(plan.clients.drain_time),
        }
    }
}

/// Runs a plan.
///
/// # Errors
///
/// A component of the run could not be started, or the placers do not become ready.
pub fn run(plan: &Plan, options: &Options) -> Result<Outcome, RunError> {
    let profile = plan.load_profile();
    let arrivals = arrivals(plan, &profile);
    run_arrivals(plan, profile, &arrivals, options)
}

/// Runs a plan with the given arrivals instead of its own, such as those of a trace.
///
/// # Errors
///
/// A component of the run could not be started, or the placers do not become ready.
pub fn run_arrivals(
    plan: &Plan,
    profile: LoadProfile,
    arrivals: &[Arrival],
    options: &Options,
) -> Result<Outcome, RunError> {
    let log = EventLog::default();
    let (deployment, injector) = Deployment::start(plan, options, &log)?;
    let executor = Rc::new(LocalExecutor::new());
    let generator = Rc::new(Generator::new(
        plan,
        log.clone(),
        executor.clone(),
        deployment.placers.clone(),
    ));
    let signals =
        Signals::new([Signal::Int, Signal::Term]).map_err(not_started("the signal handlers"))?;
    let generation = generate(&generator, injector, &profile, arrivals, options, signals);
    let run = future::block_on(executor.run(generation))?;
    if options.progress {
        eprintln!();
    }
    let state = generator.state.borrow();
    Ok(evaluate(plan, profile, deployment, run, &state, &log))
}

/// Waits until the placers are ready, then generates load and injects faults until the run is over or a signal
/// interrupts it.
async fn generate(
    generator: &Rc<Generator>,
    injector: FaultInjector,
    profile: &LoadProfile,
    arrivals: &[Arrival],
    options: &Options,
    mut signals: Signals,
) -> Result<FinishedRun, RunError> {
    generator.clone().start_health_checks();
    wait_until_ready(generator, options).await?;
    let log = &generator.log;
    let start = log.now() + START_DELAY;
    generator.start.set(start);
    let actions = schedule(&generator.plan);
    let stop = Arc::new(AtomicBool::new(false));
    let injection = injector.start(actions.clone(), start, stop.clone());
    spawn(generator, Generator::tick_clients);
    let length = RunLength::new(&generator.plan, profile, arrivals);
    if options.progress {
        let total = arrivals.len();
        spawn(generator, |generator| {
            generator.show_progress(start, length.load, total)
        });
    }
    let load = async {
        generator.run_arrivals(start, arrivals, profile).await;
        wait_for_clients(generator, start, length).await;
        false
    };
    let signalled = async {
        let _ = signals.next().await;
        true
    };
    let interrupted = load.or(signalled).await;
    let end = log.now();
    generator.stopped.set(true);
    stop.store(true, Ordering::Relaxed);
    let supervisor: Supervisor = injection
        .join()
        .map_err(|_| RunError::FaultInjectorPanicked)?;
    Ok(FinishedRun {
        supervisor,
        start,
        end,
        actions,
        interrupted,
    })
}

/// Spawns a task of the generator that runs concurrently with the load.
fn spawn<F: Future<Output = ()> + 'static>(
    generator: &Rc<Generator>,
    task: impl FnOnce(Rc<Generator>) -> F,
) {
    generator.executor.spawn(task(generator.clone())).detach();
}

async fn wait_until_ready(generator: &Rc<Generator>, options: &Options) -> Result<(), RunError> {
    let ready = async {
        while !generator.state.borrow().balancer.all_up() {
            Timer::after(READY_POLL_INTERVAL).await;
        }
        Ok(())
    };
    let timeout = async {
        Timer::after(READY_TIMEOUT).await;
        Err(RunError::NotReady {
            folder: options.folder.clone(),
        })
    };
    ready.or(timeout).await
}

/// Waits until clients have no open tasks, or the drain time is over.
async fn wait_for_clients(generator: &Rc<Generator>, start: Micros, length: RunLength) {
    let deadline = generator.log.instant(start + length.with_drain);
    while Instant::now() < deadline && generator.state.borrow().clients.open_count() > 0 {
        Timer::after(END_POLL_INTERVAL).await;
    }
}

/// Measures the lateness of the generator at a rate. The clients connect to a listener on another thread, which reads
/// everything and answers nothing, so that the generator has a core to itself.
///
/// # Errors
///
/// There is no free port, or the rate is not allowed.
pub fn measure_generator_lateness(
    rate: f64,
    duration: Duration,
) -> Result<Histogram<u64>, RunError> {
    let text = format!(
        "[placers]\ncount = 1\n[arrivals]\nshape = \"{rate}/s for {}ms\"\n",
        duration.as_millis()
    );
    let plan = Plan::parse(&text)?;
    let profile = plan.load_profile();
    let arrivals = arrivals(&plan, &profile);
    let address = start_sink().map_err(not_started("a listener"))?;
    let log = EventLog::default();
    let executor = Rc::new(LocalExecutor::new());
    let addresses = ServerAddresses {
        clients: address,
        agent: address,
    };
    let generator = Rc::new(Generator::new(
        &plan,
        log.clone(),
        executor.clone(),
        vec![addresses],
    ));
    generator
        .state
        .borrow_mut()
        .balancer
        .apply_health_check(0, HealthCheckResult::Passed);
    spawn(&generator, Generator::tick_clients);
    let start = log.now() + START_DELAY;
    generator.start.set(start);
    future::block_on(executor.run(generator.run_arrivals(start, &arrivals, &profile)));
    generator.stopped.set(true);
    let lateness = generator.state.borrow().lateness.clone();
    Ok(lateness)
}

/// Starts a listener that reads everything and answers nothing, and returns its address.
fn start_sink() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            std::thread::spawn(move || io::copy(&mut stream, &mut io::sink()));
        }
    });
    Ok(address)
}
