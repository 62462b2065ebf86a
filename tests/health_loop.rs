//! The weight in a closed loop: placers, a balancer that polls and acts late, and load that follows.
//!
//! Everything is a model with a clock of its own: placers serve so many tasks a second, what they can't
//! serve waits, and a loop with work left does not come round. Beside the engine stands the naive rule,
//! weight = 100 - load, in the same run.

use emulator::load_balancer::{AgentReport, LoadBalancer};
use std::collections::VecDeque;
use task_placer::health::{Change, Event, Gauges, HealthMonitor, Settings, State};
use task_placer::{Micros, Outcome, OutcomeDetail};

const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;
const AIM: f64 = 1.0;
/// Tasks a second that a placer can handle.
const ABLE: f64 = 100.0;

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The engine.
    Ours,
    /// 100 - load, over the last second.
    Naive,
}

struct Placer {
    health: HealthMonitor,
    /// Tasks a second that it can handle.
    able: f64,
    waiting: f64,
    /// Load over the last second, for the naive rule.
    load: f64,
    feed: bool,
    weights: Vec<u8>,
    taken: Vec<f64>,
    credit: f64,
}

/// An installation: placers behind one balancer.
struct World {
    rule: Rule,
    now: Micros,
    placers: Vec<Placer>,
    balancer: LoadBalancer,
    interval: Micros,
    delay: Micros,
    /// Answers on their way into force: when, of which placer, and the weight.
    acts: VecDeque<(Micros, usize, u32)>,
    /// Tasks a second, and how many the hosts bear.
    load: f64,
    hosts: f64,
    due: f64,
    changes: usize,
}

impl World {
    fn new(rule: Rule, placers: usize, interval: Micros) -> World {
        let now = 1_000 * SECOND;
        let placer = || Placer {
            health: HealthMonitor::new(Settings::default(), now),
            able: ABLE,
            waiting: 0.0,
            load: 0.0,
            feed: true,
            weights: Vec::new(),
            taken: Vec::new(),
            credit: 0.0,
        };
        World {
            rule,
            now,
            placers: (0..placers).map(|_| placer()).collect(),
            balancer: LoadBalancer::new(placers, 2, 3),
            interval,
            delay: 300_000,
            acts: VecDeque::new(),
            load: 0.4 * ABLE * placers as f64,
            hosts: f64::INFINITY,
            due: 0.0,
            changes: 0,
        }
    }

    /// One that has been up for a while.
    fn settled(rule: Rule, placers: usize, interval: Micros) -> World {
        let mut world = World::new(rule, placers, interval);
        world.load = 0.02 * ABLE * placers as f64;
        world.run(25);
        world.load = 0.4 * ABLE * placers as f64;
        world.run(10);
        world
    }

    fn run(&mut self, seconds: i64) {
        for _ in 0..seconds * SECOND / STEP {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.due += self.load * STEP as f64 / SECOND as f64;
        let mut came = vec![0.0; self.placers.len()];
        while self.due >= 1.0 {
            self.due -= 1.0;
            if let Some(n) = self.balancer.pick() {
                came[n] += 1.0;
            }
        }
        let refused = (1.0 - self.hosts / self.load).max(0.0);
        for (n, placer) in self.placers.iter_mut().enumerate() {
            self.changes += placer.step(now, came[n], refused);
            // Polls come in turn, as balancers spread them.
            let phase = n as Micros * self.interval / came.len() as Micros / STEP * STEP;
            if (now - phase) % self.interval == 0 {
                changes_of(
                    &mut self.changes,
                    &placer.health.handle(now, Event::Polled { poller: 0 }),
                );
                let weight = match self.rule {
                    Rule::Ours => u32::from(placer.health.report(now).0.weight),
                    Rule::Naive => (100.0 - 100.0 * placer.load).clamp(1.0, 100.0) as u32,
                };
                self.acts.push_back((now + self.delay, n, weight));
            }
        }
        while self.acts.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, n, weight)) = self.acts.pop_front() else {
                break;
            };
            self.balancer.apply_report(
                n,
                AgentReport {
                    weight: Some(weight),
                    ..AgentReport::default()
                },
            );
        }
        for (n, placer) in self.placers.iter_mut().enumerate() {
            placer.weights.push(self.balancer.servers[n].weight as u8);
        }
    }

    /// What the balancer held of a placer's weight in the last so many seconds.
    fn weights(&self, n: usize, seconds: i64) -> &[u8] {
        let weights = &self.placers[n].weights;
        &weights[weights
            .len()
            .saturating_sub((seconds * SECOND / STEP) as usize)..]
    }

    /// The distance between its lowest and highest.
    fn swing(&self, n: usize, seconds: i64) -> u8 {
        let weights = self.weights(n, seconds);
        weights.iter().max().expect("some") - weights.iter().min().expect("some")
    }

    /// A placer's share of what came in the last so many seconds.
    fn share(&self, n: usize, seconds: i64) -> f64 {
        let last = (seconds * SECOND / STEP) as usize;
        let of = |p: &Placer| {
            p.taken[p.taken.len().saturating_sub(last)..]
                .iter()
                .sum::<f64>()
        };
        of(&self.placers[n]) / self.placers.iter().map(of).sum::<f64>()
    }

    /// Seconds from so long ago until the share of a placer, over half a minute, came within a third of
    /// what it was in the last minute, for good.
    fn settling(&self, n: usize, seconds: i64) -> i64 {
        let end = self.share(n, 60);
        let over = |from: i64| {
            let (from, to) = (seconds - from, seconds - from - 30);
            let of = |p: &Placer| {
                let place = |ago: i64| p.taken.len().saturating_sub((ago * SECOND / STEP) as usize);
                p.taken[place(from)..place(to)].iter().sum::<f64>()
            };
            of(&self.placers[n]) / self.placers.iter().map(of).sum::<f64>()
        };
        (0..=seconds - 30)
            .rev()
            .find(|from| (over(*from) - end).abs() > end / 3.0)
            .map_or(0, |from| from + 1)
    }
}

