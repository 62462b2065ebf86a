//! Tests of `window.rs`.

use super::*;

#[test]
fn what_is_older_than_the_window_leaves_it_span_by_span() {
    let mut window = Window::new(1_000_000);
    let start = 77 * SPAN;
    for span in 0..4 {
        window.add(start + span * SPAN, 1.0, 2.0);
    }
    for (after, sums) in [
        (3, (4.0, 8.0)),
        (4, (3.0, 6.0)),
        (6, (1.0, 2.0)),
        (7, (0.0, 0.0)),
        (900, (0.0, 0.0)),
    ] {
        assert_eq!(
            window.sums(start + after * SPAN),
            sums,
            "after {after} spans"
        );
    }
    window.add(start + 5 * SPAN, 1.0, 1.0);
    assert_eq!(window.sums(start + 5 * SPAN), (3.0, 5.0));
    window.add(start + 500 * SPAN, 1.0, 1.0);
    assert_eq!(
        window.sums(start + 500 * SPAN),
        (1.0, 1.0),
        "a stall of many windows"
    );
    // A clock that stands still or goes back loses nothing.
    window.add(start, 1.0, 1.0);
    assert_eq!(window.sums(start + 500 * SPAN), (2.0, 2.0));
    assert_eq!(
        window.share(start + 500 * SPAN, 3.0),
        None,
        "too little to tell"
    );
}
