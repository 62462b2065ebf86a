//! Tests of the weight controller.

use super::*;

const UPDATE_INTERVAL: Micros = 250_000;

fn controller(start: f64) -> WeightController {
    WeightController::new(WeightPolicy::default(), start, 0)
}

/// Updates the weight `updates` times after `from`, and returns the weight published after each update.
fn run(
    weight: &mut WeightController,
    from: Micros,
    updates: i64,
    target: f64,
    cause: Signal,
) -> Vec<u8> {
    (1..=updates)
        .map(|n| {
            weight.update(from + n * UPDATE_INTERVAL, target, Some(cause), 0);
            weight.published()
        })
        .collect()
}

#[test]
fn weight_falls_by_halves_with_pauses_and_further_at_first_if_only_this_placer_is_the_cause() {
    let published = run(&mut controller(100.0), 0, 16, 0.0, Signal::LoopLate);

    assert_eq!(&published[..6], [30, 30, 15, 15, 8, 8]);
}

#[test]
fn weight_falls_by_halves_from_the_first_on_if_the_fleet_may_be_the_cause() {
    let published = run(&mut controller(100.0), 0, 4, 0.0, Signal::RequestAge);

    assert_eq!(published, [50, 50, 25, 25]);
}

#[test]
fn weight_never_falls_below_the_minimum() {
    let published = run(&mut controller(100.0), 0, 4, 0.0, Signal::RequestAge);

    assert!(published.iter().all(|weight| *weight >= 5));
}

#[test]
fn weight_holds_after_a_fall_then_rises_in_steps_and_slowly_near_the_ceiling() {
    let mut weight = controller(80.0);
    run(&mut weight, 0, 1, 40.0, Signal::LoopLate);

    let published = run(&mut weight, UPDATE_INTERVAL, 60, 100.0, Signal::LoopLate);

    assert_eq!(published[6], 40, "the weight is held for 2 s");
    let at = |n: usize| f64::from(published[n]);
    assert!(
        at(12) >= 45.0,
        "the weight then rises by 10 a second: {published:?}"
    );
    assert!(
        at(56) < 65.0,
        "the weight rises slowly near the ceiling: {published:?}"
    );
    assert!(published.windows(2).all(|pair| pair[1] >= pair[0]));
}

#[test]
fn each_rise_that_ends_in_a_fall_doubles_the_wait_for_the_next() {
    let mut weight = controller(100.0);
    let (mut now, mut waits) = (0, Vec::new());
    for _ in 0..6 {
        while !(weight.update(now, 20.0, Some(Signal::RequestAge), 0)) {
            now += UPDATE_INTERVAL;
        }
        let (fell_at, low) = (now, weight.published());
        while weight.published() <= low {
            now += UPDATE_INTERVAL;
            weight.update(now, 100.0, None, 0);
        }
        waits.push((now - fell_at) / SECOND);
        // Lets the weight rise further until it may fall again.
        for _ in 0..40 {
            now += UPDATE_INTERVAL;
            weight.update(now, 100.0, None, 0);
        }
    }

    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
    assert!(
        waits.last() >= Some(&30) && waits.first() <= Some(&4),
        "{waits:?}"
    );
}

#[test]
fn target_slightly_below_the_weight_changes_nothing() {
    let published = run(&mut controller(80.0), 0, 40, 76.0, Signal::LoopLate);

    assert!(published.iter().all(|weight| *weight == 80));
}

// Guards against a change that load balancers cannot see: a fall after a rise that was not published yet was reported
// as a change of the weight from 10 to 10.
#[test]
fn fall_to_the_published_weight_is_no_change() {
    let mut weight = controller(10.0);
    run(&mut weight, 0, 2, 14.9, Signal::RequestAge);
    assert_eq!(
        weight.published(),
        10,
        "the rise is too small to be published"
    );

    let has_changed = weight.update(3 * UPDATE_INTERVAL, 9.7, Some(Signal::RequestAge), 0);

    assert_eq!((has_changed, weight.published()), (false, 10));
}
