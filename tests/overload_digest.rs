//! Plays random events to the overload controller and checks a digest of all limits and admissions.
//!
//! The digest covers names and numbers only, so it does not depend on how the types are named. A change of it
//! means that the controller decides differently; placers of two versions would then disagree during an upgrade.

use std::fmt::Write;
use std::sync::Arc;
use task_placer::overload::{Event, Features, OverloadController, RequestEnd, retry_budget};
use task_placer::{
    CellId, ClassId, Endpoint, EndpointState, HostId, KindId, Limit, Micros, Outcome,
    OutcomeDetail, RequestId, ServiceId, Settings, Task, TaskKey, UpdateKind, ZoneId,
};

const HOSTS: u64 = 12;
const STEPS: u64 = 20_000;
const STEP: Micros = 7_000;

/// A linear congruential generator: the same numbers on every platform and with every version of a crate.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn host(number: u64) -> HostId {
    HostId(Arc::from(format!("m{number}")))
}

fn endpoint(number: u64, state: EndpointState, started_at: Micros) -> Endpoint {
    Endpoint {
        host: host(number),
        zone: ZoneId(number as usize / 6),
        cell: CellId(number / 2),
        kind: KindId(0),
        state,
        started_at,
        free_cores: 32.0,
        free_memory: 64.0,
    }
}

fn render(digest: &mut String, limit: &Limit) {
    let written = match limit {
        Limit::HostConcurrency {
            host,
            max_in_flight,
            health_check,
        } => write!(digest, "h {} {max_in_flight:?} {health_check};", host.0),
        Limit::TotalConcurrency {
            max_in_flight,
            has_capacity_again,
        } => write!(digest, "t {max_in_flight} {has_capacity_again};"),
        Limit::Admission {
            admit_below,
            give_up_after,
        } => write!(digest, "a {admit_below:.9} {give_up_after:?};"),
        Limit::NoRetry(id) => write!(digest, "n {};", id.0),
        Limit::Processes { .. } => panic!("not a limit of the controller"),
    };
    written.expect("a string takes all");
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn play(features: Features, seed: u64) -> u64 {
    let mut settings = Settings::example();
    settings.placer_count = 5;
    settings.placer_index = 2;
    let mut controller = OverloadController::new(features, &settings, 1_000_000_000, seed);
    let (mut numbers, mut digest, mut limits) = (Numbers(seed), String::new(), Vec::new());
    let all: Vec<Endpoint> = (0..HOSTS)
        .map(|n| endpoint(n, EndpointState::Up, 0))
        .collect();
    let listed = Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: &all,
    };
    controller.handle(0, listed, &mut limits);
    let mut open: Vec<RequestId> = Vec::new();
    for step in 1..=STEPS {
        let now = step as Micros * STEP;
        let chosen = (!open.is_empty()).then(|| numbers.below(open.len() as u64) as usize);
        let at = host(numbers.below(HOSTS));
        // Now and then nothing starts and many attempts fail, so that hosts and whole zones become suspect.
        let outage = step % 4_000 > 3_000;
        match (numbers.below(16), chosen) {
            (0..=4, _) => {
                let id = RequestId(Arc::from(format!("r{step}")));
                let task = Task {
                    id: id.clone(),
                    class: ClassId(0),
                    service: ServiceId(1),
                    key: TaskKey(numbers.below(400)),
                    is_returning: numbers.below(5) == 0,
                    ..Task::default()
                };
                let admission = controller.admit(now, &task);
                write!(
                    digest,
                    "{:.9} {};",
                    admission.shed_rank, admission.retry_after
                )
                .expect("a string");
                open.push(id);
            }
            (5..=8, Some(n)) => {
                let (id, host) = (&open[n], &at);
                controller.handle(now, Event::AttemptSent { id, host }, &mut limits);
            }
            (9 | 10, Some(n)) if !outage => {
                let id = &open.swap_remove(n);
                controller.handle(now, Event::AttemptStarted { id }, &mut limits);
            }
            (9..=12, Some(n)) => {
                let kinds = if outage { 2 } else { 8 };
                let (outcome, detail) = [
                    (Outcome::Timeout, OutcomeDetail::Unknown),
                    (Outcome::ConnectFailed, OutcomeDetail::Unknown),
                    (Outcome::Rejected, OutcomeDetail::QueueFull),
                    (Outcome::Rejected, OutcomeDetail::NoCores),
                    (Outcome::Reset, OutcomeDetail::Unknown),
                    (Outcome::Reset, OutcomeDetail::Evicted),
                    (Outcome::Cancelled, OutcomeDetail::Unknown),
                    (Outcome::NotSent, OutcomeDetail::Unknown),
                ][numbers.below(kinds) as usize];
                let id = &open[n];
                let ended = Event::AttemptEnded {
                    id,
                    outcome,
                    detail,
                };
                controller.handle(now, ended, &mut limits);
            }
            (13, Some(n)) => {
                let id = &open.swap_remove(n);
                let end = if numbers.below(3) > 0 {
                    RequestEnd::GivenUp
                } else {
                    RequestEnd::Cancelled
                };
                controller.handle(now, Event::RequestEnded { id, end }, &mut limits);
            }
            (14, _) if numbers.below(40) == 0 => {
                let state = [
                    EndpointState::Up,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][numbers.below(3) as usize];
                let changed = [endpoint(numbers.below(HOSTS), state, now)];
                let listed = Event::EndpointsChanged {
                    kind: UpdateKind::Delta,
                    endpoints: &changed,
                };
                controller.handle(now, listed, &mut limits);
            }
            _ => controller.handle(now, Event::Tick, &mut limits),
        }
        for limit in limits.drain(..) {
            render(&mut digest, &limit);
        }
    }
    let report = controller.report(STEPS as Micros * STEP);
    for (name, count) in controller.counters().named() {
        write!(digest, "{name} {count};").expect("a string");
    }
    for host in &report.hosts {
        let wait = controller.wait_for_slot(STEPS as Micros * STEP, &host.host);
        write!(
            digest,
            "{} {:.9} {} ",
            host.host.0, host.window, host.in_flight
        )
        .expect("a string");
        write!(
            digest,
            "{} {:?} {wait:?};",
            host.mean_delay, host.next_slot_in
        )
        .expect("a string");
    }
    write!(
        digest,
        "{} {:.9} {}",
        report.shed_level, report.admitted_fraction, report.backed_off_clients
    )
    .expect("a string");
    write!(digest, " {:?}", report.retries_left).expect("a string");
    if std::env::var_os("SHOW_COUNTERS").is_some() {
        println!("{seed} {:?}", controller.counters());
    }
    hash(&digest)
}

