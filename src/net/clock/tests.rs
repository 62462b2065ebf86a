//! Tests of `clock.rs`.

use super::*;

const SECOND: Micros = 1_000_000;

/// Reads the clock every 2 ms for so long, with the system's clock stepped at the beginning: how far it has
/// moved from an even course, and how far it still is from the system's.
fn run(step: Micros, length: Micros) -> (Micros, Micros) {
    let start = 1_000_000 * SECOND;
    let mut told = follow(None, 0, || start);
    for run in (2_000..=length).step_by(2_000) {
        let before = told.at;
        told = follow(Some(told), run, || start + step + run);
        let passed = told.at - before;
        assert!(
            (0..=2_000 + CHECK / SLEW).contains(&passed),
            "{passed} in 2 ms"
        );
    }
    (told.at - start - length, start + step + length - told.at)
}

#[test]
fn a_step_of_the_systems_clock_is_followed_slowly_and_time_goes_on() {
    for step in [-5 * SECOND, 5 * SECOND] {
        let (moved, left) = run(step, SECOND);
        assert!(
            moved != 0 && moved.abs() <= SECOND / SLEW && left.abs() >= 4 * SECOND,
            "{step}: {moved} {left}"
        );
        let (_, left) = run(step, 300 * SECOND);
        assert!(left.abs() < 2_000, "{step}: made up for, but for {left}");
    }
    assert_eq!(run(0, SECOND), (0, 0));
    // A stall is time that has passed.
    let before = Told {
        at: 42,
        run: 7,
        checked: 7,
    };
    assert_eq!(
        follow(Some(before), 7 + 9 * SECOND, || 42 + 9 * SECOND).at,
        42 + 9 * SECOND
    );
}
