//! How a measured figure grows with a size: a straight line through the points, and a verdict on whether a
//! line is what they follow.
//!
//! Pure: no input or output, and no clock. The verdict's rule is in [`Shape`].

use serde::{Deserialize, Serialize};
use thiserror::Error;

mod least_squares;
mod shape;
#[cfg(test)]
mod tests;

use least_squares::Line;
pub use shape::{
    Exponents, FLAT_NOISE, FLAT_SPREAD, MAX_CURVE_DISTANCE, MAX_EXPONENT_RANGE, NOISE_ERRORS,
    STRAIGHT_EXPONENTS, Shape,
};

/// Distinct sizes without which nothing is fitted. A curve has three coefficients (scale, exponent,
/// offset); a fourth size is the first that can speak against it.
pub const MIN_SIZES: usize = 4;

/// The part of a projection by which a measurement may differ from it.
pub const PROJECTION_TOLERANCE: f64 = 0.2;

/// A least-squares line through points of (size, measured figure).
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Growth of the figure for each unit of size.
    pub slope: f64,
    /// The figure at size 0.
    pub intercept: f64,
    /// The largest distance of a point from the line, in the unit of the figure.
    pub largest_residual: f64,
    /// The same as a part of the mean figure; none where the mean is 0.
    pub largest_residual_part: Option<f64>,
    /// What the points follow.
    pub shape: Shape,
    /// The exponents with which the points agree; none where the shape was judged without them.
    pub exponents: Option<Exponents>,
    /// Distinct sizes among the points.
    pub sizes: usize,
    /// Points fitted.
    pub points: usize,
}

/// Why points cannot be fitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FitError {
    /// The points have fewer than [`MIN_SIZES`] distinct sizes.
    #[error("{found} distinct sizes, and a fit needs at least {MIN_SIZES}")]
    TooFewSizes {
        /// Distinct sizes among the points.
        found: usize,
    },
    /// A size or a figure is infinite or not a number.
    #[error("a size or a figure is infinite or not a number")]
    NotFinite,
    /// A size is below 0.
    #[error("a size is below 0")]
    NegativeSize,
    /// The figures are too large to be squared and summed.
    #[error("sizes or figures are too large to be fitted")]
    TooLarge,
}

impl Fit {
    /// Fits a line to points of (size, measured figure), and judges their shape. Repeats are points of the
    /// same size; the order of points does not matter.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few distinct sizes, or a number cannot be fitted.
    pub fn line(points: &[(f64, f64)]) -> Result<Fit, FitError> {
        check_numbers(points)?;
        let points = sorted(points);
        let sizes = distinct_sizes(&points);
        if sizes < MIN_SIZES {
            return Err(FitError::TooFewSizes { found: sizes });
        }
        let line = Line::through(&points);
        if !line.is_finite() {
            return Err(FitError::TooLarge);
        }
        let largest_residual = largest_residual(&points, &line);
        let judgement = shape::judge(&points);
        Ok(Fit {
            slope: line.slope,
            intercept: line.intercept,
            largest_residual,
            largest_residual_part: part_of_mean(largest_residual, &points),
            shape: judgement.shape,
            exponents: judgement.exponents,
            sizes,
            points: points.len(),
        })
    }

    /// The figure that the line gives at a size.
    pub fn projection(&self, at: f64) -> f64 {
        self.slope.mul_add(at, self.intercept)
    }
}

/// How far a measurement lies from what was projected.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ProjectionComparison {
    /// Measured over projected; none where the projection is 0 or either is no finite number.
    pub ratio: Option<f64>,
    /// Whether they differ by more than [`PROJECTION_TOLERANCE`] of the projection, or cannot be compared.
    pub over_20_percent: bool,
}

/// Compares a projected figure with the measured one. Two zeros agree.
pub fn compare(projected: f64, measured: f64) -> ProjectionComparison {
    let comparable = projected.is_finite() && measured.is_finite();
    let ratio = Some(measured / projected).filter(|ratio| comparable && ratio.is_finite());
    let within = (measured - projected).abs() <= PROJECTION_TOLERANCE * projected.abs();
    ProjectionComparison {
        ratio,
        over_20_percent: !(comparable && within),
    }
}

fn check_numbers(points: &[(f64, f64)]) -> Result<(), FitError> {
    if points
        .iter()
        .any(|(size, figure)| !size.is_finite() || !figure.is_finite())
    {
        return Err(FitError::NotFinite);
    }
    if points.iter().any(|(size, _)| *size < 0.0) {
        return Err(FitError::NegativeSize);
    }
    Ok(())
}

/// By size, then figure: sums over them are the same to the last bit whatever order the points came in.
fn sorted(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut points = points.to_vec();
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    points
}

fn distinct_sizes(sorted: &[(f64, f64)]) -> usize {
    sorted.chunk_by(|a, b| a.0 == b.0).count()
}

fn largest_residual(points: &[(f64, f64)], line: &Line) -> f64 {
    points
        .iter()
        .map(|(size, figure)| (figure - line.at(*size)).abs())
        .fold(0.0, f64::max)
}

fn part_of_mean(amount: f64, points: &[(f64, f64)]) -> Option<f64> {
    let mean = points.iter().map(|(_, figure)| figure).sum::<f64>() / points.len() as f64;
    Some(amount / mean.abs()).filter(|part| part.is_finite())
}
