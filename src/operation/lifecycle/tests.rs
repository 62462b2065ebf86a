//! Tests of the lifecycle.

use super::*;

/// The interval between the ticks of [`run_events`].
const TICK_MS: usize = 50;

fn shutdown(longest_client_wait: Micros) -> Event {
    Event::ShutdownRequested {
        longest_client_wait,
    }
}

/// Applies events at their times (ms) with a tick every 50 ms, and returns the effects with their times (ms).
fn run_events(events: &[(Micros, Event)], end_ms: Micros) -> Vec<(Micros, Effect)> {
    let mut lifecycle = Lifecycle::default();
    let mut effects = Vec::new();
    for at in (0..=end_ms).step_by(TICK_MS) {
        let due_events = events
            .iter()
            .filter(|(when, _)| *when == at)
            .map(|(_, event)| *event);
        for event in due_events.chain([Event::Tick]) {
            let was_serving = lifecycle.is_serving();
            let effect = lifecycle.handle(at * MILLISECOND, event);
            effects.extend(effect.map(|effect| (at, effect)));
            assert!(
                event != Event::Checked || lifecycle.is_serving() == was_serving,
                "a health check does not change whether the process is serving"
            );
        }
    }
    effects
}

#[test]
fn draining_starts_once_the_first_failed_check_has_propagated() {
    let events = [
        (100, Event::DrainRequested),
        (150, Event::Checked),
        (250, Event::Checked),
    ];

    let effects = run_events(&events, 2_000);

    assert_eq!(
        effects,
        [(400, Effect::StartClosingIdle)],
        "draining starts 250 ms after the first failed check"
    );
}

#[test]
fn draining_starts_without_any_check_after_the_notice_time() {
    let effects = run_events(&[(100, Event::DrainRequested)], 2_000);

    assert_eq!(
        effects,
        [(700, Effect::StartClosingIdle)],
        "draining starts although no check arrives"
    );
}

#[test]
fn cancelling_a_drain_stops_closing_idle_connections() {
    let events = [
        (100, Event::DrainRequested),
        (150, Event::Checked),
        (1_000, Event::DrainCancelled),
    ];

    let effects = run_events(&events, 2_000);

    assert_eq!(
        effects,
        [
            (400, Effect::StartClosingIdle),
            (1_000, Effect::StopClosingIdle)
        ]
    );
}

#[test]
fn shutdown_gives_every_client_its_wait_and_exits_before_the_platform_kills_the_process() {
    for (longest_wait, answer_within, exit_after) in [
        (2_000, 2_350, 2_550),
        (5_000, 5_350, 5_550),
        (60_000, 5_350, 5_550),
    ] {
        let mut lifecycle = Lifecycle::default();

        let effect = lifecycle.handle(MILLISECOND, shutdown(longest_wait * MILLISECOND));

        assert_eq!(
            effect,
            Some(Effect::ShutDown {
                answer_within: answer_within * MILLISECOND
            })
        );
        let counted_wait = longest_wait.min(5_000);
        assert!(answer_within >= counted_wait && exit_after < counted_wait + 700);
        assert!(!lifecycle.exit_is_overdue(exit_after * MILLISECOND));
        assert!(lifecycle.exit_is_overdue((exit_after + 1) * MILLISECOND));
    }
}

#[test]
fn shutdown_cannot_be_cancelled() {
    for longest_wait in [2_000, 5_000, 60_000] {
        let mut lifecycle = Lifecycle::default();
        lifecycle.handle(MILLISECOND, shutdown(longest_wait * MILLISECOND));

        for event in [
            Event::DrainRequested,
            Event::DrainCancelled,
            Event::Tick,
            shutdown(0),
        ] {
            let effect = lifecycle.handle(9_000 * MILLISECOND, event);

            assert_eq!(effect, None, "{event:?}");
            assert!(lifecycle.is_shutting_down() && !lifecycle.is_serving());
            assert!(lifecycle.closes_idle_connections());
        }
    }
}

#[test]
fn shutdown_is_accepted_whatever_happened_before() {
    for before in [Event::DrainRequested, Event::Checked, Event::DrainCancelled] {
        let mut lifecycle = Lifecycle::default();
        lifecycle.handle(0, before);

        let effect = lifecycle.handle(1, shutdown(0));

        assert!(
            effect.is_some() && lifecycle.is_shutting_down(),
            "{before:?}"
        );
    }
}

#[test]
fn repeated_drain_requests_have_no_further_effect() {
    let events = [
        (0, Event::DrainRequested),
        (50, Event::Checked),
        (300, Event::DrainRequested),
        (500, Event::DrainRequested),
    ];

    let effects = run_events(&events, 2_000);

    assert_eq!(effects, [(300, Effect::StartClosingIdle)]);
}

#[test]
fn drain_cancelled_early_or_without_a_request_has_no_effect() {
    let cancelled_early = [(0, Event::DrainRequested), (50, Event::DrainCancelled)];
    assert_eq!(run_events(&cancelled_early, 2_000), []);

    let never_requested = [(0, Event::DrainCancelled), (50, Event::Checked)];
    assert_eq!(run_events(&never_requested, 2_000), []);
}

#[test]
fn failed_check_of_an_earlier_drain_does_not_count() {
    let events = [
        (0, Event::DrainRequested),
        (0, Event::Checked),
        (50, Event::DrainCancelled),
        (1_000, Event::DrainRequested),
        (1_500, Event::Checked),
    ];

    let effects = run_events(&events, 3_000);

    assert_eq!(effects, [(1_600, Effect::StartClosingIdle)]);
}
