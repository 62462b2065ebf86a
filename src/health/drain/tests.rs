//! Tests of the phases of a drain, with time passed as an argument.

use super::pollers::MAX_POLLERS;
use super::*;

const START: Micros = 100 * SECOND;
const STEP: Micros = 50 * MILLISECOND;

fn agent(name: &str) -> Poller {
    Poller {
        kind: CheckKind::Agent,
        name: name.to_string(),
    }
}

fn http(name: &str) -> Poller {
    Poller {
        kind: CheckKind::Http,
        name: name.to_string(),
    }
}

fn pending_response() -> Outstanding {
    Outstanding {
        pending_responses: 1,
        ..Outstanding::default()
    }
}

fn running_tasks(count: usize) -> Outstanding {
    Outstanding {
        running_tasks: count,
        ..Outstanding::default()
    }
}

/// The time at which a phase began, in milliseconds since `START`, with the phase and the code of its reason.
type Entered = (i64, Phase, &'static str);

/// Advances the drain every 50 ms for `duration`, and returns the phases that it entered. `each` is called before each
/// advance; it may record polls, and returns what is outstanding.
fn run(
    drain: &mut Drain,
    duration: Micros,
    mut each: impl FnMut(&mut Drain, Micros) -> Outstanding,
) -> Vec<Entered> {
    let mut entered = Vec::new();
    for step in 1..=duration / STEP {
        let now = START + step * STEP;
        let outstanding = each(drain, now);
        for effect in drain.advance(now, outstanding) {
            if let Effect::Entered { phase, reason } = effect {
                entered.push(((now - START) / MILLISECOND, phase, reason.as_str()));
            }
        }
    }
    entered
}

/// Returns a drain that began at `START`, with checks that had polled two seconds and one second before.
fn begun(after: AfterDrain, pollers: &[Poller]) -> Drain {
    let mut drain = Drain::new(DrainLimits::default());
    for poller in pollers {
        drain.record_poll(START - 2 * SECOND, poller);
        drain.record_poll(START - SECOND, poller);
    }
    assert_eq!(drain.begin(START, after)[0], Effect::AnnounceDrain);
    drain
}

#[test]
fn announcement_lasts_until_every_load_balancer_that_polls_has_seen_the_drain() {
    let mut drain = begun(AfterDrain::Exit, &[agent("a"), agent("b"), http("c")]);

    let phases = run(&mut drain, 30 * SECOND, |drain, now| {
        let elapsed = now - START;
        // The agent checks poll every second. The HTTP check polls every two seconds and needs three polls.
        if elapsed % SECOND == 0 {
            drain.record_poll(now, &agent("a"));
            drain.record_poll(now, &agent("b"));
        }
        if elapsed % (2 * SECOND) == 0 {
            drain.record_poll(now, &http("c"));
        }
        Outstanding::default()
    });

    assert_eq!(phases[0], (6_500, Phase::ClosingIdle, "all-seen"));
    assert_eq!(drain.phase(), Phase::Finished);
}

#[test]
fn load_balancer_that_stops_polling_is_waited_for_during_four_of_its_intervals() {
    let mut drain = begun(AfterDrain::Exit, &[agent("gone"), agent("here")]);

    let phases = run(&mut drain, 20 * SECOND, |drain, now| {
        if (now - START) % SECOND == 0 {
            drain.record_poll(now, &agent("here"));
        }
        Outstanding::default()
    });

    assert_eq!(phases[0], (3_050, Phase::ClosingIdle, "all-seen"));
}

#[test]
fn load_balancer_that_polls_too_slowly_is_waited_for_up_to_the_limit() {
    // The check needs 3 polls and polls every 4 s, which takes longer than the limit of 10 s.
    let slow = http("slow");
    let mut drain = Drain::new(DrainLimits::default());
    for seconds_before in [9, 5, 1] {
        drain.record_poll(START - seconds_before * SECOND, &slow);
    }
    drain.begin(START, AfterDrain::Exit);

    let phases = run(&mut drain, 20 * SECOND, |drain, now| {
        if (now - START) % (4 * SECOND) == 0 {
            drain.record_poll(now, &slow);
        }
        Outstanding::default()
    });

    assert_eq!(phases[0], (10_000, Phase::ClosingIdle, "notice-bound"));
}

#[test]
fn without_load_balancers_the_announcement_lasts_a_second() {
    let mut drain = begun(AfterDrain::Exit, &[]);

    let phases = run(&mut drain, SECOND, |_, _| Outstanding::default());

    assert_eq!(phases[0], (1_000, Phase::ClosingIdle, "nobody-polls"));
}

#[test]
fn pending_responses_get_their_time_and_running_tasks_are_awaited_and_reported() {
    let mut drain = begun(AfterDrain::Exit, &[]);

    let phases = run(&mut drain, 60 * SECOND, |_, now| {
        let elapsed = now - START;
        Outstanding {
            pending_responses: usize::from(elapsed < 6 * SECOND),
            running_tasks: usize::from(elapsed < 30 * SECOND),
            unreported_ends: usize::from(elapsed < 31 * SECOND),
            unflushed_connections: 0,
        }
    });

    let expected = [
        (1_000, Phase::ClosingIdle, "nobody-polls"),
        (7_000, Phase::AwaitingTasks, "nothing-owed"),
        (31_000, Phase::Drained, "nothing-stands"),
        (31_000, Phase::Finished, "drained"),
    ];
    assert_eq!(phases, expected);
}

#[test]
fn tasks_that_do_not_end_are_left_running_after_the_limit_and_counted() {
    let mut drain = begun(AfterDrain::Exit, &[]);
    let outstanding = running_tasks(3);

    let mut exit = None;
    for step in 1..=4_000 {
        for effect in drain.advance(START + step * STEP, outstanding) {
            if let Effect::Exit { left } = effect {
                exit = Some((step * 50, left));
            }
        }
    }

    assert_eq!(exit, Some((122_000, outstanding)));
}

#[test]
fn second_signal_has_the_module_answer_at_once_and_cannot_be_cancelled() {
    let mut drain = begun(AfterDrain::Exit, &[agent("a")]);

    let effects = drain.begin(START + SECOND, AfterDrain::Exit);

    let answer_all = Effect::AnswerAll { within: 3_300_000 };
    assert!(effects.contains(&answer_all), "{effects:?}");
    assert_eq!(drain.cancel(START + SECOND), Err(TooLateToCancel));
    assert_eq!(drain.begin(START + SECOND, AfterDrain::Exit), []);
}

#[test]
fn process_exits_after_the_final_limit_with_responses_still_pending() {
    let mut drain = begun(AfterDrain::Exit, &[agent("a")]);
    let signalled = START + SECOND;
    drain.begin(signalled, AfterDrain::Exit);
    let pending = pending_response();

    assert_eq!(drain.advance(signalled + 3_450 * MILLISECOND, pending), []);
    let effects = drain.advance(signalled + 3_500 * MILLISECOND, pending);

    assert_eq!(effects.last(), Some(&Effect::Exit { left: pending }));
}

#[test]
fn drain_by_command_exits_only_after_a_signal() {
    let mut drain = begun(AfterDrain::Wait, &[]);
    run(&mut drain, 20 * SECOND, |_, _| Outstanding::default());
    assert_eq!(drain.phase(), Phase::Drained);

    assert_eq!(drain.begin(START + 21 * SECOND, AfterDrain::Exit), []);
    let effects = drain.advance(START + 21 * SECOND, Outstanding::default());

    assert_eq!(
        effects,
        [
            Effect::Entered {
                phase: Phase::Finished,
                reason: PhaseReason::Drained
            },
            Effect::Exit {
                left: Outstanding::default()
            }
        ]
    );
}

#[test]
fn request_that_is_never_answered_does_not_end_a_drain_by_command() {
    let mut drain = begun(AfterDrain::Wait, &[]);

    let phases = run(&mut drain, 60 * SECOND, |_, _| pending_response());

    assert_eq!(
        phases.last().map(|(_, phase, reason)| (*phase, *reason)),
        Some((Phase::AwaitingTasks, "answer-bound"))
    );
    assert_eq!(drain.phase(), Phase::AwaitingTasks);
}

#[test]
fn drain_can_be_cancelled_in_every_phase_before_the_last_and_begin_again() {
    for (steps, phase) in [
        (1, Phase::Announcing),
        (25, Phase::ClosingIdle),
        (45, Phase::AwaitingTasks),
    ] {
        let mut drain = begun(AfterDrain::Exit, &[]);
        run(&mut drain, steps * STEP, |_, _| running_tasks(1));
        assert_eq!(drain.phase(), phase);

        let effects = drain.cancel(START + 10 * SECOND);

        let effects = effects.expect("the drain can be cancelled");
        assert!(effects.contains(&Effect::WithdrawDrain));
        assert!(effects.contains(&Effect::StopClosingIdle));
        assert_eq!((drain.phase(), drain.exits()), (Phase::Idle, false));
        // Answers of the cancelled drain do not count for the next one.
        drain.record_poll(START + 10 * SECOND, &agent("a"));
        drain.begin(START + 11 * SECOND, AfterDrain::Exit);
        assert_eq!(
            drain.pollers(START + 11 * SECOND),
            PollerCount {
                live: 1,
                notified: 0
            }
        );
    }
}

#[test]
fn number_of_tracked_pollers_is_limited_and_the_least_recent_is_forgotten() {
    let mut drain = Drain::new(DrainLimits::default());

    for n in 0..1_000 {
        drain.record_poll(START + n, &agent(&n.to_string()));
    }

    assert_eq!(drain.pollers.len(), MAX_POLLERS);
    assert!(drain.pollers.contains(&agent("999")));
    assert!(!drain.pollers.contains(&agent("1")));
}
