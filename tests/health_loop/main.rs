//! Tests the weight in a closed loop: placers report weights, a load balancer polls them and applies them late, and the
//! load of the placers follows the weights.
//!
//! Some scenarios also run with the naive rule, weight = 100 - load, to show the oscillation that the monitor avoids.

mod simulation;

use simulation::{CAPACITY, SECOND, Simulation, WeightSource};
use task_placer::Micros;
use task_placer::health::State;

const POLL_INTERVALS: [Micros; 3] = [SECOND / 2, 2 * SECOND, 5 * SECOND];
const PLACER_COUNTS: [usize; 2] = [3, 30];

fn settled(placer_count: usize, poll_interval: Micros) -> Simulation {
    Simulation::settled(WeightSource::Monitor, placer_count, poll_interval)
}

/// Returns the largest range of any placer's weights in the last minute, after the load rose to a level within the
/// capacity.
fn weight_range_after_load_step(
    source: WeightSource,
    placer_count: usize,
    poll_interval: Micros,
) -> u8 {
    let mut simulation = Simulation::settled(source, placer_count, poll_interval);
    simulation.set_load(0.85);
    simulation.run(120);
    (0..placer_count)
        .map(|placer| simulation.weight_range(placer, 60))
        .max()
        .expect("at least one placer")
}

#[test]
fn load_step_within_the_capacity_changes_no_weight_where_the_naive_rule_oscillates() {
    for placer_count in PLACER_COUNTS {
        for poll_interval in POLL_INTERVALS {
            let [monitor, naive] = [WeightSource::Monitor, WeightSource::Naive]
                .map(|source| weight_range_after_load_step(source, placer_count, poll_interval));
            eprintln!(
                "load step, {placer_count} placers, polls each {} ms: range {monitor}, naive {naive}",
                poll_interval / 1_000
            );

            assert_eq!(monitor, 0);
            if poll_interval >= 2 * SECOND {
                assert!(naive >= 20, "the naive rule oscillates: {naive}");
            }
        }
    }
}

/// The measured behavior of a placer whose capacity falls to less than a third.
#[derive(Debug)]
struct SlowPlacer {
    /// The fraction of all tasks that went to the placer before its capacity fell.
    share_before: f64,
    /// The seconds from the fall of the capacity until the placer's fraction of the tasks was halved, or `None` if that
    /// took more than a minute.
    halved_after: Option<i64>,
    /// The fraction of all tasks that went to the placer in the last minute of the simulation.
    share_after: f64,
    /// The difference between the placer's highest and lowest weight in the last 90 s of the simulation.
    weight_range: u8,
    /// The seconds from the fall of the capacity until the placer's fraction of the tasks stayed near that of the last
    /// minute.
    settling_time: i64,
    /// The number of tasks that wait at the placer at the end of the simulation.
    waiting_tasks: f64,
}

impl std::fmt::Display for SlowPlacer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "share {:.3}, halved after {:?} s, then {:.3}, range {}, settled after {} s, waiting {:.0}",
            self.share_before,
            self.halved_after,
            self.share_after,
            self.weight_range,
            self.settling_time,
            self.waiting_tasks
        )
    }
}

fn slow_placer(source: WeightSource, placer_count: usize, poll_interval: Micros) -> SlowPlacer {
    let mut simulation = Simulation::settled(source, placer_count, poll_interval);
    simulation.set_load(0.6);
    simulation.run(10);
    let share_before = simulation.share(0, 10);
    simulation.placers[0].capacity = 0.3 * CAPACITY;
    let halved_after = (1..=60).find(|_| {
        simulation.run(1);
        simulation.share(0, 2) < 0.5 * share_before
    });
    simulation.run(180 - halved_after.unwrap_or(60));
    if source == WeightSource::Monitor {
        for other in 1..placer_count {
            let min_weight = simulation.min_weight(other, 60);
            assert!(
                min_weight >= 90,
                "placer {other} keeps its weight: {min_weight}"
            );
        }
    }
    SlowPlacer {
        share_before,
        halved_after,
        share_after: simulation.share(0, 60),
        weight_range: simulation.weight_range(0, 90),
        settling_time: simulation.settling_time(0, 180),
        waiting_tasks: simulation.placers[0].waiting_tasks,
    }
}

#[test]
fn slow_placer_gets_a_smaller_share_and_the_others_keep_their_weight() {
    for placer_count in PLACER_COUNTS {
        for poll_interval in POLL_INTERVALS {
            let slow = slow_placer(WeightSource::Monitor, placer_count, poll_interval);
            let naive = slow_placer(WeightSource::Naive, placer_count, poll_interval);
            eprintln!(
                "slow placer, {placer_count} placers, polls each {} ms: {slow}; naive {naive}",
                poll_interval / 1_000
            );

            let max_seconds = 3 + 4 * poll_interval / SECOND;
            assert!(
                slow.halved_after
                    .is_some_and(|seconds| seconds <= max_seconds),
                "the share is halved within {max_seconds} s: {:?}",
                slow.halved_after
            );
            // The slow placer can handle half of its former share. It gets little more than that, but some load.
            assert!(
                slow.share_after < 0.62 * slow.share_before
                    && slow.share_after > 0.1 * slow.share_before,
                "{slow:?}"
            );
            assert!(
                slow.weight_range <= 60 && slow.settling_time <= 90,
                "{slow:?}"
            );
        }
    }
}

