//! Tests of the overload impact, which is counted over all placers together.

use super::*;

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table of events and the counts expected from them"
)]
fn offers_rejections_and_retries_are_counted_over_all_placers() {
    let plan = Plan::parse(
        "[hosts]\ncount = 2\n[[fault]]\nat = \"1s\"\nlength = \"1s\"\nkind = \"host-silent\"\nwhich = 1\n",
    )
    .expect("valid plan");
    let requested = |id, key| Event::TaskRequested {
        id,
        key,
        class: 0,
        service: 1,
        placer: id as usize % 2,
        wait: SECOND,
        description: 0,
        running_at: None,
    };
    let offered = |id, host| Event::OfferReceived {
        id,
        host,
        description: 0,
    };
    let reported = |id, host, report| Event::HostReported { id, host, report };
    let start = 5 * SECOND;
    let events: Vec<TimedEvent> = [
        (-100, requested(9, 9)),
        (0, Event::HostConnected { host: 0 }),
        (10, requested(1, 1)),
        (20, offered(1, 0)),
        (30, reported(1, 0, HostReport::Ended(34))),
        (40, offered(1, 1)),
        (50, reported(1, 1, HostReport::Running(0))),
        // The end of a task that has run does not count as a rejection.
        (900, reported(1, 1, HostReport::Ended(16))),
        (1_100, requested(2, 2)),
        (1_200, offered(2, 1)),
        (1_700, Event::AttemptStopped { id: 2, host: 1 }),
        (1_800, requested(3, 2)),
        (1_900, offered(3, 1)),
        (1_950, Event::OfferConnectionClosed { id: 3, host: 1 }),
    ]
    .map(|(at, event)| (start + at * 1_000, event))
    .to_vec();

    let impact = OverloadImpact::measure(&plan, &events, start, start + 3 * SECOND, Some);

    let zero = ImpactSecond::default();
    let expected = [
        ImpactSecond {
            offers: 2,
            rejected_offers: 1,
            connections: 1,
            starts: 1,
            host_wait_ms: 10,
            placer_wait_ms: 30,
            ..zero
        },
        ImpactSecond {
            offers: 2,
            abandoned_offers: 2,
            retries: 1,
            retry_offers: 1,
            ..zero
        },
        zero,
        zero,
    ];
    assert_eq!(impact.seconds, expected);
    assert_eq!(
        (
            impact.tasks,
            impact.offers_to_faulty_hosts,
            impact.max_offers_to_faulty_host
        ),
        (2, 2, 2)
    );
    assert_eq!(impact.offers_by_slot, [[1, 0, 0, 0], [1, 2, 0, 0]]);
    assert!((impact.offers_per_task() - 2.0).abs() < 1e-9);
    assert!((impact.peak_to_mean_ratio(|second| second.offers) - 1.0).abs() < 1e-9);
}
