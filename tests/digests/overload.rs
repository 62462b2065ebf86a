//! Digests of the limits and admissions of the overload controller.

use crate::{Numbers, digest};
use std::sync::Arc;
use task_placer::overload::{Event, Features, OverloadController, RequestEnd, retry_budget};
use task_placer::{
    CellId, ClassId, Endpoint, EndpointState, HostId, KindId, Limit, Micros, Outcome,
    OutcomeDetail, RequestId, ServiceId, Settings, Task, TaskKey, UpdateKind, ZoneId,
};

const HOSTS: u64 = 12;
const STEPS: u64 = 20_000;
const STEP: Micros = 7_000;
/// Steps after which the outage repeats.
const OUTAGE_PERIOD: u64 = 4_000;
/// Step within each period after which the outage lasts until the end of the period. No task starts in an outage and
/// many attempts fail, so that hosts and whole zones become suspect.
const OUTAGE_FROM: u64 = 3_000;

const FAILURES: [(Outcome, OutcomeDetail); 8] = [
    (Outcome::Timeout, OutcomeDetail::Unknown),
    (Outcome::ConnectFailed, OutcomeDetail::Unknown),
    (Outcome::Rejected, OutcomeDetail::QueueFull),
    (Outcome::Rejected, OutcomeDetail::NoCores),
    (Outcome::Reset, OutcomeDetail::Unknown),
    (Outcome::Reset, OutcomeDetail::Evicted),
    (Outcome::Cancelled, OutcomeDetail::Unknown),
    (Outcome::NotSent, OutcomeDetail::Unknown),
];
/// Number of entries of `FAILURES`, from the first, that occur in an outage.
const FAILURES_IN_OUTAGE: usize = 2;

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

fn render(limit: &Limit) -> String {
    match limit {
        Limit::HostConcurrency {
            host,
            max_in_flight,
            health_check,
        } => format!("h {} {max_in_flight:?} {health_check};", host.0),
        Limit::TotalConcurrency {
            max_in_flight,
            has_capacity_again,
        } => format!("t {max_in_flight} {has_capacity_again};"),
        Limit::Admission {
            admit_below,
            give_up_after,
        } => format!("a {admit_below:.9} {give_up_after:?};"),
        Limit::NoRetry(id) => format!("n {};", id.0),
        Limit::Processes { .. } => panic!("the controller does not set this limit"),
    }
}

/// A controller that gets random events.
struct Player {
    controller: OverloadController,
    numbers: Numbers,
    now: Micros,
    open: Vec<RequestId>,
    rendered: String,
}

impl Player {
    fn new(features: Features, seed: u64) -> Player {
        let mut settings = Settings::example();
        settings.placer_count = 5;
        settings.placer_index = 2;
        let mut player = Player {
            controller: OverloadController::new(features, &settings, 1_000_000_000, seed),
            numbers: Numbers(seed),
            now: 0,
            open: Vec::new(),
            rendered: String::new(),
        };
        let endpoints: Vec<Endpoint> = (0..HOSTS)
            .map(|number| endpoint(number, EndpointState::Up, 0))
            .collect();
        player.handle(Event::EndpointsChanged {
            kind: UpdateKind::Complete,
            endpoints: &endpoints,
        });
        player
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut limits = Vec::new();
        self.controller.handle(self.now, event, &mut limits);
        self.rendered.extend(limits.iter().map(render));
    }

