//! Makes the runs of a sweep with real placers and simulated workers. Each run uses the base settings with one value
//! replaced.

use crate::error::RunError;
use crate::process_sample::Sampler;
use crate::results::RunResult;
use crate::run::{Watcher, admit, run};
use crate::settings::{Settings, SettingsError};
use crate::sweep::{Axis, AxisPlan, Base, Measured, Runner, SweepPlan};
use std::path::PathBuf;

mod metrics;
#[cfg(test)]
mod tests;

pub use metrics::metrics;

/// The largest fraction of the workers' capacity that the default numbers of running tasks fill. The plan `target`
/// fills just over half of it. If workers were nearly full, a run would mainly measure the search for free capacity.
const MAX_FILL_FRACTION: f64 = 0.6;

/// Why a run of a sweep yields no measurements.
#[derive(Debug, thiserror::Error)]
pub enum SweepRunError {
    /// The run could not be carried out.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A placer violated a rule that every placer must keep, so the measurements are meaningless.
    #[error(
        "a rule is broken: {lost} lost, {started_twice} started twice, {answered_twice} answered twice, \
         {ended_wrongly} ended wrongly, {never_started} never started"
    )]
    RuleBroken {
        /// Tasks whose request was never answered, or whose end was not reported.
        lost: u64,
        /// Non-idempotent tasks that were started twice.
        started_twice: u64,
        /// Tasks whose request was answered twice.
        answered_twice: u64,
        /// Tasks reported as ended while a worker still ran them.
        ended_wrongly: u64,
        /// Tasks reported as started although no worker started them.
        never_started: u64,
    },
}

/// Why a point of a sweep cannot be run. Points are checked before the first run.
#[derive(Debug, thiserror::Error)]
#[error("{axis} {value}: {source}")]
pub struct PointError {
    /// The axis that is varied.
    pub axis: Axis,
    /// The value of the axis.
    pub value: f64,
    /// Why the point cannot be run.
    pub source: RunError,
}

/// A [`Runner`] that makes each run with real placers.
pub struct ScaleRunner<'a> {
    /// The settings of the base point.
    pub settings: Settings,
    /// The path of the placer's program.
    pub program: PathBuf,
    /// Samples the processes of the placers.
    pub sampler: &'a mut dyn Sampler,
    /// Observes each run.
    pub watcher: &'a mut dyn Watcher,
}

impl Runner for ScaleRunner<'_> {
    type Error = SweepRunError;

    fn run(&mut self, axis: Axis, value: f64, _repeat: u32) -> Result<Measured, SweepRunError> {
        let settings = settings_at(&self.settings, axis, value).map_err(RunError::from)?;
        let result = run(&settings, &self.program, self.sampler, self.watcher)?;
        measured(&result)
    }
}

/// Returns the measurements of a run, or an error if a placer violated a rule.
fn measured(result: &RunResult) -> Result<Measured, SweepRunError> {
    let fleet = &result.fleet;
    if fleet.rules_broken() > 0 {
        return Err(SweepRunError::RuleBroken {
            lost: fleet.lost,
            started_twice: fleet.started_twice,
            answered_twice: fleet.answered_twice,
            ended_wrongly: fleet.ended_wrongly,
            never_started: fleet.never_started,
        });
    }
    let no_reason = || "no reason given".to_string();
    let unusable = (!result.usable).then(|| result.reason.clone().unwrap_or_else(no_reason));
    Ok(Measured {
        metrics: metrics(result),
        unusable,
    })
}

/// Returns the settings of the base point with the value of one axis replaced.
///
/// # Errors
///
/// Returns an error if the axis takes whole numbers and the value is not a whole number in its range.
pub fn settings_at(base: &Settings, axis: Axis, value: f64) -> Result<Settings, SettingsError> {
    let mut settings = base.clone();
    match axis {
        Axis::Workers => settings.workers = whole_number(axis, value)?,
        Axis::RunningTasks => settings.running_tasks = whole_number(axis, value)?,
        Axis::Rate => settings.rate = value,
        Axis::Events => settings.events = value,
    }
    Ok(settings)
}

/// Converts the value of an axis to a whole number.
fn whole_number(axis: Axis, value: f64) -> Result<u32, SettingsError> {
    let in_range = value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value);
    // Within the range, the cast is exact.
    let number = in_range.then_some(value as u32);
    number
        .ok_or_else(|| SettingsError::new(&axis.to_string(), "a whole number in its range", value))
}

/// Returns the base point of a sweep around these settings.
pub fn base_of(settings: &Settings, description: &str) -> Base {
    Base {
        description: description.to_string(),
        workers: f64::from(settings.workers),
        running_tasks: f64::from(settings.running_tasks),
        rate: settings.rate,
        events: settings.events,
    }
}

/// Returns the axis with its default values. The numbers of running tasks are scaled down if they would fill more than
/// `MAX_FILL_FRACTION` of the workers of the base point.
pub fn default_axis(base: &Settings, axis: Axis) -> AxisPlan {
    match axis {
        Axis::RunningTasks => {
            let capacity = f64::from(base.workers) * f64::from(base.max_tasks_per_worker());
            AxisPlan::with_default_values_up_to(axis, MAX_FILL_FRACTION * capacity)
        }
        Axis::Workers | Axis::Rate | Axis::Events => AxisPlan::with_default_values(axis),
    }
}

/// Checks that every point of a plan is valid and needs no more resources than the machine allows.
///
/// # Errors
///
/// Returns an error that names the first point that cannot be run.
pub fn admit_all(plan: &SweepPlan, base: &Settings) -> Result<(), PointError> {
    let points = plan
        .axes
        .iter()
        .flat_map(|axis| axis.values.iter().map(|value| (axis.axis, *value)));
    for (axis, value) in points {
        let admitted = settings_at(base, axis, value)
            .map_err(RunError::from)
            .and_then(|at| admit(&at));
        admitted.map_err(|source| PointError {
            axis,
            value,
            source,
        })?;
    }
    Ok(())
}
