//! What each outcome allows: a retry, a rejection, a failure.

use super::*;

#[test]
fn non_idempotent_task_is_retried_only_if_it_never_ran() {
    for (outcome, proof) in [
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
    ] {
        let mut placer = TestPlacer::with(with_effect(Idempotency::NonIdempotent), 6);
        let at = only_sent_host(&placer.request(task(1, 1)));
        let actions = placer.end(1, 0, &at, outcome, OutcomeDetail::Unknown);
        assert_eq!(
            sent_hosts(&actions).len(),
            usize::from(proof),
            "{outcome:?}"
        );
        assert_eq!(contains_failure(&actions), !proof, "{outcome:?}");
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
        let at = only_sent_host(&placer.request(task(1, 1)));
        let next = only_sent_host(&placer.end(1, 0, &at, outcome, OutcomeDetail::Unknown));
        assert_ne!(at, next);
    }
}

#[test]
fn task_with_idempotency_key_is_retried_within_the_scope_of_the_key() {
    for (group, same) in [
        (KeyScope::Zone, true),
        (KeyScope::Cell, true),
        (KeyScope::All, false),
    ] {
        for seed in 0..20 {
            let mut placer =
                TestPlacer::with(with_effect(Idempotency::IdempotencyKey { scope: group }), 8);
            let at = only_sent_host(&placer.request(task(1, seed)));
            let next =
                only_sent_host(&placer.end(1, 0, &at, Outcome::Timeout, OutcomeDetail::Unknown));
            let part = |h: &HostId| h.0[1..].parse::<usize>().unwrap() % 2;
            assert!(!same || part(&at) == part(&next));
        }
    }
}

// An offer may wait for its connection as long as one may take, and has to be there before the window is over.
#[test]
fn task_with_idempotency_key_is_not_retried_if_the_attempt_could_wait_past_a_short_window() {
    for (window, sent_after, again) in [
        (400, 140, true),
        (400, 160, false),
        (200, 0, false),
        (2_000, 900, true),
    ] {
        let mut s = with_effect(Idempotency::IdempotencyKey {
            scope: KeyScope::All,
        });
        (s.classes[0].idempotency_window, s.connect_timeout) = (window * MS, 250 * MS);
        let mut placer = TestPlacer::with(s, 3);
        let at = only_sent_host(&placer.request(task(1, 1)));
        placer.now += sent_after * MS;
        let actions = placer.end(1, 0, &at, Outcome::Reset, OutcomeDetail::Unknown);
        assert_eq!(
            !sent_hosts(&actions).is_empty(),
            again,
            "{window} {sent_after}: {actions:?}"
        );
    }
}

#[test]
fn idempotency_window_counts_from_the_first_attempt() {
    let mut s = with_effect(Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
    });
    s.classes[0].idempotency_window = 2 * SECOND;
    let mut placer = TestPlacer::with(s, 8);
    let at = only_sent_host(&placer.request(task(1, 1)));
    assert!(sent_hosts(&without_times(placer.advance(2 * SECOND))).is_empty());
    let mut actions = placer.end(1, 0, &at, Outcome::Timeout, OutcomeDetail::Unknown);
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
