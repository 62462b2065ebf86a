//! Tests of `Clock`: its time while the system's Unix clock is stepped or the process stalls, and the conversion of
//! Unix times.

use super::*;
use std::time::Duration;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const NOW: Micros = 1_000_000 * SECOND;

#[test]
fn clock_starts_at_the_unix_time_and_advances_with_the_monotonic_clock() {
    let unix_before = unix_now();
    let clock = Clock::default();

    let (first, started_at) = (clock.now(), Instant::now());
    while started_at.elapsed().as_millis() < 20 {}
    let passed = clock.now() - first;

    assert!((0..SECOND).contains(&(first - unix_before)), "{first}");
    let elapsed = Micros::try_from(started_at.elapsed().as_micros())
        .expect("the elapsed time does not fit into Micros");
    assert!((20_000..=elapsed + 1_000).contains(&passed), "{passed}");
}

#[test]
fn step_of_the_systems_unix_clock_changes_no_span() {
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        // Simulates a step of the Unix clock since the start of the process ten seconds ago.
        let started_at = Instant::now()
            .checked_sub(Duration::from_secs(10))
            .expect("the machine has not been up for long enough");
        let clock = Clock {
            started_at,
            unix_at_start: unix_now() - 10 * SECOND - step,
        };

        let span = clock.now() - clock.unix_at_start;

        let error = span - 10 * SECOND;
        assert!((0..SECOND).contains(&error), "{step}: {span}");
    }
}

#[test]
fn unix_time_is_taken_as_it_is_without_a_step() {
    let started = NOW - 2 * SECOND;

    assert_eq!(convert_unix(started, NOW, NOW), started);
    assert_eq!(convert_unix(started, NOW, NOW + MAX_DRIFT), started);
    assert_eq!(convert_unix(NOW + SECOND, NOW, NOW), NOW + SECOND);
}

#[test]
fn recent_start_stays_recent_after_a_step_of_this_clock_or_of_all_clocks() {
    for step in [-HOUR, -5 * SECOND, 5 * SECOND, HOUR] {
        let started = NOW - 2 * SECOND;
        // The time is stated by a machine whose clock was not stepped, or by one whose clock was stepped as well.
        for stated in [started, started + step] {
            let age = NOW - convert_unix(stated, NOW, NOW + step);

            assert!((0..=2 * SECOND).contains(&age), "{step}: {age}");
        }
    }
}

#[test]
fn stall_of_the_process_counts_as_time_that_has_passed() {
    let stall = 9 * SECOND;
    let started_at = Instant::now()
        .checked_sub(Duration::from_secs(9))
        .expect("the machine has not been up for long enough");
    let clock = Clock {
        started_at,
        unix_at_start: NOW,
    };

    let now = clock.now();

    let elapsed = Micros::try_from(started_at.elapsed().as_micros())
        .expect("the elapsed time does not fit into Micros");
    assert!((NOW + stall..=NOW + elapsed).contains(&now), "{now}");
}
