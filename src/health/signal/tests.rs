//! Tests of `signal.rs`.

use super::*;

#[test]
fn ramps_are_flat_outside_and_rise_between() {
    let plain = Ramp {
        ok: 1.0,
        bad: 3.0,
        step: 0.0,
        reach: 0.8,
    };
    let stepped = Ramp { step: 0.2, ..plain };
    for (reading, badness, with_step) in [
        (-5.0, 0.0, 0.0),
        (1.0, 0.0, 0.0),
        (2.0, 0.5, 0.6),
        (3.0, 1.0, 1.0),
        (f64::INFINITY, 1.0, 1.0),
        (f64::NAN, 1.0, 1.0),
    ] {
        assert!((plain.badness(reading) - badness).abs() < 1e-9, "{reading}");
        assert!(
            (stepped.badness(reading) - with_step).abs() < 1e-9,
            "{reading}"
        );
    }
    assert!((plain.cap(1.0) - 20.0).abs() < 1e-9 && (plain.cap(-1.0) - 100.0).abs() < 1e-9);
}
