//! Sweeps: one number of a run is varied, the others stay at a base point, and each figure is fitted over it.
//!
//! A sweep knows nothing of how a run is made; a [`Runner`] makes them.

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

/// Attempts at a run: one that is unusable is made once more.
const ATTEMPTS: usize = 2;

/// Makes the runs of a sweep.
pub trait Runner {
    /// Why a run could not be made at all.
    type Error;

    /// Makes one run at the base point, with one axis at a value. Repeats are counted from 0; a run that is
    /// made again has the number of the one that it replaces.
    ///
    /// # Errors
    ///
    /// Returns an error if the run cannot be made at all. An unusable run is no error.
    fn run(&mut self, axis: Axis, value: f64, repeat: u32) -> Result<Measured, Self::Error>;
}

/// What one run measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// The figures that the run has.
    pub metrics: BTreeMap<Metric, f64>,
    /// Why the run cannot be used, where it cannot: its own load was late, a process died, and the like.
    pub unusable: Option<String>,
}

impl Measured {
    /// Why the run is left out, if it is. Figures that are not finite make it unusable too.
    fn fault(&self) -> Option<String> {
        let odd = || self.metrics.iter().find(|(_, figure)| !figure.is_finite());
        self.unusable
            .clone()
            .or_else(|| odd().map(|(metric, figure)| format!("{metric} is {figure}")))
    }
}

/// Why a sweep ended without a report.
#[derive(Debug, Error)]
pub enum SweepError<E> {
    /// The plan cannot be swept; no run was made.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A run could not be made.
    #[error("{axis} {value}, repeat {}: {source}", .repeat + 1)]
    Run {
        /// The axis that was varied.
        axis: Axis,
        /// Its value.
        value: f64,
        /// The repeat, from 0.
        repeat: u32,
        /// What the runner said.
        source: E,
        /// What was measured before, marked as partial.
        before: Box<SweepReport>,
    },
}

/// How far a sweep is.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// The axis that is varied.
    pub axis: Axis,
    /// Its value.
    pub value: f64,
    /// The repeat, from 0.
    pub repeat: u32,
    /// Runs that are done, of all axes; one that is made again counts once.
    pub done: usize,
    /// Runs that the plan asks for, of all axes.
    pub total: usize,
    /// What happened.
    pub event: RunEvent,
}

/// What happened in a sweep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// A run starts.
    Started,
    /// It was unusable, and is made again.
    Retried {
        /// Why it was unusable.
        reason: String,
    },
    /// It was measured.
    Measured,
    /// It was unusable each time, and is left out.
    LeftOut {
        /// Why it was unusable the last time.
        reason: String,
    },
}

/// One run of the plan, not made yet.
#[derive(Debug, Clone, Copy)]
struct PlannedRun {
    axis: Axis,
    value: f64,
    repeat: u32,
}

/// A planned run after its attempts.
struct Outcome {
    run: PlannedRun,
    /// None where every attempt was unusable.
    metrics: Option<BTreeMap<Metric, f64>>,
    /// Why attempts were unusable.
    reasons: Vec<String>,
}

/// Sweeps each axis of the plan, and fits what was measured.
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
    let total = plan.runs();
    let mut done = 0;
    let mut report = SweepReport {
        base: plan.base.clone(),
        repeats: plan.repeats,
        partial: false,
        axes: Vec::new(),
    };
    for axis in &plan.axes {
        let mut outcomes = Vec::new();
        for run in order(axis, plan.repeats) {
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

/// The runs of an axis, round by round: a machine that drifts over minutes touches all values alike. Every
/// other round goes backward, so that drift within rounds does not look like a slope either.
fn order(axis: &AxisPlan, repeats: u32) -> Vec<PlannedRun> {
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

/// Makes a run, and once more if it is unusable.
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
        let Some(reason) = measured.fault() else {
            notify(RunEvent::Measured);
            return Ok(Outcome {
                run,
                metrics: Some(measured.metrics),
                reasons,
            });
        };
        reasons.push(reason.clone());
        if reasons.len() == ATTEMPTS {
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
