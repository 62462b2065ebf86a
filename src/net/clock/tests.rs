//! Tests of `clock.rs`.

use super::*;

const SECOND: Micros = 1_000_000;

/// Reads the clock every 2 ms for `length`, with the system's clock stepped at the beginning. Returns how far it has moved
/// from an even course, and how far it still is from the system's.
fn follow_step(step: Micros, length: Micros) -> (Micros, Micros) {
    let start = 1_000_000 * SECOND;
    let mut reading = next_reading(None, 0, || start);
    for monotonic in (2_000..=length).step_by(2_000) {
        let before = reading.time;
        reading = next_reading(Some(reading), monotonic, || start + step + monotonic);
        let passed = reading.time - before;
        assert!(
            (0..=2_000 + UNIX_CHECK_INTERVAL / MAX_SLEW_DIVISOR).contains(&passed),
            "{passed} in 2 ms"
        );
    }
    let moved = reading.time - start - length;
    let left = start + step + length - reading.time;
    (moved, left)
}

#[test]
fn step_of_the_systems_clock_is_followed_slowly_until_it_is_made_up_for() {
    for step in [-5 * SECOND, 5 * SECOND] {
        let (moved, left) = follow_step(step, SECOND);
        assert!(
            moved != 0 && moved.abs() <= SECOND / MAX_SLEW_DIVISOR && left.abs() >= 4 * SECOND,
            "{step}: {moved} {left}"
        );

        let (_, left) = follow_step(step, 300 * SECOND);
        assert!(left.abs() < 2_000, "{step}: made up for, but for {left}");
    }
}

#[test]
fn clock_without_a_step_advances_evenly() {
    assert_eq!(follow_step(0, SECOND), (0, 0));
}

#[test]
fn stall_of_the_process_counts_as_time_that_has_passed() {
    let before = Reading {
        time: 42,
        monotonic: 7,
        unix_checked_at: 7,
    };

    let after = next_reading(Some(before), 7 + 9 * SECOND, || 42 + 9 * SECOND);

    assert_eq!(after.time, 42 + 9 * SECOND);
}
