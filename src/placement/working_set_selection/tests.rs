//! Compares the working set, which is updated incrementally, with a reference that examines all hosts.
//!
//! The reference sorts all hosts at each selection. The ratio of used to requested resources is an argument of the
//! reference: a selection from scratch would use the newest ratio at each update of the endpoint list, while the
//! incremental working set adopts a new ratio only at ticks.

use super::*;
use crate::state::hosts::Host;
use crate::types::{
    Action, CellId, Endpoint, Event, HostId, KindId, Micros, Outcome, OutcomeDetail, RequestId,
    Resources, Settings, Task, TaskReport, TimerToken, UpdateKind, ZoneId,
};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

const SECOND: Micros = 1_000_000;
const HOSTS: usize = 24;
/// Relative change of the total load that is so small that rounding may decide whether another member is needed.
const TIE_TOLERANCE: f64 = 1e-6;
/// Relative difference between sums that may be due to rounding.
const ROUNDING_TOLERANCE: f64 = 1e-5;

/// The working set and sums that the reference selects.
struct Selection {
    members: Vec<HostIndex>,
    hosts_up: Vec<HostIndex>,
    mean_fullness: f64,
    size: f64,
    free_capacity: f64,
}

/// Selects the working set by sorting all hosts. The total load is multiplied by `load_factor`.
fn select_from_scratch(placer: &Placer, usage_ratio: Resources, load_factor: f64) -> Selection {
    let hosts = &placer.hosts.hosts;
    let fullness = |host: &Host| placer.fullness_at(host, host.requested(), usage_ratio);
    let is_up = |index: &HostIndex| hosts[*index].state == EndpointState::Up;
    let mut total_load = 0.0;
    let mut free_capacity = 0.0;
    let mut order = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        if host.state == EndpointState::Removed {
            continue;
        }
        let fullness = fullness(host);
        let size = placer.size_in_tasks(host);
        total_load += fullness * size;
        if host.state == EndpointState::Up && !placer.is_ejected(index, Scope::Host) {
            let max_tasks = size * placer.full_service_utilization() / usage_ratio.cores;
            free_capacity += (MAX_FULLNESS - fullness).max(0.0) * max_tasks;
            let rank = -(fullness.min(MAX_RANKED_FULLNESS) * RANK_STEPS) as i64;
            order.push((rank, &host.id, index));
        }
    }
    order.sort_unstable();
    let mut size = 0.0;
    let mut members = Vec::new();
    for (_, _, index) in order {
        if size * WORKING_SET_FILL >= total_load * load_factor && !members.is_empty() {
            break;
        }
        size += placer.size_in_tasks(&hosts[index]);
        members.push(index);
    }
    let load = |index: &HostIndex| fullness(&hosts[*index]) * placer.size_in_tasks(&hosts[*index]);
    let mean_fullness = members.iter().map(load).sum::<f64>() / size.max(f64::MIN_POSITIVE);
    Selection {
        members,
        hosts_up: (0..hosts.len()).filter(is_up).collect(),
        mean_fullness,
        size,
        free_capacity,
    }
}

/// A random step of a test run. Hosts are given by index, attempts by their position among those in flight.
#[derive(Debug, Clone)]
enum Step {
    DeltaUpdate {
        host: usize,
        state: EndpointState,
        free: Resources,
        restarted: bool,
    },
    CompleteUpdate {
        hosts: usize,
        free_cores: f64,
    },
    Request {
        service: u64,
        cores: f64,
    },
    AttemptStarts(usize),
    AttemptEnds(usize, Outcome, OutcomeDetail),
    ReportUsage(usize, f64),
    HealthCheckEnds(usize, Outcome),
    Wait(Micros),
}

fn delta_update() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        6 => Just(EndpointState::Up),
        1 => Just(EndpointState::Draining),
        1 => Just(EndpointState::Removed)
    ];
    let free = (0..=256u32, 0..=512u32).prop_map(|(cores, memory)| Resources {
        cores: f64::from(cores) / 8.0,
        memory: f64::from(memory) / 8.0,
    });
    (0..HOSTS, state, free, prop::bool::weighted(0.1)).prop_map(|(host, state, free, restarted)| {
        Step::DeltaUpdate {
            host,
            state,
            free,
            restarted,
        }
    })
}

fn attempt_ends() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        3 => Just(Outcome::Completed),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::Reset)
    ];
    let detail = prop_oneof![
        Just(OutcomeDetail::Unknown),
        Just(OutcomeDetail::NoCores),
        Just(OutcomeDetail::QueueFull)
    ];
    (0..40usize, outcome, detail)
        .prop_map(|(attempt, outcome, detail)| Step::AttemptEnds(attempt, outcome, detail))
}

