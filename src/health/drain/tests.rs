//! Tests of `drain.rs`.

use super::*;

const MS: Micros = 1_000;
const START: Micros = 100 * SECOND;

fn agent(name: &str) -> Poller {
    Poller(Check::Agent, name.to_string())
}

/// Runs by 50 ms; `each` polls and tells what is in hand. Answers the phases with their times.
fn run(
    drain: &mut Drain,
    span: Micros,
    mut each: impl FnMut(&mut Drain, Micros) -> Hand,
) -> Vec<(Micros, Phase, &'static str)> {
    let mut entered = Vec::new();
    for n in 1..=span / (50 * MS) {
        let now = START + n * 50 * MS;
        let hand = each(drain, now);
        for effect in drain.look(now, hand) {
            if let Effect::Entered(phase, why) = effect {
                entered.push(((now - START) / MS, phase, why));
            }
        }
    }
    entered
}

fn begun(exit: bool, pollers: &[Poller]) -> Drain {
    let mut drain = Drain::new(Bounds::default());
    for poller in pollers {
        drain.polled(START - 2 * SECOND, poller.clone());
        drain.polled(START - SECOND, poller.clone());
    }
    assert_eq!(drain.begin(START, exit)[0], Effect::Tell(true));
    drain
}

#[test]
fn it_waits_until_every_balancer_that_polls_has_seen_it() {
    let pollers = [agent("a"), agent("b"), Poller(Check::Http, "c".into())];
    let mut drain = begun(true, &pollers);
    let phases = run(&mut drain, 30 * SECOND, |drain, now| {
        let after = now - START;
        // The agents poll each second, the HTTP check every two and needs three.
        if after % SECOND == 0 {
            drain.polled(now, agent("a"));
            drain.polled(now, agent("b"));
        }
        if after % (2 * SECOND) == 0 {
            drain.polled(now, Poller(Check::Http, "c".into()));
        }
        Hand::default()
    });
    assert_eq!(phases[0], (6_500, Phase::Closing, "all-seen"));
    assert_eq!(drain.phase(), Phase::Over);
}

#[test]
fn a_balancer_that_is_gone_is_not_waited_for_and_one_that_never_sees_it_only_so_long() {
    let mut drain = begun(true, &[agent("gone"), agent("here")]);
    let poll = |drain: &mut Drain, now: Micros| {
        if (now - START) % SECOND == 0 {
            drain.polled(now, agent("here"));
        }
        Hand::default()
    };
    let phases = run(&mut drain, 20 * SECOND, poll);
    assert_eq!(
        phases[0],
        (3_050, Phase::Closing, "all-seen"),
        "four of its intervals"
    );
    // A slow HTTP check needs 3 polls of 4 s, more than is waited.
    let slow = Poller(Check::Http, "slow".into());
    let mut drain = Drain::new(Bounds::default());
    for before in [9, 5, 1] {
        drain.polled(START - before * SECOND, slow.clone());
    }
    drain.begin(START, true);
    let phases = run(&mut drain, 20 * SECOND, |drain, now| {
        if (now - START) % (4 * SECOND) == 0 {
            drain.polled(now, slow.clone());
        }
        Hand::default()
    });
    assert_eq!(phases[0], (10_000, Phase::Closing, "notice-bound"));
    let mut drain = begun(true, &[]);
    assert_eq!(
        run(&mut drain, SECOND, |_, _| Hand::default())[0],
        (1_000, Phase::Closing, "nobody-polls")
    );
}

#[test]
fn asks_are_left_their_time_and_standing_tasks_are_waited_for_and_told() {
    let mut drain = begun(true, &[]);
    let phases = run(&mut drain, 60 * SECOND, |_, now| {
        let after = now - START;
        Hand {
            owed: usize::from(after < 6 * SECOND),
            standing: usize::from(after < 30 * SECOND),
            untold: usize::from(after < 31 * SECOND),
            unflushed: 0,
        }
    });
    let expected = [
        (1_000, Phase::Closing, "nobody-polls"),
        (7_000, Phase::Standing, "nothing-owed"),
        (31_000, Phase::Drained, "nothing-stands"),
        (31_000, Phase::Over, "drained"),
    ];
    assert_eq!(phases, expected);
}

