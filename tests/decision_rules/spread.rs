//! Tests of the spread of a service's tasks over failure domains.

use super::*;

#[test]
fn spread_counts_attempts_and_running_tasks_until_their_outcome() {
    let mut placer = TestPlacer::with(with_spread(SpreadDomain::Zone, 2), 4);
    placer.handle(Event::TaskAdopted(task(90, 7), host_id(0)));
    let mut per_zone = [1, 0];
    let mut sent_attempts = Vec::new();
    for n in 0..6 {
        for host in sent_hosts(&placer.request(task(n, 7))) {
            per_zone[host.0[1..].parse::<usize>().unwrap() % 2] += 1;
            sent_attempts.push((n, host));
        }
    }
    assert_eq!(per_zone, [2, 2]);
    // An attempt counts towards the limit of its zone until it ends, even after its task has started. Another attempt
    // may be sent to the zone only then.
    let (n, host) = sent_attempts[0].clone();
    placer.start(n, 0, &host);
    assert!(sent_hosts(&without_times(placer.advance(SECOND))).is_empty());
    placer.end(n, 0, &host, Outcome::Completed, OutcomeDetail::Unknown);
    assert_eq!(sent_hosts(&without_times(placer.advance(SECOND))).len(), 1);
}

#[test]
fn spread_over_hosts_and_cells() {
    for (spread_domain, expected) in [(SpreadDomain::Host, 4), (SpreadDomain::Cell, 2)] {
        let mut placer = TestPlacer::with(with_spread(spread_domain, 1), 4);
        let count: usize = (0..9)
            .map(|n| sent_hosts(&placer.request(task(n, 7))).len())
            .sum();
        assert_eq!(count, expected, "{spread_domain:?}");
    }
}

#[test]
fn adopted_tasks_count_for_spread_after_a_restart() {
    let mut placer = TestPlacer::with(with_spread(SpreadDomain::Host, 1), 1);
    placer.handle(Event::TaskAdopted(task(90, 7), host_id(0)));
    assert!(sent_hosts(&placer.request(task(1, 7))).is_empty());
    placer.end_with(
        90,
        0,
        &host_id(0),
        Outcome::Completed,
        OutcomeDetail::Unknown,
        true,
    );
    assert_eq!(
        sent_hosts(&without_times(placer.advance(SECOND))),
        vec![host_id(0)]
    );
}