fn step() -> impl Strategy<Value = Step> {
    let cores = prop_oneof![Just(0.5), Just(1.0), Just(12.0)];
    let health_check = prop_oneof![Just(Outcome::Completed), Just(Outcome::Timeout)];
    let wait = prop_oneof![Just(1_000), Just(100_000), Just(SECOND), Just(7 * SECOND)];
    prop_oneof![
        6 => delta_update(),
        1 => (1..=HOSTS, 0.0..32.0).prop_map(|(hosts, free_cores)| Step::CompleteUpdate { hosts, free_cores }),
        5 => (0..6u64, cores).prop_map(|(service, cores)| Step::Request { service, cores }),
        3 => (0..40usize).prop_map(Step::AttemptStarts),
        3 => attempt_ends(),
        1 => (0..40usize, 0.1..2.0).prop_map(|(attempt, value)| Step::ReportUsage(attempt, value)),
        1 => (0..HOSTS, health_check).prop_map(|(host, outcome)| Step::HealthCheckEnds(host, outcome)),
        3 => wait.prop_map(Step::Wait),
    ]
}

fn host_id(index: usize) -> HostId {
    HostId(Arc::from(format!("m{index:02}")))
}

fn endpoint(index: usize, state: EndpointState, free: Resources, started_at: Micros) -> Endpoint {
    Endpoint {
        host: host_id(index),
        zone: ZoneId(index % 2),
        cell: CellId((index % 5) as u64),
        kind: KindId(0),
        state,
        started_at,
        free_cores: free.cores,
        free_memory: free.memory,
    }
}

/// How the placer under test selects its working set.
#[derive(Debug, Clone, Copy, PartialEq)]
enum SelectionMode {
    /// Examines only the hosts that have changed, as the placer does in production.
    Incremental,
    /// Examines all hosts at each selection.
    AllHosts,
}

struct SentAttempt {
    id: RequestId,
    number: u32,
    host: HostId,
}

/// A placer under test, with its pending timers and the attempts in flight.
struct TestRun {
    placer: Placer,
    now: Micros,
    timers: BTreeSet<(Micros, TimerToken)>,
    in_flight: Vec<SentAttempt>,
    requests: usize,
    mode: SelectionMode,
}

impl TestRun {
    /// Creates a placer without hosts. If health checks are allowed, an ejection ends when one succeeds, otherwise when
    /// its time is over.
    fn new(allows_health_checks: bool, mode: SelectionMode) -> TestRun {
        let settings = Settings {
            placer_count: 3,
            allows_health_checks,
            ..Settings::example()
        };
        TestRun {
            placer: Placer::new(settings, 7),
            now: SECOND,
            timers: BTreeSet::new(),
            in_flight: Vec::new(),
            requests: 0,
            mode,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        if self.mode == SelectionMode::AllHosts {
            let all = 0..self.placer.hosts.hosts.len();
            self.placer.hosts.changed.extend(all);
            self.placer.working_set.affinity.clear();
        }
        let mut actions = Vec::new();
        self.placer.handle(self.now, &event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { token, after } => {
                    self.timers.insert((self.now + after, *token));
                }
                Action::SendAttempt { id, host, .. } => self.record_attempt(id, host),
                _ => {}
            }
        }
        actions
    }

    fn record_attempt(&mut self, id: &RequestId, host: &HostId) {
        let record = self.placer.tasks.records.get(id);
        self.in_flight.push(SentAttempt {
            id: id.clone(),
            number: record.map_or(0, |record| record.attempts_sent - 1),
            host: host.clone(),
        });
    }

    fn play(&mut self, step: &Step) -> Vec<Action> {
        match step {
            Step::DeltaUpdate {
                host,
                state,
                free,
                restarted,
            } => {
                let started_at = if *restarted { self.now } else { 0 };
                let endpoints = vec![endpoint(*host, *state, *free, started_at)];
                let kind = UpdateKind::Delta;
                self.handle(Event::EndpointsChanged { kind, endpoints })
            }
            Step::CompleteUpdate { hosts, free_cores } => {
                let free = Resources {
                    cores: *free_cores,
                    memory: 64.0,
                };
                let endpoints = (0..*hosts)
                    .map(|index| endpoint(index, EndpointState::Up, free, 0))
                    .collect();
                let kind = UpdateKind::Complete;
                self.handle(Event::EndpointsChanged { kind, endpoints })
            }
            Step::Request { service, cores } => self.request(*service, *cores),
            Step::AttemptStarts(attempt) => self.start(*attempt),
            Step::AttemptEnds(attempt, outcome, detail) => self.end(*attempt, *outcome, *detail),
            Step::ReportUsage(attempt, value) => self.report_usage(*attempt, *value),
            Step::HealthCheckEnds(host, outcome) => self.handle(Event::HealthCheckEnded {
                host: host_id(*host),
                outcome: *outcome,
                elapsed: 1_000,
                load_report: Vec::new(),
            }),
            Step::Wait(duration) => self.wait(*duration),
        }
    }

