//! One run from its start to its result.
//!
//! ```text
//! placers start ─ first tests pass ─ standing tasks told ─ warm-up ─ measured, with faults ─ drain ─ audit
//! ```
//!
//! Every phase has its time, so that a run always ends by itself; whatever happens, what it has started ends
//! with it.

mod environment;
mod machine;
mod meter;
mod schedule;

use crate::audit::{Kill, audit};
use crate::budget::{self, Machine, Need};
use crate::clients::{ArrivalWindow, ClientAudit, ClientCommand};
use crate::deployment::Class;
use crate::error::RunError;
use crate::process_sample::Sampler;
use crate::results::{ClassTimes, FleetTotals, Percentiles, RunResult};
use crate::settings::Settings;
use crate::timing::LatencyHistogram;
use crate::workers::{WorkerCommand, WorkerReport};
use environment::TestEnvironment;
use meter::Meter;
use rustix::process::{Resource, getrlimit};
use schedule::Schedule;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long placers may take until a test passes.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// How long it may take to tell them what stands.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(30);
/// How long placers get to call the workers of what stands, before load begins.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How often the run looks after everything.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long after the load nothing may be owed before the audit: a placer may take 2 s to find that a task
/// which it was told of stands nowhere.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// The longest drain: the longest wait of a client, and the time in which the end of a task has to be told
/// (the protocol's 8 s), with some to spare.
const DRAIN_LIMIT: Duration = Duration::from_secs(14);
/// Rows are so long.
const SECOND: Duration = Duration::from_secs(1);

/// How a run goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// What it does.
    pub phase: &'static str,
    /// Seconds of it that have passed.
    pub seconds: u64,
    /// Tasks that were answered so far.
    pub started: u64,
    /// Tasks that were refused so far.
    pub refused: u64,
    /// Set-ups that wait.
    pub waiting: u64,
    /// Tasks at workers.
    pub active_tasks: usize,
    /// Connections of placers to workers.
    pub connections: usize,
}

/// Who watches a run.
pub trait Watcher {
    /// The run goes on; about once a second.
    fn progress(&mut self, _progress: &Progress) {}

    /// Whether the run is to end now.
    fn should_stop(&self) -> bool {
        false
    }
}

/// Nobody.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoWatcher;

impl Watcher for NoWatcher {}

/// The descriptors that this process may hold.
pub fn own_descriptors() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Refuses settings that can't be meant, or that need more than the machine has for a run.
///
/// # Errors
///
/// Returns an error if a setting is invalid, the run needs too much, or the machine cannot be read.
pub fn admit(settings: &Settings) -> Result<(), RunError> {
    settings.check()?;
    let machine = Machine::read().map_err(RunError::system("read what the machine has"))?;
    budget::check(&Need::of_settings(settings), &machine)?;
    Ok(())
}

/// Runs these settings with this program as placer.
///
/// # Errors
///
/// Returns an error if the run is not admitted, a placer or a peer thread fails, or the watcher stops the
/// run.
pub fn run(
    settings: &Settings,
    program: &Path,
    sampler: &mut dyn Sampler,
    watcher: &mut dyn Watcher,
) -> Result<RunResult, RunError> {
    admit(settings)?;
    let mut run = Run {
        environment: TestEnvironment::start(settings, program)?,
        watcher,
        kills: Vec::new(),
    };
    run.wait_until_ready()?;
    let window = run.begin(settings);
    let mut meter = Meter::new(run.environment.counters(), window.measured_from);
    run.run_load(settings, window, sampler, &mut meter)?;
    run.drain()?;
    let Run {
        environment, kills, ..
    } = run;
    finish(settings, environment, meter, &kills)
}

struct Run<'a> {
    environment: TestEnvironment,
    watcher: &'a mut dyn Watcher,
    kills: Vec<Kill>,
}

