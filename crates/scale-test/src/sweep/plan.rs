//! The plan of a sweep, and its checks.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Axis;
use crate::fit::MIN_SIZES;

/// The smallest number of repeats of each value. With fewer repeats the noise cannot be estimated.
pub const MIN_REPEATS: u32 = 3;

/// The base point of a sweep: the value of each axis while another axis is varied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// A description of the base point, or the name of its plan.
    pub description: String,
    /// The number of workers.
    pub workers: f64,
    /// The number of tasks that are running when a run starts.
    #[serde(rename = "standing")]
    pub running_tasks: f64,
    /// Task arrivals per second.
    pub rate: f64,
    /// Extra list events per second on the control feed.
    pub events: f64,
}

/// An axis and the values at which it is measured.
#[derive(Debug, Clone, PartialEq)]
pub struct AxisPlan {
    /// The axis.
    pub axis: Axis,
    /// The values, in the order in which the first round runs them.
    pub values: Vec<f64>,
}

impl AxisPlan {
    /// Returns the axis with its default values.
    pub fn with_default_values(axis: Axis) -> AxisPlan {
        AxisPlan {
            axis,
            values: axis.default_values().to_vec(),
        }
    }

    /// Returns the axis with its default values. If the largest exceeds `limit`, all are scaled down by the same factor
    /// so that the largest equals the limit, and rounded down.
    pub fn with_default_values_up_to(axis: Axis, limit: f64) -> AxisPlan {
        let plan = AxisPlan::with_default_values(axis);
        let largest = plan.values.iter().copied().fold(0.0, f64::max);
        if largest <= limit {
            return plan;
        }
        let scaled = plan
            .values
            .iter()
            .map(|value| (value * limit / largest).floor());
        AxisPlan {
            axis,
            values: scaled.collect(),
        }
    }
}

/// A sweep over one or more axes, one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct SweepPlan {
    /// The values of the axes that are not varied.
    pub base: Base,
    /// The axes that are varied.
    pub axes: Vec<AxisPlan>,
    /// The number of runs at each value.
    pub repeats: u32,
}

/// Why a plan is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PlanError {
    /// The plan has no axis.
    #[error("a sweep needs at least one axis")]
    NoAxis,
    /// An axis is given twice.
    #[error("{axis}: axis is given twice")]
    AxisTwice {
        /// The axis.
        axis: Axis,
    },
    /// An axis has too few values for a fit.
    #[error("{axis}: {found} distinct values, but a fit needs at least {MIN_SIZES}")]
    TooFewValues {
        /// The axis.
        axis: Axis,
        /// The number of distinct values.
        found: usize,
    },
    /// A value is given twice, and would have more repeats than the other values.
    #[error("{axis}: value {value} is given twice")]
    ValueTwice {
        /// The axis.
        axis: Axis,
        /// The value.
        value: f64,
    },
    /// A value is below 0, infinite or not a number.
    #[error("{axis}: value {value} is negative, infinite or not a number")]
    BadValue {
        /// The axis.
        axis: Axis,
        /// The value.
        value: f64,
    },
    /// There are too few repeats to estimate the noise.
    #[error("{found} repeats, but a sweep needs at least {MIN_REPEATS}")]
    TooFewRepeats {
        /// The number of repeats.
        found: u32,
    },
}

impl SweepPlan {
    /// Checks that the plan can be swept.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first reason why the plan cannot be swept.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.repeats < MIN_REPEATS {
            return Err(PlanError::TooFewRepeats {
                found: self.repeats,
            });
        }
        if self.axes.is_empty() {
            return Err(PlanError::NoAxis);
        }
        for (index, axis) in self.axes.iter().enumerate() {
            if self.axes[..index]
                .iter()
                .any(|earlier| earlier.axis == axis.axis)
            {
                return Err(PlanError::AxisTwice { axis: axis.axis });
            }
            axis.check()?;
        }
        Ok(())
    }

    /// Returns the number of planned runs.
    pub fn run_count(&self) -> usize {
        let values: usize = self.axes.iter().map(|axis| axis.values.len()).sum();
        values * self.repeats as usize
    }
}

impl AxisPlan {
    fn check(&self) -> Result<(), PlanError> {
        let axis = self.axis;
        let invalid = self
            .values
            .iter()
            .find(|value| !value.is_finite() || **value < 0.0);
        if let Some(&value) = invalid {
            return Err(PlanError::BadValue { axis, value });
        }
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let distinct = sorted.chunk_by(|a, b| a == b).count();
        if distinct < MIN_SIZES {
            return Err(PlanError::TooFewValues {
                axis,
                found: distinct,
            });
        }
        let repeated = sorted.windows(2).find(|pair| pair[0] == pair[1]);
        repeated.map_or(Ok(()), |pair| {
            Err(PlanError::ValueTwice {
                axis,
                value: pair[0],
            })
        })
    }
}
