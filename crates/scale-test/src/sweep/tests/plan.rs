//! Tests the checks of a plan, which happen before any run.

use super::*;

#[test]
fn invalid_plan_is_rejected_before_any_run() {
    let four = [1.0, 2.0, 3.0, 4.0];
    let axis = Axis::Workers;
    assert_eq!(
        plan_error(&plan(&four, 2)),
        PlanError::TooFewRepeats { found: 2 }
    );
    assert_eq!(
        plan_error(&plan(&four[..3], 3)),
        PlanError::TooFewValues { axis, found: 3 }
    );
    assert_eq!(
        plan_error(&plan(&[1.0, 2.0, 3.0, 3.0], 3)),
        PlanError::TooFewValues { axis, found: 3 }
    );
    let twice = [1.0, 2.0, 3.0, 4.0, 3.0];
    assert_eq!(
        plan_error(&plan(&twice, 3)),
        PlanError::ValueTwice { axis, value: 3.0 }
    );
    let negative = [-1.0, 2.0, 3.0, 4.0];
    assert_eq!(
        plan_error(&plan(&negative, 3)),
        PlanError::BadValue { axis, value: -1.0 }
    );
    let infinite = [1.0, 2.0, 3.0, f64::INFINITY];
    assert_eq!(
        plan_error(&plan(&infinite, 3)),
        PlanError::BadValue {
            axis,
            value: f64::INFINITY
        }
    );
    assert_eq!(
        plan_error(&SweepPlan {
            axes: vec![],
            ..plan(&four, 3)
        }),
        PlanError::NoAxis
    );
    let mut doubled = plan(&four, 3);
    doubled.axes.push(doubled.axes[0].clone());
    assert_eq!(plan_error(&doubled), PlanError::AxisTwice { axis });
}

#[test]
fn plan_error_is_one_line() {
    let error = plan_error(&plan(&[1.0, 2.0, 3.0], 3));
    assert_eq!(
        error.to_string(),
        "workers: 3 distinct values, but a fit needs at least 4"
    );
}

#[test]
fn default_values_can_be_swept() {
    for axis in Axis::iter() {
        let values = axis.default_values();
        assert!(values.len() >= MIN_SIZES);
        assert_eq!(plan(values, 3).check(), Ok(()), "{axis}");
    }
}

#[test]
fn names_are_parsed_as_they_are_displayed() {
    for axis in Axis::iter() {
        assert_eq!(axis.to_string().parse(), Ok(axis));
    }
    for metric in Metric::iter() {
        assert_eq!(metric.to_string().parse(), Ok(metric));
        let quoted = serde_json::to_string(&metric).expect("metric should serialize");
        assert_eq!(quoted, format!("\"{metric}\""));
    }
}
