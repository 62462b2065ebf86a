//! Tests of `counters.rs`.

use super::*;

#[test]
fn each_end_counts_once_for_its_class_and_strangers_count_nowhere() {
    let mut tally = Tally::new(2);
    for (class, how) in [
        (Some(0), Ended::Served),
        (Some(1), Ended::Served),
        (Some(1), Ended::Refused),
        (Some(1), Ended::Failed),
        (Some(2), Ended::Served),
        (None, Ended::Failed),
    ] {
        tally.ended(class, how);
    }
    tally.offered(Some(1));
    tally.offered(None);
    let first = Counts {
        served: 1,
        ..Counts::default()
    };
    assert_eq!(
        tally.classes(),
        [
            first,
            Counts {
                served: 1,
                refused: 1,
                failed: 1,
                attempts: 1
            }
        ]
    );
}
