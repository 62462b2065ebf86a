//! Tests of the sliding window.

use super::*;

/// An arbitrary time at the start of a span.
const START: Micros = 77 * SPAN;

fn sums(part: f64, whole: f64) -> Sums {
    Sums { part, whole }
}

/// Returns a window of four spans, with one addition in each.
fn full_window() -> SlidingWindow {
    let mut window = SlidingWindow::new(1_000_000);
    for span in 0..4 {
        window.add(START + span * SPAN, 1.0, 2.0);
    }
    window
}

#[test]
fn values_expire_span_by_span() {
    let window = full_window();

    for (spans, expected) in [
        (3, sums(4.0, 8.0)),
        (4, sums(3.0, 6.0)),
        (6, sums(1.0, 2.0)),
        (7, sums(0.0, 0.0)),
        (900, sums(0.0, 0.0)),
    ] {
        assert_eq!(
            window.sums(START + spans * SPAN),
            expected,
            "after {spans} spans"
        );
    }
}

#[test]
fn additions_after_a_pause_drop_what_has_expired() {
    let mut window = full_window();

    window.add(START + 5 * SPAN, 1.0, 1.0);
    assert_eq!(window.sums(START + 5 * SPAN), sums(3.0, 5.0));

    window.add(START + 500 * SPAN, 1.0, 1.0);
    assert_eq!(
        window.sums(START + 500 * SPAN),
        sums(1.0, 1.0),
        "after a pause of many window lengths"
    );
}

#[test]
fn clock_that_goes_back_loses_nothing() {
    let mut window = SlidingWindow::new(1_000_000);
    window.add(START + 500 * SPAN, 1.0, 1.0);

    window.add(START, 1.0, 1.0);

    assert_eq!(window.sums(START + 500 * SPAN), sums(2.0, 2.0));
}

#[test]
fn fraction_of_too_small_a_whole_is_unknown() {
    let mut window = SlidingWindow::new(1_000_000);
    window.add(START, 2.0, 2.0);

    assert_eq!(window.fraction(START, 3.0), None);
}
