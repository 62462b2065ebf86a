//! The engine under random signals: what it tells stays in range, changes seldom, and no state is a trap.

use proptest::prelude::*;
use task_placer::health::drain::{Bounds, Check, Drain, Effect, Hand, Phase, Poller};
use task_placer::health::{Change, Code, Event, Gauges, Health, Order, Settings, State, Zone};
use task_placer::{Micros, Outcome, OutcomeDetail};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

/// An event, and how long after the one before it comes.
fn step() -> impl Strategy<Value = (Micros, Event)> {
    let gap = prop_oneof![
        8 => 0..6_000i64,
        3 => 0..300_000i64,
        1 => 0..8 * SECOND,
    ];
    let zone = (0u32..6, 0u32..6, 0u32..6).prop_map(|(listed, refused, silent)| Zone {
        listed,
        refused: refused.min(listed),
        silent: silent.min(listed),
    });
    let figure = prop_oneof![Just(0.0), 0.0..6.0f64, Just(f64::NAN), Just(f64::INFINITY)];
    let gauges = (
        figure.clone(),
        prop::collection::vec(zone, 0..4),
        (prop::option::of(0.0..1.0f64), 0.0..1.0f64),
        figure.clone(),
        figure,
    )
        .prop_map(
            |(oldest, zones, (roomy, full), descriptors, queues)| Gauges {
                oldest,
                zones,
                roomy,
                full,
                descriptors,
                queues,
            },
        );
    let outcome = prop_oneof![
        Just(Outcome::Completed),
        Just(Outcome::Rejected),
        Just(Outcome::Timeout),
        Just(Outcome::Reset),
        Just(Outcome::Error)
    ];
    let detail = prop_oneof![
        Just(OutcomeDetail::Unknown),
        Just(OutcomeDetail::NoCores),
        Just(OutcomeDetail::NotEligible)
    ];
    let offer =
        (outcome, detail, 0.0..3.0f64).prop_map(|(outcome, detail, stretch)| Event::Offer {
            outcome,
            detail,
            stretch,
        });
    let order = prop_oneof![Just(Order::Drain), Just(Order::Maint), Just(Order::Ready)];
    let event = prop_oneof![
        6 => Just(Event::Turn),
        4 => gauges.prop_map(Event::Look),
        4 => any::<bool>().prop_map(|in_aim| Event::Answered { in_aim }),
        4 => offer,
        2 => any::<bool>().prop_map(|turned_away| Event::Connection { turned_away }),
        3 => Just(Event::Feed),
        2 => (0..40u64).prop_map(Event::Polled),
        1 => order.prop_map(Event::Order),
    ];
    (gap, event)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn weights_stay_in_range_change_seldom_and_every_state_has_a_way_out(steps in prop::collection::vec(step(), 1..400)) {
        let mut health = Health::new(Settings::default(), START);
        let (mut now, mut changed, mut came_back) = (START, Vec::new(), 0);
        for (gap, event) in steps {
            now += gap;
            if event == Event::Order(Order::Ready) && !health.state().serves() {
                came_back += 1;
            }
            let mut changes = health.handle(now, event);
            let (report, more) = health.report(now);
            changes.extend(more);
            prop_assert!((1..=100).contains(&report.weight));
            prop_assert!(report.signals.iter().all(|s| (0.0..=1.0).contains(&s.own) && (0.0..=100.0).contains(&s.cap)));
            prop_assert_eq!(report.cause.is_none(), report.signals.iter().all(|s| s.cap >= 100.0));
            for change in changes {
                if let Change::Weight(before, after, ..) = change {
                    prop_assert_ne!(before, after);
                    changed.push(now);
                }
            }
            // Orders to come back start anew and are not the engine's flapping.
            let lately = changed.iter().filter(|at| now - **at < 60 * SECOND).count();
            prop_assert!(lately <= 32 * (1 + came_back), "{} changes within a minute", lately);
        }
        // Whatever was, a quiet while brings it back up.
        health.handle(now, Event::Order(Order::Ready));
        health.handle(now, Event::Look(Gauges::default()));
        for n in 0..=400 * SECOND / 10_000 {
            health.handle(now + n * 10_000, if n % 100 == 0 { Event::Feed } else { Event::Turn });
        }
        prop_assert_eq!((health.state(), health.weight()), (State::Up, 100));
    }

    #[test]
    fn a_drain_always_ends_within_its_bounds_and_exits_once(
        polls in prop::collection::vec((0..40u8, 0..60_000i64), 0..200),
        hands in prop::collection::vec((0..3usize, 0..3usize, 0..2usize, 0..2usize), 1..40),
        again in prop::option::of(0..200_000i64),
    ) {
        let bounds = Bounds::default();
        let most = bounds.notice + bounds.answer + 2 * bounds.standing + bounds.last_end + 5 * SECOND;
        let mut drain = Drain::new(bounds);
        for (n, gap) in &polls {
            let check = if n % 2 == 0 { Check::Agent } else { Check::Http };
            drain.polled(START - gap * 1_000, Poller(check, n.to_string()));
        }
        drain.begin(START, true);
        let (mut exits, mut ended) = (0, 0);
        for n in 1..=most / 50_000 {
            let now = START + n * 50_000;
            if again.is_some_and(|ms| ms * 1_000 / 50_000 == n) {
                drain.begin(now, true);
            }
            // In hand is whatever it is, changing each 3 s.
            let (owed, standing, untold, unflushed) = hands[(n / 60) as usize % hands.len()];
            for effect in drain.look(now, Hand { owed, standing, untold, unflushed }) {
                if let Effect::Exit(_) = effect {
                    (exits, ended) = (exits + 1, n * 50_000);
                }
            }
        }
        prop_assert!(exits == 1 && drain.phase() == Phase::Over, "{} exits, {:?}", exits, drain.phase());
        prop_assert!(ended <= most);
    }
}

#[test]
fn every_signal_has_a_code_of_its_own() {
    let mut codes: Vec<&str> = Code::ALL.iter().map(|code| code.as_str()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), Code::ALL.len());
}
