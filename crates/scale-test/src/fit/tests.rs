use proptest::prelude::*;

use super::{
    FLAT_SPREAD, Fit, FitError, MIN_SIZES, PROJECTION_TOLERANCE, STRAIGHT_EXPONENTS, Shape, compare,
};

/// The sizes of a sweep over workers.
const WORKERS: [f64; 6] = [100.0, 400.0, 1000.0, 2000.0, 4000.0, 7300.0];

/// Returns points with three repeats at each size. Each element of `noise` is the relative error of one point; points
/// without an element have no error.
fn points(sizes: &[f64], noise: &[f64], value: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let repeated = (0..3).flat_map(|_| sizes.iter().copied());
    let factors = noise.iter().copied().chain(std::iter::repeat(0.0));
    repeated
        .zip(factors)
        .map(|(size, noise)| (size, value(size) * (1.0 + noise)))
        .collect()
}

fn shape(points: &[(f64, f64)]) -> Shape {
    Fit::line(points).expect("points should be fitted").shape
}

/// Generates four to eight distinct sizes between 50 and about 20,000, each 1.4 to 2 times the previous one.
fn sizes() -> impl Strategy<Value = Vec<f64>> {
    let steps = proptest::collection::vec(1.4..2.0_f64, MIN_SIZES - 1..8);
    (50.0..200.0_f64, steps).prop_map(|(first, steps)| {
        let mut sizes = vec![first];
        for step in steps {
            sizes.push(sizes[sizes.len() - 1] * step);
        }
        sizes
    })
}

/// Generates the relative errors of up to 24 points, each with an absolute value of at most `limit`.
fn noise(limit: f64) -> impl Strategy<Value = Vec<f64>> {
    proptest::collection::vec(-limit..limit, 24)
}

