//! Linear least-squares regression in one variable.

/// The line with the smallest sum of squared residuals.
#[derive(Debug, Clone, Copy)]
pub(super) struct Line {
    pub(super) slope: f64,
    pub(super) intercept: f64,
    /// The sum of the squared residuals.
    pub(super) residual_squares: f64,
    /// The sum of the squared distances of the abscissas from their mean.
    pub(super) abscissa_squares: f64,
}

impl Line {
    /// Fits a line to points. With fewer than two distinct abscissas, the line is not finite.
    pub(super) fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let abscissa_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = products / abscissa_squares;
        let intercept = mean_y - slope * mean_x;
        let mut line = Line {
            slope,
            intercept,
            residual_squares: 0.0,
            abscissa_squares,
        };
        line.residual_squares = points.iter().map(|(x, y)| (y - line.at(*x)).powi(2)).sum();
        line
    }

    /// Returns the ordinate of the line at an abscissa.
    pub(super) fn at(&self, x: f64) -> f64 {
        self.slope.mul_add(x, self.intercept)
    }

    /// Returns the standard error of the slope for the given degrees of freedom of the residuals.
    pub(super) fn slope_error(&self, degrees_of_freedom: f64) -> f64 {
        (self.residual_squares / degrees_of_freedom / self.abscissa_squares).sqrt()
    }

    pub(super) fn is_finite(&self) -> bool {
        let sums = self.residual_squares + self.abscissa_squares;
        self.slope.is_finite() && self.intercept.is_finite() && sums.is_finite()
    }
}
