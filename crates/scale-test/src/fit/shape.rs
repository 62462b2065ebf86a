//! Classifies the shape of points of (size, measured value).
//!
//! The fitted curve is `value = offset + scale * size ^ exponent`. Offset and scale are fitted by least squares for
//! each exponent of a grid. A log-log fit, which has no offset, would mistake a line with an intercept for a curve with
//! a low exponent, and the memory of a process always has an intercept.

use serde::{Deserialize, Serialize};

use super::least_squares::Line;

/// The largest spread of the means of all sizes that counts as flat, as a fraction of the mean value. It is a quarter
/// of [`PROJECTION_TOLERANCE`](super::PROJECTION_TOLERANCE).
pub const FLAT_SPREAD: f64 = 0.05;

/// The number of standard errors that a rise must exceed to be distinguished from noise. With four sizes and three
/// repeats (9 degrees of freedom), noise alone exceeds three standard errors with a probability of 1.5 %, for a given
/// exponent.
pub const NOISE_ERRORS: f64 = 3.0;

/// The largest noise, as a fraction of the mean value, with which a rise within noise counts as flat. More noise could
/// hide a relevant rise.
pub const FLAT_NOISE: f64 = 0.25;

/// The exponents that count as straight. If sizes are evenly spaced from 0, a curve with either bound as its exponent
/// lies 20 % off the line fitted to it at twice the largest size. 20 % is the tolerance of projections.
pub const STRAIGHT_EXPONENTS: std::ops::RangeInclusive<f64> = 0.65..=1.25;

/// The widest range of agreeing exponents from which a shape is concluded. With a wider range, straight growth cannot
/// be distinguished from growth with the square root or the square of the size.
pub const MAX_EXPONENT_RANGE: f64 = 1.0;

/// The largest distance of the mean of a size from the best curve, as a fraction of the spread of the means. Points
/// that form a step or a hump have a larger distance.
pub const MAX_CURVE_DISTANCE: f64 = 0.25;

/// The F statistic up to which an exponent counts as agreeing with the points as well as the best exponent does: the
/// rounded 99 % quantile for 1 and 9 degrees of freedom.
const MAX_AGREEING_F: f64 = 10.6;

/// The number of coefficients of a curve: offset, scale and exponent.
const COEFFICIENTS: f64 = 3.0;

/// The number of steps of the exponent grid per unit. The grid runs from `1 / EXPONENT_STEPS` to `MAX_EXPONENT`, in
/// steps of `1 / EXPONENT_STEPS`.
const EXPONENT_STEPS: u32 = 20;
const MAX_EXPONENT: u32 = 4;

/// Differences below this fraction of the largest value are treated as rounding errors.
const ROUNDING_FRACTION: f64 = 1e-9;

/// The shape of points as the size grows. The first rule that applies decides:
///
/// 1. Flat if the means of the sizes spread over at most [`FLAT_SPREAD`] of the mean value.
/// 2. If the rise of the best curve is at most [`NOISE_ERRORS`] standard errors: flat if that many standard errors are
///    at most [`FLAT_NOISE`] of the mean value, else unclear.
/// 3. Unclear if the distance of the mean of a size from the best curve exceeds [`MAX_CURVE_DISTANCE`] of the spread.
/// 4. Faster if all exponents that agree with the points are above [`STRAIGHT_EXPONENTS`], slower if all are
///    below.
/// 5. Unclear if the range of the agreeing exponents is wider than [`MAX_EXPONENT_RANGE`].
/// 6. Straight if the best exponent is in [`STRAIGHT_EXPONENTS`], or the exponent 1 agrees with the points.
/// 7. Otherwise unclear.
///
/// Growth with `n log n` is classified by the exponent that approximates it best: as straight over sizes of at least
/// 100, and as faster over small sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// The value does not change with the size, as far as the repeats show.
    Flat,
    /// The value changes in proportion to the size, plus a constant.
    Straight,
    /// The value changes faster than in proportion to the size.
    Faster,
    /// The value changes slower than in proportion to the size.
    Slower,
    /// The points have none of the other shapes, or noise hides the shape.
    Unclear,
}

/// The exponents of the size that agree with the points, each between 0.05 and 4.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Exponents {
    /// The lowest agreeing exponent.
    pub low: f64,
    /// The exponent with the smallest sum of squared residuals.
    pub best: f64,
    /// The highest agreeing exponent.
    pub high: f64,
}

/// The shape of points, and the exponents from which it was concluded.
pub(super) struct Classification {
    pub(super) shape: Shape,
    pub(super) exponents: Option<Exponents>,
}

impl Classification {
    fn without_exponents(shape: Shape) -> Classification {
        Classification {
            shape,
            exponents: None,
        }
    }
}

/// A curve with a given exponent: a line over sizes that are divided by the largest size and raised to the exponent.
#[derive(Debug, Clone, Copy)]
struct Curve {
    exponent: f64,
    largest_size: f64,
    line: Line,
}

