//! What a sweep is asked to do.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Axis;
use crate::fit::MIN_SIZES;

/// Repeats of each value without which its noise is not known.
pub const MIN_REPEATS: u32 = 3;

/// The point at which all axes stay but the one that is varied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// What runs there, in words or as a plan's name.
    pub description: String,
    /// Workers on the list.
    pub workers: f64,
    /// Tasks that stand.
    #[serde(rename = "standing")]
    pub running_tasks: f64,
    /// Starts a second.
    pub rate: f64,
    /// Events a second on the list of workers.
    pub events: f64,
}

/// An axis and the values that it takes.
#[derive(Debug, Clone, PartialEq)]
pub struct AxisPlan {
    /// What is varied.
    pub axis: Axis,
    /// Its values, in the order of the first round.
    pub values: Vec<f64>,
}

impl AxisPlan {
    /// The axis with its default values.
    pub fn with_default_values(axis: Axis) -> AxisPlan {
        AxisPlan {
            axis,
            values: axis.default_values().to_vec(),
        }
    }

    /// The axis with its default values, all made smaller by one factor if the largest is over a limit.
    pub fn with_default_values_up_to(axis: Axis, limit: f64) -> AxisPlan {
        let plan = AxisPlan::with_default_values(axis);
        let largest = plan.values.iter().copied().fold(0.0, f64::max);
        if largest <= limit {
            return plan;
        }
        let smaller = plan
            .values
            .iter()
            .map(|value| (value * limit / largest).floor());
        AxisPlan {
            axis,
            values: smaller.collect(),
        }
    }
}

/// A sweep over one or more axes, one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct SweepPlan {
    /// Where the other axes stay.
    pub base: Base,
    /// What is varied.
    pub axes: Vec<AxisPlan>,
    /// Runs of each value.
    pub repeats: u32,
}

/// Why a plan cannot be swept.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum PlanError {
    /// No axis is named.
    #[error("a sweep needs an axis")]
    NoAxis,
    /// An axis is named twice.
    #[error("{axis}: named twice")]
    AxisTwice {
        /// The axis.
        axis: Axis,
    },
    /// An axis has too few values for a fit.
    #[error("{axis}: {found} distinct values, and a fit needs at least {MIN_SIZES}")]
    TooFewValues {
        /// The axis.
        axis: Axis,
        /// Its distinct values.
        found: usize,
    },
    /// A value stands twice, which would give it more repeats than others.
    #[error("{axis}: the value {value} stands twice")]
    ValueTwice {
        /// The axis.
        axis: Axis,
        /// The value.
        value: f64,
    },
    /// A value is below 0, infinite or not a number.
    #[error("{axis}: the value {value} is below 0, infinite or not a number")]
    BadValue {
        /// The axis.
        axis: Axis,
        /// The value.
        value: f64,
    },
    /// Too few repeats to know the noise.
    #[error("{found} repeats, and a sweep needs at least {MIN_REPEATS}")]
    TooFewRepeats {
        /// Repeats asked for.
        found: u32,
    },
}

impl SweepPlan {
    /// Whether it can be swept; names the first thing that keeps it from that.
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

    /// Runs that it asks for.
    pub fn runs(&self) -> usize {
        let values: usize = self.axes.iter().map(|axis| axis.values.len()).sum();
        values * self.repeats as usize
    }
}

impl AxisPlan {
    fn check(&self) -> Result<(), PlanError> {
        let axis = self.axis;
        let bad = self
            .values
            .iter()
            .find(|value| !value.is_finite() || **value < 0.0);
        if let Some(&value) = bad {
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
        let twice = sorted.windows(2).find(|pair| pair[0] == pair[1]);
        twice.map_or(Ok(()), |pair| {
            Err(PlanError::ValueTwice {
                axis,
                value: pair[0],
            })
        })
    }
}
