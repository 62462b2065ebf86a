//! All decisions of the placer. Types of settings, events and actions: `interface.rs`; what was
//! heard and sent is kept by `ledger.rs`, which decides nothing.
//!
//! One task's way: eligible machines, load, a, then SCD (ideal workload, sorted prefix, draw), the
//! offer with its time-out, and what its outcome permits next. Steps follow in that order below.

use crate::ledger::*;
use crate::placement::*;
use crate::working_set::{Part, WorkingSet};
use itertools::Itertools;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeSet, VecDeque};

// ---- Constants: dimensionless; every time span is a multiple of a stated setting. ----

/// `a` is read from a window of the shortest aim, lengthened until it holds so many own arrivals.
const ENOUGH: usize = 6;
/// The list's assumed lag, as a part of the longest time without asking, and reports' in aims.
const LIST_LAG_OF_ASK: f64 = 0.25;
const REPORT_LAG_OF_AIM: f64 = 0.5;
/// Use as a part of what was asked (cores, memory) until seen, and that guess's weight in mean tasks.
const PRIOR_USE: [f64; 2] = [0.5, 0.7];
const PRIOR_TASKS: f64 = 10.0;
/// A machine counts as full where its memory in use reaches this: tasks grow after they start, and offers
/// stop at `OFFER_FILL` times as much, just before serving slows and machines evict.
const MEMORY_FULL: f64 = 0.75;
/// Part of the machine limits on what is asked that counts as full: own views run late.
const ASKED_FULL: f64 = 0.95;
/// The working set holds what all tasks need filled to this part.
const SET_FILL: f64 = 0.6;
/// Steps of fullness by which the set is ordered, and the fullness from which on machines count alike:
/// coarse, so that late views order it alike.
const SET_STEPS: f64 = 4.0;
const SET_ALIKE: f64 = 0.5;
/// A machine is no longer offered tasks beyond this fullness, unless it is the last resort.
const OFFER_FILL: f64 = 1.25;
/// Homes of a service that are ranked beforehand; past these the whole set is looked at.
const RANKED: usize = 8;
/// A home fuller than the set's mean by this factor is joined by the service's next home.
const HOME_OVER: f64 = 1.35;
/// A task of more than so many mean tasks is heavy: SCD's load, kept in mean tasks, does not foresee it.
const HEAVY_TASKS: f64 = 4.0;
/// First suspension after a failure, in connect time-outs or aims; doubles, at most so often.
const SUSPECT: i64 = 2;
/// The same for a class or tenant: no probe tells when it is served again.
const SUSPECT_PART: i64 = 16;
const DOUBLINGS: u32 = 6;
/// So many machines that answer an error to a task speak of the task.
const BLAME: usize = 2;
/// Own unanswered offers at a machine at once: at first and at most; what a start in time adds, a
/// late one takes, and the part that a lost one takes.
const START_WINDOW: f64 = 8.0;
const MOST_WINDOW: f64 = 16.0;
const WINDOW_GAIN: f64 = 1.0;
const WINDOW_LATE: f64 = 0.1;
const WINDOW_LOST: f64 = 0.1;
/// Probes for each own fresh arrival, at most.
const PROBES_PER_TASK: f64 = 0.5;
/// A view older than so many aims is worth a probe.
const STALE_AIMS: i64 = 2;
/// Part of the guaranteed cold offers that the placers use between them, and by how much the time
/// over which they are counted is stretched: clocks and deliveries differ.
const COLD_PART: f64 = 0.8;
const COLD_STRETCH: f64 = 1.25;
/// Length of a turn at a cold machine in such times: longer wastes less of the budget, and comes less often.
const COLD_TURN: f64 = 2.0;
/// A keyed task is sent again within one part in so many of the time that its repeats are dropped, and
/// early enough for an offer that waits for a connection.
const KEYED_PART: i64 = 2;
/// An offer is given up after so many aims where a yes comes before the start: such a machine answers at
/// once or not at all.
const ACCEPT_AIMS: i64 = 1;
/// Ticks in an aim, and askings for the list within `ask_within`.
const TICKS: i64 = 4;
const ASKS: i64 = 16;

/// Decides for one placer. Sans-I/O: same settings, seed and events, same actions.
pub struct Placer {
    s: Settings,
    rng: ChaCha8Rng,
    now: Micros,
    /// When this placer started: of what it sent before it knows nothing.
    started: Option<Micros>,
    /// The shortest aim: the unit of most time spans.
    window: Micros,
    fleet: Fleet,
    jobs: Jobs,
    alarms: Alarms,
    health: HealthBook,
    arrivals: VecDeque<(Micros, f64)>,
    /// The latest stall: when it ended and how long it was.
    stall: (Micros, Micros),
    set: WorkingSet,
    ticking: bool,
    probe_credit: f64,
    discovery: Discovery,
    /// The placer ends then: no deadline is later.
    closing: Option<Micros>,
}

