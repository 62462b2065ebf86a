//! Sums and differences of traffic counts.

use super::*;

const ALL: [TrafficKind; KINDS] = [
    TrafficKind::Feed,
    TrafficKind::HealthCheck,
    TrafficKind::IdleWorker,
    TrafficKind::Configuration,
    TrafficKind::Worker,
    TrafficKind::Client,
];

#[test]
fn kinds_are_counted_separately_and_add_up_to_the_total() {
    let counters = PlacerCounters::default();
    for (n, kind) in ALL.into_iter().enumerate() {
        let bytes = 10_u64.pow(n as u32);
        counters.add(kind, Direction::ToPlacer, Volume { bytes, messages: 1 });
        counters.add(
            kind,
            Direction::FromPlacer,
            Volume {
                bytes: 2 * bytes,
                messages: 2,
            },
        );
        counters.add_connection(kind);
    }
    let traffic = counters.traffic();
    let total = traffic.total();
    assert_eq!(
        total.to_placer,
        Volume {
            bytes: 111_111,
            messages: 6
        }
    );
    assert_eq!(
        total.from_placer,
        Volume {
            bytes: 222_222,
            messages: 12
        }
    );
    assert_eq!(total.connections, 6);
    assert_eq!(traffic.control.total().to_placer.bytes, 1_111);
    assert_eq!(traffic.service.total().to_placer.bytes, 110_000);
}

#[test]
fn difference_is_the_traffic_counted_in_between() {
    let counters = PlacerCounters::default();
    counters.add(
        TrafficKind::Feed,
        Direction::ToPlacer,
        Volume {
            bytes: 5,
            messages: 1,
        },
    );
    counters.add_feed(FeedCounts {
        change_events: 1,
        entries_up: 4,
        ..FeedCounts::default()
    });
    let traffic = counters.traffic();
    let feed = counters.feed();
    counters.add(
        TrafficKind::Feed,
        Direction::ToPlacer,
        Volume {
            bytes: 7,
            messages: 2,
        },
    );
    counters.add_feed(FeedCounts {
        change_events: 2,
        entries_removed: 3,
        ..FeedCounts::default()
    });
    let between = counters.traffic() - traffic;
    assert_eq!(
        between.control.feed.to_placer,
        Volume {
            bytes: 7,
            messages: 2
        }
    );
    let expected = FeedCounts {
        change_events: 2,
        entries_removed: 3,
        ..FeedCounts::default()
    };
    assert_eq!(counters.feed() - feed, expected);
}