    fn request(&mut self, service: u64, cores: f64) -> Vec<Action> {
        self.requests += 1;
        let task = Task {
            id: RequestId(Arc::from(format!("r{}", self.requests))),
            service: ServiceId(service),
            cores,
            memory: 2.0 * cores,
            time_budget: 4 * SECOND,
            ..Task::default()
        };
        self.handle(Event::TaskRequested(task))
    }

    fn start(&mut self, attempt: usize) -> Vec<Action> {
        let Some(SentAttempt { id, number, host }) = self.in_flight.get(attempt) else {
            return Vec::new();
        };
        let event = Event::AttemptStarted {
            id: id.clone(),
            attempt: *number,
            host: host.clone(),
            elapsed: 1_000,
        };
        self.handle(event)
    }

    fn end(&mut self, attempt: usize, outcome: Outcome, detail: OutcomeDetail) -> Vec<Action> {
        if attempt >= self.in_flight.len() {
            return Vec::new();
        }
        let SentAttempt { id, number, host } = self.in_flight.remove(attempt);
        self.handle(Event::AttemptEnded {
            id,
            attempt: number,
            host,
            outcome,
            detail,
            done: outcome == Outcome::Completed,
            elapsed: 1_000,
            load_report: Vec::new(),
        })
    }

    fn report_usage(&mut self, attempt: usize, value: f64) -> Vec<Action> {
        let Some(SentAttempt { id, host, .. }) = self.in_flight.get(attempt) else {
            return Vec::new();
        };
        let event = Event::TaskReported {
            id: id.clone(),
            host: host.clone(),
            report: TaskReport::Cores,
            value,
        };
        self.handle(event)
    }

    fn wait(&mut self, duration: Micros) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while let Some(&(due, token)) = self.timers.first().filter(|(due, _)| *due <= end) {
            self.timers.pop_first();
            self.now = self.now.max(due);
            actions.extend(self.handle(Event::TimerFired(token)));
        }
        self.now = end;
        actions
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against changes of a host that the incremental selection misses: a placer that selects incrementally must
    /// return the same actions as one that examines all hosts at each selection.
    #[test]
    fn incremental_selection_gives_the_same_actions(
        allows_health_checks: bool,
        steps in prop::collection::vec(step(), 1..150)
    ) {
        let mut incremental = TestRun::new(allows_health_checks, SelectionMode::Incremental);
        let mut all_hosts = TestRun::new(allows_health_checks, SelectionMode::AllHosts);

        for step in &steps {
            prop_assert_eq!(
                incremental.play(step),
                all_hosts.play(step),
                "actions differ after {:?}",
                step
            );
        }
    }

    /// After any events, the placer's working set must equal the one that the reference selects with the same usage
    /// ratio.
    ///
    /// The working set keeps sums in units of 2^-24 mean tasks, while the reference uses floating-point numbers. If the
    /// size of the members matches the load to within one part in a million, rounding may add or omit a member. The
    /// members must then be those that the reference selects for a load smaller or larger by that part.
    #[test]
    fn selection_equals_the_reference(
        allows_health_checks: bool,
        steps in prop::collection::vec(step(), 1..150)
    ) {
        let mut run = TestRun::new(allows_health_checks, SelectionMode::Incremental);
        for step in &steps {
            run.play(step);

            run.placer.select_working_set();

            let set = &run.placer.working_set;
            let members: Vec<HostIndex> = set.members().collect();
            let reference =
                |load_factor| select_from_scratch(&run.placer, set.usage_ratio, load_factor);
            let same_members = |selection: &Selection| selection.members == members;
            let expected = [1.0, 1.0 - TIE_TOLERANCE, 1.0 + TIE_TOLERANCE]
                .map(reference)
                .into_iter()
                .find(same_members);
            prop_assert!(
                expected.is_some(),
                "members are {members:?}, the reference has {:?}, after {step:?}",
                reference(1.0).members
            );
            let Some(expected) = expected else { continue };
            prop_assert_eq!(set.hosts_up().collect::<Vec<_>>(), expected.hosts_up);
            let sums = [
                (set.mean_fullness(), expected.mean_fullness),
                (set.size(), expected.size),
                (set.free_capacity(), expected.free_capacity),
            ];
            for (actual, expected) in sums {
                let tolerance = ROUNDING_TOLERANCE * (1.0 + expected.abs());
                prop_assert!(
                    (actual - expected).abs() <= tolerance,
                    "sum is {actual}, the reference has {expected}, after {step:?}"
                );
            }
        }
    }

    /// The selection must use the newest usage ratio at each tick, so that it lags by at most the usage reports of one
    /// tick.
    #[test]
    fn usage_ratio_is_at_most_one_tick_old(
        allows_health_checks: bool,
        steps in prop::collection::vec(step(), 1..150)
    ) {
        let mut run = TestRun::new(allows_health_checks, SelectionMode::Incremental);
        for step in &steps {
            run.play(step);

            let interval = run.placer.tick_interval();
            run.play(&Step::Wait(interval));

            prop_assert_eq!(run.placer.working_set.usage_ratio, run.placer.usage_ratio());
        }
    }
}
