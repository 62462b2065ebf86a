//! The choice of the working set, kept in proportion to what changes, against the choice that looks at all machines.
//!
//! The former way stands here as it was: every list and every tick sorted the whole fleet. It differs in one thing, the
//! use by which machines are weighed: it took the newest estimate at each list, now it is taken over at ticks.

use super::*;
use proptest::prelude::*;
use std::sync::Arc;

const SECOND: Micros = 1_000_000;

/// The former choice: members, what is up, their mean fullness, their size, the room of all.
struct Choice {
    members: Vec<Place>,
    up: Vec<Place>,
    mean: f64,
    mu: f64,
    room: f64,
}

/// The former way, with this use. `part` of what is needed counts as needed.
fn former_choice(placer: &Placer, used: [f64; 2], part: f64) -> Choice {
    let (mut need, mut room) = (0.0, 0.0);
    let mut order = Vec::new();
    let fullness = |m: &Machine| placer.fill(m, m.asked(), used);
    let up = |at: &Place| placer.fleet.machines[*at].state == EndpointState::Up;
    let all_up = (0..placer.fleet.machines.len()).filter(up).collect();
    for (at, m) in placer
        .fleet
        .machines
        .iter()
        .enumerate()
        .filter(|(_, m)| m.state != EndpointState::Removed)
    {
        let full = fullness(m);
        need += full * placer.mu(m);
        if m.state == EndpointState::Up && !placer.shut(at, Scope::Machine) {
            let tasks = placer.mu(m) * placer.calm() / used[0];
            room += (OFFER_FILL - full).max(0.0) * tasks;
            order.push((-(full.min(SET_ALIKE) * SET_STEPS) as i64, &m.host, at));
        }
    }
    order.sort_unstable();
    let mut have = 0.0;
    let mut members = Vec::new();
    for (_, _, at) in order {
        if have * SET_FILL >= need * part && !members.is_empty() {
            break;
        }
        have += placer.mu(&placer.fleet.machines[at]);
        members.push(at);
    }
    let full =
        |at: &Place| fullness(&placer.fleet.machines[*at]) * placer.mu(&placer.fleet.machines[*at]);
    let mean = members.iter().map(full).sum::<f64>() / have.max(f64::MIN_POSITIVE);
    Choice {
        members,
        up: all_up,
        mean,
        mu: have,
        room,
    }
}

/// What may happen, in small numbers: machines by their index, tasks by their age.
#[derive(Debug, Clone)]
enum Step {
    Listed {
        machine: usize,
        state: EndpointState,
        free: [f64; 2],
        restarted: bool,
    },
    Whole {
        machines: usize,
        free: f64,
    },
    Asked {
        service: u64,
        cores: f64,
    },
    Started(usize),
    Ended(usize, Outcome, OutcomeDetail),
    Used(usize, f64),
    Probed(usize, Outcome),
    Waited(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![6 => Just(EndpointState::Up), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)];
    let outcome = prop_oneof![
        3 => Just(Outcome::Completed), 1 => Just(Outcome::Rejected), 1 => Just(Outcome::Error),
        1 => Just(Outcome::ConnectFailed), 1 => Just(Outcome::Timeout), 1 => Just(Outcome::Reset)
    ];
    let detail = prop_oneof![
        Just(OutcomeDetail::Unknown),
        Just(OutcomeDetail::NoCores),
        Just(OutcomeDetail::QueueFull)
    ];
    let free = (0..=256u32, 0..=512u32).prop_map(|(c, m)| [f64::from(c) / 8.0, f64::from(m) / 8.0]);
    prop_oneof![
        6 => (0..MACHINES, state, free, prop::bool::weighted(0.1))
            .prop_map(|(machine, state, free, restarted)| Step::Listed { machine, state, free, restarted }),
        1 => (1..=MACHINES, 0.0..32.0).prop_map(|(machines, free)| Step::Whole { machines, free }),
        5 => (0..6u64, prop_oneof![Just(0.5), Just(1.0), Just(12.0)])
            .prop_map(|(service, cores)| Step::Asked { service, cores }),
        3 => (0..40usize).prop_map(Step::Started),
        3 => (0..40usize, outcome, detail).prop_map(|(n, outcome, detail)| Step::Ended(n, outcome, detail)),
        1 => (0..40usize, 0.1..2.0).prop_map(|(n, value)| Step::Used(n, value)),
        1 => (0..MACHINES, prop_oneof![Just(Outcome::Completed), Just(Outcome::Timeout)])
            .prop_map(|(machine, outcome)| Step::Probed(machine, outcome)),
        3 => prop_oneof![Just(1_000), Just(100_000), Just(SECOND), Just(7 * SECOND)].prop_map(Step::Waited),
    ]
}

