//! The figures that a run can have.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A figure of a run.
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
pub enum Metric {
    /// CPU time of a placer, as a share of one core.
    CpuShare,
    /// The part of it that the control feed takes, where it is known.
    ControlCpu,
    /// Largest resident memory of a placer.
    PeakRssKb,
    /// Memory of a placer, with shared pages divided among those that share them.
    PssKb,
    /// Bytes that a placer reads from the control feed.
    ControlInBytes,
    /// Bytes that a placer writes to the control feed.
    ControlOutBytes,
    /// Messages of the control feed.
    ControlMessages,
    /// Bytes between a placer, its clients and its workers.
    ServiceBytes,
    /// Events that came on the control feed.
    FeedEvents,
    /// Entries of the list that these events held.
    FeedEntries,
    /// Descriptors that a placer holds.
    Descriptors,
    /// Time from a placer's start until it is ready.
    ReadyMs,
    /// Time from a request until its task starts: median.
    StartP50Ms,
    /// The same: 99th percentile.
    StartP99Ms,
    /// The same for urgent tasks: 99th percentile.
    UrgentP99Ms,
    /// CPU time for each event of the list.
    CpuPerEventMicros,
}

impl Metric {
    /// The unit of its figures.
    pub fn unit(self) -> &'static str {
        match self {
            Metric::CpuShare | Metric::ControlCpu => "% of a core",
            Metric::PeakRssKb | Metric::PssKb => "kB",
            Metric::ControlInBytes | Metric::ControlOutBytes | Metric::ServiceBytes => "bytes/s",
            Metric::ControlMessages | Metric::FeedEvents | Metric::FeedEntries => "1/s",
            Metric::Descriptors => "descriptors",
            Metric::ReadyMs | Metric::StartP50Ms | Metric::StartP99Ms | Metric::UrgentP99Ms => "ms",
            Metric::CpuPerEventMicros => "µs",
        }
    }
}
