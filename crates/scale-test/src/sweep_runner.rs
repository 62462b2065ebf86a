//! Makes the runs of a sweep: real placers among hollow workers, at settings with one number replaced.

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

/// The part of the workers' room that the default values of the standing axis fill at most; the target fills just
/// over half. Where workers are nearly full, what is measured is the search for room.
const MAX_FILL: f64 = 0.6;

/// Why a run of a sweep gave no figures.
#[derive(Debug, thiserror::Error)]
pub enum SweepRunError {
    /// The run could not be carried out.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A placer broke a rule: what such a run costs is of no interest.
    #[error(
        "a rule is broken: {lost} lost, {started_twice} started twice, {answered_twice} answered twice, \
         {ended_wrongly} ended wrongly, {never_started} never started"
    )]
    RuleBroken {
        /// Tasks lost.
        lost: u64,
        /// Tasks started twice that must not be.
        started_twice: u64,
        /// Tasks answered twice.
        answered_twice: u64,
        /// Tasks told to be over while their workers held them.
        ended_wrongly: u64,
        /// Tasks answered that no worker has started.
        never_started: u64,
    },
}

/// A run of a sweep that can't be made, found before the first run.
#[derive(Debug, thiserror::Error)]
#[error("{axis} {value}: {source}")]
pub struct PointError {
    /// The axis that is varied.
    pub axis: Axis,
    /// Its value.
    pub value: f64,
    /// Why not.
    pub source: RunError,
}

/// Runs real placers.
pub struct ScaleRunner<'a> {
    /// The base point.
    pub settings: Settings,
    /// The placer's program.
    pub program: PathBuf,
    /// Reads what the placers use.
    pub sampler: &'a mut dyn Sampler,
    /// Watches each run.
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

/// What a sweep takes of the result of a run.
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
    let no_reason = || "no reason is stated".to_string();
    let unusable = (!result.usable).then(|| result.reason.clone().unwrap_or_else(no_reason));
    Ok(Measured {
        metrics: metrics(result),
        unusable,
    })
}

/// The settings of a run: those of the base point, with one number replaced.
///
/// # Errors
///
/// Returns an error if the axis takes whole numbers and the value is none in its range.
pub fn settings_at(base: &Settings, axis: Axis, value: f64) -> Result<Settings, SettingsError> {
    let mut settings = base.clone();
    match axis {
        Axis::Workers => settings.workers = whole(axis, value)?,
        Axis::RunningTasks => settings.running_tasks = whole(axis, value)?,
        Axis::Rate => settings.rate = value,
        Axis::Events => settings.events = value,
    }
    Ok(settings)
}

fn whole(axis: Axis, value: f64) -> Result<u32, SettingsError> {
    let in_range = value.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&value);
    // Within its range, the cast gives the very number.
    let number = in_range.then_some(value as u32);
    number
        .ok_or_else(|| SettingsError::new(&axis.to_string(), "a whole number in its range", value))
}

/// The base point of these settings.
pub fn base_of(settings: &Settings, description: &str) -> Base {
    Base {
        description: description.to_string(),
        workers: f64::from(settings.workers),
        running_tasks: f64::from(settings.running_tasks),
        rate: settings.rate,
        events: settings.events,
    }
}

/// The axis with the default values that fit the base point: no more standing tasks than its workers have room
/// for.
pub fn default_axis(base: &Settings, axis: Axis) -> AxisPlan {
    match axis {
        Axis::RunningTasks => {
            let room = f64::from(base.workers) * f64::from(base.max_tasks_per_worker());
            AxisPlan::with_default_values_up_to(axis, MAX_FILL * room)
        }
        Axis::Workers | Axis::Rate | Axis::Events => AxisPlan::with_default_values(axis),
    }
}

/// Refuses a plan of which a run can't be meant, or needs more than the machine has for it.
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