impl Placer {
    /// A placer that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Placer {
        let aim = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0)
            .max(settings.tick)
            .max(1);
        Placer {
            window: aim,
            rng: ChaCha8Rng::seed_from_u64(seed),
            s: settings,
            now: 0,
            started: None,
            fleet: Fleet::default(),
            jobs: Jobs::default(),
            alarms: Alarms::default(),
            health: HealthBook::default(),
            arrivals: VecDeque::new(),
            stall: (0, 0),
            set: WorkingSet::new(PRIOR_USE),
            ticking: false,
            probe_credit: 0.0,
            discovery: Discovery::default(),
            closing: None,
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.started.get_or_insert(now);
        match event {
            Event::EndpointsChanged {
                kind,
                endpoints: entries,
            } => self.members(*kind, entries, out),
            Event::TaskRequested(task) => self.request(task, out),
            Event::TaskAdopted(task, host) => {
                self.jobs.open(task, self.fleet.place(host), self.now)
            }
            Event::AttemptStarted {
                id,
                attempt,
                elapsed,
                ..
            } => self.first(id, *attempt, *elapsed),
            Event::TaskReported {
                id,
                report: TaskReport::Cores,
                value,
                ..
            } => self.jobs.told_use(id, 0, *value),
            Event::TaskReported {
                id,
                report: TaskReport::Memory,
                value,
                ..
            } => self.jobs.told_use(id, 1, *value),
            Event::TaskReported { .. } => {}
            Event::AttemptEnded {
                id,
                attempt,
                host,
                outcome,
                detail,
                done,
                load_report: report,
                ..
            } => {
                self.report(host, report);
                self.outcome(id, *attempt, *outcome, *detail, *done, out);
            }
            Event::TaskCancelled(id) => self.jobs.close(id),
            Event::LimitsChanged(bounds) => self.bound(bounds, out),
            Event::ShutdownRequested(within) => self.close_down(*within, out),
            Event::TimerFired(token) => self.timer(*token, out),
            Event::HealthCheckEnded {
                host,
                outcome,
                load_report: report,
                ..
            } => {
                self.report(host, report);
                match (outcome, self.fleet.place(host)) {
                    (Outcome::Completed | Outcome::Rejected, Some(at)) => self.health.answered(at),
                    (Outcome::NotSent | Outcome::Cancelled, _) | (_, None) => {}
                    (_, Some(at)) => self.strike(at, Scope::Machine),
                }
            }
        }
        if !self.ticking {
            self.ticking = true;
            self.alarms.add(self.now, self.tick_gap(), Alarm::Tick, out);
        }
    }

    // ---- What is known of machines ----

    fn members(&mut self, kind: UpdateKind, entries: &[Endpoint], out: &mut Vec<Action>) {
        if kind == UpdateKind::Failed {
            self.discovery.watching = false;
            self.discovery.asked_at = Some(self.now);
            self.discovery.fails += 1;
            return;
        }
        if kind != UpdateKind::Cached && self.discovery.asked_at.is_some() {
            (self.discovery.watching, self.discovery.fails) = (true, 0);
        }
        if kind != UpdateKind::Delta {
            self.fleet.keep_only(entries);
        }
        let as_of = self.now - self.list_lag();
        for e in entries {
            let size = self.size(e.kind);
            let (m, at, renewed) = self.fleet.update(e);
            if self.s.endpoints_show_free_resources {
                m.see([size[0] - e.free_cores, size[1] - e.free_memory], as_of);
            }
            if renewed {
                self.health.forget(at);
            }
        }
        if kind == UpdateKind::Cached {
            self.watch(out);
        }
        self.choose_set();
        self.retry_waiting(out);
    }

    /// Rule 3: keeps the subscription, and asks again well within `ask_within` after a failure, so
    /// that no drain passes unheard. Guards also against an answer that never comes.
    fn watch(&mut self, out: &mut Vec<Action>) {
        if !self.s.requires_subscription || self.discovery.watching {
            return;
        }
        let patience = (self.s.max_time_unsubscribed / ASKS) << self.discovery.fails.min(2);
        if self
            .discovery
            .asked_at
            .is_none_or(|t| self.now - t >= patience)
        {
            self.discovery.asked_at = Some(self.now);
            out.push(Action::Subscribe);
        }
    }

    fn list_lag(&self) -> Micros {
        let span = if self.s.max_time_unsubscribed > 0 {
            self.s.max_time_unsubscribed
        } else {
            self.s.slow_start
        };
        (span as f64 * LIST_LAG_OF_ASK) as Micros
    }

    fn report(&mut self, host: &HostId, values: &[f64]) {
        let Some(at) = self.fleet.place(host) else {
            return;
        };
        if values.is_empty() || !self.s.counts_requested_resources {
            return;
        }
        let size = self.size(self.fleet.machines[at].kind);
        let told = |field| {
            self.s
                .load_report
                .iter()
                .zip(values)
                .find(|(f, _)| **f == field)
                .map(|(_, v)| *v)
        };
        if let (Some(c), Some(m)) = (
            told(LoadReportField::FreeCores),
            told(LoadReportField::FreeMemory),
        ) {
            let as_of = self.now - (self.window as f64 * REPORT_LAG_OF_AIM) as Micros;
            self.fleet.touch(at).see([size[0] - c, size[1] - m], as_of);
        }
    }

    /// Health, by the narrowest scope that explains a failure: what a whole machine failed is shut
    /// for a span that doubles with each failure, and then until a probe is answered; what it failed
    /// or turned away for one class and tenant is shut for these alone, for the span. Guards against
    /// machines that swallow or bounce offers (dead, cut off, stalled, failing starts) and against
    /// tasks that every machine answers an error: an error counts once another machine has started the
    /// task, or where the task may go to no other; and against
    /// those that fail or limit one class or tenant and serve the rest. Harm: where most machines
    /// fail now and then, room goes unused.
    fn strike(&mut self, at: Place, scope: Scope) {
        let other = |s: &Scope| matches!((s, scope), (Scope::Class(a), Scope::Class(b)) if *a != b);
        let wide = self
            .health
            .at(at)
            .any(|(s, h)| other(s) && self.now < h.until);
        let scope = if wide { Scope::Machine } else { scope };
        let aims = if scope == Scope::Machine {
            SUSPECT
        } else {
            SUSPECT_PART
        };
        let base = self.s.connect_timeout.max(self.window) * aims;
        let most = self.s.slow_start.max(base);
        let h = self.health.entry(at, scope);
        if self.now >= h.until {
            h.until = self.now + (base << h.strikes.min(DOUBLINGS)).min(most);
            h.strikes += 1;
        }
        h.on_trial = scope == Scope::Machine && self.s.allows_health_checks;
        self.health.suspended(at);
    }

    fn shut(&self, at: Place, scope: Scope) -> bool {
        self.health
            .of(at, scope)
            .is_some_and(|h| h.on_trial || self.now < h.until)
    }

    /// Listed machines that get no offers now, whatever the task: draining, or shut as a whole.
    pub fn avoided(&self) -> usize {
        let listed = self
            .fleet
            .machines
            .iter()
            .enumerate()
            .filter(|(_, m)| m.state != EndpointState::Removed);
        listed
            .filter(|(at, m)| m.state != EndpointState::Up || self.shut(*at, Scope::Machine))
            .count()
    }

    fn just_started(&self, at: Place) -> bool {
        self.fleet.machines[at]
            .started_at
            .is_some_and(|t| self.now - t < self.window)
    }

    fn bind(&mut self, at: Place, asks: [f64; 2], sign: f64) {
        let since = self.now - 2 * self.list_lag();
        self.fleet
            .touch(at)
            .bind(self.now, asks.map(|v| sign * v), since);
    }

    /// Cores and memory of a kind. Never zero, so that odd settings divide by nothing.
    fn size(&self, kind: KindId) -> [f64; 2] {
        self.s
            .host_kinds
            .get(kind.0)
            .map_or([1.0; 2], |k| [k.cores.max(1e-9), k.memory.max(1e-9)])
    }

    // ---- Events of tasks ----

    fn request(&mut self, task: &Task, out: &mut Vec<Action>) {
        if self.jobs.all.contains_key(&task.id) {
            return;
        }
        // Shed with the same work at every placer; it is no part of a.
        if task.shed_rank >= self.fleet.gate.through {
            out.push(Action::Reject {
                id: task.id.clone(),
                retry_after: self.retry_after(task),
            });
            return;
        }
        if !task.is_returning && !task.is_retry {
            let size = task.cores / self.s.mean_cores.max(f64::MIN_POSITIVE);
            self.arrivals.push_back((self.now, size));
            self.probe_credit =
                (self.probe_credit + PROBES_PER_TASK).min(self.fleet.machines.len() as f64);
        }
        let deadline =
            (self.now + task.time_budget.max(0)).min(self.closing.unwrap_or(Micros::MAX));
        let margin = (self.s.response_slack / 2).max(self.s.tick);
        self.jobs
            .all
            .insert(task.id.clone(), Job::new(task, self.now, deadline));
        let after = (deadline - self.now - margin).max(0);
        self.alarms
            .add(self.now, after, Alarm::Deadline(task.id.clone()), out);
        self.place(&task.id, out);
    }

    /// Takes bounds from outside. A trial is wanted whatever was held against its machine; where there is
    /// room again, what waits is looked at.
    fn bound(&mut self, bounds: &[Limit], out: &mut Vec<Action>) {
        let mut wider = false;
        for bound in bounds {
            wider |= self.fleet.bounded(bound);
            match bound {
                Limit::HostConcurrency {
                    host,
                    health_check: true,
                    ..
                } => {
                    self.fleet
                        .place(host)
                        .into_iter()
                        .for_each(|at| self.health.forget(at));
                }
                Limit::NoRetry(id) => self
                    .jobs
                    .all
                    .get_mut(id)
                    .into_iter()
                    .for_each(|job| job.last = true),
                _ => {}
            }
        }
        if wider && !self.jobs.waiting.is_empty() {
            self.retry_waiting(out);
        }
    }

    /// Rule 1 at a planned end: what is not placed by then is answered then.
    fn close_down(&mut self, within: Micros, out: &mut Vec<Action>) {
        self.closing = Some(self.now + within);
        for (id, _) in self
            .jobs
            .all
            .iter()
            .filter(|(_, job)| !job.placed && !job.closed)
        {
            self.alarms
                .add(self.now, within, Alarm::Deadline(id.clone()), out);
        }
    }

    fn first(&mut self, id: &RequestId, attempt: u32, elapsed: Micros) {
        let Some(job) = self.jobs.all.get_mut(id) else {
            return;
        };
        let Some((n, Some(at))) = job.out else { return };
        if job.placed || n != attempt {
            return;
        }
        job.placed = true;
        let class = job.task.class;
        let errors = std::mem::take(&mut job.errors);
        let part = Scope::Part(class, job.task.tenant);
        let aim = self.s.classes[class.0].latency_objective;
        self.confirm(
            at,
            if elapsed <= aim {
                WINDOW_GAIN
            } else {
                -WINDOW_LATE
            },
        );
        self.fleet.machines[at].started_at = Some(self.now);
        for scope in [Scope::Machine, Scope::Class(class), part] {
            self.health.ease(at, scope);
        }
        errors
            .into_iter()
            .for_each(|at| self.strike(at, Scope::Class(class)));
    }

    /// An offer is no longer out. The window of offers at a machine grows while starts are in time and
    /// shrinks when they are late or lost. Guards against piling starts on a machine that cannot keep up
    /// (cold, paused, robbed of its cores, flooded by others); harm: a slow start after a long trouble.
    fn confirm(&mut self, at: Place, step: f64) {
        let m = &mut self.fleet.machines[at];
        m.pending = m.pending.saturating_sub(1);
        self.fleet.out = self.fleet.out.saturating_sub(1);
        m.grown = (m.grown + step).clamp(1.0 - START_WINDOW, MOST_WINDOW - START_WINDOW);
    }

    fn outcome(
        &mut self,
        id: &RequestId,
        attempt: u32,
        outcome: Outcome,
        detail: OutcomeDetail,
        done: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.all.get_mut(id) else {
            return;
        };
        let Some((n, at)) = job.out else { return };
        if n != attempt {
            return;
        }
        job.out = None;
        job.short = matches!(
            detail,
            OutcomeDetail::NoCores
                | OutcomeDetail::NoMemory
                | OutcomeDetail::QueueFull
                | OutcomeDetail::Preempted
        );
        let (asks, service, placed) = (job.asks(), job.task.service, job.placed);
        let part = Scope::Part(job.task.class, job.task.tenant);
        let class = Scope::Class(job.task.class);
        let last = self.s.classes[job.task.class.0].idempotency == Idempotency::NonIdempotent;
        if let (Outcome::Error, Some(at)) = (outcome, at) {
            job.errors.push(at);
        }
        let proven = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        if !proven && job.may_have_run.is_none() {
            job.may_have_run = Some((at, job.sent_at));
        }
        let over = done || placed || job.closed;
        if let Some(at) = at {
            self.jobs.unhold(service, at);
            self.bind(at, asks, -1.0);
            if !placed {
                let window = START_WINDOW + self.fleet.machines[at].grown;
                self.confirm(
                    at,
                    if outcome == Outcome::Timeout {
                        -window * WINDOW_LOST
                    } else {
                        0.0
                    },
                );
            }
            match (outcome, detail) {
                (Outcome::Rejected, OutcomeDetail::NoCores | OutcomeDetail::NoMemory) => {
                    self.mark_full(at, detail)
                }
                (Outcome::Rejected, OutcomeDetail::Unknown) => self.strike(at, part),
                // One answer that is lost says nothing of a machine that has just started another.
                (Outcome::Timeout, _) if self.just_started(at) => {}
                (Outcome::Timeout, _) => self.strike(at, class),
                (Outcome::Error, _) if last => self.strike(at, class),
                // Pushed out before it ran: the machine is well and made room for its betters.
                (Outcome::Rejected, OutcomeDetail::Preempted) => {}
                (Outcome::Rejected | Outcome::ConnectFailed, _)
                | (
                    Outcome::Reset,
                    OutcomeDetail::Unknown | OutcomeDetail::Drained | OutcomeDetail::Evicted,
                ) => {
                    self.strike(at, Scope::Machine);
                }
                _ => {}
            }
        }
        if over {
            self.jobs.remove(id);
        } else {
            self.place(id, out);
        }
    }

    /// A refusal for room: the view was too low, so it is raised to the machine's limit.
    fn mark_full(&mut self, at: Place, detail: OutcomeDetail) {
        let size = self.size(self.fleet.machines[at].kind);
        let m = self.fleet.touch(at);
        let mut asked = m.asked();
        if detail == OutcomeDetail::NoCores {
            asked[0] = asked[0].max(size[0] * self.s.core_overcommit);
        } else {
            asked[1] = asked[1].max(size[1] * self.s.memory_overcommit);
        }
        m.see(asked, self.now);
    }

    fn timer(&mut self, token: TimerToken, out: &mut Vec<Action>) {
        match self.alarms.take(token) {
            Some((due, Alarm::Tick)) => {
                if self.now - due > self.window {
                    self.stall = (self.now, self.now - due);
                }
                self.alarms.add(self.now, self.tick_gap(), Alarm::Tick, out);
                self.take_use();
                self.choose_set();
                self.watch(out);
                self.retry_waiting(out);
                self.probe(out);
            }
            Some((_, Alarm::Deadline(id))) => self.answer(&id, out),
            None => {}
        }
    }

    fn tick_gap(&self) -> Micros {
        (self.window / TICKS).max(self.s.tick).max(1)
    }

    // ---- Probes ----

    /// Probes what is on trial, then spends the probe budget on the oldest views of the working set.
    fn probe(&mut self, out: &mut Vec<Action>) {
        if !self.s.allows_health_checks {
            return;
        }
        let gap = self.s.connect_timeout * SUSPECT;
        for at in self.health.trials(self.now) {
            let m = &mut self.fleet.machines[at];
            if m.state == EndpointState::Up && self.now >= m.probed_at + gap {
                m.probed_at = self.now;
                out.push(Action::SendHealthCheck {
                    host: m.host.clone(),
                });
            }
        }
        if self.s.load_report.is_empty() {
            return;
        }
        let seen = |m: &Machine| m.seen.map_or(m.probed_at, |t| t.max(m.probed_at));
        let mut stale: Vec<(Micros, Place)> = self
            .set
            .members()
            .map(|at| (seen(&self.fleet.machines[at]), at))
            .collect();
        stale.retain(|(seen, _)| self.now - seen > STALE_AIMS * self.window);
        stale.sort_unstable();
        for (_, at) in stale {
            if self.probe_credit < 1.0 {
                break;
            }
            self.probe_credit -= 1.0;
            let m = &mut self.fleet.machines[at];
            m.probed_at = self.now;
            out.push(Action::SendHealthCheck {
                host: m.host.clone(),
            });
        }
    }

    // ---- Step 1: eligible machines ----

    /// Hard rules for this task on this machine: never relaxed.
    fn permitted(&self, job: &Job, at: Place) -> bool {
        let class = &self.s.classes[job.task.class.0];
        let m = &self.fleet.machines[at];
        if m.state != EndpointState::Up || class.host_kind.is_some_and(|k| k != m.kind) {
            return false;
        }
        // Rule 2 for keyed tasks: only the group that drops the repeat, while it remembers.
        if let (Idempotency::IdempotencyKey { scope: group }, Some((first, since))) =
            (class.idempotency, job.may_have_run)
        {
            let Some(first) = first.map(|at| &self.fleet.machines[at]) else {
                return false;
            };
            let same = match group {
                KeyScope::All => true,
                KeyScope::Zone => first.zone == m.zone,
                KeyScope::Cell => first.cell == m.cell,
            };
            let most = (class.idempotency_window / KEYED_PART)
                .min(class.idempotency_window - self.s.connect_timeout);
            if !same || self.now - since >= most {
                return false;
            }
        }
        // Rule 5.
        if class.spread_domain != SpreadDomain::None {
            let here = |other: &Machine| match class.spread_domain {
                SpreadDomain::Host => other.host == m.host,
                SpreadDomain::Cell => other.cell == m.cell,
                SpreadDomain::Zone => other.zone == m.zone,
                SpreadDomain::None => true,
            };
            let held = self.jobs.of_service(job.task.service);
            let count: usize = held
                .filter(|(o, _)| here(&self.fleet.machines[*o]))
                .map(|(_, n)| n)
                .sum();
            if count + 1 > class.max_per_domain {
                return false;
            }
        }
        self.cold_budget(m)
    }

    /// Rule 4: this placer's part of what a cold machine always bears. Where that is under one offer,
    /// the placers take turns, staggered by their number and the machine: one may make its one offer in
    /// `turn` out of `round`, so that any span holds at most its part of turns. Offers may wait for a
    /// connection and then leave together. A placer that has just started may have sent its part before.
    /// Harm: where few placers have work, most of the budget goes unused.
    fn cold_budget(&self, m: &Machine) -> bool {
        let age = self.now - m.ready_at;
        if m.ready_at <= 0 || age >= self.s.slow_start {
            return true;
        }
        let wait = (self.s.collapse_window + self.s.connect_timeout).max(1);
        let span = (self.s.collapse_window as f64 * COLD_STRETCH).max(wait as f64);
        let start = self.started.unwrap_or(self.now);
        if m.ready_at < start && ((self.now - start) as f64) < span {
            return false;
        }
        let since = |span: f64| {
            m.offers
                .iter()
                .filter(|t| (self.now - **t) as f64 <= span)
                .count()
        };
        // Several processes of one placer are as many placers here.
        let processes = f64::from(self.fleet.beside) + 1.0;
        let placers = self.s.placer_count.max(1) as f64 * processes;
        let part = COLD_PART * self.s.slow_start_attempts / placers;
        if part >= 1.0 {
            return (since(span) + 1) as f64 <= part;
        }
        let turn = COLD_TURN * span;
        let round = (span + turn) / part.max(f64::MIN_POSITIVE);
        let me = self.s.placer_index as f64 * processes + f64::from(self.fleet.process);
        let offset = me / placers + (m.hash >> 32) as f64 / (1u64 << 32) as f64;
        let phase = (age as f64 / round + offset).rem_euclid(1.0) * round;
        phase < turn && since(turn) == 0
    }

    /// Use as a part of what is asked, learned from notes.
    fn use_ratio(&self, dim: usize) -> f64 {
        let prior =
            PRIOR_TASKS * [self.s.mean_cores, self.s.mean_memory][dim].max(f64::MIN_POSITIVE);
        let ratio =
            (self.jobs.use_used[dim] + PRIOR_USE[dim] * prior) / (self.jobs.use_asked[dim] + prior);
        ratio.clamp(0.05, 2.0)
    }

    /// Part of the cores in use up to which every class is served in full.
    fn calm(&self) -> f64 {
        self.s
            .classes
            .iter()
            .map(|c| c.full_service_utilization)
            .fold(1.0, f64::min)
    }

    /// Fullness of a machine, with so much more asked of it: 1 where its tasks begin to suffer.
    fn fullness(&self, m: &Machine, more: [f64; 2]) -> f64 {
        let asked = m.asked();
        self.fill(
            m,
            [asked[0] + more[0], asked[1] + more[1]],
            [self.use_ratio(0), self.use_ratio(1)],
        )
    }

    /// Fullness where so much is asked and such a part of it used: the tightest of use and limits.
    fn fill(&self, m: &Machine, asked: [f64; 2], used: [f64; 2]) -> f64 {
        let size = self.size(m.kind);
        let parts = [
            asked[0] * used[0] / (size[0] * self.calm()),
            asked[1] * used[1] / (size[1] * MEMORY_FULL),
            asked[0] / (size[0] * self.s.core_overcommit * ASKED_FULL),
            asked[1] / (size[1] * self.s.memory_overcommit * ASKED_FULL),
        ];
        parts.into_iter().fold(0.0, f64::max)
    }

    fn fits(&self, m: &Machine, asks: [f64; 2]) -> bool {
        let (size, asked) = (self.size(m.kind), m.asked());
        asked[0] + asks[0] <= size[0] * self.s.core_overcommit
            && asked[1] + asks[1] <= size[1] * self.s.memory_overcommit
    }

    /// Size of a machine: its kind's cores over the mean task's.
    fn mu(&self, m: &Machine) -> f64 {
        self.size(m.kind)[0] / self.s.mean_cores.max(1e-9)
    }

    /// The machines that all tasks need, chosen alike by every placer from what the list shows:
    /// fuller ones first (in coarse steps), then by id. Narrows eligibility so that idle machines
    /// stay idle; grows with demand. Chosen again on each list and tick: what has changed is looked at.
    fn choose_set(&mut self) {
        self.fleet.touched.extend(self.health.changed(self.now));
        std::mem::take(&mut self.fleet.touched)
            .into_iter()
            .for_each(|at| self.weigh(at));
        if self.set.cut(SET_FILL) {
            self.set.homes.clear();
        }
    }

    /// A machine's part in that choice.
    fn weigh(&mut self, at: Place) {
        let m = &self.fleet.machines[at];
        let (full, mu) = (self.fill(m, m.asked(), self.set.used), self.mu(m));
        let (up, gone) = (
            m.state == EndpointState::Up,
            m.state == EndpointState::Removed,
        );
        let well = up && !self.shut(at, Scope::Machine);
        let tasks = mu * self.calm() / self.set.used[0];
        let part = Part {
            up,
            rank: well.then_some(-(full.min(SET_ALIKE) * SET_STEPS) as i64),
            size: mu,
            need: if gone { 0.0 } else { full * mu },
            room: if well {
                (OFFER_FILL - full).max(0.0) * tasks
            } else {
                0.0
            },
        };
        self.set.put(at, &m.host, part);
    }

    /// The use by which machines are weighed: learned with each note, and taken over at ticks, since all of
    /// them are weighed anew by it.
    fn take_use(&mut self) {
        let used = [self.use_ratio(0), self.use_ratio(1)];
        if used != self.set.used {
            self.set.used = used;
            (0..self.fleet.machines.len()).for_each(|at| self.weigh(at));
        }
    }

    /// The first of the set by rendezvous rank for a service: every placer ranks alike, with no word
    /// between them; machines win by the mean tasks they hold, and one that comes or goes moves only the
    /// services that it wins or held.
    fn rank_homes(&mut self, service: ServiceId) {
        if self.set.homes.contains_key(&service) {
            return;
        }
        let mean = [self.s.mean_cores, self.s.mean_memory];
        let rank = |at: Place| {
            let m = &self.fleet.machines[at];
            let u = (mix(m.hash, service.0) >> 11) as f64 + 1.0;
            (53.0 - u.log2()) * self.fill(m, mean, PRIOR_USE)
        };
        let order = |x: &(f64, Place), y: &(f64, Place)| x.0.total_cmp(&y.0).then(x.1.cmp(&y.1));
        let ranked = self
            .set
            .members()
            .map(|at| (rank(at), at))
            .k_smallest_by(RANKED, order);
        let homes = ranked.map(|(_, at)| at).collect();
        self.set.homes.insert(service, homes);
    }

    /// The eligible machines: all that the hard rules permit and that fit, narrowed to the first
    /// non-empty circle. Within the circle SCD decides. First, machines with room where own tasks of the
    /// service stand, so that its program is there (a start costs a small part of a first start), while
    /// one of them is not crowded. Then the working set with room where the program should be: with own
    /// tasks of the service, or a home of it. Its homes are as many, by rank, as it takes to reach
    /// one that is not crowded against the set's mean. Then the working set with room. Then any healthy
    /// machine with room. Then the same with what is shut for the class or tenant only; shut machines only
    /// where all are: a health guess may be relaxed, a hard rule never. With none, the task is held.
    fn eligible(&self, job: &Job) -> Vec<Place> {
        let (service, asks) = (job.task.service, job.asks());
        let part = Scope::Part(job.task.class, job.task.tenant);
        let fit = |at: Place| {
            let fits = self.fits(&self.fleet.machines[at], asks);
            fits && !job.tried.contains(&at) && self.permitted(job, at)
        };
        let room = |at: Place| {
            let m = &self.fleet.machines[at];
            m.open(START_WINDOW + m.grown) && self.fullness(m, asks) <= OFFER_FILL
        };
        // A heavy task goes by load alone: one of it moves a home from slack to crowded.
        let mean = [self.s.mean_cores, self.s.mean_memory].map(|v| v.max(1e-9));
        let heavy = asks[0] / mean[0] + asks[1] / mean[1] > 2.0 * HEAVY_TASKS;
        let homes = self
            .set
            .homes
            .get(&service)
            .filter(|_| !heavy)
            .map_or(&[][..], |homes| homes);
        let scopes = [Scope::Machine, Scope::Class(job.task.class), part];
        for scopes in [&scopes[..], &scopes[..1]] {
            let well = |at: Place| !scopes.iter().any(|scope| self.shut(at, *scope));
            let good = |at: &Place| well(*at) && room(*at) && fit(*at);
            let slack = |at: &Place| {
                self.fullness(&self.fleet.machines[*at], asks) <= self.set.mean() * HOME_OVER
            };
            let own = self.jobs.of_service(service).map(|(at, _)| at);
            let own: Vec<Place> = own.filter(|at| good(at)).collect();
            if !heavy && own.iter().any(slack) {
                return own;
            }
            let homes: Vec<Place> = homes.iter().copied().filter(good).collect();
            if !homes.is_empty() {
                let count = homes.iter().position(slack).map_or(homes.len(), |i| i + 1);
                let member = |at: &Place| self.set.contains(*at, &self.fleet.machines[*at].host);
                let own = own.into_iter().filter(member);
                let circle: BTreeSet<Place> = homes[..count].iter().copied().chain(own).collect();
                return circle.into_iter().collect();
            }
            let members: Vec<Place> = self.set.members().filter(good).collect();
            let circle = if members.is_empty() {
                self.set.up().filter(good).collect()
            } else {
                members
            };
            if !circle.is_empty() {
                return circle;
            }
        }
        if self.set.up().all(|at| self.shut(at, Scope::Machine)) {
            let open = |at: Place| self.fleet.machines[at].open(f64::INFINITY);
            return self.set.up().filter(|at| fit(*at) && open(*at)).collect();
        }
        Vec::new()
    }

    // ---- Steps 2 to 4: load, a, and the draw ----

    /// q in mean tasks: the fuller of cores and memory, as fullness is defined, in cores' terms.
    fn load(&self, m: &Machine) -> f64 {
        self.fullness(m, [0.0; 2]) * self.mu(m) * self.calm() / self.use_ratio(0)
    }

    /// m times own fresh arrivals in the time of one window, read from a window that is long enough to
    /// hold some: a placer among hundreds sees one now and then. A backlog after a stall came in over
    /// the stall's time, so that is added. Harm: a burst after a long silence counts late.
    fn arrivals_everywhere(&mut self) -> f64 {
        let mut span = self.window;
        if self.now - self.stall.0 < self.window {
            span += self.stall.1;
        }
        while self.arrivals.len() > ENOUGH && self.now - self.arrivals[0].0 > span {
            self.arrivals.pop_front();
        }
        let oldest = self.arrivals.front().map_or(0, |(t, _)| self.now - t);
        // The oldest opens the span and is not counted in it, unless the span is longer anyhow.
        let skip = usize::from(oldest > span);
        let own: f64 = self.arrivals.iter().skip(skip).map(|(_, n)| n).sum();
        let own = own * self.window as f64 / oldest.max(span) as f64;
        own * self.s.placer_count.max(1) as f64
    }

    /// Draws a machine for the task by SCD among the eligible. Where these are part of the set only
    /// that part of a falls to them.
    fn draw(&mut self, eligible: &[Place]) -> Option<Place> {
        let machines = || eligible.iter().map(|&at| &self.fleet.machines[at]);
        let mus: f64 = machines().map(|m| self.mu(m)).sum();
        let heard = machines().filter(|m| m.seen.is_some());
        let known: Vec<f64> = heard.map(|m| self.load(m) / self.mu(m)).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let load = |m: &Machine| {
            (
                if m.seen.is_some() {
                    self.load(m)
                } else {
                    mean * self.mu(m)
                },
                self.mu(m),
            )
        };
        let loads: Vec<(f64, f64)> = machines().map(load).collect();
        let a =
            self.arrivals_everywhere() * (mus / self.set.size().max(f64::MIN_POSITIVE)).min(1.0);
        let p = scd_probabilities(&loads, a.max(1.0));
        let mut x = self.chance();
        let mut last = None;
        for (at, p) in eligible.iter().zip(p) {
            if p > 0.0 {
                last = Some(*at);
                if x < p {
                    break;
                }
                x -= p;
            }
        }
        last
    }

    // ---- Step 5: the offer, and what may follow it ----

    /// Rule 2 in one place: whether the attempts so far permit another send. A refusal is permitted
    /// in the same cases, but for keyed tasks outside group `all`.
    fn may_send(&self, job: &Job) -> bool {
        let effect = self.s.classes[job.task.class.0].idempotency;
        let effect_ok = effect != Idempotency::NonIdempotent || job.may_have_run.is_none();
        let again = effect_ok && job.errors.len() < BLAME && !job.last;
        again && job.out.is_none() && !job.placed && !job.closed && job.sent < self.s.max_attempts
    }

    fn may_refuse(&self, job: &Job) -> bool {
        match self.s.classes[job.task.class.0].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: KeyScope::All,
            } => true,
            _ => job.may_have_run.is_none() && job.out.is_none(),
        }
    }

    /// For a task that was refused for want of room, came back, or is held: offered with the chance that
    /// there is room in view for what all placers want to place while views lag, spread over the ticks of
    /// that time, and else held. Guards against many placers who see the same room, fill it twice over and
    /// have tasks refused, pushed out or evicted, again and again, in any overload or loss of machines;
    /// harm: where own traffic is not typical, such a task waits beside free room.
    fn held_back(&mut self) -> bool {
        let lag = self.list_lag().max(self.window) as f64;
        let waiting = self.jobs.waiting.len() as f64 * self.s.placer_count as f64;
        let wanted = self.arrivals_everywhere() * lag / self.window as f64 + waiting;
        let ticks = lag / self.tick_gap() as f64;
        self.chance() * wanted * ticks >= self.set.room()
    }

    /// A seeded number from 0 to 1.
    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn place(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(service) = self.jobs.all.get(id).map(|j| j.task.service) else {
            return;
        };
        self.rank_homes(service);
        let job = &self.jobs.all[id];
        if !self.may_send(job) {
            if job.out.is_none() && !job.placed && !job.closed {
                self.answer(id, out);
            }
            return;
        }
        let (deadline, asks, sent) = (job.deadline, job.asks(), job.sent);
        let left = deadline - self.now - self.s.response_slack.max(2 * self.s.tick);
        let class = &self.s.classes[job.task.class.0];
        // Where a yes means running, an offer waits all the time left. Guards against offers given up
        // while their machine starts them, which are started again elsewhere, and make other starts late;
        // harm: a machine that swallows offers costs its tasks their time.
        let patience = match self.s.acknowledgement {
            Acknowledgement::Running => left,
            Acknowledgement::Accepted => ACCEPT_AIMS * class.latency_objective,
        };
        let timeout = left.min(patience);
        let short = job.short
            || job.task.is_returning
            || self.jobs.waiting.contains(&(deadline, id.clone()));
        let mut eligible = if left > 0 && self.fleet.open() {
            self.eligible(job)
        } else {
            Vec::new()
        };
        if short && !eligible.is_empty() && self.held_back() {
            eligible.clear();
        }
        let Some(at) = self.draw(&eligible) else {
            self.jobs.waiting.insert((deadline, id.clone()));
            return;
        };
        self.jobs.waiting.remove(&(deadline, id.clone()));
        self.jobs.hold(service, at);
        self.bind(at, asks, 1.0);
        let m = &mut self.fleet.machines[at];
        m.offered(self.now, self.now - self.s.slow_start);
        self.fleet.out += 1;
        out.push(Action::SendAttempt {
            id: id.clone(),
            host: m.host.clone(),
            timeout: timeout.max(1),
        });
        if let Some(job) = self.jobs.all.get_mut(id) {
            job.out = Some((sent, Some(at)));
            job.sent += 1;
            job.sent_at = self.now;
            job.tried.push(at);
        }
    }

    fn retry_waiting(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> = self.jobs.waiting.iter().map(|(_, id)| id.clone()).collect();
        // Tasks of a service are alike: where one found no machine, its fellows need not look.
        let mut stuck = BTreeSet::new();
        for id in ids {
            let Some(service) = self.jobs.all.get(&id).map(|j| j.task.service) else {
                continue;
            };
            if self.hopeless(&id) {
                self.answer(&id, out);
            } else if !stuck.contains(&service) {
                self.place(&id, out);
                if self.jobs.all.get(&id).is_some_and(|j| j.out.is_none()) {
                    stuck.insert(service);
                }
            }
        }
    }

    /// Under pressure, a task that can't start in its time any more: it makes way for those that can.
    fn hopeless(&self, id: &RequestId) -> bool {
        let Some((late, job)) = self.fleet.gate.late.zip(self.jobs.all.get(id)) else {
            return false;
        };
        let aim = self.s.classes[job.task.class.0].latency_objective;
        job.out.is_none() && (self.now - job.since) as f64 > late * aim as f64
    }

    /// Rule 1: the final answer, at the deadline or when nothing more is permitted.
    fn answer(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get(id) else {
            return;
        };
        if job.placed || job.closed {
            return;
        }
        let refuse = self.may_refuse(job);
        out.push(if refuse {
            Action::Reject {
                id: id.clone(),
                retry_after: self.retry_after(&job.task),
            }
        } else {
            Action::Fail { id: id.clone() }
        });
        self.jobs.close(id);
    }

    /// When a refused client should come back: once the offers that are out now have had time to start.
    /// Guards against repeats that can find nothing new; harm: none seen, clients wait longer by themselves.
    fn retry_after(&self, task: &Task) -> Micros {
        let away = if task.retry_after > 0 {
            task.retry_after
        } else {
            self.window
        };
        if self.s.allows_retry_after {
            away.min(self.s.max_retry_after)
        } else {
            0
        }
    }
}

