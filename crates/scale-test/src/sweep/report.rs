//! The report of a sweep as typed data.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Axis, AxisPlan, Base, Metric, Outcome};
use crate::fit::Fit;

/// The report of a sweep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SweepReport {
    /// The base point of the sweep.
    pub base: Base,
    /// The planned number of runs at each value.
    pub repeats: u32,
    /// Whether a failed run ended the sweep, in which case later axes and values are missing.
    pub partial: bool,
    /// The report of each axis, in the order of the sweep.
    pub axes: Vec<AxisReport>,
}

/// The report of one axis.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AxisReport {
    /// The axis.
    pub axis: Axis,
    /// The values of the axis.
    pub values: Vec<f64>,
    /// The metrics that were measured in at least one usable run.
    pub metrics: BTreeMap<Metric, MetricReport>,
    /// The runs with at least one unusable attempt.
    pub unusable: Vec<UnusableRun>,
}

/// The measurements of one metric along one axis, and their fit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MetricReport {
    /// One point for each usable run in which the metric was measured.
    pub points: Vec<Point>,
    /// The fit of the points, or why they were not fitted.
    #[serde(rename = "verdict")]
    pub result: FitResult,
}

/// The measurement of a metric in one run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The value of the axis.
    pub value: f64,
    /// The repeat, from 0.
    pub repeat: u32,
    /// The measured value of the metric.
    pub measured: f64,
}

/// The fit of a metric, or why there is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FitResult {
    /// The fitted line, and the shape of the points.
    Fitted(Fit),
    /// The points could not be fitted, for example because too few usable runs had the metric.
    NotFitted {
        /// Why the points could not be fitted.
        reason: String,
    },
}

/// A run with at least one unusable attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnusableRun {
    /// The value of the axis.
    pub value: f64,
    /// The repeat, from 0.
    pub repeat: u32,
    /// Why each unusable attempt was unusable.
    pub reasons: Vec<String>,
    /// Whether a later attempt was usable. If none was, the run is left out of all fits.
    pub replaced: bool,
}

impl SweepReport {
    /// Returns the report as indented JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be serialized.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// Parses a report from the JSON that [`SweepReport::to_json`] writes.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not the JSON of a report.
    pub fn from_json(text: &str) -> serde_json::Result<SweepReport> {
        serde_json::from_str(text)
    }
}

impl AxisReport {
    /// Returns whether at least one metric has a fit.
    pub fn is_fitted(&self) -> bool {
        self.metrics
            .values()
            .any(|report| matches!(report.result, FitResult::Fitted(_)))
    }

    /// Collects the outcomes of the runs of an axis, and fits each metric.
    pub(super) fn of(plan: &AxisPlan, outcomes: &[Outcome]) -> AxisReport {
        let metrics: BTreeSet<Metric> = outcomes
            .iter()
            .flat_map(|outcome| &outcome.metrics)
            .flat_map(BTreeMap::keys)
            .copied()
            .collect();
        AxisReport {
            axis: plan.axis,
            values: plan.values.clone(),
            metrics: metrics
                .into_iter()
                .map(|metric| (metric, MetricReport::of(metric, outcomes)))
                .collect(),
            unusable: outcomes.iter().filter_map(UnusableRun::of).collect(),
        }
    }
}

impl MetricReport {
    fn of(metric: Metric, outcomes: &[Outcome]) -> MetricReport {
        let points: Vec<Point> = outcomes
            .iter()
            .filter_map(|outcome| Point::of(metric, outcome))
            .collect();
        let pairs: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (point.value, point.measured))
            .collect();
        let result = match Fit::line(&pairs) {
            Ok(fit) => FitResult::Fitted(fit),
            Err(error) => FitResult::NotFitted {
                reason: error.to_string(),
            },
        };
        MetricReport { points, result }
    }

    /// Returns the median of the repeats at a value, or `None` if the metric was measured in no usable run.
    pub fn median(&self, value: f64) -> Option<f64> {
        let at_value = self.points.iter().filter(|point| point.value == value);
        let mut repeats: Vec<f64> = at_value.map(|point| point.measured).collect();
        repeats.sort_by(f64::total_cmp);
        let upper = *repeats.get(repeats.len() / 2)?;
        let lower = *repeats.get(repeats.len().checked_sub(1)? / 2)?;
        Some(f64::midpoint(lower, upper))
    }
}

impl Point {
    fn of(metric: Metric, outcome: &Outcome) -> Option<Point> {
        let measured = *outcome.metrics.as_ref()?.get(&metric)?;
        Some(Point {
            value: outcome.run.value,
            repeat: outcome.run.repeat,
            measured,
        })
    }
}

impl UnusableRun {
    fn of(outcome: &Outcome) -> Option<UnusableRun> {
        if outcome.reasons.is_empty() {
            return None;
        }
        Some(UnusableRun {
            value: outcome.run.value,
            repeat: outcome.run.repeat,
            reasons: outcome.reasons.clone(),
            replaced: outcome.metrics.is_some(),
        })
    }
}
