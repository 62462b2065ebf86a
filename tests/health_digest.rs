//! Plays random events to the health monitor and to a drain, and checks a digest of all that they report.
//!
//! The digest covers codes and numbers as balancers and operators read them, so it does not depend on how the
//! types are named.

use std::fmt::Write;
use task_placer::health::drain::{
    AfterDrain, CheckKind, Drain, DrainLimits, Effect, Outstanding, Poller,
};
use task_placer::health::{
    Change, Command, Event, Gauges, HealthMonitor, Settings, ZoneReachability,
};
use task_placer::{Micros, Outcome, OutcomeDetail};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

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

    /// From 0 to `most`.
    fn fraction(&mut self, most: f64) -> f64 {
        most * self.below(1_000) as f64 / 1_000.0
    }
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Gauges that are bad only while `trouble` lasts.
fn gauges(numbers: &mut Numbers, trouble: bool) -> Gauges {
    let most = if trouble { 1.0 } else { 0.05 };
    let zones = (0..numbers.below(4)).map(|_| ZoneReachability {
        listed: 6,
        refused: numbers.below(if trouble { 3 } else { 1 }) as u32,
        silent: numbers.below(if trouble { 4 } else { 1 }) as u32,
    });
    let zones = zones.collect();
    Gauges {
        oldest_request: numbers.fraction(4.0 * most),
        zones,
        hosts_with_capacity: (numbers.below(2) == 0).then(|| numbers.fraction(1.0)),
        full_hosts: numbers.fraction(most),
        descriptors: numbers.fraction(most),
        queues: numbers.fraction(most),
    }
}

fn event(numbers: &mut Numbers, trouble: bool) -> Event {
    match numbers.below(40) {
        0..=2 => Event::GaugesSampled(gauges(numbers, trouble)),
        3..=7 => Event::RequestAnswered {
            within_objective: !trouble || numbers.below(2) == 0,
        },
        8..=12 => {
            let outcomes = [
                (Outcome::Completed, OutcomeDetail::Unknown),
                (Outcome::Rejected, OutcomeDetail::NoCores),
                (Outcome::Timeout, OutcomeDetail::Unknown),
                (Outcome::Rejected, OutcomeDetail::NotEligible),
            ];
            let kinds = if trouble { 4 } else { 1 };
            let (outcome, detail) = outcomes[numbers.below(kinds) as usize];
            Event::AttemptEnded {
                outcome,
                detail,
                relative_duration: numbers.fraction(1.0),
            }
        }
        13..=15 => Event::ClientConnected {
            rejected: trouble && numbers.below(2) == 0,
        },
        16..=20 if !trouble => Event::DiscoveryUpdated,
        21 | 22 => Event::Polled {
            poller: numbers.below(20),
        },
        23 if numbers.below(200) == 0 => Event::CommandReceived(
            [Command::Drain, Command::Maint, Command::Ready][numbers.below(3) as usize],
        ),
        24 if numbers.below(20) == 0 => Event::CommandReceived(Command::Ready),
        _ => Event::LoopIteration,
    }
}

fn play_health(seed: u64) -> u64 {
    let (mut numbers, mut digest) = (Numbers(seed), String::new());
    let mut health = HealthMonitor::new(Settings::default(), START);
    let mut now = START;
    for step in 0..40_000 {
        // Now and then the loop stands still.
        now += if numbers.below(2_000) == 0 {
            900_000
        } else {
            3_000
        };
        let trouble = step % 10_000 > 6_000;
        let changes = health.handle(now, event(&mut numbers, trouble));
        for change in changes {
            match change {
                Change::State(t) => {
                    let (from, to) = (t.from.as_str(), t.to.as_str());
                    write!(
                        digest,
                        "s {} {from} {to} {} {};",
                        t.at,
                        t.reason.as_str(),
                        t.weight
                    )
                }
                Change::Weight(change) => {
                    let cause = change.cause.map_or("", |signal| signal.as_str());
                    let (before, after) = (change.before, change.after);
                    let fleet = change.explained_by_fleet;
                    write!(digest, "w {before} {after} {cause} {fleet:.9};")
                }
            }
            .expect("a string takes all");
        }
        if step % 500 == 0 {
            let (report, _) = health.report(now);
            let cause = report.cause.map_or("", |code| code.as_str());
            write!(
                digest,
                "r {} {} {cause}",
                report.state.as_str(),
                report.weight
            )
            .expect("a string takes all");
            for s in &report.signals {
                let (code, value) = (s.signal.as_str(), s.value);
                write!(
                    digest,
                    " {code} {value:.9} {:.9} {:.9} {:.9}",
                    s.severity, s.own_severity, s.max_weight
                )
                .expect("a string takes all");
            }
        }
    }
    if std::env::var_os("SHOW_DIGEST").is_some() {
        println!("{digest}");
    }
    hash(&digest)
}

