//! Classifies the shape of points.
//!
//! A log-log fit would take a line with an intercept for a curve of a low exponent, and a process's memory
//! always has an intercept. So the fitted curve is `figure = offset + scale * size ^ exponent`: least
//! squares for offset and scale at each exponent of a grid.

use serde::{Deserialize, Serialize};

use super::least_squares::Line;

/// The largest spread of the sizes' means that is flat, as a fraction of the mean value. A quarter of
/// [`PROJECTION_TOLERANCE`](super::PROJECTION_TOLERANCE).
pub const FLAT_SPREAD: f64 = 0.05;

/// The number of standard errors that a rise must exceed, or else it may be noise. With four sizes and three repeats
/// (9 degrees of freedom) noise alone passes three with a probability of 1.5 %, for a given exponent.
pub const NOISE_ERRORS: f64 = 3.0;

/// A rise within noise is flat only if the noise is at most this fraction of the mean value. More noise could hide a
/// relevant rise.
pub const FLAT_NOISE: f64 = 0.25;

/// The exponents that count as straight. Where sizes are evenly spaced from 0, a curve with either bound lies
/// 20 % off the line fitted to it at twice the largest size, which is the tolerance of projections.
pub const STRAIGHT_EXPONENTS: std::ops::RangeInclusive<f64> = 0.65..=1.25;

/// The widest conclusive range of exponents. With a wider one, straight growth cannot be distinguished from growth
/// with the root or the square of the size.
pub const MAX_EXPONENT_RANGE: f64 = 1.0;

/// The largest distance of a size's mean from the best curve, as a fraction of the spread of the means. Steps and
/// humps are further off.
pub const MAX_CURVE_DISTANCE: f64 = 0.25;

/// The F statistic (1 and 9 degrees of freedom, 99 %, rounded) up to which an exponent agrees with the points as well
/// as the best one.
const MAX_AGREEING_F: f64 = 10.6;

/// The number of coefficients of a curve: offset, scale, exponent.
const COEFFICIENTS: f64 = 3.0;

/// Exponents are tried from `1 / EXPONENT_STEPS` to `MAX_EXPONENT`, in steps of `1 / EXPONENT_STEPS`.
const EXPONENT_STEPS: u32 = 20;
const MAX_EXPONENT: u32 = 4;

/// Differences below this fraction of the largest value are rounding errors.
const ROUNDING_FRACTION: f64 = 1e-9;

/// The shape of points as the size grows. Decided in this order:
///
/// 1. Flat if the means of the sizes spread over at most [`FLAT_SPREAD`] of the mean value.
/// 2. If the best curve's rise is at most [`NOISE_ERRORS`] of its standard errors: flat if these are at
///    most [`FLAT_NOISE`] of the mean value, else unclear.
/// 3. Unclear if the mean of a size lies off the best curve by over [`MAX_CURVE_DISTANCE`] of the spread.
/// 4. Faster if all exponents that agree with the points are above [`STRAIGHT_EXPONENTS`], slower if all are
///    below.
/// 5. Unclear if these exponents span over [`MAX_EXPONENT_RANGE`].
/// 6. Straight if the best exponent is one of [`STRAIGHT_EXPONENTS`], or 1 agrees with the points.
/// 7. Else unclear.
///
/// `n log n` is classified by the exponent that it comes closest to: straight over sizes from 100 on, faster over
/// small ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// The value does not change with the size, as far as the repeats show.
    Flat,
    /// The value changes in proportion to the size, plus a constant.
    Straight,
    /// The value changes ever faster as the size grows.
    Faster,
    /// The value changes ever slower as the size grows.
    Slower,
    /// The points have none of these shapes, or noise hides which.
    Unclear,
}

/// The exponents of the size that agree with points, between 0.05 and 4.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Exponents {
    /// The lowest that agrees.
    pub low: f64,
    /// The one with the smallest residuals.
    pub best: f64,
    /// The highest that agrees.
    pub high: f64,
}

/// The shape, and the exponents that it was classified by.
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

/// A line over sizes raised to an exponent.
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
            .map(|(size, figure)| ((size / largest_size).powf(exponent), *figure))
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
    let mean = means.iter().map(|(_, figure)| figure).sum::<f64>() / means.len() as f64;
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
        let sum: f64 = repeats.iter().map(|(_, figure)| figure).sum();
        (repeats[0].0, sum / repeats.len() as f64)
    };
    points.chunk_by(|a, b| a.0 == b.0).map(mean_of).collect()
}

fn spread(means: &[(f64, f64)]) -> f64 {
    let figures = || means.iter().map(|(_, figure)| *figure);
    figures().fold(f64::NEG_INFINITY, f64::max) - figures().fold(f64::INFINITY, f64::min)
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

/// Returns flat or unclear, if the curve's rise over the sizes may be noise.
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

/// Returns the largest distance of a size's mean from the curve.
fn largest_distance(curve: &Curve, means: &[(f64, f64)]) -> f64 {
    means
        .iter()
        .map(|(size, figure)| (figure - curve.at(*size)).abs())
        .fold(0.0, f64::max)
}

/// Returns the exponents whose residuals are not significantly worse than those of the best.
fn agreeing_exponents(curves: &[Curve], best: &Curve, points: &[(f64, f64)]) -> Exponents {
    let largest_value = points
        .iter()
        .map(|(_, figure)| figure.abs())
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