/// SCD's probabilities for machines `(q, mu)` when `a` tasks are expected everywhere.
pub fn scd_probabilities(machines: &[(f64, f64)], a: f64) -> Vec<f64> {
    let mut p = vec![0.0; machines.len()];
    let mut order: Vec<usize> = (0..machines.len()).collect();
    let rank = |i: usize| (2.0 * machines[i].0 + 1.0) / machines[i].1;
    order.sort_by(|&x, &y| rank(x).total_cmp(&rank(y)));
    let Some(&least) = order.first() else {
        return p;
    };
    if a <= 1.0 {
        let ties: Vec<usize> = order
            .iter()
            .copied()
            .take_while(|&i| rank(i) <= rank(least))
            .collect();
        for &i in &ties {
            p[i] = 1.0 / ties.len() as f64;
        }
        return p;
    }
    let iwl = ideal_workload(machines, a);
    // Sums over the prefix; the best prefix with no negative probability wins.
    let (mut room, mut mus, mut cost) = (0.0, 0.0, 0.0);
    let mut best: Option<(f64, usize, f64)> = None;
    for (n, &i) in order.iter().enumerate() {
        let (q, mu) = machines[i];
        room += mu * iwl - q;
        mus += mu;
        cost += (2.0 * (q - mu * iwl) + 1.0).powi(2) / (4.0 * mu * (a - 1.0));
        let l = (2.0 * room - (n + 1) as f64 - 2.0 * (a - 1.0)) / mus;
        // Probabilities fall along the order, so the last one tells for all.
        if 2.0 * (mu * iwl - q) - 1.0 - mu * l < 0.0 {
            continue;
        }
        let value = l * l * mus / (4.0 * (a - 1.0)) - cost;
        if best.is_none_or(|(v, _, _)| value < v) {
            best = Some((value, n + 1, l));
        }
    }
    let (_, count, l) = best.unwrap_or((0.0, 1, 0.0));
    let mut total = 0.0;
    for &i in &order[..count] {
        let (q, mu) = machines[i];
        p[i] = ((2.0 * (mu * iwl - q) - 1.0 - mu * l) / (2.0 * (a - 1.0))).max(0.0);
        total += p[i];
    }
    if total > 0.0 {
        p.iter_mut().for_each(|x| *x /= total);
    } else {
        p[least] = 1.0;
    }
    p
}

/// The level to which `a` tasks' worth raises the lowest loads together.
fn ideal_workload(machines: &[(f64, f64)], a: f64) -> f64 {
    let mut loads: Vec<(f64, f64, f64)> = machines.iter().map(|&(q, mu)| (q / mu, q, mu)).collect();
    loads.sort_by(|x, y| x.0.total_cmp(&y.0));
    let (mut q_sum, mut mu_sum) = (0.0, 0.0);
    for (n, &(_, q, mu)) in loads.iter().enumerate() {
        q_sum += q;
        mu_sum += mu;
        let level = (q_sum + a) / mu_sum;
        if loads.get(n + 1).is_none_or(|next| level <= next.0) {
            return level;
        }
    }
    0.0
}

#[cfg(test)]
mod tests;