impl Curve {
    fn through(points: &[(f64, f64)], exponent: f64, largest_size: f64) -> Curve {
        let raised: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, value)| ((size / largest_size).powf(exponent), *value))
            .collect();
        Curve {
            exponent,
            largest_size,
            line: Line::through(&raised),
        }
    }

    fn raised(&self, size: f64) -> f64 {
        (size / self.largest_size).powf(self.exponent)
    }

    fn at(&self, size: f64) -> f64 {
        self.line.at(self.raised(size))
    }
}

/// Classifies points that are sorted by size and have at least four distinct sizes.
pub(super) fn classify(points: &[(f64, f64)]) -> Classification {
    let means = means_by_size(points);
    let mean = means.iter().map(|(_, value)| value).sum::<f64>() / means.len() as f64;
    let spread = spread(&means);
    if spread <= FLAT_SPREAD * mean.abs() {
        return Classification::without_exponents(Shape::Flat);
    }
    let curves = curves(points);
    let Some(best) = best(&curves) else {
        return Classification::without_exponents(Shape::Unclear);
    };
    if let Some(shape) = within_noise(best, points, mean) {
        return Classification::without_exponents(shape);
    }
    if largest_distance(best, &means) > MAX_CURVE_DISTANCE * spread {
        return Classification::without_exponents(Shape::Unclear);
    }
    let exponents = agreeing_exponents(&curves, best, points);
    Classification {
        shape: shape_of(&exponents),
        exponents: Some(exponents),
    }
}

fn means_by_size(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mean_of = |repeats: &[(f64, f64)]| {
        let sum: f64 = repeats.iter().map(|(_, value)| value).sum();
        (repeats[0].0, sum / repeats.len() as f64)
    };
    points.chunk_by(|a, b| a.0 == b.0).map(mean_of).collect()
}

fn spread(means: &[(f64, f64)]) -> f64 {
    let values = || means.iter().map(|(_, value)| *value);
    values().fold(f64::NEG_INFINITY, f64::max) - values().fold(f64::INFINITY, f64::min)
}

/// Returns the curve of each exponent of the grid.
fn curves(points: &[(f64, f64)]) -> Vec<Curve> {
    let largest_size = points.iter().map(|(size, _)| *size).fold(0.0, f64::max);
    (1..=MAX_EXPONENT * EXPONENT_STEPS)
        .map(|step| f64::from(step) / f64::from(EXPONENT_STEPS))
        .map(|exponent| Curve::through(points, exponent, largest_size))
        .filter(|curve| curve.line.is_finite())
        .collect()
}

fn best(curves: &[Curve]) -> Option<&Curve> {
    curves
        .iter()
        .min_by(|a, b| a.line.residual_squares.total_cmp(&b.line.residual_squares))
}

/// Returns flat or unclear if the rise of the curve over the sizes may be noise, else `None`.
fn within_noise(curve: &Curve, points: &[(f64, f64)], mean: f64) -> Option<Shape> {
    let range = curve.raised(points.last()?.0) - curve.raised(points.first()?.0);
    let rise = curve.line.slope.abs() * range;
    let noise = NOISE_ERRORS * curve.line.slope_error(degrees_of_freedom(points)) * range;
    if rise > noise {
        return None;
    }
    let noise_is_small = noise <= FLAT_NOISE * mean.abs();
    Some(if noise_is_small {
        Shape::Flat
    } else {
        Shape::Unclear
    })
}

fn degrees_of_freedom(points: &[(f64, f64)]) -> f64 {
    (points.len() as f64 - COEFFICIENTS).max(1.0)
}

/// Returns the largest distance of the mean of a size from the curve.
fn largest_distance(curve: &Curve, means: &[(f64, f64)]) -> f64 {
    means
        .iter()
        .map(|(size, value)| (value - curve.at(*size)).abs())
        .fold(0.0, f64::max)
}

/// Returns the range of the exponents whose residuals are not significantly larger than those of the best exponent.
fn agreeing_exponents(curves: &[Curve], best: &Curve, points: &[(f64, f64)]) -> Exponents {
    let largest_value = points
        .iter()
        .map(|(_, value)| value.abs())
        .fold(0.0, f64::max);
    let rounding = points.len() as f64 * (ROUNDING_FRACTION * largest_value).powi(2);
    let factor = 1.0 + MAX_AGREEING_F / degrees_of_freedom(points);
    let limit = best.line.residual_squares * factor + rounding;
    let agreeing = || {
        curves
            .iter()
            .filter(|curve| curve.line.residual_squares <= limit)
    };
    Exponents {
        low: agreeing()
            .map(|curve| curve.exponent)
            .fold(best.exponent, f64::min),
        best: best.exponent,
        high: agreeing()
            .map(|curve| curve.exponent)
            .fold(best.exponent, f64::max),
    }
}

fn shape_of(exponents: &Exponents) -> Shape {
    if exponents.low > *STRAIGHT_EXPONENTS.end() {
        return Shape::Faster;
    }
    if exponents.high < *STRAIGHT_EXPONENTS.start() {
        return Shape::Slower;
    }
    if exponents.high - exponents.low > MAX_EXPONENT_RANGE {
        return Shape::Unclear;
    }
    let one_agrees = exponents.low <= 1.0 && exponents.high >= 1.0;
    if one_agrees || STRAIGHT_EXPONENTS.contains(&exponents.best) {
        Shape::Straight
    } else {
        Shape::Unclear
    }
}
