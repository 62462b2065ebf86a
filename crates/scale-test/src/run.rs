//! Executes one run of the scale test, from starting the placers to the result.
//!
//! ```text
//! start placers ─ health checks pass ─ announce running tasks ─ warm up ─ measure, with faults ─ drain ─ audit
//! ```
//!
//! Every phase has a time limit, so a run always terminates. All processes and threads that the run has started are
//! stopped when it ends, also after an error.

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

/// The maximum time from a placer's start to its first passed health check.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The maximum time that the clients may take to announce the running tasks to the placers.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(30);
/// How long placers may connect to the workers of their running tasks before the load begins.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// The interval at which the run checks its processes, its threads and the condition that it waits for.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The minimum duration of the drain phase. A placer may take 2 s to find that an announced task runs on no worker.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// The maximum duration of the drain phase. It exceeds both the longest time that a client waits for an answer and
/// the 8 s within which the protocol requires the end of a task to be reported.
const DRAIN_LIMIT: Duration = Duration::from_secs(14);
/// The time span that one row of the result covers, and the interval of progress reports.
const SECOND: Duration = Duration::from_secs(1);

/// A snapshot of a run's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The name of the current phase.
    pub phase: &'static str,
    /// Whole seconds since the phase started; during the load phases, since the load started.
    pub seconds: u64,
    /// Number of tasks that have started so far.
    pub started: u64,
    /// Number of tasks that were refused, or failed before their start, so far.
    pub refused: u64,
    /// Number of requests that wait for an answer.
    pub waiting: u64,
    /// Number of tasks that start or run at workers.
    pub active_tasks: usize,
    /// Number of open connections from placers to workers.
    pub connections: usize,
}

/// Observes the progress of a run, and can request that it stops early.
pub trait Watcher {
    /// Receives the progress of the run, about once a second.
    fn progress(&mut self, _progress: &Progress) {}

    /// Returns whether the run should stop at its next check.
    fn should_stop(&self) -> bool {
        false
    }
}

/// A watcher that ignores progress and never stops the run.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoWatcher;

impl Watcher for NoWatcher {}

/// Returns the soft limit on this process's open descriptors, or `u64::MAX` if there is none.
pub fn descriptor_limit() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Checks that the settings are valid and that the machine has the resources for the run.
///
/// # Errors
///
/// Returns an error if a setting is invalid, the run needs more resources than the machine has, or the machine's
/// resources cannot be read.
pub fn admit(settings: &Settings) -> Result<(), RunError> {
    settings.check()?;
    let machine = Machine::read().map_err(RunError::system("read the machine's resources"))?;
    budget::check(&Need::of_settings(settings), &machine)?;
    Ok(())
}

