//! The metrics that a run can have.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A metric of a run. Metrics are keys of reports, and have units but no values of their own.
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
    /// CPU time of a placer, as a percentage of one core.
    CpuShare,
    /// The part of the CPU time that is spent on the control feed, if known.
    ControlCpu,
    /// Peak resident memory of a placer.
    PeakRssKb,
    /// Memory of a placer, with shared pages divided among the processes that share them.
    PssKb,
    /// Bytes that a placer reads from the control feed.
    ControlInBytes,
    /// Bytes that a placer writes to the control feed.
    ControlOutBytes,
    /// Messages of the control feed.
    ControlMessages,
    /// Bytes between a placer, its clients and its workers.
    ServiceBytes,
    /// Events on the control feed.
    FeedEvents,
    /// Entries in these events.
    FeedEntries,
    /// Open descriptors of a placer.
    Descriptors,
    /// Time from the start of a placer until it is ready.
    ReadyMs,
    /// Time from the arrival of a task to its start: median.
    StartP50Ms,
    /// Time from the arrival of a task to its start: 99th percentile.
    StartP99Ms,
    /// Time from the arrival of an urgent task to its start: 99th percentile.
    UrgentP99Ms,
    /// CPU time of the placers for each event of the feed.
    CpuPerEventMicros,
}

impl Metric {
    /// Returns the unit of the values.
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
