//! The settings that a sweep can vary.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A setting that a sweep varies while the other settings stay at the base point.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Axis {
    /// The number of workers.
    Workers,
    /// The number of tasks that are running when a run starts.
    #[serde(rename = "standing")]
    #[strum(serialize = "standing")]
    RunningTasks,
    /// Task arrivals per second.
    Rate,
    /// Extra list events per second on the control feed.
    Events,
}

impl Axis {
    /// Returns the unit of the axis, as shown in reports.
    pub fn unit(self) -> &'static str {
        match self {
            Axis::Workers => "workers",
            Axis::RunningTasks => "standing tasks",
            Axis::Rate => "starts a second",
            Axis::Events => "list events a second",
        }
    }

    /// Returns the values to sweep if none are given. They are chosen so that a sweep of all axes with three repeats
    /// takes about a quarter of an hour. The largest values are those of the plan `target`.
    pub fn default_values(self) -> &'static [f64] {
        match self {
            Axis::Workers => &[100.0, 1_000.0, 2_500.0, 5_000.0, 7_300.0],
            Axis::RunningTasks => &[0.0, 10_000.0, 40_000.0, 80_000.0, 120_000.0],
            Axis::Rate => &[20.0, 60.0, 120.0, 240.0],
            Axis::Events => &[0.0, 50.0, 200.0, 800.0],
        }
    }
}
