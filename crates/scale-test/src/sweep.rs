//! Sweeps: one setting is varied while the others stay at a base point, and each metric is fitted over the values of
//! that setting.
//!
//! This module decides the order of the runs and retries unusable ones. A [`Runner`] makes each run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

mod axis;
mod metric;
mod plan;
mod report;
mod table;
#[cfg(test)]
mod tests;

pub use axis::Axis;
pub use metric::Metric;
pub use plan::{AxisPlan, Base, MIN_REPEATS, PlanError, SweepPlan};
pub use report::{AxisReport, FitResult, MetricReport, Point, SweepReport, UnusableRun};

/// The number of attempts at a run. An unusable run is retried once.
const MAX_ATTEMPTS: usize = 2;

/// Makes the runs of a sweep.
pub trait Runner {
    /// The error of a run that could not be made.
    type Error;

    /// Makes one run at the base point with one axis set to `value`. Repeats are counted from 0. A retry has the repeat
    /// number of the run that it replaces.
    ///
    /// # Errors
    ///
    /// Returns an error if the run cannot be made. A run with unusable measurements is not an error.
    fn run(&mut self, axis: Axis, value: f64, repeat: u32) -> Result<Measured, Self::Error>;
}

/// The measurements of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// The measured metrics. A metric without a value is absent.
    pub metrics: BTreeMap<Metric, f64>,
    /// Why the run is unusable, for example because the load generator was late or the machine was too busy. `None` if
    /// the run is usable.
    pub unusable: Option<String>,
}

impl Measured {
    /// Returns why the run is unusable, or `None` if it is usable. A metric that is not finite makes a run unusable.
    fn unusable_reason(&self) -> Option<String> {
        let not_finite = || self.metrics.iter().find(|(_, value)| !value.is_finite());
        self.unusable
            .clone()
            .or_else(|| not_finite().map(|(metric, value)| format!("{metric} is {value}")))
    }
}

/// Why a sweep ended without a report.
#[derive(Debug, Error)]
pub enum SweepError<E> {
    /// The plan is invalid, and no run was made.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A run could not be made.
    #[error("{axis} {value}, repeat {}: {source}", .repeat + 1)]
    Run {
        /// The axis that was varied.
        axis: Axis,
        /// The value of the axis.
        value: f64,
        /// The repeat, from 0.
        repeat: u32,
        /// The error of the runner.
        source: E,
        /// The report of the runs that were completed before the error, marked as partial.
        before: Box<SweepReport>,
    },
}

/// The progress of a sweep.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// The axis that is varied.
    pub axis: Axis,
    /// The value of the axis.
    pub value: f64,
    /// The repeat, from 0.
    pub repeat: u32,
    /// The number of completed runs over all axes. A retried run counts once.
    pub done: usize,
    /// The number of planned runs over all axes.
    pub total: usize,
    /// The event that is reported.
    pub event: RunEvent,
}

/// An event of one run of a sweep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// The first attempt at the run starts.
    Started,
    /// The run was unusable, and is retried.
    Retried {
        /// Why the run was unusable.
        reason: String,
    },
    /// An attempt was usable, and its measurements are kept.
    Measured,
    /// Every attempt was unusable, and the run is left out of the fits.
    LeftOut {
        /// Why the last attempt was unusable.
        reason: String,
    },
}

/// One run of the plan.
#[derive(Debug, Clone, Copy)]
struct PlannedRun {
    axis: Axis,
    value: f64,
    repeat: u32,
}

/// The outcome of a planned run after all its attempts.
struct Outcome {
    run: PlannedRun,
    /// The metrics of the usable attempt; `None` if every attempt was unusable.
    metrics: Option<BTreeMap<Metric, f64>>,
    /// Why each unusable attempt was unusable.
    reasons: Vec<String>,
}

/// Makes all runs of the plan, axis by axis, and fits the measurements.
///
/// # Errors
///
/// Returns an error if the plan is invalid, or the runner cannot make a run.
pub fn sweep<R: Runner>(
    plan: &SweepPlan,
    runner: &mut R,
    progress: &mut dyn FnMut(&Progress),
) -> Result<SweepReport, SweepError<R::Error>> {
    plan.check()?;
    let total = plan.run_count();
    let mut done = 0;
    let mut report = SweepReport {
        base: plan.base.clone(),
        repeats: plan.repeats,
        partial: false,
        axes: Vec::new(),
    };
    for axis in &plan.axes {
        let mut outcomes = Vec::new();
        for run in run_order(axis, plan.repeats) {
            let PlannedRun {
                axis: varied,
                value,
                repeat,
            } = run;
            let mut notify = |event| {
                progress(&Progress {
                    axis: varied,
                    value,
                    repeat,
                    done,
                    total,
                    event,
                })
            };
            match attempt(run, runner, &mut notify) {
                Ok(outcome) => outcomes.push(outcome),
                Err(source) => {
                    report.partial = true;
                    report.axes.push(AxisReport::of(axis, &outcomes));
                    return Err(SweepError::Run {
                        axis: varied,
                        value,
                        repeat,
                        source,
                        before: Box::new(report),
                    });
                }
            }
            done += 1;
        }
        report.axes.push(AxisReport::of(axis, &outcomes));
    }
    Ok(report)
}

/// Returns the runs of an axis in rounds of one run for each value, so that a slow drift of the machine's speed affects
/// all values alike. Every other round is reversed, so that drift within a round does not appear as a slope.
fn run_order(axis: &AxisPlan, repeats: u32) -> Vec<PlannedRun> {
    let round = |repeat: u32| {
        let mut values = axis.values.clone();
        if repeat % 2 == 1 {
            values.reverse();
        }
        let planned = move |value| PlannedRun {
            axis: axis.axis,
            value,
            repeat,
        };
        values.into_iter().map(planned)
    };
    (0..repeats).flat_map(round).collect()
}

/// Makes up to [`MAX_ATTEMPTS`] attempts at a run, until one is usable.
fn attempt<R: Runner>(
    run: PlannedRun,
    runner: &mut R,
    notify: &mut dyn FnMut(RunEvent),
) -> Result<Outcome, R::Error> {
    let PlannedRun {
        axis,
        value,
        repeat,
    } = run;
    let mut reasons = Vec::new();
    notify(RunEvent::Started);
    loop {
        let measured = runner.run(axis, value, repeat)?;
        let Some(reason) = measured.unusable_reason() else {
            notify(RunEvent::Measured);
            return Ok(Outcome {
                run,
                metrics: Some(measured.metrics),
                reasons,
            });
        };
        reasons.push(reason.clone());
        if reasons.len() == MAX_ATTEMPTS {
            notify(RunEvent::LeftOut { reason });
            return Ok(Outcome {
                run,
                metrics: None,
                reasons,
            });
        }
        notify(RunEvent::Retried { reason });
    }
}