const MACHINES: usize = 24;
/// What rounding may be worth.
const TIE: f64 = 1e-6;

fn entry(n: usize, state: EndpointState, free: [f64; 2], ready_at: Micros) -> Endpoint {
    Endpoint {
        host: HostId(Arc::from(format!("m{n:02}"))),
        zone: ZoneId(n % 2),
        cell: CellId((n % 5) as u64),
        kind: KindId(0),
        state,
        started_at: ready_at,
        free_cores: free[0],
        free_memory: free[1],
    }
}

/// A placer that is played to, with its timers and the attempts that are out.
struct Play {
    placer: Placer,
    now: Micros,
    timers: BTreeSet<(Micros, TimerToken)>,
    out: Vec<(RequestId, u32, HostId)>,
    asked: usize,
    /// Look at every machine at each choice, as the former way did.
    looks_at_all: bool,
}

impl Play {
    /// With probes a suspension ends when one is answered, without them with its time.
    fn new(probes: bool, looks_at_all: bool) -> Play {
        let settings = Settings {
            placer_count: 3,
            allows_health_checks: probes,
            ..Settings::example()
        };
        let placer = Placer::new(settings, 7);
        Play {
            placer,
            now: SECOND,
            timers: BTreeSet::new(),
            out: Vec::new(),
            asked: 0,
            looks_at_all,
        }
    }