#[test]
fn placer_that_recovers_returns_to_its_share_and_weight() {
    for poll_interval in POLL_INTERVALS {
        let mut simulation = settled(3, poll_interval);
        simulation.set_load(0.6);
        simulation.placers[0].capacity = 0.3 * CAPACITY;
        simulation.run(60);
        let share_while_slow = simulation.share(0, 20);

        simulation.placers[0].capacity = CAPACITY;
        simulation.run(200);

        let share_after = simulation.share(0, 20);
        eprintln!(
            "recovery, polls each {} ms: share {share_while_slow:.3} to {share_after:.3}",
            poll_interval / 1_000
        );
        assert!(
            share_while_slow < 0.25 && share_after > 0.31,
            "{share_while_slow} {share_after}"
        );
        assert_eq!(simulation.placers[0].monitor.state(), State::Up);
        assert!(simulation.min_weight(0, 20) >= 95);
    }
}

#[test]
fn restarted_placer_gets_its_share_slowly_and_no_other_weight_changes() {
    for placer_count in PLACER_COUNTS {
        let mut simulation = settled(placer_count, 2 * SECOND);
        let now = simulation.now;
        simulation.placers[0].restart(now);

        simulation.run(5);
        let early_share = simulation.share(0, 2);
        simulation.run(30);
        let late_share = simulation.share(0, 10);

        let equal_share = 1.0 / placer_count as f64;
        assert!(
            early_share < 0.6 * equal_share && late_share > 0.9 * equal_share,
            "{early_share} {late_share}"
        );
        assert!(
            (1..placer_count).all(|other| simulation.weight_range(other, 35) == 0),
            "no other weight changes"
        );
    }
}

#[test]
fn full_hosts_do_not_lower_the_weights_for_long() {
    for placer_count in PLACER_COUNTS {
        for poll_interval in POLL_INTERVALS {
            let mut simulation = settled(placer_count, poll_interval);
            simulation.set_load(0.6);
            simulation.host_capacity = 0.3 * CAPACITY * placer_count as f64;

            simulation.run(120);

            for placer in 0..placer_count {
                let lowest = simulation.min_weight(placer, 115);
                assert!(
                    lowest >= 50,
                    "{placer} of {placer_count}, polls {poll_interval}: {lowest}"
                );
                let lowest = simulation.min_weight(placer, 60);
                assert!(
                    lowest >= 95,
                    "{placer} of {placer_count}, polls {poll_interval}: {lowest}"
                );
            }
        }
    }
}

#[test]
fn discovery_lost_at_all_placers_leaves_their_shares_equal() {
    for placer_count in PLACER_COUNTS {
        let mut simulation = settled(placer_count, 2 * SECOND);
        for placer in &mut simulation.placers {
            placer.discovery_is_up = false;
        }

        simulation.run(120);

        let equal_share = 1.0 / placer_count as f64;
        for placer in 0..placer_count {
            let share = simulation.share(placer, 30);
            assert!(
                (share - equal_share).abs() < 0.1 * equal_share,
                "placer {placer} keeps an equal share: {share}"
            );
            let mut weights = simulation.weights(placer, 30).iter();
            assert!(weights.all(|weight| (35..100).contains(weight)));
        }
    }
}

#[test]
fn discovery_lost_at_one_placer_lowers_its_share() {
    for placer_count in PLACER_COUNTS {
        let mut simulation = settled(placer_count, 2 * SECOND);
        simulation.placers[0].discovery_is_up = false;

        simulation.run(60);

        let share = simulation.share(0, 20);
        let equal_share = 1.0 / placer_count as f64;
        assert!(share < 0.6 * equal_share, "{share}");
    }
}

#[test]
fn placer_that_stalls_periodically_does_not_oscillate() {
    let mut simulation = settled(3, SECOND);
    simulation.set_load(0.4);
    let changes_before = simulation.changes;

    for _ in 0..120 {
        // The placer is stopped for 0.6 s of every second.
        simulation.placers[0].capacity = 0.0;
        for _ in 0..12 {
            simulation.step();
        }
        simulation.placers[0].capacity = CAPACITY;
        for _ in 0..8 {
            simulation.step();
        }
    }

    let changes = simulation.changes - changes_before;
    assert!(changes <= 30, "{changes} changes in 2 minutes");
    let share = simulation.share(0, 60);
    assert!(share < 0.15, "{share}");
}