#[test]
fn standing_tasks_that_do_not_end_are_left_at_a_bound_and_counted() {
    let mut drain = begun(true, &[]);
    let hand = Hand {
        standing: 3,
        ..Hand::default()
    };
    let mut left = None;
    for n in 1..=4_000 {
        for effect in drain.look(START + n * 50 * MS, hand) {
            if let Effect::Exit(hand) = effect {
                left = Some((n * 50, hand));
            }
        }
    }
    assert_eq!(left, Some((122_000, hand)));
}

#[test]
fn a_second_signal_has_the_module_answer_at_once_and_can_not_be_taken_back() {
    let mut drain = begun(true, &[agent("a")]);
    let effects = drain.begin(START + SECOND, true);
    assert!(effects.contains(&Effect::Answer(3_300_000)), "{effects:?}");
    assert_eq!(drain.cancel(START + SECOND), (false, vec![]));
    assert_eq!(drain.begin(START + SECOND, true), []);
    // Owed to the end: the process ends all the same.
    let owed = Hand {
        owed: 1,
        ..Hand::default()
    };
    assert_eq!(drain.look(START + SECOND + 3_450 * MS, owed), []);
    let last = drain.look(START + SECOND + 3_500 * MS, owed);
    assert_eq!(last.last(), Some(&Effect::Exit(owed)));
}

#[test]
fn an_order_to_drain_does_not_end_the_process_until_a_signal_comes() {
    let mut drain = begun(false, &[]);
    run(&mut drain, 20 * SECOND, |_, _| Hand::default());
    assert_eq!(drain.phase(), Phase::Drained);
    assert_eq!(drain.begin(START + 21 * SECOND, true), []);
    let effects = drain.look(START + 21 * SECOND, Hand::default());
    assert_eq!(
        effects,
        [
            Effect::Entered(Phase::Over, "drained"),
            Effect::Exit(Hand::default())
        ]
    );
    // An ask that is never answered does not end a process that was only told to drain.
    let mut drain = begun(false, &[]);
    let phases = run(&mut drain, 60 * SECOND, |_, _| Hand {
        owed: 1,
        ..Hand::default()
    });
    assert_eq!(
        phases.last().map(|p| (p.1, p.2)),
        Some((Phase::Standing, "answer-bound"))
    );
    assert_eq!(drain.phase(), Phase::Standing);
}

#[test]
fn ready_takes_a_drain_back_in_every_phase_but_the_last() {
    for (looks, phase) in [
        (1, Phase::Telling),
        (25, Phase::Closing),
        (45, Phase::Standing),
    ] {
        let mut drain = begun(true, &[]);
        run(&mut drain, looks * 50 * MS, |_, _| Hand {
            standing: 1,
            ..Hand::default()
        });
        assert_eq!(drain.phase(), phase);
        let (taken, effects) = drain.cancel(START + 10 * SECOND);
        assert!(
            taken
                && effects.contains(&Effect::Tell(false))
                && effects.contains(&Effect::CloseIdle(false))
        );
        assert_eq!((drain.phase(), drain.exits()), (Phase::Idle, false));
        // It can begin again, and balancers must see it again.
        drain.polled(START + 10 * SECOND, agent("a"));
        drain.begin(START + 11 * SECOND, true);
        assert_eq!(drain.pollers(START + 11 * SECOND), (1, 0));
    }
}

#[test]
fn pollers_are_bounded() {
    let mut drain = Drain::new(Bounds::default());
    for n in 0..1_000 {
        drain.polled(START + n, agent(&n.to_string()));
    }
    assert_eq!(drain.pollers.len(), MOST_POLLERS);
    assert!(drain.pollers.contains_key(&agent("999")) && !drain.pollers.contains_key(&agent("1")));
}
