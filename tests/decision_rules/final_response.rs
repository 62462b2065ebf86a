//! Tests that each request gets exactly one final response, in time.

use super::*;

#[test]
fn without_hosts_a_request_is_rejected_in_time_and_nothing_is_sent() {
    let mut placer = TestPlacer::with(settings(), 0);
    assert!(placer.request(task(1, 1)).is_empty());
    let start = placer.now;
    let later_actions = placer.advance(20 * SECOND);
    let responses: Vec<_> = later_actions
        .iter()
        .filter(|(_, a)| matches!(a, Action::Reject { .. }))
        .collect();
    assert_eq!(responses.len(), 1);
    assert!(responses[0].0 <= start + 5 * SECOND && responses[0].0 > start + 4 * SECOND);
    assert!(sent_hosts(&without_times(later_actions)).is_empty());
}

#[test]
fn non_idempotent_task_without_answer_fails_in_time_and_is_not_retried() {
    let mut placer = TestPlacer::with(with_idempotency(Idempotency::NonIdempotent), 3);
    let start = placer.now;
    only_sent_host(&placer.request(task(1, 1)));
    let later_actions = placer.advance(20 * SECOND);
    let responses: Vec<_> = later_actions
        .iter()
        .filter(|(_, a)| matches!(a, Action::Fail { .. } | Action::Reject { .. }))
        .collect();
    assert_eq!(responses.len(), 1);
    assert!(matches!(responses[0].1, Action::Fail { .. }) && responses[0].0 <= start + 5 * SECOND);
    assert!(sent_hosts(&without_times(later_actions)).is_empty());
}

#[test]
fn attempts_stay_within_the_limit_if_all_hosts_reject() {
    let mut placer = TestPlacer::with(settings(), 9);
    let mut actions = placer.request(task(1, 1));
    for attempt in 0..3 {
        let at = only_sent_host(&actions);
        actions = placer.end(1, attempt, &at, Outcome::Rejected, OutcomeDetail::QueueFull);
    }
    assert!(contains_rejection(&actions) && sent_hosts(&actions).is_empty());
    assert!(
        !without_times(placer.advance(20 * SECOND))
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::SendAttempt { .. }))
    );
}

#[test]
fn no_allowed_attempts_means_immediate_rejection() {
    let mut s = settings();
    s.max_attempts = 0;
    let mut placer = TestPlacer::with(s, 3);
    let actions = placer.request(task(1, 1));
    assert!(contains_rejection(&actions) && sent_hosts(&actions).is_empty());
}

#[test]
fn zero_time_budget_is_rejected_at_once_and_not_sent() {
    let mut placer = TestPlacer::with(settings(), 3);
    let mut t = task(1, 1);
    t.time_budget = 0;
    assert!(sent_hosts(&placer.request(t)).is_empty());
    assert!(contains_rejection(&without_times(placer.advance(4 * MS))));
}

#[test]
fn cancelled_request_gets_no_response() {
    let mut placer = TestPlacer::with(settings(), 0);
    placer.request(task(1, 1));
    placer.handle(Event::TaskCancelled(request_id(1)));
    placer.handle(Event::TaskCancelled(request_id(1)));
    let later_actions = without_times(placer.advance(20 * SECOND));
    assert!(!contains_rejection(&later_actions) && !contains_failure(&later_actions));
}

#[test]
fn rejection_carries_retry_after_if_the_deployment_allows_it() {
    for (allows_retry_after, max_retry_after, expected) in [
        (true, 3 * SECOND, SECOND),
        (true, SECOND / 2, SECOND / 2),
        (false, SECOND, 0),
    ] {
        let mut s = settings();
        (s.allows_retry_after, s.max_retry_after) = (allows_retry_after, max_retry_after);
        let mut placer = TestPlacer::with(s, 0);
        placer.request(task(1, 1));
        let actions = without_times(placer.advance(20 * SECOND));
        assert_eq!(
            actions,
            [Action::Reject {
                id: request_id(1),
                retry_after: expected
            }]
        );
    }
}

#[test]
fn graceful_shutdown_answers_all_pending_requests_in_time() {
    let mut placer = TestPlacer::with(with_idempotency(Idempotency::NonIdempotent), 3);
    let host = only_sent_host(&placer.request(task(1, 1)));
    placer.start(1, 0, &host);
    only_sent_host(&placer.request(task(2, 2)));
    placer.handle(Event::ShutdownRequested(SECOND));
    let start = placer.now;
    only_sent_host(&placer.request(task(3, 3)));
    let later_actions = placer.advance(20 * SECOND);
    // The first request is placed, so no response is pending for it. The attempts of the other two are in flight and
    // may have run.
    let failed: Vec<_> = later_actions
        .iter()
        .filter(|(_, a)| matches!(a, Action::Fail { .. }))
        .collect();
    assert_eq!(failed.len(), 2, "{later_actions:?}");
    assert!(
        failed.iter().all(|(at, _)| *at <= start + SECOND),
        "{failed:?}"
    );
    assert!(!contains_rejection(&without_times(later_actions)));
}
