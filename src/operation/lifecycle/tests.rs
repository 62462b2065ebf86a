//! Tests of `lifecycle.rs`.

use super::*;

/// Plays events at their times (ms) with a look each 50 ms: the effects and when they came.
fn play(events: &[(Micros, Event)], until: Micros) -> Vec<(Micros, Effect)> {
    let (mut duty, mut effects) = (Duty::default(), Vec::new());
    for at in (0..=until).step_by(50) {
        let due = events
            .iter()
            .filter(|(when, _)| *when == at)
            .map(|(_, event)| *event);
        for event in due.chain([Event::Look]) {
            let serving = duty.serves();
            effects.extend(duty.handle(at * MILLI, event).map(|effect| (at, effect)));
            assert!(
                event != Event::Asked || duty.serves() == serving,
                "a question changes nothing"
            );
        }
    }
    effects
}

#[test]
fn connections_go_once_the_front_has_heard_and_what_crossed_has_come() {
    let heard = [
        (100, Event::DrainOn),
        (150, Event::Asked),
        (250, Event::Asked),
    ];
    assert_eq!(
        play(&heard, 2_000),
        [(400, Effect::Empty(true))],
        "the first no counts"
    );
    assert_eq!(
        play(&[(100, Event::DrainOn)], 2_000),
        [(700, Effect::Empty(true))],
        "nobody asks"
    );
    let back = [
        (100, Event::DrainOn),
        (150, Event::Asked),
        (1_000, Event::DrainOff),
    ];
    assert_eq!(
        play(&back, 2_000),
        [(400, Effect::Empty(true)), (1_000, Effect::Empty(false))]
    );
}

#[test]
fn a_process_that_leaves_gives_every_client_its_time_and_is_over_before_the_platform_ends_it() {
    for (longest, answer, end) in [
        (2_000, 2_350, 2_550),
        (5_000, 5_350, 5_550),
        (60_000, 5_350, 5_550),
    ] {
        let mut duty = Duty::default();
        let effect = duty.handle(MILLI, Event::Leave(longest * MILLI));
        assert_eq!(effect, Some(Effect::Leave(answer * MILLI)));
        assert!(answer >= longest.min(5_000) && end < longest.min(5_000) + 700);
        assert!(!duty.overdue(end * MILLI) && duty.overdue((end + 1) * MILLI));
        for event in [
            Event::DrainOn,
            Event::DrainOff,
            Event::Look,
            Event::Leave(0),
        ] {
            assert_eq!(duty.handle(9_000 * MILLI, event), None, "{event:?}");
            assert!(duty.leaves() && !duty.serves() && duty.empties());
        }
    }
    for before in [Event::DrainOn, Event::Asked, Event::DrainOff] {
        let mut duty = Duty::default();
        duty.handle(0, before);
        assert!(
            duty.handle(1, Event::Leave(0)).is_some() && duty.leaves(),
            "{before:?}"
        );
    }
}

#[test]
fn orders_given_twice_or_taken_back_early_change_nothing_more() {
    let twice = [
        (0, Event::DrainOn),
        (50, Event::Asked),
        (300, Event::DrainOn),
        (500, Event::DrainOn),
    ];
    assert_eq!(play(&twice, 2_000), [(300, Effect::Empty(true))]);
    assert_eq!(
        play(&[(0, Event::DrainOn), (50, Event::DrainOff)], 2_000),
        []
    );
    assert_eq!(play(&[(0, Event::DrainOff), (50, Event::Asked)], 2_000), []);
    // A no of an earlier drain is no no of this one.
    let again = [
        (0, Event::DrainOn),
        (0, Event::Asked),
        (50, Event::DrainOff),
        (1_000, Event::DrainOn),
        (1_500, Event::Asked),
    ];
    assert_eq!(play(&again, 3_000), [(1_600, Effect::Empty(true))]);
}
