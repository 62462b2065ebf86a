//! Tests of the mapping of measured values to severities and maximum weights.

use super::*;

const RAMP: SeverityRamp = SeverityRamp {
    healthy_up_to: 1.0,
    worst_from: 3.0,
    initial_severity: 0.0,
    max_weight_loss: 0.8,
};

#[test]
fn severity_is_constant_outside_the_ramp_and_rises_within() {
    let with_initial_severity = SeverityRamp {
        initial_severity: 0.2,
        ..RAMP
    };
    for (value, severity, severity_with_initial) in [
        (-5.0, 0.0, 0.0),
        (1.0, 0.0, 0.0),
        (2.0, 0.5, 0.6),
        (3.0, 1.0, 1.0),
        (f64::INFINITY, 1.0, 1.0),
        (f64::NAN, 1.0, 1.0),
    ] {
        assert!((RAMP.severity(value) - severity).abs() < 1e-9, "{value}");
        assert!(
            (with_initial_severity.severity(value) - severity_with_initial).abs() < 1e-9,
            "{value}"
        );
    }
}

#[test]
fn worst_severity_leaves_the_weight_that_the_ramp_allows() {
    assert!((RAMP.max_weight(1.0) - 20.0).abs() < 1e-9);
    assert!((RAMP.max_weight(-1.0) - 100.0).abs() < 1e-9);
}