    fn step(&mut self, step: u64) {
        self.now = step as Micros * STEP;
        let open = self.open.len() as u64;
        let chosen = (open > 0).then(|| self.numbers.below(open) as usize);
        let host = host(self.numbers.below(HOSTS));
        let is_outage = step % OUTAGE_PERIOD > OUTAGE_FROM;
        match (self.numbers.below(16), chosen) {
            (0..=4, _) => self.request(step),
            (5..=8, Some(index)) => {
                let id = &self.open[index].clone();
                self.handle(Event::AttemptSent { id, host: &host });
            }
            (9 | 10, Some(index)) if !is_outage => {
                let id = &self.open.swap_remove(index);
                self.handle(Event::AttemptStarted { id });
            }
            (9..=12, Some(index)) => self.fail_attempt(index, is_outage),
            (13, Some(index)) => {
                let id = &self.open.swap_remove(index);
                let end = if self.numbers.below(3) > 0 {
                    RequestEnd::GivenUp
                } else {
                    RequestEnd::Cancelled
                };
                self.handle(Event::RequestEnded { id, end });
            }
            (14, _) if self.numbers.below(40) == 0 => self.change_endpoint(),
            _ => self.handle(Event::Tick),
        }
    }

    fn request(&mut self, step: u64) {
        let id = RequestId(Arc::from(format!("r{step}")));
        let task = Task {
            id: id.clone(),
            class: ClassId(0),
            service: ServiceId(1),
            key: TaskKey(self.numbers.below(400)),
            is_returning: self.numbers.below(5) == 0,
            ..Task::default()
        };
        let admission = self.controller.admit(self.now, &task);
        let (shed_rank, retry_after) = (admission.shed_rank, admission.retry_after);
        self.rendered
            .push_str(&format!("{shed_rank:.9} {retry_after};"));
        self.open.push(id);
    }

    fn fail_attempt(&mut self, index: usize, is_outage: bool) {
        let (outcome, detail) = self.numbers.one_of(if is_outage {
            &FAILURES[..FAILURES_IN_OUTAGE]
        } else {
            &FAILURES
        });
        let id = &self.open[index].clone();
        self.handle(Event::AttemptEnded {
            id,
            outcome,
            detail,
        });
    }

    fn change_endpoint(&mut self) {
        let state = self.numbers.one_of(&[
            EndpointState::Up,
            EndpointState::Draining,
            EndpointState::Removed,
        ]);
        let changed = [endpoint(self.numbers.below(HOSTS), state, self.now)];
        self.handle(Event::EndpointsChanged {
            kind: UpdateKind::Delta,
            endpoints: &changed,
        });
    }

    fn render_report(&mut self) {
        let report = self.controller.report(self.now);
        for (name, count) in self.controller.counters().named() {
            self.rendered.push_str(&format!("{name} {count};"));
        }
        for host in &report.hosts {
            let wait = self.controller.time_until_slot(self.now, &host.host);
            self.rendered.push_str(&format!(
                "{} {:.9} {} {} {:?} {wait:?};",
                host.host.0, host.window, host.in_flight, host.mean_delay, host.next_slot_in
            ));
        }
        self.rendered.push_str(&format!(
            "{} {:.9} {} {:?}",
            report.shed_level,
            report.admitted_fraction,
            report.backed_off_clients,
            report.retries_left
        ));
    }
}

fn play(features: Features, seed: u64) -> u64 {
    let mut player = Player::new(features, seed);
    for step in 1..=STEPS {
        player.step(step);
    }
    player.render_report();
    digest(&player.rendered)
}

fn without_admission() -> Features {
    let retry_budget = retry_budget::Settings {
        fleet_burst: 300.0,
        ..retry_budget::Settings::default()
    };
    Features {
        admission: None,
        retry_budget: Some(retry_budget),
        ..Features::all()
    }
}

#[test]
fn random_events_give_the_expected_limits() {
    let limits_only = Features {
        concurrency_limit: Features::all().concurrency_limit,
        ..Features::default()
    };
    let without_limits = Features {
        concurrency_limit: None,
        ..Features::all()
    };

    let digests: Vec<u64> = [
        Features::all(),
        limits_only,
        without_limits,
        without_admission(),
    ]
    .into_iter()
    .flat_map(|features| [1, 2, 3].map(|seed| play(features.clone(), seed)))
    .collect();

    assert_eq!(digests, EXPECTED);
}

/// Expected digests by features (all, host concurrency only, all but host concurrency, all but admission) and then by
/// seed.
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
