//! The metrics of a run that a sweep can fit.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// The name of a metric of a run. The values are stored in reports under these names.
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
    /// CPU time of a placer that is spent on the control feed, as a percentage of one core.
    ControlCpu,
    /// Peak resident memory of a placer.
    PeakRssKb,
    /// Proportional set size (PSS) of a placer: each shared page is divided among the processes that share it.
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
    /// Entries in the events on the control feed.
    FeedEntries,
    /// Open descriptors of a placer.
    Descriptors,
    /// Time from the start of a placer until it first passes a health check.
    ReadyMs,
    /// Time from the arrival of a task to its start: median.
    StartP50Ms,
    /// Time from the arrival of a task to its start: 99th percentile.
    StartP99Ms,
    /// Time from the arrival of an urgent task to its start: 99th percentile.
    UrgentP99Ms,
    /// CPU time of all placers divided by the number of events on their control feeds.
    CpuPerEventMicros,
}

impl Metric {
    /// Returns the unit of the metric, as shown in reports.
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