proptest! {
    #[test]
    fn an_exact_line_is_recovered(
        sizes in sizes(),
        slope in prop_oneof![-50.0..-0.1_f64, 0.1..50.0_f64],
        intercept in -1000.0..1000.0_f64,
    ) {
        let points = points(&sizes, &[], |size| slope * size + intercept);
        let fit = Fit::line(&points).expect("points should be fitted");
        let largest = points.iter().map(|(_, value)| value.abs()).fold(0.0, f64::max);
        prop_assert!((fit.slope - slope).abs() < 1e-9 * slope.abs());
        prop_assert!((fit.intercept - intercept).abs() < 1e-9 * largest);
        prop_assert!(fit.largest_residual < 1e-9 * largest);
        prop_assert_eq!(fit.points, sizes.len() * 3);
        prop_assert_eq!(fit.sizes, sizes.len());
        let projected = fit.projection(40_000.0);
        prop_assert!((projected - (slope * 40_000.0 + intercept)).abs() < 1e-6 * projected.abs().max(1.0));
    }

    #[test]
    fn a_line_is_straight(
        sizes in sizes(),
        slope in prop_oneof![-50.0..-0.1_f64, 0.1..50.0_f64],
        constant in 0.0..2.0_f64,
    ) {
        let intercept = constant * slope * sizes[sizes.len() - 1];
        let fit = Fit::line(&points(&sizes, &[], |size| slope * size + intercept)).expect("points should be fitted");
        prop_assert_eq!(fit.shape, Shape::Straight);
        prop_assert_eq!(fit.exponents.map(|exponents| exponents.best), Some(1.0));
    }

    #[test]
    fn a_line_with_little_noise_is_straight(
        noise in noise(0.01),
        slope in 0.1..50.0_f64,
        constant in 0.0..0.3_f64,
    ) {
        let intercept = constant * slope * 7300.0;
        prop_assert_eq!(shape(&points(&WORKERS, &noise, |size| slope * size + intercept)), Shape::Straight);
    }

    #[test]
    fn flat_noise_is_flat(sizes in sizes(), noise in noise(FLAT_SPREAD / 2.05), level in 0.001..1e9_f64) {
        prop_assert_eq!(shape(&points(&sizes, &noise, |_| level)), Shape::Flat);
    }

    #[test]
    fn units_do_not_matter(
        points in proptest::collection::vec((0.0..100.0_f64, -1e6..1e6_f64), 4..40),
        doublings in -20..20_i32,
    ) {
        let factor = f64::from(doublings).exp2();
        let other_unit: Vec<(f64, f64)> = points.iter().map(|(size, value)| (*size, value * factor)).collect();
        let other_size: Vec<(f64, f64)> = points.iter().map(|(size, value)| (size * factor, *value)).collect();
        let classified = |points: &[(f64, f64)]| Fit::line(points).map(|fit| (fit.shape, fit.exponents));
        prop_assert_eq!(classified(&other_unit), classified(&points));
        prop_assert_eq!(classified(&other_size), classified(&points));
    }

    #[test]
    fn quadratic_data_is_faster(
        sizes in sizes(),
        noise in noise(0.005),
        scale in 0.001..10.0_f64,
        constant in 0.0..0.2_f64,
    ) {
        let largest: f64 = sizes[sizes.len() - 1];
        let value = |size: f64| scale * (size.powi(2) + constant * largest.powi(2));
        prop_assert_eq!(shape(&points(&sizes, &noise, value)), Shape::Faster);
    }

    #[test]
    fn square_root_growth_is_slower(sizes in sizes(), scale in 0.001..10.0_f64) {
        prop_assert_eq!(shape(&points(&sizes, &[], |size| scale * size.sqrt())), Shape::Slower);
    }

    #[test]
    fn n_log_n_is_straight_over_large_sizes(sizes in sizes(), scale in 0.001..10.0_f64) {
        let sizes: Vec<f64> = sizes.iter().map(|size| size * 2.0).collect();
        let fit = Fit::line(&points(&sizes, &[], |size| scale * size * size.ln())).expect("points should be fitted");
        prop_assert_eq!(fit.shape, Shape::Straight);
        prop_assert!(fit.exponents.is_some_and(|exponents| exponents.best > 1.0));
    }

    #[test]
    fn the_order_of_points_does_not_matter(
        shuffled in proptest::collection::vec((0.0..100.0_f64, -1e6..1e6_f64), 4..40)
            .prop_flat_map(|points| (Just(points.clone()), Just(points).prop_shuffle())),
    ) {
        prop_assert_eq!(Fit::line(&shuffled.0), Fit::line(&shuffled.1));
    }

    #[test]
    fn arbitrary_input_never_panics(points in proptest::collection::vec((any::<f64>(), any::<f64>()), 0..12)) {
        let _ = Fit::line(&points);
    }

    #[test]
    fn fit_is_finite(
        points in proptest::collection::vec((0.0..1e300_f64, -1e300..1e300_f64), 4..12),
    ) {
        if let Ok(fit) = Fit::line(&points) {
            prop_assert!(fit.slope.is_finite() && fit.intercept.is_finite() && fit.largest_residual.is_finite());
        }
    }
}

#[test]
fn fewer_than_four_sizes_are_rejected() {
    let three = points(&[1.0, 2.0, 3.0], &[], |size| size);
    assert_eq!(Fit::line(&three), Err(FitError::TooFewSizes { found: 3 }));
    assert_eq!(Fit::line(&[]), Err(FitError::TooFewSizes { found: 0 }));
}

#[test]
fn a_negative_zero_is_the_same_size_as_zero() {
    let points = [(0.0, 1.0), (-0.0, 1.0), (1.0, 2.0), (2.0, 3.0)];
    assert_eq!(Fit::line(&points), Err(FitError::TooFewSizes { found: 3 }));
}

#[test]
fn numbers_that_cannot_be_fitted_are_rejected() {
    let with = |odd| [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), odd];
    assert_eq!(Fit::line(&with((4.0, f64::NAN))), Err(FitError::NotFinite));
    assert_eq!(
        Fit::line(&with((f64::INFINITY, 4.0))),
        Err(FitError::NotFinite)
    );
    assert_eq!(Fit::line(&with((-4.0, 4.0))), Err(FitError::NegativeSize));
    assert_eq!(Fit::line(&with((1e200, 4.0))), Err(FitError::TooLarge));
}