    fn give(&mut self, event: Event) -> Vec<Action> {
        if self.looks_at_all {
            self.placer
                .fleet
                .touched
                .extend(0..self.placer.fleet.machines.len());
            self.placer.set.homes.clear();
        }
        let mut actions = Vec::new();
        self.placer.handle(self.now, &event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { token, after } => {
                    self.timers.insert((self.now + after, *token));
                }
                Action::SendAttempt { id, host, .. } => {
                    let attempts = self.placer.jobs.all.get(id).map_or(0, |job| job.sent - 1);
                    self.out.push((id.clone(), attempts, host.clone()));
                }
                _ => {}
            }
        }
        actions
    }

    fn play(&mut self, step: &Step) -> Vec<Action> {
        match step {
            Step::Listed {
                machine,
                state,
                free,
                restarted,
            } => {
                let born = if *restarted { self.now } else { 0 };
                let entries = vec![entry(*machine, *state, *free, born)];
                self.give(Event::EndpointsChanged {
                    kind: UpdateKind::Delta,
                    endpoints: entries,
                })
            }
            Step::Whole { machines, free } => {
                let entries = (0..*machines)
                    .map(|n| entry(n, EndpointState::Up, [*free, 64.0], 0))
                    .collect();
                self.give(Event::EndpointsChanged {
                    kind: UpdateKind::Complete,
                    endpoints: entries,
                })
            }
            Step::Asked { service, cores } => {
                self.asked += 1;
                let task = Task {
                    id: RequestId(Arc::from(format!("r{}", self.asked))),
                    service: ServiceId(*service),
                    cores: *cores,
                    memory: 2.0 * cores,
                    time_budget: 4 * SECOND,
                    ..Task::default()
                };
                self.give(Event::TaskRequested(task))
            }
            Step::Started(n) => {
                let Some((id, attempt, host)) = self.out.get(*n).cloned() else {
                    return Vec::new();
                };
                self.give(Event::AttemptStarted {
                    id,
                    attempt,
                    host,
                    elapsed: 1_000,
                })
            }
            Step::Ended(n, outcome, detail) => {
                if *n >= self.out.len() {
                    return Vec::new();
                }
                let (id, attempt, host) = self.out.remove(*n);
                let (outcome, detail, done) = (*outcome, *detail, *outcome == Outcome::Completed);
                let (elapsed, report) = (1_000, Vec::new());
                self.give(Event::AttemptEnded {
                    id,
                    attempt,
                    host,
                    outcome,
                    detail,
                    done,
                    elapsed,
                    load_report: report,
                })
            }
            Step::Used(n, value) => {
                let Some((id, _, host)) = self.out.get(*n).cloned() else {
                    return Vec::new();
                };
                self.give(Event::TaskReported {
                    id,
                    host,
                    report: TaskReport::Cores,
                    value: *value,
                })
            }
            Step::Probed(machine, outcome) => {
                let host = HostId(Arc::from(format!("m{machine:02}")));
                let (elapsed, report) = (1_000, Vec::new());
                self.give(Event::HealthCheckEnded {
                    host,
                    outcome: *outcome,
                    elapsed,
                    load_report: report,
                })
            }
            Step::Waited(span) => {
                let end = self.now + span;
                let mut actions = Vec::new();
                while let Some(&(due, token)) = self.timers.first().filter(|(due, _)| *due <= end) {
                    self.timers.pop_first();
                    self.now = self.now.max(due);
                    actions.extend(self.give(Event::TimerFired(token)));
                }
                self.now = end;
                actions
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Looking only at what was touched does what looking at all machines does: the same actions, all the way.
    #[test]
    fn the_same_events_bring_the_same_actions(probes: bool, steps in prop::collection::vec(step(), 1..150)) {
        let (mut new, mut former) = (Play::new(probes, false), Play::new(probes, true));
        for step in &steps {
            prop_assert_eq!(new.play(step), former.play(step), "{:?}", step);
        }
    }

    /// After any events, the next choice is the former one by the same use. Sums are kept in steps of 2^-24 mean tasks
    /// where they were floating point, so where what the members hold meets what is needed to within a part in a
    /// million either answer is right: the members are those of a need that is so much less or more.
    #[test]
    fn the_choice_is_the_former_one(probes: bool, steps in prop::collection::vec(step(), 1..150)) {
        let mut play = Play::new(probes, false);
        for step in &steps {
            play.play(step);
            play.placer.choose_set();
            let set = &play.placer.set;
            let members: Vec<Place> = set.members().collect();
            let with_part = |part| former_choice(&play.placer, set.used, part);
            let former = [1.0, 1.0 - TIE, 1.0 + TIE].map(with_part).into_iter().find(|f| f.members == members);
            prop_assert!(former.is_some(), "{members:?} and {:?}: {step:?}", with_part(1.0).members);
            let Some(former) = former else { continue };
            prop_assert_eq!(set.up().collect::<Vec<_>>(), former.up);
            for (new, old) in [(set.mean(), former.mean), (set.size(), former.mu), (set.room(), former.room)] {
                prop_assert!((new - old).abs() <= 1e-5 * (1.0 + old.abs()), "{new} and {old}: {step:?}");
            }
        }
    }

    /// The use by which machines are weighed is the newest one at each tick: it lags by what notes of one tick change.
    #[test]
    fn the_use_is_at_most_a_tick_old(probes: bool, steps in prop::collection::vec(step(), 1..150)) {
        let mut play = Play::new(probes, false);
        for step in &steps {
            play.play(step);
            let gap = play.placer.tick_gap();
            play.play(&Step::Waited(gap));
            let newest = [play.placer.use_ratio(0), play.placer.use_ratio(1)];
            prop_assert_eq!(play.placer.set.used, newest);
        }
    }
}