/// Counts changes of weight or state.
fn changes_of(count: &mut usize, changes: &[Change]) {
    *count += changes
        .iter()
        .filter(|c| matches!(c, Change::Weight(..) | Change::State(_)))
        .count();
}

impl Placer {
    /// One step; answers how often its weight or state changed.
    fn step(&mut self, now: Micros, came: f64, refused: f64) -> usize {
        let mut changes = Vec::new();
        self.taken.push(came);
        self.waiting += came;
        let able = self.able * STEP as f64 / SECOND as f64;
        let served = self.waiting.min(able);
        self.waiting -= served;
        let used = if able > 0.0 { served / able } else { 1.0 };
        self.load += (used - self.load) * STEP as f64 / SECOND as f64;
        // With a step's work left the loop did not come round.
        if self.waiting < able.max(1.0) {
            for turn in 1..=10 {
                changes.extend(
                    self.health
                        .handle(now - STEP + turn * STEP / 10, Event::LoopIteration),
                );
            }
        }
        let wait = self.waiting / self.able.max(0.001);
        self.credit += served;
        while self.credit >= 1.0 {
            self.credit -= 1.0;
            // The hosts turn away what they can't bear, the same for all.
            let turn = (now / STEP * 7919 % 1000) as f64 / 1000.0;
            let full = turn < refused;
            let (outcome, detail) = if full {
                (Outcome::Rejected, OutcomeDetail::NoCores)
            } else {
                (Outcome::Completed, OutcomeDetail::Unknown)
            };
            changes.extend(self.health.handle(
                now,
                Event::AttemptEnded {
                    outcome,
                    detail,
                    relative_duration: 0.1,
                },
            ));
            changes.extend(self.health.handle(
                now,
                Event::RequestAnswered {
                    within_objective: !full && wait < AIM,
                },
            ));
        }
        if now % (5 * STEP) == 0 {
            // Under refusals asks are held and come again: the oldest is past its aim everywhere.
            let oldest = if refused > 0.0 { 2.0 } else { wait / AIM };
            changes.extend(self.health.handle(
                now,
                Event::GaugesSampled(Gauges {
                    oldest_request: oldest,
                    ..Gauges::default()
                }),
            ));
        }
        if self.feed && now % SECOND == 0 {
            changes.extend(self.health.handle(now, Event::DiscoveryUpdated));
        }
        let mut count = 0;
        changes_of(&mut count, &changes);
        count
    }
}

const INTERVALS: [Micros; 3] = [SECOND / 2, 2 * SECOND, 5 * SECOND];

#[test]
fn a_step_of_load_that_all_can_bear_moves_no_weight_where_the_naive_rule_swings() {
    for placers in [3, 30] {
        for interval in INTERVALS {
            let [ours, naive] = [Rule::Ours, Rule::Naive].map(|rule| {
                let mut world = World::settled(rule, placers, interval);
                world.load = 0.85 * ABLE * placers as f64;
                world.run(120);
                (0..placers)
                    .map(|n| world.swing(n, 60))
                    .max()
                    .expect("some")
            });
            eprintln!(
                "step of load, {placers} placers, polls each {} ms: swing {ours}, naive {naive}",
                interval / 1_000
            );
            assert_eq!(ours, 0);
            if interval >= 2 * SECOND {
                assert!(
                    naive >= 20,
                    "the baseline shows what it is there for: {naive}"
                );
            }
        }
    }
}

