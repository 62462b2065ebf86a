//! Plays random events to the overload engine and checks a digest of all limits and admissions.
//!
//! The digest covers names and numbers only, so it does not depend on how the types are named. A change of it
//! means that the engine decides differently; placers of two versions would then disagree during an upgrade.

use std::fmt::Write;
use std::sync::Arc;
use task_placer::overload::{Event, Overload, Parts, attempts};
use task_placer::{
    CellId, ClassId, Endpoint, EndpointState, HostId, KindId, Limit, Micros, Outcome,
    OutcomeDetail, RequestId, ServiceId, Settings, Task, TaskKey, ZoneId,
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
        Limit::Processes { .. } => panic!("not a limit of the engine"),
    };
    written.expect("a string takes all");
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn play(parts: Parts, seed: u64) -> u64 {
    let mut settings = Settings::example();
    settings.placer_count = 5;
    settings.placer_index = 2;
    let mut engine = Overload::new(parts, &settings, 1_000_000_000, seed);
    let (mut numbers, mut digest, mut limits) = (Numbers(seed), String::new(), Vec::new());
    let all: Vec<Endpoint> = (0..HOSTS)
        .map(|n| endpoint(n, EndpointState::Up, 0))
        .collect();
    let listed = Event::Listed {
        whole: true,
        entries: &all,
    };
    engine.handle(0, listed, &mut limits);
    let mut open: Vec<RequestId> = Vec::new();
    for step in 1..=STEPS {
        let now = step as Micros * STEP;
        let chosen = (!open.is_empty()).then(|| numbers.below(open.len() as u64) as usize);
        let at = host(numbers.below(HOSTS));
        // Now and then nothing starts and many attempts fail, so that hosts and whole zones come into doubt.
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
                let admission = engine.ask(now, &task);
                write!(digest, "{:.9} {};", admission.order, admission.away).expect("a string");
                open.push(id);
            }
            (5..=8, Some(n)) => {
                let (id, host) = (&open[n], &at);
                engine.handle(now, Event::Offered { id, host }, &mut limits);
            }
            (9 | 10, Some(n)) if !outage => {
                let id = &open.swap_remove(n);
                engine.handle(now, Event::Started { id }, &mut limits);
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
                let ended = Event::Ended {
                    id,
                    outcome,
                    detail,
                };
                engine.handle(now, ended, &mut limits);
            }
            (13, Some(n)) => {
                let id = &open.swap_remove(n);
                let given_up = numbers.below(3) > 0;
                engine.handle(now, Event::Over { id, given_up }, &mut limits);
            }
            (14, _) if numbers.below(40) == 0 => {
                let state = [
                    EndpointState::Up,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][numbers.below(3) as usize];
                let changed = [endpoint(numbers.below(HOSTS), state, now)];
                let listed = Event::Listed {
                    whole: false,
                    entries: &changed,
                };
                engine.handle(now, listed, &mut limits);
            }
            _ => engine.handle(now, Event::Tick, &mut limits),
        }
        for limit in limits.drain(..) {
            render(&mut digest, &limit);
        }
    }
    let report = engine.report(STEPS as Micros * STEP);
    for (name, count) in engine.counters().named() {
        write!(digest, "{name} {count};").expect("a string");
    }
    for host in &report.hosts {
        let wait = engine.call_in(STEPS as Micros * STEP, &host.host);
        write!(digest, "{} {:.9} {} ", host.host.0, host.window, host.out).expect("a string");
        write!(digest, "{} {:?} {wait:?};", host.delay, host.turn).expect("a string");
    }
    write!(
        digest,
        "{} {:.9} {}",
        report.step, report.through, report.away
    )
    .expect("a string");
    write!(digest, " {:?}", report.left).expect("a string");
    if std::env::var_os("SHOW_COUNTERS").is_some() {
        println!("{seed} {:?}", engine.counters());
    }
    hash(&digest)
}

#[test]
fn random_events_give_the_same_limits_as_ever() {
    let line_only = Parts {
        line: Parts::all().line,
        ..Parts::default()
    };
    let without_line = Parts {
        line: None,
        ..Parts::all()
    };
    let without_gate = Parts {
        gate: None,
        attempts: Some(attempts::Settings {
            stock: 300.0,
            ..attempts::Settings::default()
        }),
        ..Parts::all()
    };
    let digests: Vec<u64> = [Parts::all(), line_only, without_line, without_gate]
        .into_iter()
        .flat_map(|parts| [1, 2, 3].map(|seed| play(parts.clone(), seed)))
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
