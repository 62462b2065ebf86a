//! Digests of the states, weights and signals of the health monitor.

use crate::{Numbers, digest};
use task_placer::health::{
    Change, Command, Event, Gauges, HealthMonitor, Report, Settings, Signal, ZoneReachability,
};
use task_placer::{Micros, Outcome, OutcomeDetail};

const START: Micros = 1_000_000_000;
const STEPS: u64 = 40_000;
const STEP: Micros = 3_000;
/// Time for which the event loop occasionally stalls, in microseconds.
const STALL: Micros = 900_000;
/// Steps after which the fault repeats.
const FAULT_PERIOD: u64 = 10_000;
/// Step within each period after which the fault lasts until the end of the period.
const FAULT_FROM: u64 = 6_000;
const STEPS_PER_REPORT: u64 = 500;

const OUTCOMES: [(Outcome, OutcomeDetail); 4] = [
    (Outcome::Completed, OutcomeDetail::Unknown),
    (Outcome::Rejected, OutcomeDetail::NoCores),
    (Outcome::Timeout, OutcomeDetail::Unknown),
    (Outcome::Rejected, OutcomeDetail::NotEligible),
];

/// Returns random gauges that reach bad values only during a fault.
fn gauges(numbers: &mut Numbers, is_fault: bool) -> Gauges {
    let max = if is_fault { 1.0 } else { 0.05 };
    let zone_count = numbers.below(4);
    let zones = (0..zone_count).map(|_| ZoneReachability {
        listed: 6,
        refused: numbers.below(if is_fault { 3 } else { 1 }) as u32,
        silent: numbers.below(if is_fault { 4 } else { 1 }) as u32,
    });
    let zones = zones.collect();
    Gauges {
        oldest_request: numbers.fraction(4.0 * max),
        zones,
        hosts_with_capacity: (numbers.below(2) == 0).then(|| numbers.fraction(1.0)),
        full_hosts: numbers.fraction(max),
        descriptors: numbers.fraction(max),
        queues: numbers.fraction(max),
    }
}

fn attempt_ended(numbers: &mut Numbers, is_fault: bool) -> Event {
    let possible = if is_fault { OUTCOMES.len() } else { 1 };
    let (outcome, detail) = numbers.one_of(&OUTCOMES[..possible]);
    Event::AttemptEnded {
        outcome,
        detail,
        relative_duration: numbers.fraction(1.0),
    }
}

fn event(numbers: &mut Numbers, is_fault: bool) -> Event {
    match numbers.below(40) {
        0..=2 => Event::GaugesSampled(gauges(numbers, is_fault)),
        3..=7 => Event::RequestAnswered {
            within_objective: !is_fault || numbers.below(2) == 0,
        },
        8..=12 => attempt_ended(numbers, is_fault),
        13..=15 => Event::ClientConnected {
            rejected: is_fault && numbers.below(2) == 0,
        },
        16..=20 if !is_fault => Event::DiscoveryUpdated,
        21 | 22 => Event::Polled {
            poller: numbers.below(20),
        },
        23 if numbers.below(200) == 0 => {
            let commands = [Command::Drain, Command::Maint, Command::Ready];
            Event::CommandReceived(numbers.one_of(&commands))
        }
        24 if numbers.below(20) == 0 => Event::CommandReceived(Command::Ready),
        _ => Event::LoopIteration,
    }
}

fn code(signal: Option<Signal>) -> &'static str {
    signal.map_or("", Signal::as_str)
}

fn render_change(change: &Change) -> String {
    match change {
        Change::State(transition) => {
            let (from, to) = (transition.from.as_str(), transition.to.as_str());
            let (reason, weight) = (transition.reason.as_str(), transition.weight);
            format!("s {} {from} {to} {reason} {weight};", transition.at)
        }
        Change::Weight(change) => format!(
            "w {} {} {} {:.9};",
            change.before,
            change.after,
            code(change.cause),
            change.explained_by_fleet
        ),
    }
}

fn render_report(report: &Report) -> String {
    let (state, weight) = (report.state.as_str(), report.weight);
    let mut rendered = format!("r {state} {weight} {}", code(report.cause));
    for reading in &report.signals {
        rendered.push_str(&format!(
            " {} {:.9} {:.9} {:.9} {:.9}",
            reading.signal.as_str(),
            reading.value,
            reading.severity,
            reading.own_severity,
            reading.max_weight
        ));
    }
    rendered
}

fn play(seed: u64) -> u64 {
    let (mut numbers, mut rendered) = (Numbers(seed), String::new());
    let mut monitor = HealthMonitor::new(Settings::default(), START);
    let mut now = START;
    for step in 0..STEPS {
        now += if numbers.below(2_000) == 0 {
            STALL
        } else {
            STEP
        };
        let is_fault = step % FAULT_PERIOD > FAULT_FROM;
        let changes = monitor.handle(now, event(&mut numbers, is_fault));
        rendered.extend(changes.iter().map(render_change));
        if step % STEPS_PER_REPORT == 0 {
            let (report, _) = monitor.report(now);
            rendered.push_str(&render_report(&report));
        }
    }
    digest(&rendered)
}

#[test]
fn random_events_give_the_expected_states_and_weights() {
    assert_eq!([1, 2, 3].map(play), EXPECTED);
}

/// Expected digest for each seed.
const EXPECTED: [u64; 3] = [
    904_549_656_786_152_753,
    4_245_589_237_529_863_451,
    744_438_751_700_343_271,
];
