//! Tests of the host model.

use super::*;

const MS: Micros = 1_000;

fn spec() -> HostSpec {
    HostSpec {
        cores: 4.0,
        memory: 8.0,
        admission_time: 10 * MS,
        max_queued_offers: 2,
        max_concurrent_starts: 2,
        warm_start: 40 * MS,
        cold_start_factor: 8.0,
        max_cached_programs: 1,
        preempts: true,
        slow_start: 10 * SECOND,
        slow_start_floor: 0.25,
        overload_factor: 4.0,
        always_tolerated_offers: 3,
        drain_interval: 500 * MS,
    }
}

fn offer(id: u64) -> Offer {
    Offer {
        id,
        service: 1,
        cores: 1.0,
        memory: 2.0,
        priority: 0,
        run_time: 5 * SECOND,
        time_left: 6 * SECOND,
    }
}

/// Ticks the model whenever a change is due up to `until`, and returns the updates with their times in milliseconds.
fn run(host: &mut HostModel, until: Micros) -> Vec<(Micros, u64, TaskUpdate)> {
    let mut updates = Vec::new();
    while let Some(now) = host.next_due().filter(|at| *at <= until) {
        updates.extend(
            host.tick(now)
                .into_iter()
                .map(|(id, update)| (now / MS, id, update)),
        );
    }
    updates
}

