//! Property tests of the health monitor under random events and of the drain under random polls: reports stay in range
//! and change seldom, every state can be left, and a drain ends.

use proptest::prelude::*;
use task_placer::health::drain::{
    AfterDrain, CheckKind, Drain, DrainLimits, Effect, Outstanding, Phase, Poller,
};
use task_placer::health::{
    Change, Command, Event, Gauges, HealthMonitor, Settings, Signal, State, ZoneReachability,
};
use task_placer::{Micros, Outcome, OutcomeDetail};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

/// Generates any value that a gauge can have.
fn gauge() -> impl Strategy<Value = f64> + Clone {
    prop_oneof![Just(0.0), 0.0..6.0f64, Just(f64::NAN), Just(f64::INFINITY)]
}

fn zone() -> impl Strategy<Value = ZoneReachability> {
    (0u32..6, 0u32..6, 0u32..6).prop_map(|(listed, refused, silent)| ZoneReachability {
        listed,
        refused: refused.min(listed),
        silent: silent.min(listed),
    })
}

fn gauges() -> impl Strategy<Value = Gauges> {
    let host_fractions = (prop::option::of(0.0..1.0f64), 0.0..1.0f64);
    let zones = prop::collection::vec(zone(), 0..4);
    (gauge(), zones, host_fractions, gauge(), gauge()).prop_map(
        |(oldest_request, zones, (hosts_with_capacity, full_hosts), descriptors, queues)| Gauges {
            oldest_request,
            zones,
            hosts_with_capacity,
            full_hosts,
            descriptors,
            queues,
        },
    )
}

fn attempt_ended() -> impl Strategy<Value = Event> {
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
    (outcome, detail, 0.0..3.0f64).prop_map(|(outcome, detail, relative_duration)| {
        Event::AttemptEnded {
            outcome,
            detail,
            relative_duration,
        }
    })
}

fn event() -> impl Strategy<Value = Event> {
    let command = prop_oneof![
        Just(Command::Drain),
        Just(Command::Maint),
        Just(Command::Ready)
    ];
    prop_oneof![
        6 => Just(Event::LoopIteration),
        4 => gauges().prop_map(Event::GaugesSampled),
        4 => any::<bool>().prop_map(|within_objective| Event::RequestAnswered { within_objective }),
        4 => attempt_ended(),
        2 => any::<bool>().prop_map(|rejected| Event::ClientConnected { rejected }),
        3 => Just(Event::DiscoveryUpdated),
        2 => (0..40u64).prop_map(|poller| Event::Polled { poller }),
        1 => command.prop_map(Event::CommandReceived),
    ]
}

/// Generates an event and the time that passes before it.
fn step() -> impl Strategy<Value = (Micros, Event)> {
    let gap = prop_oneof![
        8 => 0..6_000i64,
        3 => 0..300_000i64,
        1 => 0..8 * SECOND,
    ];
    (gap, event())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reports_stay_in_range_and_change_seldom_and_a_quiet_time_leads_back_to_full_weight(steps in prop::collection::vec(step(), 1..400)) {
        let mut monitor = HealthMonitor::new(Settings::default(), START);
        let (mut now, mut weight_changes, mut returns) = (START, Vec::new(), 0);
        for (gap, event) in steps {
            now += gap;
            if event == Event::CommandReceived(Command::Ready) && !monitor.state().is_serving() {
                returns += 1;
            }
            let mut changes = monitor.handle(now, event);
            let (report, more) = monitor.report(now);
            changes.extend(more);
            prop_assert!((1..=100).contains(&report.weight));
            prop_assert!(report.signals.iter().all(|s| (0.0..=1.0).contains(&s.own_severity) && (0.0..=100.0).contains(&s.max_weight)));
            prop_assert_eq!(report.cause.is_none(), report.signals.iter().all(|s| s.max_weight >= 100.0));
            for change in changes {
                if let Change::Weight(change) = change {
                    prop_assert_ne!(change.before, change.after);
                    weight_changes.push(now);
                }
            }
            // Each return to service begins a new slow start, whose changes are no oscillation.
            let lately = weight_changes.iter().filter(|at| now - **at < 60 * SECOND).count();
            prop_assert!(lately <= 32 * (1 + returns), "{} changes within a minute", lately);
        }

        monitor.handle(now, Event::CommandReceived(Command::Ready));
        monitor.handle(now, Event::GaugesSampled(Gauges::default()));
        for n in 0..=400 * SECOND / 10_000 {
            let event = if n % 100 == 0 { Event::DiscoveryUpdated } else { Event::LoopIteration };
            monitor.handle(now + n * 10_000, event);
        }
        prop_assert_eq!((monitor.state(), monitor.weight()), (State::Up, 100));
    }

    #[test]
    fn drain_ends_within_its_limits_and_exits_once(
        polls in prop::collection::vec((0..40u8, 0..60_000i64), 0..200),
        outstanding in prop::collection::vec((0..3usize, 0..3usize, 0..2usize, 0..2usize), 1..40),
        second_signal in prop::option::of(0..200_000i64),
    ) {
        let limits = DrainLimits::default();
        let max_duration = limits.max_announcement
            + limits.max_answer_time
            + 2 * limits.max_task_time
            + limits.final_exit_time
            + 5 * SECOND;
        let mut drain = Drain::new(limits);
        for (n, gap) in &polls {
            let kind = if n % 2 == 0 { CheckKind::Agent } else { CheckKind::Http };
            drain.record_poll(START - gap * 1_000, &Poller { kind, name: n.to_string() });
        }
        drain.begin(START, AfterDrain::Exit);
        let (mut exits, mut ended) = (0, 0);
        for n in 1..=max_duration / 50_000 {
            let now = START + n * 50_000;
            if second_signal.is_some_and(|ms| ms * 1_000 / 50_000 == n) {
                drain.begin(now, AfterDrain::Exit);
            }
            // The outstanding work changes every 3 s.
            let (pending_responses, running_tasks, unreported_ends, unflushed_connections) =
                outstanding[(n / 60) as usize % outstanding.len()];
            let outstanding = Outstanding {
                pending_responses,
                running_tasks,
                unreported_ends,
                unflushed_connections,
            };
            for effect in drain.advance(now, outstanding) {
                if let Effect::Exit { .. } = effect {
                    (exits, ended) = (exits + 1, n * 50_000);
                }
            }
        }
        prop_assert!(exits == 1 && drain.phase() == Phase::Finished, "{} exits, {:?}", exits, drain.phase());
        prop_assert!(ended <= max_duration);
    }
}

#[test]
fn codes_of_signals_are_unique() {
    let mut codes: Vec<&str> = Signal::ALL.iter().map(|signal| signal.as_str()).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), Signal::ALL.len());
}