impl Run<'_> {
    /// Looks after everything that may have gone wrong.
    fn look(&mut self) -> Result<(), RunError> {
        if self.watcher.should_stop() {
            return Err(RunError::Interrupted);
        }
        self.environment.check()
    }

    fn report(&mut self, phase: &'static str, since: Instant) {
        let (clients, workers) = self.environment.states();
        self.watcher.progress(&Progress {
            phase,
            seconds: since.elapsed().as_secs(),
            started: clients.started,
            refused: clients.refused,
            waiting: clients.waiting,
            active_tasks: workers.active_tasks,
            connections: workers.connections,
        });
    }

    /// Waits until something holds, or its time is over: whether it holds.
    fn wait(
        &mut self,
        phase: &'static str,
        limit: Duration,
        holds: impl Fn(&TestEnvironment) -> bool,
    ) -> Result<bool, RunError> {
        let start = Instant::now();
        let mut reported = start;
        while !holds(&self.environment) {
            self.look()?;
            self.environment.note_ready();
            if start.elapsed() >= limit {
                return Ok(false);
            }
            if reported.elapsed() >= SECOND {
                reported = Instant::now();
                self.report(phase, start);
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(true)
    }

    /// Until all placers pass tests and know what stands.
    fn wait_until_ready(&mut self) -> Result<(), RunError> {
        self.wait("placers start", READY_LIMIT, |environment| {
            environment.all_ready()
        })?;
        self.environment.note_ready();
        if let Some(late) = self.environment.not_ready() {
            return Err(late.into_error(READY_LIMIT));
        }
        self.wait("standing tasks told", ANNOUNCE_LIMIT, |environment| {
            environment.states().0.queued == 0
        })?;
        let settled = Instant::now() + SETTLE_TIME;
        self.wait("placers settle", 2 * SETTLE_TIME, |_| {
            Instant::now() >= settled
        })?;
        Ok(())
    }

    /// Load begins.
    fn begin(&mut self, settings: &Settings) -> ArrivalWindow {
        let start = Instant::now();
        let measured_from = start + settings.warm_up;
        let window = ArrivalWindow {
            start,
            measured_from,
            end: measured_from + settings.duration,
        };
        self.environment
            .workers()
            .send(WorkerCommand::StartLifetimes);
        self.environment
            .clients()
            .send(ClientCommand::StartArrivals(window));
        window
    }

    /// Until the end of the measured time: faults as they are due, and a row each second.
    fn run_load(
        &mut self,
        settings: &Settings,
        window: ArrivalWindow,
        sampler: &mut dyn Sampler,
        meter: &mut Meter,
    ) -> Result<(), RunError> {
        let mut schedule = Schedule::new(settings, window.measured_from);
        meter.begin(&self.environment, sampler);
        let mut next = row_end(window.start, &window);
        loop {
            self.look()?;
            self.environment.note_ready();
            if let Some(late) = self.environment.overdue(READY_LIMIT) {
                return Err(late.into_error(READY_LIMIT));
            }
            let now = Instant::now();
            while let Some(action) = schedule.next_due(now) {
                self.environment.act(action, &mut self.kills)?;
            }
            if now >= next {
                meter.row(&self.environment, sampler);
                let phase = if now >= window.measured_from {
                    "measured"
                } else {
                    "warm-up"
                };
                self.report(phase, window.start);
                if next >= window.end {
                    return Ok(());
                }
                next = row_end(next, &window);
            }
            let left = next.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(CHECK_INTERVAL));
        }
    }

    /// Until all that is owed was told.
    fn drain(&mut self) -> Result<(), RunError> {
        self.environment
            .workers()
            .send(WorkerCommand::StopEndingTasks);
        let quiet = Instant::now() + MIN_DRAIN_TIME;
        self.wait("drain", DRAIN_LIMIT, |environment| {
            let (clients, workers) = environment.states();
            Instant::now() >= quiet
                && clients.waiting == 0
                && workers.unacknowledged == 0
                && environment.all_ready()
        })?;
        Ok(())
    }
}

/// The end of the row that begins here: none reaches over the start of the measured time.
fn row_end(start: Instant, window: &ArrivalWindow) -> Instant {
    let end = start + SECOND;
    if start < window.measured_from {
        end.min(window.measured_from)
    } else {
        end.min(window.end)
    }
}

/// Ends everything, and puts the result together.
fn finish(
    settings: &Settings,
    environment: TestEnvironment,
    meter: Meter,
    kills: &[Kill],
) -> Result<RunResult, RunError> {
    let ended = environment.stop()?;
    let fleet = fleet_totals(settings, &ended.clients, &ended.workers, kills)?;
    let (memory, processes) = (meter.memory(), 1 + usize::from(settings.placers));
    let machine_busy = meter.machine_busy();
    let reason = late_reason(settings, &fleet).or_else(|| full_reason(settings, machine_busy));
    Ok(RunResult {
        settings: settings.clone(),
        usable: reason.is_none(),
        reason,
        duration_s: settings.duration.as_secs_f64(),
        processes,
        memory,
        machine_busy,
        fleet,
        placers: meter.finish(ended.ready),
    })
}

fn fleet_totals(
    settings: &Settings,
    clients: &ClientAudit,
    workers: &WorkerReport,
    kills: &[Kill],
) -> Result<FleetTotals, RunError> {
    let mut totals = FleetTotals::default();
    audit(&mut totals, &clients.tasks, &workers.audit, kills);
    totals.answered_twice = clients.second_answers;
    totals.bad_messages += clients.bad_messages;
    totals.lateness = Percentiles::of(&clients.timings.lateness);
    totals.worker_lateness = Percentiles::of(&workers.lateness);
    totals.all_start_times = Percentiles::of(&all_times(&clients.timings.to_start)?);
    let classes = Class::ALL.iter().zip(&clients.timings.to_start);
    let times = |(class, times): (&Class, _)| ClassTimes {
        class: class.name().to_string(),
        times: Percentiles::of(times),
    };
    totals.start_times = classes
        .map(times)
        .filter(|class| class.times.count > 0)
        .collect();
    totals.starts_per_s = totals.all_start_times.count as f64 / settings.duration.as_secs_f64();
    Ok(totals)
}

/// The times of all classes together.
fn all_times(classes: &[LatencyHistogram]) -> Result<LatencyHistogram, RunError> {
    let mut all = LatencyHistogram::new().map_err(RunError::system("make a histogram"))?;
    classes.iter().for_each(|times| all.merge(times));
    Ok(all)
}

/// Why the hollow peers' own lateness makes a run of no use, if it does.
fn late_reason(settings: &Settings, fleet: &FleetTotals) -> Option<String> {
    let limit_ms = settings.lateness_limit.as_secs_f64() * 1e3;
    let limit = humantime::format_duration(settings.lateness_limit);
    let peers = [
        ("clients", fleet.lateness.p99_ms),
        ("workers", fleet.worker_lateness.p99_ms),
    ];
    let late = peers.into_iter().find(|(_, p99_ms)| *p99_ms > limit_ms);
    late.map(|(who, p99_ms)| {
        format!("the hollow {who} themselves were late: p99 {p99_ms:.1} ms, over {limit}")
    })
}

/// Why a full machine makes a run of no use, if it was full.
fn full_reason(settings: &Settings, busy: f64) -> Option<String> {
    let limit = settings.busy_limit;
    let percent = |part: f64| 100.0 * part;
    (busy > limit).then(|| {
        format!(
            "the machine was full: {:.0} % of its processors busy, over {:.0} %",
            percent(busy),
            percent(limit)
        )
    })
}