#[test]
fn largest_residual_is_reported() {
    let points = [(1.0, 9.0), (2.0, 11.0), (3.0, 11.0), (4.0, 9.0)];
    let fit = Fit::line(&points).expect("points should be fitted");
    assert_eq!((fit.slope, fit.intercept), (0.0, 10.0));
    assert_eq!(fit.largest_residual, 1.0);
    assert_eq!(fit.largest_residual_part, Some(0.1));
}

#[test]
fn zeros_are_flat_and_have_no_relative_residual() {
    let fit = Fit::line(&points(&WORKERS, &[], |_| 0.0)).expect("points should be fitted");
    assert_eq!(fit.shape, Shape::Flat);
    assert_eq!(fit.largest_residual_part, None);
    assert_eq!(fit.exponents, None);
}

#[test]
fn noise_that_could_hide_a_rise_is_unclear() {
    let noise = [
        0.5, -0.4, 0.6, -0.5, 0.3, -0.6, -0.5, 0.5, -0.3, 0.6, -0.6, 0.4,
    ];
    assert_eq!(shape(&points(&WORKERS, &noise, |_| 100.0)), Shape::Unclear);
}

#[test]
fn moderate_noise_without_a_rise_is_flat() {
    let noise = [
        0.05, -0.04, 0.06, -0.05, 0.03, -0.06, 0.05, -0.05, -0.03, 0.06, 0.06, -0.04,
    ];
    assert_eq!(shape(&points(&WORKERS, &noise, |_| 100.0)), Shape::Flat);
}

#[test]
fn a_hump_is_unclear() {
    let hump = |size: f64| 100.0 - (size - 3500.0).abs() / 50.0;
    assert_eq!(shape(&points(&WORKERS, &[], hump)), Shape::Unclear);
}

#[test]
fn n_log_n_is_faster_over_small_sizes() {
    let sizes = [1.0, 2.0, 4.0, 8.0, 16.0];
    assert_eq!(
        shape(&points(&sizes, &[], |size| size * size.ln())),
        Shape::Faster
    );
}

/// Confirms the reason given for the bounds of [`STRAIGHT_EXPONENTS`].
#[test]
fn a_curve_at_the_bounds_of_straight_is_a_fifth_off_at_twice_the_largest_size() {
    let sizes: Vec<f64> = (0..=100).map(f64::from).collect();
    for (exponent, expected) in [
        (STRAIGHT_EXPONENTS.start(), -0.2),
        (STRAIGHT_EXPONENTS.end(), 0.2),
    ] {
        let fit = Fit::line(&points(&sizes, &[], |size| size.powf(*exponent)))
            .expect("points should be fitted");
        let relative_error = 200_f64.powf(*exponent) / fit.projection(200.0) - 1.0;
        assert!(
            (relative_error - expected).abs() < 0.01,
            "exponent {exponent}: {relative_error}"
        );
    }
}

#[test]
fn measurement_is_compared_with_its_projection() {
    let table = [
        (100.0, 100.0, Some(1.0), false),
        (100.0, 120.0, Some(1.2), false),
        (100.0, 121.0, Some(1.21), true),
        (100.0, 80.0, Some(0.8), false),
        (100.0, 79.0, Some(0.79), true),
        (-100.0, -110.0, Some(1.1), false),
        (0.0, 0.0, None, false),
        (0.0, 1.0, None, true),
        (100.0, f64::NAN, None, true),
        (f64::INFINITY, f64::INFINITY, None, true),
        (f64::INFINITY, 1.0, None, true),
    ];
    for (projected, measured, ratio, over) in table {
        let comparison = compare(projected, measured);
        assert_eq!(comparison.ratio, ratio, "{projected} and {measured}");
        assert_eq!(
            comparison.over_20_percent, over,
            "{projected} and {measured}"
        );
    }
    assert_eq!(PROJECTION_TOLERANCE, 0.2);
}