#[test]
fn random_events_give_the_same_limits_as_ever() {
    let limits_only = Features {
        concurrency_limit: Features::all().concurrency_limit,
        ..Features::default()
    };
    let without_limits = Features {
        concurrency_limit: None,
        ..Features::all()
    };
    let without_admission = Features {
        admission: None,
        retry_budget: Some(retry_budget::Settings {
            stock: 300.0,
            ..retry_budget::Settings::default()
        }),
        ..Features::all()
    };
    let digests: Vec<u64> = [
        Features::all(),
        limits_only,
        without_limits,
        without_admission,
    ]
    .into_iter()
    .flat_map(|features| [1, 2, 3].map(|seed| play(features.clone(), seed)))
    .collect();
    assert_eq!(digests, EXPECTED);
}

/// By features (all; host concurrency only; all but host concurrency; all but admission) and seed.
const EXPECTED: [u64; 12] = [
    13_605_256_123_701_354_509,
    2_554_491_150_574_800_313,
    8_497_887_897_467_663_436,
    1_313_503_326_673_937_096,
    26_277_166_412_478_791,
    16_774_479_438_516_329_303,
    17_945_758_713_472_724_019,
    4_515_133_871_736_325_202,
    2_404_289_198_418_269_590,
    5_424_664_369_739_643_086,
    12_685_804_586_071_779_085,
    14_578_729_647_970_912_172,
];