/// Executes a run with these settings. Each placer is a process of `program`, which `sampler` measures.
///
/// # Errors
///
/// Returns an error if [`admit`] rejects the settings, a placer or a peer thread fails, or the watcher stops the
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
    let window = run.start_load(settings);
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
    /// Returns an error if the watcher stops the run, or a placer or a peer thread has ended early.
    fn check(&mut self) -> Result<(), RunError> {
        if self.watcher.should_stop() {
            return Err(RunError::Interrupted);
        }
        self.environment.check()
    }

    /// Reports progress to the watcher, with the seconds counted from `since`.
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

    /// Waits until a condition holds or the time limit has passed. Returns whether the condition holds.
    fn wait(
        &mut self,
        phase: &'static str,
        limit: Duration,
        is_done: impl Fn(&TestEnvironment) -> bool,
    ) -> Result<bool, RunError> {
        let start = Instant::now();
        let mut last_report = start;
        while !is_done(&self.environment) {
            self.check()?;
            self.environment.record_ready_times();
            if start.elapsed() >= limit {
                return Ok(false);
            }
            if last_report.elapsed() >= SECOND {
                last_report = Instant::now();
                self.report(phase, start);
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(true)
    }

    /// Waits until all placers have passed a health check and have been sent the running tasks, then for
    /// [`SETTLE_TIME`].
    fn wait_until_ready(&mut self) -> Result<(), RunError> {
        self.wait("starting placers", READY_LIMIT, |environment| {
            environment.all_ready()
        })?;
        self.environment.record_ready_times();
        if let Some(late) = self.environment.not_ready() {
            return Err(late.into_error(READY_LIMIT));
        }
        self.wait("announcing running tasks", ANNOUNCE_LIMIT, |environment| {
            environment.states().0.queued == 0
        })?;
        let settled_at = Instant::now() + SETTLE_TIME;
        self.wait("settling", 2 * SETTLE_TIME, |_| {
            Instant::now() >= settled_at
        })?;
        Ok(())
    }

    /// Starts the arrivals of tasks and the lifetimes of the running tasks. Returns the times of the load.
    fn start_load(&mut self, settings: &Settings) -> ArrivalWindow {
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

    /// Runs until the end of the measured time, injecting faults when they are due and recording one row per second.
    fn run_load(
        &mut self,
        settings: &Settings,
        window: ArrivalWindow,
        sampler: &mut dyn Sampler,
        meter: &mut Meter,
    ) -> Result<(), RunError> {
        let mut schedule = Schedule::new(settings, window.measured_from);
        meter.start_rows(&self.environment, sampler);
        let mut next_row = row_end(window.start, &window);
        loop {
            self.check()?;
            self.environment.record_ready_times();
            if let Some(late) = self.environment.overdue(READY_LIMIT) {
                return Err(late.into_error(READY_LIMIT));
            }
            let now = Instant::now();
            while let Some(action) = schedule.next_due(now) {
                self.environment.apply(action, &mut self.kills)?;
            }
            if now >= next_row {
                meter.complete_row(&self.environment, sampler);
                let phase = if now >= window.measured_from {
                    "measured"
                } else {
                    "warm-up"
                };
                self.report(phase, window.start);
                if next_row >= window.end {
                    return Ok(());
                }
                next_row = row_end(next_row, &window);
            }
            let left = next_row.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(CHECK_INTERVAL));
        }
    }

    /// Waits until no answer and no acknowledgement is pending and all running placers are ready, for at least
    /// [`MIN_DRAIN_TIME`] and at most [`DRAIN_LIMIT`].
    fn drain(&mut self) -> Result<(), RunError> {
        self.environment
            .workers()
            .send(WorkerCommand::StopEndingTasks);
        let earliest_end = Instant::now() + MIN_DRAIN_TIME;
        self.wait("drain", DRAIN_LIMIT, |environment| {
            let (clients, workers) = environment.states();
            Instant::now() >= earliest_end
                && clients.waiting == 0
                && workers.unacknowledged == 0
                && environment.all_ready()
        })?;
        Ok(())
    }
}

/// Returns the end of the row that starts at this time. A row ends early at the start of the measured time, so that
/// none is partly measured.
fn row_end(start: Instant, window: &ArrivalWindow) -> Instant {
    let end = start + SECOND;
    if start < window.measured_from {
        end.min(window.measured_from)
    } else {
        end.min(window.end)
    }
}

/// Stops the environment, and assembles the result of the run.
fn finish(
    settings: &Settings,
    environment: TestEnvironment,
    meter: Meter,
    kills: &[Kill],
) -> Result<RunResult, RunError> {
    let reports = environment.stop()?;
    let fleet = fleet_totals(settings, &reports.clients, &reports.workers, kills)?;
    let memory = meter.memory();
    let processes = 1 + usize::from(settings.placers);
    let machine_busy = meter.machine_busy();
    let reason =
        lateness_reason(settings, &fleet).or_else(|| overload_reason(settings, machine_busy));
    Ok(RunResult {
        settings: settings.clone(),
        usable: reason.is_none(),
        reason,
        duration_s: settings.duration.as_secs_f64(),
        processes,
        memory,
        machine_busy,
        fleet,
        placers: meter.finish(reports.ready_ms),
    })
}

/// Audits the records of clients and workers, and returns the totals over all tasks.
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

/// Merges the start times of all classes into one histogram.
fn all_times(classes: &[LatencyHistogram]) -> Result<LatencyHistogram, RunError> {
    let mut merged = LatencyHistogram::new().map_err(RunError::system("create a histogram"))?;
    classes.iter().for_each(|times| merged.merge(times));
    Ok(merged)
}

/// Returns the reason why a run is unusable, if the simulated clients or workers exceeded the lateness limit.
fn lateness_reason(settings: &Settings, fleet: &FleetTotals) -> Option<String> {
    let limit_ms = settings.lateness_limit.as_secs_f64() * 1e3;
    let limit = humantime::format_duration(settings.lateness_limit);
    let peers = [
        ("clients", fleet.lateness.p99_ms),
        ("workers", fleet.worker_lateness.p99_ms),
    ];
    let late = peers.into_iter().find(|(_, p99_ms)| *p99_ms > limit_ms);
    late.map(|(who, p99_ms)| {
        format!("the simulated {who} were late: p99 {p99_ms:.1} ms, over the limit of {limit}")
    })
}

/// Returns the reason why a run is unusable, if the machine's processors were busier than the limit.
fn overload_reason(settings: &Settings, busy: f64) -> Option<String> {
    let limit = settings.busy_limit;
    let percent = |part: f64| 100.0 * part;
    (busy > limit).then(|| {
        format!(
            "the machine was overloaded: {:.0} % of processor time busy, over the limit of {:.0} %",
            percent(busy),
            percent(limit)
        )
    })
}