fn play_drain(seed: u64) -> u64 {
    let (mut numbers, mut digest) = (Numbers(seed), String::new());
    let mut drain = Drain::new(DrainLimits::default());
    for step in 0..20_000 {
        let now = START + step * 50_000;
        let busy = step % 4_000 < 1_500;
        let mut effects = match numbers.below(400) {
            0 => {
                let exits = numbers.below(4) == 0 && step > 12_000;
                let after = if exits {
                    AfterDrain::Exit
                } else {
                    AfterDrain::Wait
                };
                drain.begin(now, after)
            }
            1 if busy => {
                let cancelled = drain.cancel(now);
                write!(digest, "c {};", cancelled.is_ok()).expect("a string takes all");
                cancelled.unwrap_or_default()
            }
            2..=60 => {
                let number = numbers.below(6);
                let kind = if number < 4 {
                    CheckKind::Agent
                } else {
                    CheckKind::Http
                };
                let name = number.to_string();
                drain.record_poll(now, &Poller { kind, name });
                Vec::new()
            }
            _ => Vec::new(),
        };
        let most = if busy { 3 } else { 1 };
        effects.extend(drain.advance(
            now,
            Outstanding {
                pending_responses: numbers.below(most) as usize,
                running_tasks: numbers.below(most) as usize,
                unreported_ends: 0,
                unflushed_connections: 0,
            },
        ));
        for effect in effects {
            match effect {
                Effect::AnnounceDrain => write!(digest, "t true;"),
                Effect::WithdrawDrain => write!(digest, "t false;"),
                Effect::StartClosingIdle => write!(digest, "i true;"),
                Effect::StopClosingIdle => write!(digest, "i false;"),
                Effect::AnswerAll { within } => write!(digest, "a {within};"),
                Effect::Entered { phase, reason } => {
                    let pollers = drain.pollers(now);
                    let (why, live, seen) = (reason.as_str(), pollers.live, pollers.notified);
                    write!(digest, "{step} {} {why} {live} {seen};", phase.as_str())
                }
                Effect::Exit { left } => write!(
                    digest,
                    "x {} {};",
                    left.pending_responses, left.running_tasks
                ),
            }
            .expect("a string takes all");
        }
    }
    if std::env::var_os("SHOW_DIGEST").is_some() {
        println!("{digest}");
    }
    hash(&digest)
}

#[test]
fn random_events_give_the_same_states_and_weights_as_ever() {
    assert_eq!([1, 2, 3].map(play_health), HEALTH);
}

#[test]
fn random_events_give_the_same_drains_as_ever() {
    assert_eq!([1, 2, 3, 4, 5, 6].map(play_drain), DRAIN);
}

const HEALTH: [u64; 3] = [
    1_100_187_501_898_187_680,
    4_245_589_237_529_863_451,
    744_438_751_700_343_271,
];

const DRAIN: [u64; 6] = [
    1_020_608_321_913_222_385,
    16_967_431_768_764_173_612,
    18_076_693_536_140_157_928,
    696_803_300_510_076_969,
    14_041_791_879_296_391_040,
    13_843_155_216_618_955_908,
];