#[test]
fn offers_are_decided_one_at_a_time_and_the_queue_is_limited() {
    let mut host = HostModel::new(spec(), 0, Warmth::Warm);
    for id in 1..=5 {
        host.offer(0, offer(id));
        let updates = host.tick(0);
        assert_eq!(
            updates.is_empty(),
            id <= 3,
            "only one offer is being decided on and two are queued"
        );
    }
    let updates = run(&mut host, SECOND);
    // The first start of a program takes eight times as long, and at most two tasks start at the same time.
    assert_eq!(
        updates,
        [
            (330, 1, TaskUpdate::Running),
            (340, 2, TaskUpdate::Running),
            (370, 3, TaskUpdate::Running)
        ]
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn offers_are_rejected_with_the_resource_that_is_short() {
    let mut host = HostModel::new(
        HostSpec {
            preempts: false,
            ..spec()
        },
        0,
        Warmth::Warm,
    );
    let offers = [
        Offer {
            memory: 1.0,
            cores: 3.0,
            ..offer(1)
        },
        Offer {
            cores: 2.0,
            ..offer(2)
        },
        Offer {
            memory: 8.0,
            ..offer(3)
        },
        Offer {
            memory: 7.0,
            ..offer(4)
        },
    ];
    for (n, offer) in offers.into_iter().enumerate() {
        let now = n as Micros * 100 * MS;
        host.offer(now, offer);
        host.tick(now);
        run(&mut host, now + 99 * MS);
    }
    let updates = run(&mut host, SECOND);
    assert!(
        updates
            .iter()
            .any(|(_, id, update)| (*id, *update) == (4, TaskUpdate::Running)),
        "{updates:?}"
    );
    assert!(host.free().cores < 1e-9);
    let mut host = HostModel::new(
        HostSpec {
            preempts: false,
            ..spec()
        },
        0,
        Warmth::Warm,
    );
    host.offer(
        0,
        Offer {
            cores: 5.0,
            ..offer(1)
        },
    );
    host.offer(
        0,
        Offer {
            memory: 9.0,
            ..offer(2)
        },
    );
    host.tick(0);
    assert_eq!(
        run(&mut host, SECOND),
        [
            (10, 1, TaskUpdate::Ended(EndReason::NoCores)),
            (20, 2, TaskUpdate::Ended(EndReason::NoMemory))
        ]
    );
}

#[test]
fn lower_priorities_are_preempted_only_if_that_frees_enough() {
    let full = || {
        let mut host = HostModel::new(spec(), 0, Warmth::Warm);
        for (n, priority) in [(1, 1), (2, 0), (3, 2), (4, 0)] {
            host.offer(
                0,
                Offer {
                    priority,
                    run_time: 100 * SECOND,
                    ..offer(n)
                },
            );
            host.tick(0);
            run(&mut host, 20 * MS * n as Micros);
        }
        run(&mut host, SECOND);
        host
    };
    let mut host = full();
    host.offer(
        SECOND,
        Offer {
            priority: 1,
            cores: 2.0,
            ..offer(9)
        },
    );
    host.tick(SECOND);
    let updates = run(&mut host, 2 * SECOND);
    let preempted: Vec<u64> = updates
        .iter()
        .filter(|(_, _, update)| *update == TaskUpdate::Ended(EndReason::Preempted))
        .map(|(_, id, _)| *id)
        .collect();
    assert_eq!(preempted, [2, 4]);
    assert!(
        updates
            .iter()
            .any(|(_, id, update)| (*id, *update) == (9, TaskUpdate::Running))
    );
    let mut host = full();
    host.offer(
        SECOND,
        Offer {
            priority: 1,
            cores: 3.0,
            ..offer(9)
        },
    );
    host.tick(SECOND);
    let updates = run(&mut host, 2 * SECOND);
    assert_eq!(
        updates,
        [(1_010, 9, TaskUpdate::Ended(EndReason::NoCores))],
        "tasks were preempted although that does not free enough"
    );
}

#[test]
fn draining_host_evicts_its_tasks_one_by_one() {
    let mut host = HostModel::new(spec(), 0, Warmth::Warm);
    for id in 1..=3 {
        host.offer(
            0,
            Offer {
                run_time: 100 * SECOND,
                ..offer(id)
            },
        );
        host.tick(0);
    }
    run(&mut host, SECOND);
    host.start_draining(SECOND);
    host.offer(SECOND, offer(9));
    host.tick(SECOND);
    let updates = run(&mut host, 10 * SECOND);
    let expected = [
        (1_010, 9, "nh"),
        (1_500, 1, "dr"),
        (2_000, 2, "dr"),
        (2_500, 3, "dr"),
    ];
    let found: Vec<(Micros, u64, &str)> = updates
        .iter()
        .map(|(at, id, update)| {
            (
                *at,
                *id,
                if let TaskUpdate::Ended(reason) = update {
                    reason.note()
                } else {
                    ""
                },
            )
        })
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn cold_host_is_slow_and_crashes_when_overloaded() {
    let mut host = HostModel::new(spec(), 0, Warmth::Cold);
    host.offer(0, offer(1));
    host.tick(0);
    let updates = run(&mut host, 5 * SECOND);
    // The decision takes 10 ms and the start 320 ms at full speed; the host runs at slightly more than a quarter of it.
    assert!(updates[0].0 > 1_200 && updates[0].0 < 1_330, "{updates:?}");
    // The host tolerates any 3 offers in a second, and beyond them 4 times what it can start.
    let mut host = HostModel::new(
        HostSpec {
            warm_start: 500 * MS,
            ..spec()
        },
        0,
        Warmth::Cold,
    );
    assert!(!(0..4).any(|id| host.offer(0, offer(id))));
    assert!(host.offer(0, offer(9)) && host.is_down());
    let mut warm = HostModel::new(
        HostSpec {
            warm_start: 500 * MS,
            ..spec()
        },
        0,
        Warmth::Warm,
    );
    assert!(!(0..100).any(|id| warm.offer(0, offer(id))));
}

#[test]
fn stopped_tasks_are_removed_and_eviction_takes_the_lowest_priority() {
    let mut host = HostModel::new(spec(), 0, Warmth::Warm);
    for id in 1..=3 {
        host.offer(
            0,
            Offer {
                priority: id as u8,
                run_time: 100 * SECOND,
                ..offer(id)
            },
        );
        host.tick(0);
    }
    assert_eq!(
        (host.stop(1), host.stop(3), host.stop(7)),
        (
            StopOutcome::NotStarted,
            StopOutcome::NotStarted,
            StopOutcome::Unknown
        )
    );
    host.tick(0);
    run(&mut host, SECOND);
    assert_eq!(host.running_ids().collect::<Vec<_>>(), [2]);
    assert_eq!(host.evict(5), [(2, TaskUpdate::Ended(EndReason::Evicted))]);
    assert_eq!(
        host.free(),
        Resources {
            cores: 4.0,
            memory: 8.0,
        }
    );
}
