//! The numbers of a run that a sweep can vary.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A number of a run that is varied while the others stay.
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
    /// Workers on the list.
    Workers,
    /// Tasks that stand.
    Standing,
    /// Starts a second.
    Rate,
    /// Events a second on the list of workers.
    Events,
}

impl Axis {
    /// What its values count.
    pub fn unit(self) -> &'static str {
        match self {
            Axis::Workers => "workers",
            Axis::Standing => "standing tasks",
            Axis::Rate => "starts a second",
            Axis::Events => "list events a second",
        }
    }

    /// The values of a sweep that names none: four or more, over at least one and a half orders of magnitude,
    /// so that curves part from lines.
    pub fn default_values(self) -> &'static [f64] {
        match self {
            Axis::Workers => &[100.0, 400.0, 1000.0, 2000.0, 4000.0, 7300.0],
            Axis::Standing => &[500.0, 2000.0, 5000.0, 10_000.0, 20_000.0],
            Axis::Rate => &[10.0, 50.0, 100.0, 200.0, 400.0],
            Axis::Events => &[1.0, 10.0, 25.0, 50.0, 100.0],
        }
    }
}
