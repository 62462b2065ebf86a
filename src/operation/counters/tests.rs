//! Tests of the request counters.

use super::*;

#[test]
fn each_response_counts_once_for_its_class_and_unknown_classes_are_not_counted() {
    let mut counters = RequestCounters::new(2);

    for (class, outcome) in [
        (Some(0), RequestOutcome::Started),
        (Some(1), RequestOutcome::Started),
        (Some(1), RequestOutcome::Rejected),
        (Some(1), RequestOutcome::Failed),
        (Some(2), RequestOutcome::Started),
        (None, RequestOutcome::Failed),
    ] {
        counters.record_response(class, outcome);
    }
    counters.record_attempt(Some(1));
    counters.record_attempt(None);

    assert_eq!(
        counters.by_class(),
        [
            ClassCounters {
                started: 1,
                ..ClassCounters::default()
            },
            ClassCounters {
                started: 1,
                rejected: 1,
                failed: 1,
                attempts: 1
            }
        ]
    );
}
