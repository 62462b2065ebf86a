//! Tests whether a retry, a rejection or a failure may follow each outcome of an attempt.

use super::*;

#[test]
fn non_idempotent_task_is_retried_only_if_it_never_ran() {
    for (outcome, never_ran) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
    ] {
        let mut placer = TestPlacer::with(with_idempotency(Idempotency::NonIdempotent), 6);
        let first = only_sent_host(&placer.request(task(1, 1)));
        let actions = placer.end(1, 0, &first, outcome, OutcomeDetail::Unknown);
        assert_eq!(
            sent_hosts(&actions).len(),
            usize::from(never_ran),
            "{outcome:?}"
        );
        assert_eq!(contains_failure(&actions), !never_ran, "{outcome:?}");
        assert!(!contains_rejection(&actions), "{outcome:?}");
    }
}

#[test]
fn idempotent_task_is_retried_on_another_host() {
    for outcome in [
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
        Outcome::Rejected,
    ] {
        let mut placer = TestPlacer::with(settings(), 6);
        let first = only_sent_host(&placer.request(task(1, 1)));
        let second = only_sent_host(&placer.end(1, 0, &first, outcome, OutcomeDetail::Unknown));
        assert_ne!(first, second);
    }
}

#[test]
fn task_with_idempotency_key_is_retried_within_the_scope_of_the_key() {
    for (key_scope, stays_in_domain) in [
        (KeyScope::Zone, true),
        (KeyScope::Cell, true),
        (KeyScope::All, false),
    ] {
        for seed in 0..20 {
            let mut placer = TestPlacer::with(
                with_idempotency(Idempotency::IdempotencyKey { scope: key_scope }),
                8,
            );
            let first = only_sent_host(&placer.request(task(1, seed)));
            let second =
                only_sent_host(&placer.end(1, 0, &first, Outcome::Timeout, OutcomeDetail::Unknown));
            let domain = |h: &HostId| h.0[1..].parse::<usize>().unwrap() % 2;
            assert!(!stays_in_domain || domain(&first) == domain(&second));
        }
    }
}

/// Guards against a retry that arrives after the hosts have forgotten its key: an attempt may wait for its connection
/// for up to the connect timeout.
#[test]
fn task_with_idempotency_key_is_not_retried_if_the_attempt_could_wait_past_a_short_window() {
    for (window, sent_after, is_retried) in [
        (400, 140, true),
        (400, 160, false),
        (200, 0, false),
        (2_000, 900, true),
    ] {
        let mut s = with_idempotency(Idempotency::IdempotencyKey {
            scope: KeyScope::All,
        });
        (s.classes[0].idempotency_window, s.connect_timeout) = (window * MS, 250 * MS);
        let mut placer = TestPlacer::with(s, 3);
        let first = only_sent_host(&placer.request(task(1, 1)));
        placer.now += sent_after * MS;
        let actions = placer.end(1, 0, &first, Outcome::Reset, OutcomeDetail::Unknown);
        assert_eq!(
            !sent_hosts(&actions).is_empty(),
            is_retried,
            "window of {window} ms, retry after {sent_after} ms: {actions:?}"
        );
    }
}

#[test]
fn idempotency_window_counts_from_the_first_attempt() {
    let mut s = with_idempotency(Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
    });
    s.classes[0].idempotency_window = 2 * SECOND;
    let mut placer = TestPlacer::with(s, 8);
    let first = only_sent_host(&placer.request(task(1, 1)));
    assert!(sent_hosts(&without_times(placer.advance(2 * SECOND))).is_empty());
    let mut actions = placer.end(1, 0, &first, Outcome::Timeout, OutcomeDetail::Unknown);
    actions.extend(without_times(placer.advance(10 * SECOND)));
    assert!(sent_hosts(&actions).is_empty());
    assert!(contains_failure(&actions) && !contains_rejection(&actions));
}

#[test]
fn second_attempt_waits_for_the_outcome_of_the_first() {
    let mut placer = TestPlacer::with(settings(), 6);
    only_sent_host(&placer.request(task(1, 1)));
    assert!(sent_hosts(&without_times(placer.advance(4 * SECOND))).is_empty());
}
