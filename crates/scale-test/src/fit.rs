//! Describes how a measured value grows with a size: fits a straight line to the points, and classifies their shape.
//!
//! This module does no I/O and reads no clock. The rules of the classification are documented at [`Shape`].

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

/// The smallest number of distinct sizes that can be fitted. A curve has three coefficients (scale, exponent and
/// offset), so a fourth size is the first that can contradict it.
pub const MIN_SIZES: usize = 4;

/// The largest difference between a measurement and its projection that counts as agreement, as a fraction of the
/// projection.
pub const PROJECTION_TOLERANCE: f64 = 0.2;

/// A least-squares line through points of (size, measured value).
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The growth of the measured value per unit of size.
    pub slope: f64,
    /// The value of the line at size 0.
    pub intercept: f64,
    /// The largest distance of a point from the line, in the unit of the value.
    pub largest_residual: f64,
    /// The largest distance of a point from the line, as a fraction of the mean value; `None` if the mean is 0.
    pub largest_residual_part: Option<f64>,
    /// The shape of the points.
    pub shape: Shape,
    /// The exponents that agree with the points; `None` if the shape was classified without exponents.
    pub exponents: Option<Exponents>,
    /// The number of distinct sizes.
    pub sizes: usize,
    /// The number of points.
    pub points: usize,
}

/// Why points cannot be fitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FitError {
    /// The points have fewer than [`MIN_SIZES`] distinct sizes.
    #[error("{found} distinct sizes, but a fit needs at least {MIN_SIZES}")]
    TooFewSizes {
        /// The number of distinct sizes.
        found: usize,
    },
    /// A size or a value is infinite or not a number.
    #[error("a size or a value is infinite or not a number")]
    NotFinite,
    /// A size is negative.
    #[error("a size is negative")]
    NegativeSize,
    /// The values are too large to be squared and summed.
    #[error("sizes or values are too large to be fitted")]
    TooLarge,
}

impl Fit {
    /// Fits a line to points of (size, measured value), and classifies their shape. Repeated measurements are points of
    /// the same size. The order of the points does not matter.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few distinct sizes, a number is not finite or too large, or a size is
    /// negative.
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
        let classification = shape::classify(&points);
        Ok(Fit {
            slope: line.slope,
            intercept: line.intercept,
            largest_residual,
            largest_residual_part: fraction_of_mean(largest_residual, &points),
            shape: classification.shape,
            exponents: classification.exponents,
            sizes,
            points: points.len(),
        })
    }

    /// Returns the value that the line predicts for a size.
    pub fn projection(&self, at: f64) -> f64 {
        self.slope.mul_add(at, self.intercept)
    }
}

/// The comparison of a measurement with its projection.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ProjectionComparison {
    /// The measurement divided by the projection; `None` if the projection is 0 or either is not finite.
    pub ratio: Option<f64>,
    /// Whether the two differ by more than [`PROJECTION_TOLERANCE`] of the projection, or either is not finite.
    pub over_20_percent: bool,
}

/// Compares a measurement with its projection. A measurement of 0 agrees with a projection of 0.
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
        .any(|(size, value)| !size.is_finite() || !value.is_finite())
    {
        return Err(FitError::NotFinite);
    }
    if points.iter().any(|(size, _)| *size < 0.0) {
        return Err(FitError::NegativeSize);
    }
    Ok(())
}

/// Returns the points sorted by size, then by value. Sums over them are then bitwise equal for any order of the input.
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
        .map(|(size, value)| (value - line.at(*size)).abs())
        .fold(0.0, f64::max)
}

fn fraction_of_mean(amount: f64, points: &[(f64, f64)]) -> Option<f64> {
    let mean = points.iter().map(|(_, value)| value).sum::<f64>() / points.len() as f64;
    Some(amount / mean.abs()).filter(|fraction| fraction.is_finite())
}