#[test]
fn a_slow_placer_sheds_its_portion_and_the_others_stay_whole() {
    for placers in [3, 30] {
        for interval in INTERVALS {
            let [ours, naive] = [Rule::Ours, Rule::Naive].map(|rule| {
                let mut world = World::settled(rule, placers, interval);
                world.load = 0.6 * ABLE * placers as f64;
                world.run(10);
                let before = world.share(0, 10);
                world.placers[0].able = 0.3 * ABLE;
                let halved = (1..=60).find(|_| {
                    world.run(1);
                    world.share(0, 2) < 0.5 * before
                });
                world.run(180 - halved.unwrap_or(60));
                if rule == Rule::Ours {
                    for n in 1..placers {
                        assert!(
                            *world.weights(n, 60).iter().min().expect("some") >= 90,
                            "{n} stays whole"
                        );
                    }
                }
                (
                    before,
                    halved,
                    world.share(0, 60),
                    world.swing(0, 90),
                    world.settling(0, 180),
                    world.placers[0].waiting,
                )
            });
            eprintln!(
                "slow placer, {placers} placers, polls each {} ms: share {:.3}, halved after {:?} s, then {:.3}, swing {}, settled \
                 after {:.1} s, waiting {:.0}; naive {:.3}, {:?}, {:.3}, swing {}, settled after {} s, waiting {:.0}",
                interval / 1_000,
                ours.0,
                ours.1,
                ours.2,
                ours.3,
                ours.4,
                ours.5,
                naive.0,
                naive.1,
                naive.2,
                naive.3,
                naive.4,
                naive.5,
            );
            let soon = 3 + 4 * interval / SECOND;
            assert!(
                ours.1.is_some_and(|s| s <= soon),
                "its share is halved within {soon} s: {:?}",
                ours.1
            );
            // It can bear half of its portion, and gets not much more, nor nothing.
            assert!(
                ours.2 < 0.62 * ours.0 && ours.2 > 0.1 * ours.0,
                "{} of {}",
                ours.2,
                ours.0
            );
            assert!(
                ours.3 <= 60 && ours.4 <= 90,
                "swing {} settling {}",
                ours.3,
                ours.4
            );
        }
    }
}

#[test]
fn one_that_recovers_comes_back_without_a_second_fall() {
    for interval in INTERVALS {
        let mut world = World::settled(Rule::Ours, 3, interval);
        world.load = 1.8 * ABLE;
        world.placers[0].able = 0.3 * ABLE;
        world.run(60);
        let low = world.share(0, 20);
        world.placers[0].able = ABLE;
        world.run(200);
        let back = world.share(0, 20);
        eprintln!(
            "recovery, polls each {} ms: share {low:.3} to {back:.3}",
            interval / 1_000
        );
        assert!(low < 0.25 && back > 0.31, "{low} {back}");
        assert_eq!(world.placers[0].health.state(), State::Up);
        assert!(*world.weights(0, 20).iter().min().expect("some") >= 95);
    }
}

#[test]
fn one_that_is_restarted_cold_is_given_its_portion_slowly() {
    for placers in [3, 30] {
        let mut world = World::settled(Rule::Ours, placers, 2 * SECOND);
        let now = world.now;
        world.placers[0].health = HealthMonitor::new(Settings::default(), now);
        world.run(5);
        let (early, portion) = (world.share(0, 2), 1.0 / placers as f64);
        world.run(30);
        let late = world.share(0, 10);
        assert!(
            early < 0.6 * portion && late > 0.9 * portion,
            "{early} {late}"
        );
        assert!(
            (1..placers).all(|n| world.swing(n, 35) == 0),
            "nobody else moves"
        );
    }
}

#[test]
fn full_hosts_and_a_feed_lost_everywhere_empty_no_placer() {
    for placers in [3, 30] {
        for interval in INTERVALS {
            let mut world = World::settled(Rule::Ours, placers, interval);
            (world.load, world.hosts) = (0.6 * ABLE * placers as f64, 0.3 * ABLE * placers as f64);
            world.run(120);
            for n in 0..placers {
                let least = *world.weights(n, 115).iter().min().expect("some");
                assert!(
                    least >= 50,
                    "weights do not collapse: {n} of {placers}, polls {interval}: {least}"
                );
                assert!(
                    *world.weights(n, 60).iter().min().expect("some") >= 95,
                    "{n} of {placers}, polls {interval}: nor stay low"
                );
            }
        }
        let mut world = World::settled(Rule::Ours, placers, 2 * SECOND);
        world
            .placers
            .iter_mut()
            .for_each(|placer| placer.feed = false);
        world.run(120);
        let portion = 1.0 / placers as f64;
        for n in 0..placers {
            let share = world.share(n, 30);
            assert!(
                (share - portion).abs() < 0.1 * portion,
                "all alike, all served: {share}"
            );
            assert!(world.weights(n, 30).iter().all(|w| (35..100).contains(w)));
        }
        // Of one alone it does show.
        let mut world = World::settled(Rule::Ours, placers, 2 * SECOND);
        world.placers[0].feed = false;
        world.run(60);
        assert!(world.share(0, 20) < 0.6 * portion, "{}", world.share(0, 20));
    }
}

#[test]
fn a_placer_that_stalls_in_a_rhythm_does_not_flap() {
    let mut world = World::settled(Rule::Ours, 3, SECOND);
    world.load = 1.2 * ABLE;
    let before = world.changes;
    for _ in 0..120 {
        // Stopped for 0.6 s of every second.
        world.placers[0].able = 0.0;
        for _ in 0..12 {
            world.step();
        }
        world.placers[0].able = ABLE;
        for _ in 0..8 {
            world.step();
        }
    }
    let changes = world.changes - before;
    assert!(changes <= 30, "{changes} changes in 2 minutes");
    assert!(world.share(0, 60) < 0.15, "{}", world.share(0, 60));
}
